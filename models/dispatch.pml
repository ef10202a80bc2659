/*
 * One non-idempotent call: owner, successor, and an agent that restarts.
 *
 * The owner journals its intent, which names the agent's incarnation, and dispatches only then.
 * The network repeats and delays a dispatch for as long as it likes. The successor seals the
 * journal; if it finds an intent without an outcome it asks that incarnation what became of the
 * call. An agent that has not seen it refuses it for as long as it lives.
 *
 * Properties: the call runs at most once; a caller who is told "not run" is told the truth for
 * ever. Code: basilhall/journal, basilhall/program, basilhall/dispatch.
 *
 * Mutants: NO_INTENT NO_SEAL NO_INCARNATION NO_MEMORY NO_REFUSAL REPEAT_UNKNOWN UNKNOWN_IS_NOT_RUN
 */
#define INCARNATIONS 3
#define NONE 9

/* The owner's journal. */
bool journalSealed;
byte intentOf = NONE;
bool outcomeDurable;

/* Dispatches that may be delivered at any time and any number of times, by the incarnation named. */
bool sent[INCARNATIONS];

/* The agent: all but the endpoint's effects is forgotten at a restart. */
byte incarnation;
bool hasRun;
bool isRefused;

/* What happened outside. */
byte executions;
bool toldNotRun;

proctype Network()
{
    byte named;
end:
    do
    :: atomic {
        if
        :: sent[0] -> named = 0
        :: sent[1] -> named = 1
        :: sent[2] -> named = 2
        fi;
        if
#ifndef NO_INCARNATION
        :: named != incarnation
#endif
        :: isRefused
#ifndef NO_MEMORY
        :: hasRun
#endif
        :: else ->
            hasRun = true;
            if
            :: executions < 2 -> executions++
            :: else
            fi;
            assert(executions <= 1);
            assert(!toldNotRun)
        fi
       }
    od
}

proctype Agent()
{
end:
    do
    :: atomic {
        incarnation < INCARNATIONS - 1 ->
        incarnation++;
        hasRun = false;
        isRefused = false
       }
    od
}

proctype Owner()
{
    byte named = incarnation;

#ifndef NO_INTENT
    if
#ifdef NO_SEAL
    :: atomic { intentOf = named }
#else
    :: atomic { !journalSealed -> intentOf = named }
    :: atomic { journalSealed -> goto end }
#endif
    fi;
#endif
    sent[named] = true;
    /* It may see that the call ran, and make that durable. */
    if
    :: atomic { hasRun && incarnation == named && !journalSealed -> outcomeDurable = true }
    :: skip
    fi;
end:
    skip
}

proctype Successor()
{
    byte named;

    journalSealed = true;
    atomic {
        if
        :: outcomeDurable -> goto end
        :: !outcomeDurable && intentOf == NONE -> goto notRun
        :: else -> named = intentOf
        fi
    };
    /* Asks the incarnation that the intent names; its answer may be lost and asked for again. */
    atomic {
        if
        :: named != incarnation -> goto unknown
        :: named == incarnation && hasRun -> goto end
        :: named == incarnation && !hasRun ->
#ifndef NO_REFUSAL
            isRefused = true;
#endif
            goto notRun
        fi
    };

unknown:
#ifdef REPEAT_UNKNOWN
    atomic { sent[incarnation] = true; goto end };
#endif
#ifdef UNKNOWN_IS_NOT_RUN
    goto notRun;
#endif
    goto end;

notRun:
    /* Either tells the caller, or dispatches under an intent of its own. */
    if
    :: atomic { assert(executions == 0); toldNotRun = true }
    :: atomic {
        if
        :: isRefused && intentOf == incarnation -> goto end
        :: else -> sent[incarnation] = true
        fi
       }
    fi;
end:
    skip
}

init
{
    atomic {
        run Network();
        run Agent();
        run Owner();
        run Successor()
    }
}
