/*
 * The fold of the catalogue over the log.
 *
 * Operators append changes of entries 0 and 1, each based on the revision
 * that was in force at some instance. An append is stored at once, later or
 * never, and its answer may be lost; it is sent only once. Readers fold the
 * stream at their own pace, fetch the state of a peer, write snapshots in two
 * chunks, one for each entry, and load complete snapshots. Retention
 * truncates the stream at any time, with RETENTION_WAITS only up to a
 * complete snapshot. The log becomes unavailable and available again.
 *
 * A revision is the offset of the accepted change plus one; 0 stands for an
 * entry that was never set. The revision also represents the state of an
 * entry, because each offset holds exactly one change.
 *
 * Safety, as assertions:
 *  - readers at the same offset have the same state, however they reached it;
 *  - the offset in force at a reader never decreases;
 *  - of the changes based on one revision of an entry exactly one is
 *    accepted, and a change has one verdict.
 * Liveness, as a formula: all readers reach the end of the stream.
 */

#ifndef OPERATORS
#define OPERATORS 3
#endif
#ifndef READERS
#define READERS 3
#endif
#define MAX_RECORDS 5
#define UNSEEN 15

/* The stream of changes. */
byte entry_of[MAX_RECORDS];
byte base_of[MAX_RECORDS];
byte change_of[MAX_RECORDS];
byte next_offset = 0;
byte oldest_offset = 0;
bool up = true;

/* One snapshot for each writer: chunks with the offset that they cover. */
byte chunk_offset[4];
byte chunk_state[4];
bool chunk_written[4];
#define chunk(writer, entry) (2 * (writer) + (entry))

#ifdef MUTANT_TORN_SNAPSHOT
#define is_whole(writer) (chunk_written[chunk(writer, 0)] && \
    (chunk_written[chunk(0, 1)] || chunk_written[chunk(1, 1)]))
#else
#define is_whole(writer) (chunk_written[chunk(writer, 0)] && \
    chunk_written[chunk(writer, 1)])
#endif

/* The readers: offset in force (the next to fold) and state. */
byte offset[READERS];
byte revision_0[READERS];
byte revision_1[READERS];
bool cut_off[READERS];

/* The state that some reader had at an offset, and all verdicts. */
byte seen_0[MAX_RECORDS];
byte seen_1[MAX_RECORDS];
bool was_seen[MAX_RECORDS];
bool accepted[OPERATORS];
bool rejected[OPERATORS];

inline land(change, entry, base) {
    assert(next_offset < MAX_RECORDS);
    entry_of[next_offset] = entry;
    base_of[next_offset] = base;
    change_of[next_offset] = change;
    next_offset++
}

/* All readers that reach an offset must have the same state there. */
inline compare(reader) {
    if
    :: was_seen[offset[reader]] ->
        assert(seen_0[offset[reader]] == revision_0[reader]);
        assert(seen_1[offset[reader]] == revision_1[reader])
    :: else ->
        was_seen[offset[reader]] = true;
        seen_0[offset[reader]] = revision_0[reader];
        seen_1[offset[reader]] = revision_1[reader]
    fi
}

#ifdef MUTANT_NO_BASE_REVISION
#define is_current(reader, at) true
#else
#define is_current(reader, at) \
    (base_of[at] == (entry_of[at] == 0 -> revision_0[reader] : \
                                          revision_1[reader]))
#endif

/* Two changes based on one revision of an entry are not both accepted. */
inline check_race(at) {
    other = 0;
    do
    :: other < at ->
        assert(!(accepted[change_of[other]] && accepted[change_of[at]] &&
                 change_of[other] != change_of[at] &&
                 entry_of[other] == entry_of[at] &&
                 base_of[other] == base_of[at]));
        other++
    :: else -> break
    od
}

hidden byte other;

inline fold(reader, at) {
    if
    :: is_current(reader, at) ->
        accepted[change_of[at]] = true;
        if
        :: entry_of[at] == 0 -> revision_0[reader] = at + 1
        :: else -> revision_1[reader] = at + 1
        fi
    :: else ->
        rejected[change_of[at]] = true;
        /* Only an accepted change that came first may cause a rejection. */
        assert(base_of[at] < (entry_of[at] == 0 -> revision_0[reader] :
                                                   revision_1[reader]))
    fi;
    assert(!(accepted[change_of[at]] && rejected[change_of[at]]));
    check_race(at)
}

#ifdef MUTANT_LOWER_OFFSET
#define is_higher(one, two) ((one) != (two))
#else
#define is_higher(one, two) ((one) > (two))
#endif

