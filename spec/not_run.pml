/*
 * What a gateway may tell the caller of a request about whether it has run.
 *
 * A request, which may be repeatable or not, is sent to one upstream after the other. Upstreams run
 * it or not, at once or long after the gateway has given up waiting, and answer in every way that
 * has been seen: results, failures, statuses of a refusal after a run, refusals that state in the
 * header that nothing ran, a statement in a trailer, misdirected requests (421) with and without the
 * name of another process, and refusals of earlier requests once more. Connections fail before the
 * first byte, break, or stay silent, at any moment.
 *
 * Checked after each step: a request whose caller was told that it has not run never runs, then or
 * later; a request that is not repeatable runs at most once.
 *
 * Mutants, each of which must fail:
 *   -DANY_STATUS            a status of a refusal counts as a statement
 *   -DANY_MISDIRECTED       every 421 counts as a statement
 *   -DTRAILERS              a statement in a trailer counts
 *   -DANY_ANSWER            an answer belongs to the request that waits, whatever id it names
 *   -DBROKEN_IS_UNSENT      a connection that breaks has not delivered the request
 *   -DSILENT_IS_UNSENT      an upstream that is given up for its silence has not run the request
 */

#define UPSTREAMS 2

mtype = { RESULT, FAILURE, REFUSAL_STATUS, MISDIRECTED, STATED, STATED_IN_TRAILER, OTHER_PROCESS,
          STALE_STATED };

chan answers[UPSTREAMS] = [3] of { mtype };
/* The request lies in the connection to the upstream, which has not read it. */
bool delivered[UPSTREAMS];

bool repeatable;
bool told_not_run;
byte runs_begun;

proctype upstream(byte self)
{
    bool repeats = true;
    do
    :: repeats -> repeats = false; answers[self] ! STALE_STATED
    :: delivered[self] ->
        if
        :: atomic {
               delivered[self] = false;
               runs_begun++;
               assert(!told_not_run);
               assert(repeatable || runs_begun <= 1)
           }
           if
           :: answers[self] ! RESULT
           :: answers[self] ! FAILURE
           :: answers[self] ! REFUSAL_STATUS
           :: answers[self] ! MISDIRECTED
           :: answers[self] ! STATED_IN_TRAILER
           :: skip
           fi
        :: delivered[self] = false;
           if
           :: answers[self] ! STATED
           :: answers[self] ! OTHER_PROCESS
           :: answers[self] ! FAILURE
           :: answers[self] ! REFUSAL_STATUS
           :: answers[self] ! MISDIRECTED
           :: skip
           fi
        fi
    :: break
    od
}

proctype gateway()
{
    byte target;
    byte attempts;
    /* Attempts that may have run or may run yet. */
    byte runs;
    bool served;
    mtype answer;

    do
    :: attempts < UPSTREAMS && !served && (runs == 0 || repeatable) ->
        target = attempts;
        attempts++;
        if
        :: skip /* Not a byte was sent. */
        :: atomic { delivered[target] = true; runs++ }
           do
           :: answers[target] ? answer ->
               if
               :: answer == STATED || answer == OTHER_PROCESS -> runs--; break
               :: answer == RESULT -> served = true; break
               :: answer == STALE_STATED ->
#ifdef ANY_ANSWER
                   runs--; break
#else
                   skip
#endif
               :: answer == REFUSAL_STATUS ->
#ifdef ANY_STATUS
                   runs--;
#endif
                   break
               :: answer == MISDIRECTED ->
#ifdef ANY_MISDIRECTED
                   runs--;
#endif
                   break
               :: answer == STATED_IN_TRAILER ->
#ifdef TRAILERS
                   runs--;
#endif
                   break
               :: answer == FAILURE -> break
               fi
           :: true -> /* The connection breaks. */
#ifdef BROKEN_IS_UNSENT
               runs--;
#endif
               break
           :: true -> /* The upstream is silent for too long. */
#ifdef SILENT_IS_UNSENT
               runs--;
#endif
               break
           od
        fi
    :: else -> break
    od;
    told_not_run = !served && runs == 0
}

init
{
    if
    :: repeatable = true
    :: repeatable = false
    fi;
    atomic {
        run upstream(0);
        run upstream(1);
        run gateway()
    }
}
