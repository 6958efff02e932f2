/*
 * Claims of one idempotency key on the log.
 *
 * A caller sends one request under one key, as up to ATTEMPTS attempts, each
 * handled by another instance. It may stop waiting for an attempt at any
 * moment and start the next one, so several attempts are handled at once.
 * Every attempt is a process: a pause of an instance is the scheduler not
 * running it, a crash ends it before any step (at most CRASHES of them).
 *
 * The log is one stream. An append is refused, stored and answered, stored
 * with its answer lost, or delayed: it is stored at any later time or never.
 * At most FAULTS appends fail in these ways. An outage is a period in which
 * appends are refused and reads wait; it ends when no faults are left.
 *
 * With AGEING the key's window may expire. The fold then drops what came
 * before, and retention may remove records. The key contains its creation
 * time, so a reader can tell that records of the key may be missing.
 *
 * Safety, as assertions:
 *  - at most one dispatch for the key;
 *  - a waiting caller never gets "not run" for a key that was dispatched, and
 *    "not run" is never followed by a dispatch of an attempt that exists;
 *  - a replayed answer is the outcome of the one dispatch;
 *  - once all attempts have ended, only one that crashed or dispatched holds
 *    the key.
 * Liveness, as a formula: every attempt that does not crash ends.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define MAX_RECORDS (4 * ATTEMPTS + FAULTS)
#ifdef MUTANT_RESEND_CLAIM
#define CLAIM_IDS (2 * ATTEMPTS)
#else
#define CLAIM_IDS ATTEMPTS
#endif
#define NONE 15

#define CLAIM 0
#define ABANDON 1
#define RELEASE 2
#define OUTCOME 3

mtype:append_answer = { LANDED, REFUSED, UNKNOWN };

/* The stream: the kind of each record and its claim. */
byte kinds[MAX_RECORDS];
byte claim_of[MAX_RECORDS];
byte next_offset = 0;
byte faults = 0;
byte crashes = 0;

/* Records before aged_offset are older than the window; the oldest kept. */
byte aged_offset = NONE;
byte oldest_offset = 0;

/* Delayed appends: for each claim a set of record kinds. */
byte late[CLAIM_IDS];
#define is_late(kind, id) ((late[id] >> (kind)) & 1)

/* What the target and the caller have received, and the attempts. */
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
    next_offset++
}

/* One call to the log; `answer` is the result as the instance knows it. */
inline append(a_kind, a_claim) {
    if
    :: d_step { true -> land(a_kind, a_claim); answer = LANDED }
    :: d_step { faults < FAULTS -> faults++; answer = REFUSED }
    :: d_step {
           faults < FAULTS ->
           faults++;
           land(a_kind, a_claim);
           answer = UNKNOWN
       }
    :: d_step {
           faults < FAULTS && !is_late(a_kind, a_claim) ->
           faults++;
           late[a_claim] = late[a_claim] | (1 << a_kind);
           answer = UNKNOWN
       }
    fi
}

/* Repeats an append until the log confirms it; its record allows that. */
inline append_until_landed(a_kind, a_claim) {
    do
    :: answer != LANDED -> append(a_kind, a_claim)
    :: answer == LANDED -> break
    od
}

/*
 * The fold. `owner` is the claim that holds the key, `dead` the set of claims
 * that can no longer hold it, `stored` the claim whose outcome the log has.
 */
#define is_dead(id) ((dead >> (id)) & 1)
#define kill(id) dead = dead | (1 << (id))

inline fold_claim(id) {
    if
    :: owner == NONE && !is_dead(id) -> owner = id
    :: owner != NONE && owner != id ->
#ifdef MUTANT_PROMOTE_LOSER
        waiting = id
#else
        kill(id)
#endif
    :: else
    fi
}

inline fold_release(id) {
    if
    :: owner == id && stored == NONE ->
        kill(id);
        owner = NONE;
#ifdef MUTANT_PROMOTE_LOSER
        owner = waiting;
        waiting = NONE
#endif
    :: else
    fi
}

inline fold_record(id) {
    if
    :: kinds[pos] == CLAIM -> fold_claim(id)
    :: kinds[pos] == ABANDON && owner != id -> kill(id)
    :: kinds[pos] == RELEASE -> fold_release(id)
    :: kinds[pos] == OUTCOME && owner == id && stored == NONE -> stored = id
    :: else
    fi
}

