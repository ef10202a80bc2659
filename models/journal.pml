/*
 * The journal of one owner, with a seal, and two successors that race for its shard.
 *
 * The owner creates batches 1, 2, ... by conditional create. Answers get lost; a request whose
 * answer was lost may still take effect later. The owner may pause anywhere. A successor looks for
 * the end, creates the seal there, and claims the shard by conditional update.
 *
 * Properties: a batch reported durable is seen by the successor that claims; the batches that it
 * sees have no gap; at most one successor owns the shard. Code: basilhall/journal/writer.h,
 * sealer.h, basilhall/ownership/claimer.h, shard_update.h.
 *
 * Mutants: NO_SEAL NO_CREATE_CONDITION NO_READ_BACK LOST_IS_DONE TWO_OUTSTANDING NO_UPDATE_CONDITION CLAIM_BEFORE_SEAL
 */
#define BATCHES 3
#define SLOTS 6
#define EMPTY 0
#define OWN 1
#define SEAL 2

byte slot[SLOTS];
bool durable[SLOTS];
/* A create of the owner that was answered as lost and may still arrive. */
bool late[SLOTS];

/* The shard object: version, and where the records of the dead owner end. */
byte version = 1;
byte owners;
bool claimed;
byte last;

inline reportDurable(number)
{
    durable[number] = true;
    assert(!claimed || number <= last)
}

inline applyCreate(number, content, created)
{
    if
#ifdef NO_CREATE_CONDITION
    :: true -> slot[number] = content; created = true
#else
    :: slot[number] == EMPTY -> slot[number] = content; created = true
    :: else -> created = false
#endif
    fi
}

proctype Writer(byte first; byte stride)
{
    byte number = first;
    bool created;

    do
    :: number > BATCHES -> break
    :: number <= BATCHES ->
retry:
        if
        /* The request arrives and its answer comes back. */
        :: atomic {
            true;
            applyCreate(number, OWN, created);
            if
            :: created -> reportDurable(number); number = number + stride
            :: else -> goto conflict
            fi
           }
        /* It arrives and the answer is lost. */
        :: atomic { true; applyCreate(number, OWN, created); goto lost }
        /* The answer is lost and it arrives later, or never. */
        :: atomic { late[number] = true; goto lost }
        fi
    od;
    goto end;

lost:
#ifdef LOST_IS_DONE
    atomic { reportDurable(number); number = number + stride };
    if
    :: number > BATCHES -> goto end
    :: else -> goto retry
    fi;
#endif
    goto retry;

conflict:
    atomic {
        if
#ifdef NO_READ_BACK
        :: true -> reportDurable(number); number = number + stride
#else
        :: slot[number] == OWN -> reportDurable(number); number = number + stride
        :: else -> goto end
#endif
        fi;
        if
        :: number > BATCHES -> goto end
        :: else -> goto retry
        fi
    };
end:
    skip
}

inline arrive(number)
{
    late[number] = false;
    if
    :: true -> applyCreate(number, OWN, created)
    :: skip
    fi;
    created = false
}

proctype Network()
{
    bool created;
end:
    do
    :: atomic { late[1] -> arrive(1) }
    :: atomic { late[2] -> arrive(2) }
    :: atomic { late[3] -> arrive(3) }
    od
}

proctype Successor()
{
    byte number = 1;
    byte seen = version;
    bool created;

#ifdef CLAIM_BEFORE_SEAL
    do
    :: slot[number] == OWN -> number++
    :: else -> break
    od;
    goto claim;
#endif
seek:
    do
    :: atomic { slot[number] == OWN -> number++ }
    :: atomic { slot[number] == SEAL -> goto claim }
    :: atomic { slot[number] == EMPTY -> break }
    od;
#ifndef NO_SEAL
    if
    :: atomic {
        true;
        applyCreate(number, SEAL, created);
        if
        :: created
        :: else -> goto seek
        fi
       }
    /* The answer is lost after or before the effect: look again. */
    :: atomic { true; applyCreate(number, SEAL, created); goto seek }
    :: goto seek
    fi;
#endif

claim:
    atomic {
        if
#ifndef NO_UPDATE_CONDITION
        :: version != seen
        :: version == seen ->
#else
        :: true ->
#endif
            version++;
            owners++;
            assert(owners <= 1);
            claimed = true;
            last = number - 1;
            number = 1;
            do
            :: number < SLOTS ->
                assert(!durable[number] || number <= last);
                assert(number > last || slot[number] == OWN);
                number++
            :: number == SLOTS -> break
            od
        fi
    }
}

init
{
    atomic {
#ifdef TWO_OUTSTANDING
        run Writer(1, 2);
        run Writer(2, 2);
#else
        run Writer(1, 1);
#endif
        run Network();
        run Successor();
        run Successor()
    }
}
