/* Freshness of keys (docs/design.md, section 16; Freshness, StoreSync, PeerLink).
 *
 * A key is taken away at some moment. The first node reads the store; the second one, cut off from it, only hears the first node's
 * proofs. Calls, answers and beacons are late by any time. Nodes have clocks of their own; the second one's may be ahead or behind.
 * No request with the key is sent on later than BOUND after the store acknowledged its removal. M_<name> is a seeded fault.
 */
#define BOUND 2
#define END 6
#define NONE 99

byte now = 0;
byte removedAt = NONE; /* the store's acknowledgement */
#ifndef SKEW
#define SKEW 2 /* the second clock shows now + SKEW */
#endif

/* First node: call under way and newest proof, by its clock, which is `now`. */
byte callStarted = NONE;
bool callHasKey = false;
bool callAnswered = false;
byte proof = NONE;
bool hasKey = true; /* its configuration */

/* Second node: proof by its clock plus 20, so that it never goes below zero; it holds the configuration with the key for ever. */
#define SECOND_NOW (now + SKEW + 20)
byte askedAt = NONE;     /* by the second clock: its newest beacon that the first node heard */
bool answerSent = false; /* the first node's beacon is on its way */
byte answerEcho;
byte answerAge;
byte answerHasKey;
byte secondProof = 0;

#ifdef M_OTHER_CONFIGURATION_PROVES
#define COUNTS true
#else
#define COUNTS answerHasKey
#endif

#define IN_TIME assert(removedAt == NONE || now - removedAt <= BOUND)

active proctype Time()
{
    do
    :: now < END -> now++
    :: removedAt == NONE && now < END -> removedAt = now
    :: now == END -> break
    od
}

active proctype First()
{
    do
    :: atomic { callStarted == NONE && now < END -> callStarted = now; callAnswered = false }
    :: atomic { callStarted != NONE && !callAnswered -> callHasKey = (removedAt == NONE); callAnswered = true }
    :: atomic { callStarted != NONE && callAnswered -> /* the answer arrives */
        hasKey = callHasKey;
#ifdef M_DATED_FROM_THE_ANSWER
        proof = now;
#else
        proof = callStarted;
#endif
        callStarted = NONE; callHasKey = 0; callAnswered = 0 }
    :: atomic { hasKey && proof != NONE && now - proof < BOUND -> IN_TIME }
    :: atomic { askedAt != NONE && proof != NONE && !answerSent ->
        answerEcho = askedAt; answerAge = now - proof; answerHasKey = hasKey; answerSent = true }
    :: now == END -> break
    od
}

active proctype Second()
{
    do
    :: now < END -> askedAt = SECOND_NOW
    :: atomic { answerSent ->
        if
        :: COUNTS ->
#ifdef M_DATED_FROM_THE_ARRIVAL
            secondProof = SECOND_NOW - answerAge
#else
            if
            :: answerEcho - answerAge > secondProof -> secondProof = answerEcho - answerAge
            :: else -> skip
            fi
#endif
        :: else -> skip
        fi;
        answerSent = false; answerEcho = 0; answerAge = 0; answerHasKey = 0 }
    :: atomic { SECOND_NOW - secondProof < BOUND -> IN_TIME }
    :: now == END -> break
    od
}
