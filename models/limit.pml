/*
 * The rate and burst of one team over two hosts, with grants that expire and a takeover of the
 * limiter.
 *
 * A holder grants only within its lease, which counts from before the renewal was sent. A grant may
 * be used until kValid after its host asked. A successor begins with nothing, kLease + kValid
 * after the write by which it took over; that write makes every later renewal fail. What is granted
 * and may still be used counts against the burst.
 *
 * All times are timers that count down with each tick, so that the run has no end.
 *
 * Property: every use conforms to one token bucket of the team's rate and burst; `ideal` is that
 * bucket. Assumption: the clocks of all hosts run at the same speed. Code: basilhall/limit.
 *
 * Mutants: NO_LEASE_CHECK NO_WAIT NO_EXPIRY START_FULL OUT_NOT_COUNTED VALID_FROM_ARRIVAL LEASE_FROM_ANSWER RENEWAL_AFTER_TAKEOVER
 */
#define BURST 2
#define PERIOD 2 /* ticks for one token */
#define LEASE 2  /* ticks */
#define VALID 2  /* ticks */

#ifdef NO_LEASE_CHECK
#define HAS_LEASE(h) true
#else
#define HAS_LEASE(h) (leaseLeft[h] > 0)
#endif

#ifdef NO_EXPIRY
#define IS_USABLE(me) true
#else
#define IS_USABLE(me) (usableLeft[me] > 0)
#endif

#ifdef RENEWAL_AFTER_TAKEOVER
#define MAY_RENEW(h) true
#else
#define MAY_RENEW(h) (currentHolder == h)
#endif

/* The bucket against which every use is checked. */
byte ideal = BURST;
bool halfPeriod;

/* The write that makes a renewal fail. */
byte currentHolder;

/* The two holders. */
byte level[2];
byte leaseLeft[2];
byte startsIn;
bool isTaken;
/* Grants that a holder takes for usable, by holder and host. */
byte outLeft[4];
#define OUT(h, host) outLeft[(h) * 2 + (host)]

/* Renewals under way: what the lease will be if it counts from the sending. */
byte renewalLeft[2];

/* Questions and grants of the two hosts. */
byte askLeft[2];
byte usableLeft[2];

inline countDown(timer)
{
    if
    :: timer > 0 -> timer--
    :: else
    fi
}

inline refill(h)
{
    if
#ifdef OUT_NOT_COUNTED
    :: level[h] < BURST -> level[h]++
#else
    :: level[h] + (OUT(h, 0) > 0) + (OUT(h, 1) > 0) < BURST -> level[h]++
#endif
    :: else
    fi
}

proctype Time()
{
end:
    do
    :: atomic {
        true;
        countDown(leaseLeft[0]);
        countDown(leaseLeft[1]);
        countDown(startsIn);
        countDown(outLeft[0]);
        countDown(outLeft[1]);
        countDown(outLeft[2]);
        countDown(outLeft[3]);
        countDown(renewalLeft[0]);
        countDown(renewalLeft[1]);
        countDown(askLeft[0]);
        countDown(askLeft[1]);
        countDown(usableLeft[0]);
        countDown(usableLeft[1]);
        halfPeriod = !halfPeriod;
        if
        :: halfPeriod
        :: else ->
            if
            :: ideal < BURST -> ideal++
            :: else
            fi;
            refill(0);
            if
            :: isTaken && startsIn == 0 -> refill(1)
            :: else
            fi
        fi
       }
    od
}

proctype Renewer(byte h)
{
end:
    do
    :: atomic { h == 0 || isTaken -> renewalLeft[h] = LEASE };
        /* The renewal takes effect after any delay, if the holder is still the one. */
        if
        :: MAY_RENEW(h) ->
            atomic {
#ifdef LEASE_FROM_ANSWER
                leaseLeft[h] = LEASE;
#else
                leaseLeft[h] = renewalLeft[h];
#endif
                renewalLeft[h] = 0
            }
        :: atomic { !MAY_RENEW(h) -> renewalLeft[h] = 0; break }
        fi
    od
}

proctype Successor()
{
    /* The first holder may still live. */
    atomic {
        currentHolder = 1;
#ifndef NO_WAIT
        startsIn = LEASE + VALID;
#endif
#ifdef START_FULL
        level[1] = BURST;
#endif
        isTaken = true
    }
}

inline grantBy(h, me)
{
    level[h]--;
    OUT(h, me) = VALID
}

proctype Host(byte me)
{
end:
    do
    :: atomic { true; askLeft[me] = VALID };
        /* The question reaches a holder after any delay. */
        if
        :: atomic {
            (level[0] > 0 && HAS_LEASE(0) && OUT(0, me) == 0) -> grantBy(0, me)
           }
        :: atomic {
            (isTaken && startsIn == 0 && level[1] > 0 && HAS_LEASE(1) && OUT(1, me) == 0) ->
            grantBy(1, me)
           }
        :: atomic { true; askLeft[me] = 0; goto end }
        fi;
        /* The answer reaches the host after any delay. */
        atomic {
#ifdef VALID_FROM_ARRIVAL
            usableLeft[me] = VALID;
#else
            usableLeft[me] = askLeft[me];
#endif
            askLeft[me] = 0
        };
        if
        :: atomic { IS_USABLE(me) -> assert(ideal > 0); ideal--; usableLeft[me] = 0 }
        :: atomic { true; usableLeft[me] = 0 }
        fi
    od
}

init
{
    atomic {
        level[0] = BURST;
        run Time();
        run Renewer(0);
        run Renewer(1);
        run Successor();
        run Host(0);
        run Host(1)
    }
}
