/*
 * One shard that changes hands between three hosts by takeover and by planned handover, also back to
 * a host that had it before and does not know yet that its journal was sealed.
 *
 * The shard object holds epoch, owner and the ranges of journals in the order of replay. A record
 * is its position in the shard's history; an owner writes the next after what it has replayed and
 * written. A host has one batch under way; its answer may be lost, and is settled by reading back.
 *
 * Properties: whoever claims the shard replays the positions 1, 2, 3, ... without a gap or a
 * repetition, and everything that was reported durable is among them. Code:
 * basilhall/ownership/claimer.h, shard_states.h.
 *
 * Mutants: NO_OUT RELEASE_EARLY NO_SEAL NO_UPDATE_CONDITION RANGE_NOT_CLOSED
 */
#define HOSTS 3
#define SLOTS 4 /* batch numbers from 1; the last slot only ever takes a seal */
#define EPOCHS 5
#define NOBODY 7
#define EMPTY 0
#define SEAL 100

/* Batches by host and number: the position of the record, or the seal. */
byte slot[HOSTS * SLOTS];
#define SLOT(h, n) slot[(h) * SLOTS + (n)]

/* The shard object. */
byte epoch;
byte owner = NOBODY;
byte ranges;
byte rangeHost[EPOCHS];
byte rangeFirst[EPOCHS];
byte rangeLast[EPOCHS]; /* 0 while open */

/* Positions reported durable to callers. */
byte reported;

inline closeRange(last)
{
    if
    :: ranges > 0 && rangeLast[ranges - 1] == 0 ->
#ifndef RANGE_NOT_CLOSED
        if
        :: last < rangeFirst[ranges - 1] ->
            ranges--;
            rangeHost[ranges] = 0;
            rangeFirst[ranges] = 0
        :: else -> rangeLast[ranges - 1] = last
        fi
#else
        rangeLast[ranges - 1] = rangeFirst[ranges - 1]
#endif
    :: else
    fi
}

/* Reads all closed ranges and leaves the length of the history in `length`. */
inline replay()
{
    length = 0;
    r = 0;
    do
    :: r < ranges ->
        n = rangeFirst[r];
        do
        :: n <= rangeLast[r] ->
            if
            :: SLOT(rangeHost[r], n) == EMPTY || SLOT(rangeHost[r], n) == SEAL
            :: else ->
                length++;
                assert(SLOT(rangeHost[r], n) == length)
            fi;
            n++
        :: else -> break
        od;
        r++
    :: else -> break
    od;
    assert(length >= reported);
    r = 0;
    n = 0
}

inline claim(last)
{
    closeRange(last);
    replay();
    epoch++;
    owner = me;
    rangeHost[ranges] = me;
    rangeFirst[ranges] = durable + 1;
    rangeLast[ranges] = 0;
    ranges++;
    owned = epoch
}

inline settle()
{
    if
    :: SLOT(me, durable + 1) == SEAL -> isOut = true; owned = 0
    :: else ->
        durable++;
        if
        :: SLOT(me, durable) > reported -> reported = SLOT(me, durable)
        :: else
        fi
    fi;
    underWay = false
}

proctype Host(byte me)
{
    byte durable;   /* last batch known to be durable */
    bool underWay;  /* a batch is created and its answer not known */
    byte owned;     /* epoch under which the shard is owned, or 0 */
    byte length;    /* of the history as the owner knows it */
    bool isOut;
    byte seenEpoch;
    byte seenOwner;
    byte seenRanges;
    byte seenFirst;
    byte sealedLast;
    byte n;
    byte r;
end:
    do
    /* Writes the next record; the answer comes later. */
    :: atomic {
        (owned > 0 && !underWay && durable + 1 < SLOTS - 1) ->
        length++;
        if
        :: SLOT(me, durable + 1) == EMPTY -> SLOT(me, durable + 1) = length
        :: else
        fi;
        underWay = true
       }
    :: atomic { underWay -> settle() }
    /* Sees that another has taken the shard. */
    :: atomic {
        (owned > 0 && epoch > owned) ->
        owned = 0;
#ifndef NO_OUT
        isOut = true
#endif
       }
    /* Hands the shard over. */
    :: atomic {
#ifdef RELEASE_EARLY
        (owned > 0 && epoch < EPOCHS) ->
#else
        (owned > 0 && !underWay && epoch < EPOCHS) ->
#endif
        if
        :: epoch == owned -> closeRange(durable); epoch++; owner = NOBODY
        :: else -> isOut = true
        fi;
        owned = 0
       }
    /* Claims the shard that nobody owns. */
    :: atomic { (owned == 0 && !isOut && owner == NOBODY && epoch < EPOCHS && ranges < EPOCHS) ->
        claim(0) }
    /* Seals the other's journal, and claims by the state seen before. */
    :: atomic { (owned == 0 && !isOut && owner != NOBODY && owner != me && epoch < EPOCHS) ->
        seenEpoch = epoch;
        seenOwner = owner;
        seenRanges = ranges;
        seenFirst = rangeFirst[ranges - 1];
        n = seenFirst };
        atomic {
            do
            :: SLOT(seenOwner, n) != EMPTY && SLOT(seenOwner, n) != SEAL -> n++
            :: else -> break
            od;
#ifndef NO_SEAL
            SLOT(seenOwner, n) = SEAL;
#endif
            sealedLast = n - 1;
            n = 0
        };
        atomic {
            if
#ifndef NO_UPDATE_CONDITION
            :: epoch != seenEpoch
            :: (epoch == seenEpoch && ranges < EPOCHS) -> claim(sealedLast)
            :: (epoch == seenEpoch && ranges >= EPOCHS)
#else
            /* Writes what follows from the state seen before over whatever stands there. */
            :: true ->
                ranges = seenRanges;
                rangeHost[ranges - 1] = seenOwner;
                rangeFirst[ranges - 1] = seenFirst;
                rangeLast[ranges - 1] = 0;
                epoch = seenEpoch;
                if
                :: ranges < EPOCHS -> claim(sealedLast)
                :: else
                fi
#endif
            fi;
            seenEpoch = 0;
            seenOwner = 0;
            seenRanges = 0;
            seenFirst = 0;
            sealedLast = 0
        }
    od
}

init
{
    atomic {
        run Host(0);
        run Host(1);
        run Host(2)
    }
}