inline load_snapshot(reader, writer) {
    if
    :: chunk_offset[chunk(writer, 0)] < offset[reader] -> fell = true
    :: else
    fi;
    offset[reader] = chunk_offset[chunk(writer, 0)];
    revision_0[reader] = chunk_state[chunk(writer, 0)];
#ifdef MUTANT_TORN_SNAPSHOT
    revision_1[reader] = (chunk_written[chunk(1 - writer, 1)] ->
        chunk_state[chunk(1 - writer, 1)] : chunk_state[chunk(writer, 1)]);
#else
    revision_1[reader] = chunk_state[chunk(writer, 1)];
#endif
    assert(!fell);
    compare(reader)
}

inline pull(reader, peer) {
    if
    :: offset[peer] < offset[reader] -> fell = true
    :: else
    fi;
    offset[reader] = offset[peer];
    revision_0[reader] = revision_0[peer];
    revision_1[reader] = revision_1[peer];
    assert(!fell);
    compare(reader)
}

hidden byte fell;

/* A reader of the stream; the last one starts late, without state. */
active [READERS] proctype Reader() {
    byte me = _pid;
end:
    do
    :: d_step {
           up && offset[me] >= oldest_offset && offset[me] < next_offset ->
           fold(me, offset[me]);
           offset[me]++;
           compare(me)
       }
#ifdef MUTANT_SKIP_GAP
    :: d_step {
           up && offset[me] < oldest_offset ->
           offset[me] = oldest_offset;
           compare(me)
       }
#endif
    :: d_step {
           up && is_whole(0) &&
           is_higher(chunk_offset[chunk(0, 0)], offset[me]) ->
           load_snapshot(me, 0)
       }
    :: d_step {
           up && is_whole(1) &&
           is_higher(chunk_offset[chunk(1, 0)], offset[me]) ->
           load_snapshot(me, 1)
       }
    :: d_step {
           is_higher(offset[(me + 1) % READERS], offset[me]) ->
           pull(me, (me + 1) % READERS)
       }
    od
}

/* Readers 0 and 1 write a snapshot of their state at one point in time. */
active [2] proctype Writer() {
    byte me = _pid - READERS;
    byte covers;
    byte state_0;
    byte state_1;
end:
    d_step {
        offset[me] > 0 ->
        covers = offset[me];
        state_0 = revision_0[me];
        state_1 = revision_1[me]
    };
    d_step {
        up ->
#ifdef MUTANT_WRONG_PREFIX
        covers = offset[me];
#endif
        chunk_offset[chunk(me, 0)] = covers;
        chunk_state[chunk(me, 0)] = state_0;
        chunk_written[chunk(me, 0)] = true
    };
    if
    :: d_step {
           up ->
#ifdef MUTANT_SNAPSHOT_MOVES
           state_1 = revision_1[me];
#endif
           chunk_offset[chunk(me, 1)] = covers;
           chunk_state[chunk(me, 1)] = state_1;
           chunk_written[chunk(me, 1)] = true;
           covers = 0;
           state_0 = 0;
           state_1 = 0
       }
    :: true /* It crashes between the chunks. */
    fi
}

/* An operator changes an entry based on its revision at an instance. */
active [OPERATORS] proctype Operator() {
    byte me = _pid - READERS - 2;
    byte entry = 0;
    byte base = 0;
    if
    :: me == OPERATORS - 1 -> entry = 1
    :: entry = 0
    fi;
    if
    :: d_step { true -> base = (entry == 0 -> revision_0[0] : revision_1[0]) }
    :: d_step { true -> base = (entry == 0 -> revision_0[1] : revision_1[1]) }
    fi;
    /* The append is late, or its answer is lost, or it is never stored. */
    if
    :: d_step { up -> land(me, entry, base) }
#ifdef MUTANT_RESEND_CHANGE
    :: d_step { up && me == 0 -> land(me, entry, base) };
       d_step { up -> land(me, entry, base) }
#endif
    :: true
    fi
}

#ifdef RETENTION_WAITS
#define is_behind(writer) (is_whole(writer) && \
    oldest_offset < chunk_offset[chunk(writer, 0)])
#define may_cut (is_behind(0) || is_behind(1))
#else
#define may_cut true
#endif

active proctype Log() {
    byte outages = 0;
end:
    do
    :: outages < 1 -> outages++; up = false; up = true
    :: d_step {
           oldest_offset < next_offset && may_cut -> oldest_offset++
       }
    od
}

#ifdef LIVENESS
/* One step is always possible, so that every run is infinite. */
active proctype Time() {
    bool tick;
    do
    :: tick = !tick
    od
}
#endif

#define at_end(reader) (offset[reader] == next_offset)
#if READERS > 2
#define all_at_end (at_end(0) && at_end(1) && at_end(2))
#else
#define all_at_end (at_end(0) && at_end(1))
#endif
ltl followers_catch_up { <>[]all_at_end }
