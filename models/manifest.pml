/*
 * Publishing, relaying and putting in force of manifest generations.
 *
 * Two operators publish by conditional update of the root. Processes read the root while the API
 * is reachable, and hand what they have in force to each other. They restart and forget. Messages
 * are delayed and repeated, so that old generations arrive late.
 *
 * Properties: what a process has in force never falls, a restart between included; of two racing
 * operators one wins, the other is told; a generation has one content. Code: basilhall/manifest.
 *
 * PEERS_SUFFICE is the rule that a restarted process may take its first manifest from peers while
 * the API is away: the one process that had the newest generation may be the one that restarted.
 *
 * Mutants: NO_CONDITION NOT_MONOTONE PEERS_SUFFICE NO_API_AT_START
 */
#define PROCESSES 2
#define GENERATIONS 3

/* The root object, and which operator made each generation. */
byte rootGeneration = 1;
byte madeBy[GENERATIONS + 1];
bool apiUp = true;

byte inForce[PROCESSES];
/* What each process had in force in any of its lives. */
byte highest[PROCESSES];
/* Offers that may arrive at any time: to each process, of each generation. */
bool offered[PROCESSES * (GENERATIONS + 1)];

/* Whether a process may put the offer of a peer in force: not before it has asked the API. */
#if defined(NO_API_AT_START)
#define MAY_TAKE_OFFER(p) true
#elif defined(PEERS_SUFFICE)
#define MAY_TAKE_OFFER(p) (inForce[p] > 0 || !apiUp)
#else
#define MAY_TAKE_OFFER(p) (inForce[p] > 0)
#endif

#define OFFER(p, g) offered[(p) * (GENERATIONS + 1) + (g)]

inline putInForce(p, generation)
{
    if
#ifdef NOT_MONOTONE
    :: generation > 0 ->
#else
    :: generation > inForce[p] ->
#endif
        assert(generation >= highest[p]);
        inForce[p] = generation;
        highest[p] = generation;
        OFFER(1 - p, generation) = true
    :: else
    fi
}

proctype Operator(byte me)
{
    byte from;

    atomic { apiUp -> from = rootGeneration };
    atomic {
        if
        :: !apiUp || from == GENERATIONS
#ifdef NO_CONDITION
        :: apiUp && from < GENERATIONS ->
#else
        :: apiUp && from < GENERATIONS && rootGeneration != from
        :: apiUp && from < GENERATIONS && rootGeneration == from ->
#endif
            rootGeneration = from + 1;
            assert(madeBy[rootGeneration] == 0);
            madeBy[rootGeneration] = me
        fi
    }
}

proctype Process(byte me)
{
    byte generation;
end:
    do
    /* Reads the root, which takes a while. */
    :: atomic { apiUp -> generation = rootGeneration };
        atomic { putInForce(me, generation); generation = 0 }
    /* An offer arrives, maybe not for the first time. */
    :: atomic {
        generation = 1;
        do
        :: generation < GENERATIONS -> generation++
        :: break
        od;
        if
        :: OFFER(me, generation) && MAY_TAKE_OFFER(me) -> putInForce(me, generation)
        :: else
        fi;
        generation = 0
       }
    /* Dies and starts again. */
    :: atomic { inForce[me] > 0 -> inForce[me] = 0 }
    od
}

proctype Outage()
{
end:
    do
    :: apiUp = false
    :: apiUp = true
    od
}

init
{
    atomic {
        run Operator(1);
        run Operator(2);
        run Process(0);
        run Process(1);
        run Outage()
    }
}
