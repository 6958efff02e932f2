/*
 * Claims of one idempotency key on the log.
 *
 * A caller sends one request under one key, as up to ATTEMPTS attempts, each
 * handled by another instance. It may stop waiting for an attempt at any
 * moment and start the next one, so several attempts are handled at once.
 * Every attempt is a process: a pause of an instance is the scheduler not
 * running it, a crash ends it at any step (at most CRASHES of them).
 *
 * The log is one stream. An append is refused, lands and is answered, lands
 * with its answer lost, or is kept back: it lands at any later time or never.
 * Answers are lost at most LOSSES times. The log goes down and comes back.
 *
 * Every key carries the time of its issue. `aged` becomes true when the
 * window of the key has passed. Only then may retention cut records of the
 * key. A reader that starts after the cut sees the rest of the stream only.
 *
 * The fold decides, see `fold_record`. What it must guarantee:
 *  - at most one dispatch for the key;
 *  - "not run" is never said of a key that was or will be dispatched by an
 *    attempt that exists when it is said;
 *  - a replayed answer is the outcome of the one dispatch;
 *  - when all attempts that did not crash have ended, no claim of theirs
 *    holds the key without an outcome;
 *  - every attempt that does not crash ends once the log is back.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef LOSSES
#define LOSSES 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef MAX_RECORDS
#define MAX_RECORDS 12
#endif
#define CLAIM_IDS (2 * ATTEMPTS)
#define NONE 15

#define CLAIM 0
#define ABANDON 1
#define RELEASE 2
#define CLOSE 3
#define OUTCOME 4

mtype:append_answer = { LANDED, REFUSED, UNKNOWN };
mtype:told_kind = { NOTHING, ANSWERED, IN_PROGRESS, OUTCOME_UNKNOWN,
                    ATTEMPT_NOT_RUN, NOT_RUN, TOO_OLD };

/* The stream: what each record is, and the claim that it speaks of. */
byte kinds[MAX_RECORDS];
byte claim_of[MAX_RECORDS];
bool landed_aged[MAX_RECORDS];
byte next_offset = 0;
byte oldest_offset = 0;
bool up = true;
bool aged = false;
byte losses = 0;
byte crashes = 0;

/* Appends that are kept back: for each claim a set of record kinds. */
byte late[CLAIM_IDS];
#define is_late(kind, id) ((late[id] >> (kind)) & 1)

/* What the target and the caller saw. */
byte dispatches = 0;
byte first_dispatch = NONE;
byte current = NONE;
bool started[ATTEMPTS];
bool ended[ATTEMPTS];
bool crashed[ATTEMPTS];
bool believes_not_run = false;

inline land(a_kind, a_claim) {
    assert(next_offset < MAX_RECORDS);
    kinds[next_offset] = a_kind;
    claim_of[next_offset] = a_claim;
    landed_aged[next_offset] = aged;
    next_offset++
}

/* One call to the log; `answer` gets what the instance learns of it. */
inline append(a_kind, a_claim) {
    atomic {
        if
        :: up -> land(a_kind, a_claim); answer = LANDED
        :: up && losses < LOSSES ->
            losses++;
            land(a_kind, a_claim);
            answer = UNKNOWN
        :: losses < LOSSES && !is_late(a_kind, a_claim) ->
            losses++;
            late[a_claim] = late[a_claim] | (1 << a_kind);
            answer = UNKNOWN
        :: !up -> answer = REFUSED
        fi
    }
}

#define is_dead(id) ((dead >> (id)) & 1)

/*
 * The fold. `owner` is the claim that holds the key, `dead` the claims that
 * never will, `closed` says that no claim ever will, `done` is the claim
 * whose outcome is stored.
 */
inline fold_record() {
    if
    :: kinds[pos] == CLAIM ->
        if
#ifndef MUTANT_NO_KEY_AGE
        :: landed_aged[pos] ->
            dead = dead | (1 << claim_of[pos])
        :: !landed_aged[pos] &&
#else
        ::
#endif
           (closed || is_dead(claim_of[pos]) ||
            (owner != NONE && owner != claim_of[pos])) ->
#ifndef MUTANT_PROMOTE
            dead = dead | (1 << claim_of[pos])
#else
            waiting = claim_of[pos]
#endif
        :: else -> owner = claim_of[pos]
        fi
    :: kinds[pos] == ABANDON ->
        if
        :: owner != claim_of[pos] -> dead = dead | (1 << claim_of[pos])
        :: else
        fi
    :: kinds[pos] == RELEASE ->
        if
        :: owner == claim_of[pos] && done == NONE ->
            dead = dead | (1 << claim_of[pos]);
            owner = NONE;
#ifdef MUTANT_PROMOTE
            owner = waiting;
            waiting = NONE
#endif
        :: else
        fi
    :: kinds[pos] == CLOSE ->
        if
        :: done == NONE && (owner == NONE || owner == claim_of[pos]) ->
            dead = dead | (1 << claim_of[pos]);
            owner = NONE;
            closed = true
        :: owner != NONE && owner != claim_of[pos] ->
            dead = dead | (1 << claim_of[pos])
        fi
    :: kinds[pos] == OUTCOME ->
        if
        :: owner == claim_of[pos] && done == NONE -> done = claim_of[pos]
        :: else
        fi
    fi;
    pos++
}