/* Drops the records older than the window and marks them as missing. */
inline expire() {
    if
    :: pos == aged_offset && pos > 0 ->
        owner = NONE;
        dead = 0;
        stored = NONE;
        lose_coverage()
    :: else
    fi
}

inline lose_coverage() {
#ifndef MUTANT_NO_COVERAGE
    covered = false
#else
    skip
#endif
}

/* Reads to the end; a reader behind the oldest record restarts there. */
inline read_log() {
    d_step {
        if
        :: pos < oldest_offset ->
            pos = oldest_offset;
            owner = NONE;
            dead = 0;
            stored = NONE;
            lose_coverage()
        :: else
        fi;
        do
        :: pos < next_offset ->
            expire();
            fold_record(claim_of[pos]);
            pos++
        :: else -> break
        od;
        skip
    }
}

/* "Not run" reaches the caller only while it waits for this attempt. */
inline tell_not_run() {
    d_step {
        if
        :: current == me ->
            assert(first_dispatch == NONE);
            believes_not_run = true
        :: else
        fi;
        told = true
    }
}

/* Refuses; only the first attempt may say "not run" of the whole key. */
inline refuse() {
    if
    :: me == 0 -> tell_not_run()
    :: me != 0 -> told = true
    fi
}

inline dispatch() {
    d_step {
        assert(first_dispatch == NONE);
        assert(!believes_not_run);
        first_dispatch = me
    }
}

#define knows_owner (owner != NONE && owner != my_claim)

proctype Attempt(byte me) {
    mtype:append_answer answer = REFUSED;
    bool told = false;
    byte my_claim = me;
    byte pos = 0;
    byte owner = NONE;
    byte dead = 0;
    byte stored = NONE;
    bool covered = true;
#ifdef MUTANT_PROMOTE_LOSER
    byte waiting = NONE;
#endif
#ifdef MUTANT_RELEASE_BY_TIME
    byte before = NONE;
#endif

    {
        /* Arrival: an up-to-date reader, one that just started, or no log. */
        if
        :: read_log()
        :: refuse(); goto finished
        fi;
#ifdef MUTANT_FIRST_IS_NEW
        if
        :: me == 0 && owner == NONE -> covered = true
        :: else
        fi;
#endif
#ifdef MUTANT_DISPATCH_AFTER_CRASH
        if
        :: owner != NONE && stored == NONE && crashed[owner] ->
            my_claim = owner;
            goto permitted
        :: else
        fi;
#endif
#ifdef MUTANT_RELEASE_BY_TIME
        if
        :: owner != NONE && stored == NONE ->
            before = owner;
            append(RELEASE, before);
            read_log()
        :: else
        fi;
#endif
        if
        :: stored != NONE -> goto replay
        :: stored == NONE && (!covered || owner != NONE) -> goto finished
        :: stored == NONE && covered && owner == NONE
        fi;

        append(CLAIM, my_claim);
        if
        :: answer == REFUSED -> refuse(); goto finished
#ifdef MUTANT_DISPATCH_ON_ANSWER
        :: answer == LANDED -> goto permitted
#endif
#ifdef MUTANT_RESEND_CLAIM
        :: answer == UNKNOWN ->
            my_claim = me + ATTEMPTS;
            append(CLAIM, my_claim)
#endif
        :: else
        fi;

        /* The log decides within the deadline, which may end at any time. */
decide:
        if
        :: pos < next_offset ->
            read_log();
            if
            :: owner == my_claim && covered -> goto permitted
            :: owner == my_claim && !covered -> goto give_up
            :: stored != NONE -> goto replay
            :: stored == NONE && is_dead(my_claim) -> goto lost
            :: else -> goto decide
            fi
        :: goto give_up
        :: answer == UNKNOWN ->
            append(ABANDON, my_claim);
            answer = LANDED;
            goto decide
        fi;

lost:
        if
        :: owner != NONE -> goto finished
#ifdef MUTANT_ATTEMPT_AS_KEY
        :: owner == NONE && covered -> tell_not_run()
#endif
        :: owner == NONE -> refuse()
        fi;
        goto finished;

replay:
        assert(first_dispatch == stored);
        goto finished;

permitted:
        if
        :: dispatch()
        :: goto give_up
        fi;
#ifdef MUTANT_RESEND_DISPATCH
        /* The target's answer is lost. */
        if
        :: dispatch()
        :: true
        fi;
#endif
        answer = REFUSED;
        append_until_landed(OUTCOME, my_claim);
        goto finished;

        /*
         * From here on this process has no permit. The caller is answered at
         * once; abandon and release are repeated until the log has them.
         */
give_up:
#ifdef MUTANT_RELEASE_AS_KEY
        if
        :: owner == my_claim && covered -> tell_not_run()
        :: else -> refuse()
        fi;
#else
        refuse();
#endif
#ifndef MUTANT_NO_ABANDON
        answer = REFUSED;
        append_until_landed(ABANDON, my_claim);
#endif
#ifdef MUTANT_RELEASE_KEEPS_PERMIT
        if
        :: owner == my_claim -> dispatch()
        :: else
        fi;
#endif
#ifndef MUTANT_LOST_RELEASE
        answer = REFUSED;
        append_until_landed(RELEASE, my_claim);
#else
        append(RELEASE, my_claim);
#endif

finished:
        ended[me] = true
    } unless {
        crashed[me] && !ended[me]
    };
    /* Resets the variables of the attempt, so that equal states merge. */
    d_step {
        answer = REFUSED;
        told = false;
        my_claim = me;
        pos = 0;
        owner = NONE;
        dead = 0;
        stored = NONE;
        covered = true
    }
}

