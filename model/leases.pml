/*
 * Leases for orders to engines.
 *
 * An instance that wants to send orders appends a lease; the offset of the
 * lease is its fencing number. Any instance may do so at any time: it judges
 * by its clock and its own view that the holder has failed, and both may be
 * wrong. A holder sends orders according to its own view of the catalogue and
 * stops when it reads a newer lease. It may be paused between any two steps,
 * and an order may reach its engine long after the sender has stopped
 * waiting for it.
 *
 * The checking engine refuses an order with a lower fencing number than the
 * highest that it has received. The ignoring engine executes any order.
 * Orders are declarative: they name the version to be loaded. A holder reads
 * the engine's state back and corrects it.
 *
 * Safety, as assertions: the checking engine never executes an order of an
 * older lease after one of a newer lease, nor orders of two holders with one
 * fencing number; a loaded version is one that the catalogue has named.
 * Liveness, as a formula: eventually both engines keep the wanted version.
 */

#define HOLDERS 2
#ifndef LEASES
#define LEASES 3
#endif
#define LAST_VERSION 2
#define NOBODY 15
#define CHECKING 0
#define IGNORING 1

/* The catalogue's wanted version, and the log of leases. */
byte wanted = 1;
byte holder_of[LEASES];
byte leases = 0;

/* The engines. */
byte loaded[2];
byte highest_fence = 0;
byte fence_holder = NOBODY;

/* At most one order of each holder to each engine is in transit. */
#define slot(holder, engine) (2 * (holder) + (engine))
bool on_its_way[4];
byte order_fence[4];
byte order_version[4];

#define is_newest(holder) (leases > 0 && holder_of[leases - 1] == holder)

/* Executes an order at its engine. */
inline carry_out(holder, engine) {
    on_its_way[slot(holder, engine)] = false;
    if
#if !defined(MUTANT_WALL_CLOCK) && !defined(MUTANT_ENGINE_TRUSTS)
    :: engine == CHECKING &&
       order_fence[slot(holder, engine)] < highest_fence -> skip
#endif
    :: else ->
        if
        :: engine == CHECKING ->
            assert(order_fence[slot(holder, engine)] >= highest_fence);
            assert(order_fence[slot(holder, engine)] != highest_fence ||
                   fence_holder == NOBODY || fence_holder == holder);
            highest_fence = order_fence[slot(holder, engine)];
            fence_holder = holder
        :: else
        fi;
#ifdef MUTANT_RELATIVE_ORDER
        loaded[engine]++;
#else
        loaded[engine] = order_version[slot(holder, engine)];
#endif
        assert(loaded[engine] <= LAST_VERSION)
    fi;
    order_fence[slot(holder, engine)] = 0;
    order_version[slot(holder, engine)] = 0
}

/* The holders: the lease that each assumes to hold, its catalogue. */
byte fence[HOLDERS];
byte version[HOLDERS];

#ifdef MUTANT_WALL_CLOCK
/* A holder checks its clock; it may be paused afterwards. */
bool unexpired[HOLDERS];
#endif

#ifdef MUTANT_NO_READ_BACK
bool ordered[4];
#define needs_order (!ordered[slot(me, engine)])
#else
#define needs_order (loaded[engine] != version[me])
#endif

/* Appends leases, and follows the log of leases and the catalogue. */
proctype Holder(byte me) {
end:
    do
    :: d_step {
           fence[me] == 0 && leases < LEASES ->
           holder_of[leases] = me;
           leases++;
#ifdef MUTANT_LOCAL_FENCE
           fence[me] = 1;
#else
           fence[me] = leases;
#endif
           version[me] = wanted
       }
#ifdef MUTANT_WALL_CLOCK
    :: d_step {
           fence[me] > 0 && is_newest(me) && !unexpired[me] ->
           unexpired[me] = true
       }
#endif
#ifdef MUTANT_STALE_SENDER
    :: d_step {
           is_newest(me) && version[me] != wanted -> version[me] = wanted
       }
#else
    :: d_step {
           fence[me] > 0 && !is_newest(me) ->
           fence[me] = 0;
           version[me] = 0
       }
    :: d_step {
           fence[me] > 0 && version[me] != wanted -> version[me] = wanted
       }
#endif
    od
}

/* Reads an engine's state and sends an order if it is not as wanted. */
proctype Sender(byte me; byte engine) {
end:
    do
    :: d_step {
           fence[me] > 0 && !on_its_way[slot(me, engine)] &&
#ifdef MUTANT_WALL_CLOCK
           unexpired[me] &&
#endif
           needs_order ->
           on_its_way[slot(me, engine)] = true;
           order_fence[slot(me, engine)] = fence[me];
           order_version[slot(me, engine)] = version[me];
#ifdef MUTANT_NO_READ_BACK
           ordered[slot(me, engine)] = true
#endif
       }
    od
}

/* Delivers orders to an engine at any time, or loses one. */
proctype Carrier(byte holder; byte engine) {
    byte lost = 0;
end:
    do
    :: d_step {
           on_its_way[slot(holder, engine)] -> carry_out(holder, engine)
       }
    :: d_step {
           on_its_way[slot(holder, engine)] && holder == 1 && lost < 1 ->
           lost++;
           on_its_way[slot(holder, engine)] = false;
           order_fence[slot(holder, engine)] = 0;
           order_version[slot(holder, engine)] = 0
       }
    od
}

init {
    byte holder = 0;
    atomic {
        do
        :: holder < HOLDERS ->
            run Holder(holder);
            run Sender(holder, CHECKING);
            run Sender(holder, IGNORING);
            run Carrier(holder, CHECKING);
            run Carrier(holder, IGNORING);
            holder++
        :: else -> break
        od
    }
}

active proctype Catalogue() {
    wanted = LAST_VERSION
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

#define is_wanted(engine) (loaded[engine] == LAST_VERSION)
ltl engines_converge { <>[](is_wanted(CHECKING) && is_wanted(IGNORING)) }