inline fold_all() {
    do
    :: pos < next_offset -> fold_record()
    :: else -> break
    od;
    skip
}

/* Reads to the end; a reader behind the cut loses its proof of coverage. */
inline read_log() {
    d_step {
        if
        :: pos < oldest_offset -> covered = false; pos = oldest_offset
        :: else
        fi;
        fold_all()
    }
}

inline tell(what) {
    d_step {
        told = what;
        if
        :: what == NOT_RUN && current == me ->
            believes_not_run = true;
            assert(dispatches == 0)
        :: else
        fi
    }
}

inline dispatch() {
    d_step {
        dispatches++;
        if
        :: first_dispatch == NONE -> first_dispatch = me
        :: else
        fi;
        assert(dispatches == 1);
        assert(!believes_not_run)
    }
}

/* What a refused attempt may say: of the key only with a proof. */
inline refuse() {
    if
    :: covered && closed -> tell(NOT_RUN)
    :: !(covered && closed) && me == 0 -> tell(NOT_RUN)
#ifdef MUTANT_ATTEMPT_AS_KEY
    :: !(covered && closed) && me != 0 && is_dead(my_claim) && owner == NONE
       && done == NONE && covered -> tell(NOT_RUN)
#endif
#ifdef MUTANT_FREE_MEANS_NOT_RUN
    :: !(covered && closed) && me != 0 && covered && owner == NONE
       && done == NONE -> tell(NOT_RUN)
#endif
    :: !(covered && closed) && me != 0 -> tell(ATTEMPT_NOT_RUN)
    fi
}

#ifndef MUTANT_RELEASE_BY_TIME
#define held_by_other (owner != NONE && owner != my_claim)
#else
#define held_by_other false
#endif

proctype Attempt(byte me) {
    mtype:append_answer answer = REFUSED;
    mtype:told_kind told = NOTHING;
    byte my_claim = me;
    byte pos = 0;
    byte owner = NONE;
    byte dead = 0;
    bool closed = false;
    byte done = NONE;
    bool covered = true;
    bool closing = false;
#ifdef MUTANT_PROMOTE
    byte waiting = NONE;
#endif

    {
        /* Arrival: a follower that kept up, or a reader that starts now. */
        if
        :: !up -> refuse(); goto finished
        :: up -> d_step { fold_all() }
        :: up && oldest_offset > 0 ->
            d_step {
                pos = oldest_offset;
#ifndef MUTANT_NO_COVERAGE
                covered = false;
#endif
                fold_all()
            }
        fi;
#ifdef MUTANT_DISPATCH_AFTER_CRASH
        if
        :: owner != NONE && done == NONE && crashed[owner % ATTEMPTS] ->
            my_claim = owner;
            goto permitted
        :: else
        fi;
#endif
#ifdef MUTANT_RELEASE_BY_TIME
        if
        :: owner != NONE && done == NONE ->
            append(RELEASE, owner);
            read_log()
        :: else
        fi;
#endif
        if
        :: !covered -> tell(TOO_OLD); goto finished
        :: covered && closed -> refuse(); goto finished
        :: covered && done != NONE -> goto replay
        :: covered && !closed && done == NONE && held_by_other ->
            tell(IN_PROGRESS); goto finished
        :: else
        fi;

        append(CLAIM, my_claim);
        if
        :: answer == REFUSED -> refuse(); goto finished
#ifdef MUTANT_DISPATCH_ON_ANSWER
        :: answer == LANDED -> goto permitted
#endif
#ifdef MUTANT_RESEND_CLAIM
        :: answer == UNKNOWN && my_claim == me ->
            my_claim = me + ATTEMPTS;
            append(CLAIM, my_claim)
#endif
        :: else
        fi;

decide:
        if
        :: up && pos < next_offset ->
            read_log();
            if
            :: !covered -> goto give_up
            :: covered && owner == my_claim -> goto permitted
            :: covered && owner != my_claim && !is_dead(my_claim) ->
                goto decide
            :: else -> goto lost
            fi
        :: true -> goto give_up
        fi;

lost:
        if
        :: done != NONE -> goto replay
        :: done == NONE && closed -> refuse()
        :: done == NONE && !closed && owner != NONE -> tell(IN_PROGRESS)
        :: done == NONE && !closed && owner == NONE -> refuse()
        fi;
        goto finished;

replay:
        assert(first_dispatch == done % ATTEMPTS);
        tell(ANSWERED);
        goto finished;

permitted:
        if
        :: dispatch()
        :: goto give_up
        fi;
        /* The target's answer comes, or is lost and the outcome unknown. */
        if
        :: tell(ANSWERED)
        :: tell(OUTCOME_UNKNOWN)
#ifdef MUTANT_RESEND_DISPATCH
        :: dispatch()
#endif
        fi;
store:
        /* Sent again until read back: idempotent by its claim id. */
        append(OUTCOME, my_claim);
        do
        :: up && pos < next_offset ->
            read_log();
            if
            :: done != NONE || !covered -> goto finished
            :: else
            fi
        :: up && pos == next_offset && !is_late(OUTCOME, my_claim) ->
            goto store
        od;

        /*
         * No permit exists from here on. The caller is told at once, or
         * after the key is closed. Abandon, release and close only take
         * rights away, so they are sent again until one is read back.
         */
give_up:
#ifdef MUTANT_NO_ABANDON
        if
        :: !(covered && owner == my_claim) -> refuse(); goto finished
        :: else
        fi;
#endif
#ifdef MUTANT_FORGET_RELEASE
        if
        :: covered && owner == my_claim -> refuse(); goto finished
        :: else
        fi;
#endif
        if
        :: refuse()
        :: closing = true
        fi;
        if
        :: !covered -> goto withdrawn
        :: else
        fi;
withdraw:
        if
        :: closing -> append(CLOSE, my_claim)
        :: !closing && owner == my_claim ->
            append(RELEASE, my_claim);
#ifdef MUTANT_RELEASE_KEEPS_PERMIT
            if
            :: answer != LANDED -> dispatch()
            :: answer == LANDED
            fi
#endif
        :: !closing && owner != my_claim ->
            append(ABANDON, my_claim)
        fi;
        do
        :: up && pos < next_offset ->
            read_log();
            if
            :: !covered || is_dead(my_claim) -> break
            :: else
            fi
        :: up && pos == next_offset && late[my_claim] <= 1 ->
            goto withdraw
        od;
withdrawn:
        if
        :: told == NOTHING && done != NONE -> goto replay
        :: told == NOTHING && done == NONE -> refuse()
        :: told != NOTHING
        fi;

finished:
        ended[me] = true
    } unless {
        crashed[me] && !ended[me]
    }
}