/* The caller stops waiting at any moment and tries another instance. */
active proctype Caller() {
    byte attempt = 0;
    do
    :: attempt < ATTEMPTS ->
        atomic {
            /* It retries with the same key, so it ignores a "not run". */
            believes_not_run = false;
            current = attempt;
            started[attempt] = true;
            run Attempt(attempt);
            attempt++
        }
    :: break
    od
}

/* Delayed appends, the end of the window and retention. */
#define LAND(kind, id) \
    :: is_late(kind, id) -> \
        d_step { late[id] = late[id] & ~(1 << kind); land(kind, id) } \
    :: is_late(kind, id) -> late[id] = late[id] & ~(1 << kind)

#define LAND_ALL(id) \
    LAND(CLAIM, id) LAND(ABANDON, id) LAND(RELEASE, id) LAND(OUTCOME, id)

active proctype Log() {
end:
    do
    LAND_ALL(0)
    LAND_ALL(1)
#if CLAIM_IDS > 2
    LAND_ALL(2)
#endif
#if CLAIM_IDS > 3
    LAND_ALL(3)
#endif
#ifdef AGEING
    :: aged_offset == NONE && next_offset > 0 -> aged_offset = next_offset
    :: aged_offset != NONE && oldest_offset < aged_offset -> oldest_offset++
#endif
    od
}

#define CRASH(id) \
    :: crashes < CRASHES && started[id] && !ended[id] && !crashed[id] -> \
        d_step { crashes++; crashed[id] = true }

#if CRASHES > 0
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
#endif

/* Once all attempts have ended and no append is late, none holds the key. */
#define settled(id) (!started[id] || ended[id] || crashed[id])

#ifndef LIVENESS
hidden byte pos;
hidden byte owner;
hidden byte dead;
hidden byte stored;
hidden byte waiting;

active proctype Orphans() {
end:
    do
    :: d_step {
           started[0] && settled(0) && settled(1) && late[0] == 0 &&
           late[1] == 0 &&
#if ATTEMPTS > 2
           settled(2) &&
#endif
#if CLAIM_IDS > 2
           late[2] == 0 &&
#endif
#if CLAIM_IDS > 3
           late[3] == 0 &&
#endif
           oldest_offset == 0 ->
           pos = 0;
           owner = NONE;
           dead = 0;
           stored = NONE;
           waiting = NONE;
           do
           :: pos < next_offset -> fold_record(claim_of[pos]); pos++
           :: else -> break
           od;
           assert(owner == NONE || stored != NONE || aged_offset != NONE ||
                  crashed[owner % ATTEMPTS])
       }
    od
}
#endif

#ifdef LIVENESS
/* One step is always possible, so that every run is infinite. */
active proctype Time() {
    bool tick;
    do
    :: tick = !tick
    od
}
#endif

#define ended_0 (ended[0] || crashed[0])
#define ended_1 (ended[1] || crashed[1])
ltl attempts_end {
    [](started[0] -> <>ended_0) && [](started[1] -> <>ended_1)
}
