/* One attempt of a caller at an edge node (docs/design.md, section 16; RequestLife, Exchange).
 *
 * The node sends the attempt to one target after another. A send may reach nobody, be declined, run and be answered, or run and lose its
 * answer; bytes that were handed to the kernel may reach the target long after the node gave the connection up. REPEATABLE is the kind
 * of request. M_<name> is a seeded fault that has to break an assertion.
 */
#ifndef REPEATABLE
#define REPEATABLE 0
#endif
#ifdef M_REPEATS_WHAT_MUST_NOT
#define MAY_REPEAT true
#else
#define MAY_REPEAT REPEATABLE
#endif
#define SENDS 2

mtype = { Waiting, Sent, Ended, Nothing, Answered, NotRun, Unknown, Declined, Whole };

mtype state = Waiting;
mtype told = Nothing; /* what the caller was told */
bool unknownRun = false;
byte sends = 0;
byte current = 0; /* the send whose answer the node waits for */

bool onTheWay[SENDS] = false; /* bytes in the network or in the target's queue */
mtype reply[SENDS] = Nothing;
byte runs = 0;

#define NEVER_RUNS_TWICE assert(REPEATABLE || runs <= 1)
#define REFUSAL_IS_TRUE assert(told != NotRun || runs == 0)

inline tell(what) { told = what; state = Ended; REFUSAL_IS_TRUE }

inline giveUp() {
    if
    :: unknownRun -> tell(Unknown)
    :: !unknownRun -> tell(NotRun)
    fi
}

/* A run that may have begun ended without an answer. */
inline lost() {
    unknownRun = true;
    if
    :: sends < SENDS && MAY_REPEAT -> state = Waiting
    :: else -> giveUp()
    fi
}

active proctype Node()
{
    do
    :: state == Waiting && sends < SENDS -> atomic { /* no byte was sent */
        sends++ }
    :: state == Waiting && sends < SENDS -> atomic {
        current = sends; sends++;
        onTheWay[current] = true;
        state = Sent }
    :: state == Waiting -> atomic { giveUp() }
    :: state == Sent && reply[current] == Whole -> atomic { tell(Answered) }
    :: state == Sent && reply[current] == Declined -> atomic {
        if
        :: sends < SENDS -> state = Waiting
        :: else -> giveUp()
        fi }
    :: state == Sent -> atomic { /* the connection ends, or is given up as silent */
#ifdef M_BROKEN_CONNECTION_IS_NOT_RUN
        if
        :: sends < SENDS -> state = Waiting
        :: else -> giveUp()
        fi
#else
        lost()
#endif
        }
    :: state == Sent -> atomic { /* the timeout */
#ifdef M_TIMEOUT_IS_NOT_RUN
        tell(NotRun)
#else
        unknownRun = true;
        tell(Unknown)
#endif
        }
    :: state == Ended -> break
    od
}

active [SENDS] proctype Target()
{
    byte me = _pid - 1;
    do
    :: onTheWay[me] -> atomic { onTheWay[me] = false; reply[me] = Declined }
    :: onTheWay[me] -> atomic { onTheWay[me] = false; runs++; NEVER_RUNS_TWICE; REFUSAL_IS_TRUE;
        if
        :: reply[me] = Whole
        :: skip /* the answer is lost */
#ifdef M_BUSY_STATUS_IS_BELIEVED
        :: reply[me] = Declined /* a failure with a status that promises "not run", without the target's own word for it */
#endif
        fi }
    :: state == Ended && !onTheWay[me] -> break
    od
}