/* The caller stops waiting at any moment and tries another instance. */
active proctype Caller() {
    byte attempt = 0;
    do
    :: attempt < ATTEMPTS ->
        atomic {
            /* It keeps its key, so it does not act on a "not run". */
            believes_not_run = false;
            current = attempt;
            started[attempt] = true;
            run Attempt(attempt);
            attempt++
        }
    :: break
    od
}

/* Outages, late appends, the window's end and retention. */
#define LAND_LATE(kind, id) \
    :: up && is_late(kind, id) -> \
        d_step { late[id] = late[id] & ~(1 << kind); land(kind, id) } \
    :: is_late(kind, id) -> late[id] = late[id] & ~(1 << kind)

#define LAND_ALL(id) \
    LAND_LATE(CLAIM, id) \
    LAND_LATE(ABANDON, id) \
    LAND_LATE(RELEASE, id) \
    LAND_LATE(CLOSE, id) \
    LAND_LATE(OUTCOME, id)

active proctype Log() {
    byte outages = 0;
end:
    do
    :: up && outages < OUTAGES -> outages++; up = false
    :: !up -> up = true
    LAND_ALL(0)
    LAND_ALL(1)
#if ATTEMPTS > 2
    LAND_ALL(2)
#endif
#ifdef MUTANT_RESEND_CLAIM
    LAND_ALL(ATTEMPTS)
    LAND_ALL(ATTEMPTS + 1)
#endif
#ifdef AGEING
    :: !aged -> aged = true
    :: aged && oldest_offset < next_offset ->
        d_step {
            oldest_offset++;
        }
#endif
    od
}

#define CRASH(id) \
    :: crashes < CRASHES && started[id] && !ended[id] && !crashed[id] -> \
        d_step { crashes++; crashed[id] = true }

active proctype Crashes() {
end:
    do
    CRASH(0)
    CRASH(1)
#if ATTEMPTS > 2
    CRASH(2)
#endif
    od
}

/* When all has ended and nothing is on its way, the key is not held. */
#define settled(id) (!started[id] || ended[id] || crashed[id])
#define nothing_late(id) (late[id] == 0)

active proctype Orphans() {
    byte pos = 0;
    byte owner = NONE;
    byte dead = 0;
    bool closed = false;
    byte done = NONE;
#ifdef MUTANT_PROMOTE
    byte waiting = NONE;
#endif
end:
    d_step {
        up && started[0] && settled(0) && settled(1) && nothing_late(0) &&
        nothing_late(1) && nothing_late(ATTEMPTS) &&
        nothing_late(ATTEMPTS + 1)
#if ATTEMPTS > 2
        && settled(2) && nothing_late(2)
#endif
        ->
        if
        :: oldest_offset == 0 ->
            fold_all();
            assert(owner == NONE || done != NONE ||
                   crashed[owner % ATTEMPTS])
        :: else
        fi;
        pos = 0;
        dead = 0;
        owner = NONE;
        closed = false;
        done = NONE
    }
}

#define ended_0 (ended[0] || crashed[0])
#define ended_1 (ended[1] || crashed[1])
ltl attempts_end { [](started[0] -> <>ended_0) && [](started[1] -> <>ended_1) }
