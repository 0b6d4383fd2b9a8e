/* Tickets, witnesses and takeover (docs/design.md, section 5; src/core/TicketLedger.h, src/core/Witness.h).
 *
 * One owner incarnation X with two tickets, two witnesses, the incarnation record, and a later incarnation X' under the same address.
 * Every step is one event of one party, in any order. From this follow the faults:
 *   crash or pause of X        X takes no further step, or takes one late
 *   message lost, late, again  what was sent stays available for delivery for ever; nothing obliges a party to take it
 *   ambiguous compare-and-swap a write takes effect at any time while the revision is as expected, and its result may be lost
 *   two takeovers              both witnesses may suspect X, at any time and wrongly
 *   witness crash, store lost  forget: the store goes, and late messages may build another one
 *   restart                    X' replaces X in the record while X may still run
 *   unwitnessed mode           tickets minted while X has no witness in the record
 *   planned stop               handover of unused grants
 *
 * Invariants, each named after the guarantee it stands for; ONLY_<name> checks that one alone. Each M_<name>_... is a seeded fault that
 * has to break <name>; check.sh fails when the verifier accepts one.
 */
#ifndef EPOCHS
#define EPOCHS 2 /* attempts at a witness */
#endif
#ifndef TICKETS
#define TICKETS 2
#endif
#ifndef FORGETS
#define FORGETS 1 /* stores lost by witnesses */
#endif

#if defined(ONLY_P1) || defined(ONLY_P5) || defined(ONLY_P6) || defined(ONLY_P8)
#define ONLY 1
#endif
#if !defined(ONLY) || defined(ONLY_P1)
#define P1_DispatchedAtMostOnce(t) assert(dispatches[t] <= 1)
#else
#define P1_DispatchedAtMostOnce(t) skip
#endif
#if !defined(ONLY) || defined(ONLY_P5)
#define P5_NotRunIsTrue(t) assert(dispatches[t] == 0 || (ticket[t] != NotRun && !((witnessSaidNotRun | ownerSaidNotRun) & BIT(t))))
#else
#define P5_NotRunIsTrue(t) skip
#endif
#if !defined(ONLY) || defined(ONLY_P6)
/* A repeated claim leads to no second run. */
#define P6_RunsAtMostOnce(t) assert(!(claimedAgain & BIT(t)) || dispatches[t] <= 1)
#else
#define P6_RunsAtMostOnce(t) skip
#endif
#if !defined(ONLY) || defined(ONLY_P8)
/* Nothing starts after the handover of a planned stop, so that the stop interrupts nothing. */
#define P8_HandoverIsFinal(t) assert(!handoverSent || !(witnessed & BIT(t)))
#else
#define P8_HandoverIsFinal(t) skip
#endif

#define BIT(t) (1 << (t))
#define ALL 3 /* both tickets */

mtype = { Unwitnessed, Installing, Reading, Writing, Active, Stopped }; /* owner */
mtype = { Minted, Queued, Dispatched, NotRun }; /* ticket; Minted stands for "not minted yet" as well */
mtype = { Empty, Granting, HandedOver, TakeoverReading, TakeoverWriting, Fenced }; /* witness */

/* Owner X */
mtype phase = Unwitnessed;
byte epoch;
byte token;
byte asked, granted; /* sets of tickets */
mtype ticket[2] = Minted;
byte witnessed; /* set of tickets */
byte dispatches[2];
byte ownerSaidNotRun; /* set of tickets that the owner has given up */
byte witnessSaidNotRun; /* set of tickets; the owner has said it of a ticket that is NotRun */
byte claimedAgain; /* set of tickets claimed while dispatched */

/* Messages, by epoch; index 0 is not used */
byte witnessOf[EPOCHS + 1];
byte installMask[EPOCHS + 1]; /* set of tickets never dispatched */
byte installedTokens[EPOCHS + 1]; /* set of tokens */
byte requests[EPOCHS + 1], requestToken[EPOCHS + 1];
byte grants[EPOCHS + 1];
bit refused[EPOCHS + 1];
bit handoverSent;
byte handoverMask;

/* Record */
#ifdef TRACE
byte revision;
#endif
byte recordOwner; /* 0 none, 1 X, 2 X' */
byte recordEpoch, recordToken;
bit recordFenced;
byte previousEpoch, previousToken; /* X's entry once X' is in the record */
/* Sent, and the record is still at the expected revision. A change of the record voids all other writes. */
bit putValid[EPOCHS + 1], fenceValid[2];
bit putDone[EPOCHS + 1], fenceDone[2]; /* in effect; its result may still arrive */

/* Witnesses */
mtype store[2] = Empty;
byte storeEpoch[2], storeToken[2], storeMask[2], storeGrants[2];
byte lastToken[2];
byte forgets;

/* Random walks for the replay: conditions that leave out most steps without effect. The verifier has no such conditions. */
#ifdef TRACE
byte deliveries;
#define IN_WALK(condition) && (condition)
#else
#define IN_WALK(condition)
#endif

#ifdef TRACE
/* One line per event and one with the state after it, for the replay in tests/core/WitnessConformanceTest.cpp. */
#define answers(w) ((store[w] == Fenced || store[w] == HandedOver) * (storeMask[w] & ~storeGrants[w] & witnessed))
#define EVENT(name, a, b) printf(name); printf(" %d %d\n", a, b); printState()
inline printState()
{
    printf("= %e %d %d ", phase, epoch, granted);
    printf("%e %e ", ticket[0], ticket[1]);
    printf("%d %d %d %d ", revision, recordOwner, recordEpoch, recordFenced);
    printf("%d %d\n", answers(0), answers(1))
}
#else
#define EVENT(name, a, b) skip
#endif

inline changeRecord()
{
    putValid[1] = 0;
    putValid[2] = 0;
#if EPOCHS > 2
    putValid[3] = 0;
#endif
    fenceValid[0] = 0;
    fenceValid[1] = 0;
#ifdef TRACE
    revision++
#endif
}

/* ---- Owner: tickets */

inline claim(t)
{
    ticket[t] = Queued;
    witnessed = witnessed | ((phase == Active) << t);
    EVENT("claim", t, 0)
}

inline dispatch(t)
{
    dispatches[t]++;
    ticket[t] = Dispatched;
#ifndef M_P1_GRANT_NOT_USED_UP
    granted = granted & ~BIT(t);
#endif
    P1_DispatchedAtMostOnce(t);
    P5_NotRunIsTrue(t);
    P6_RunsAtMostOnce(t);
    P8_HandoverIsFinal(t);
    EVENT("dispatch", t, 0)
}

inline giveUp(t)
{
    ticket[t] = NotRun;
    ownerSaidNotRun = ownerSaidNotRun | BIT(t);
    asked = asked & ~BIT(t);
    granted = granted & ~BIT(t);
    P5_NotRunIsTrue(t);
    EVENT("giveUp", t, 0)
}

/* Its caller may have sent the call under a new ticket, so a delayed copy of the claim gets the same answer and never runs. */
inline claimNotRun(t)
{
#ifdef M_P5_CLAIM_OF_NOT_RUN_RUNS
    ticket[t] = Queued;
#endif
#ifdef TRACE
    deliveries++;
#endif
    EVENT("claimNotRun", t, 0)
}

inline claimDispatched(t)
{
    claimedAgain = claimedAgain | BIT(t);
#ifdef M_P6_REPEATED_CLAIM_RUNS
    ticket[t] = Queued;
#endif
    EVENT("claimDispatched", t, 0)
}

#define hasGrant(t) (phase == Active && (granted & BIT(t)))
#ifdef M_P8_DISPATCHES_AFTER_HANDOVER
#undef hasGrant
#define hasGrant(t) (granted & BIT(t))
#endif
#define mayStart(t) (ticket[t] == Queued)
#ifdef M_P1_GRANT_NOT_USED_UP
#undef mayStart
#define mayStart(t) (ticket[t] == Queued || (ticket[t] == Dispatched && (witnessed & BIT(t))))
#endif
#ifdef M_P5_GIVES_UP_AFTER_DISPATCH
#define mayGiveUp(t) (ticket[t] == Queued || ticket[t] == Dispatched)
#else
#define mayGiveUp(t) (ticket[t] == Queued)
#endif

/* ---- Owner: witness */

#define notDispatched(t) (ticket[t] == Minted || (ticket[t] == Queued && (witnessed & BIT(t)) != 0))

inline replaceWitness(w)
{
    /* Replies of the epoch before are dropped when they arrive: they need not be kept. */
    grants[epoch] = 0;
    refused[epoch] = 0;
    epoch++;
    witnessOf[epoch] = w;
    installMask[epoch] = notDispatched(0) + 2 * notDispatched(1);
#ifdef M_P5_INSTALLS_NO_DISPATCHES
    installMask[epoch] = ALL;
#endif
#ifndef M_P5_OLD_GRANTS_KEPT
    granted = 0;
#endif
    asked = 0;
    phase = Installing;
    EVENT("replaceWitness", epoch, w)
}

inline becomeStopped()
{
    phase = Stopped;
    asked = 0;
    granted = 0
}

inline onInstalled(k)
{
    token = k;
    phase = Reading;
#ifdef M_P5_EPOCH_NOT_RECORDED
    phase = (epoch > 1 -> Active : Reading);
#endif
    EVENT("onInstalled", epoch, k)
}

inline ownerReads()
{
    if
    :: recordOwner == 1 ->
        if
#ifndef M_P5_OWNER_IGNORES_FENCE
        :: recordFenced -> becomeStopped()
#endif
        :: else ->
            if
            :: recordEpoch == epoch -> phase = Active
            :: else -> sendPut()
            fi
        fi
    :: recordOwner == 0 -> sendPut()
    :: recordOwner == 2 -> becomeStopped()
    fi;
    EVENT("ownerReads", 0, 0)
}

inline sendPut()
{
    phase = Writing;
    putValid[epoch] = 1
}

inline applyPut(e)
{
    changeRecord();
    putDone[e] = 1;
    recordOwner = 1;
    recordEpoch = e;
    recordToken = requestToken[e];
    recordFenced = 0;
    EVENT("applyPut", e, 0)
}

inline onWritten()
{
    phase = Active;
    EVENT("onWritten", 0, 0)
}

inline onWriteLost()
{
    phase = Reading;
#ifdef M_P5_LOST_WRITE_IS_SUCCESS
    phase = Active;
#endif
    EVENT("onWriteLost", 0, 0)
}

inline ask(t)
{
    asked = asked | BIT(t);
    requests[epoch] = requests[epoch] | BIT(t);
    EVENT("ask", t, 0)
}

inline onGranted(t)
{
    asked = asked & ~BIT(t);
    granted = granted | BIT(t);
    EVENT("onGranted", t, 0)
}

inline onRefused()
{
    phase = Unwitnessed;
    asked = 0;
    granted = 0;
    EVENT("onRefused", epoch, 0)
}

inline handOver()
{
    phase = Stopped;
    handoverSent = 1;
    handoverMask = granted;
    asked = 0;
#ifndef M_P8_DISPATCHES_AFTER_HANDOVER
    granted = 0;
#endif
    EVENT("handOver", 0, 0)
}

/* X' starts under the same address and keeps X's entry. */
inline restart()
{
    changeRecord();
    recordOwner = 2;
    previousEpoch = recordEpoch;
    previousToken = recordToken;
    recordEpoch = 0;
    recordToken = 0;
    recordFenced = 0;
    EVENT("restart", 0, 0)
}

/* ---- Witness */

inline install(w, e)
{
    if
    :: store[w] == Empty || (store[w] == Granting && storeEpoch[w] < e) ->
        lastToken[w]++;
        store[w] = Granting;
        storeEpoch[w] = e;
        storeToken[w] = lastToken[w];
        storeMask[w] = installMask[e];
        storeGrants[w] = 0;
        installedTokens[e] = installedTokens[e] | BIT(storeToken[w])
    :: else ->
        if
        :: storeEpoch[w] > e -> skip
        :: else ->
            if
            :: store[w] == Granting -> skip
            :: else -> refused[e] = (epoch == e)
            fi
        fi
    fi;
#ifdef TRACE
    deliveries++;
#endif
    EVENT("install", w, e)
}

#define storeMatches(w, e) (store[w] != Empty && storeEpoch[w] == e && storeToken[w] == requestToken[e])
#ifdef M_P5_GRANTS_DURING_TAKEOVER
#define grantsFrom(w, e, t) (storeMatches(w, e))
#else
#define grantsFrom(w, e, t) (storeMatches(w, e) && store[w] == Granting)
#endif

inline request(w, e, t)
{
    if
    :: grantsFrom(w, e, t) ->
        storeGrants[w] = storeGrants[w] | BIT(t);
        grants[e] = grants[e] | ((epoch == e) << t)
    :: else -> refused[e] = (epoch == e)
    fi;
#ifdef TRACE
    deliveries++;
#endif
    EVENT("request", e, t)
}

inline takeHandover(w)
{
    storeGrants[w] = storeGrants[w] & ~handoverMask;
    if
    :: store[w] == Fenced -> skip
    :: else -> store[w] = HandedOver
    fi;
#ifdef TRACE
    deliveries++;
#endif
    EVENT("takeHandover", w, 0)
}

inline suspect(w)
{
    store[w] = TakeoverReading;
    EVENT("suspect", w, 0)
}

inline clearStore(w)
{
    store[w] = Empty;
    storeEpoch[w] = 0;
    storeToken[w] = 0;
    storeMask[w] = 0;
    storeGrants[w] = 0
}

#ifdef M_P5_TOKEN_NOT_CHECKED
#define isOurs(w, e, k) (storeEpoch[w] == e)
#else
#define isOurs(w, e, k) (storeEpoch[w] == e && storeToken[w] == k)
#endif

inline witnessReads(w)
{
    if
    :: recordOwner == 1 && isOurs(w, recordEpoch, recordToken) ->
        if
        :: recordFenced -> store[w] = Fenced
        :: else ->
            store[w] = TakeoverWriting;
            fenceValid[w] = 1;
            fenceDone[w] = 0
#ifdef M_P5_NO_FENCE
            ;
            store[w] = Fenced
#endif
        fi
    :: recordOwner == 2 && isOurs(w, previousEpoch, previousToken) -> store[w] = Fenced
    :: else -> clearStore(w)
    fi;
    EVENT("witnessReads", w, 0)
}

inline applyFence(w)
{
    changeRecord();
    fenceDone[w] = 1;
    recordFenced = 1;
    EVENT("applyFence", w, 0)
}

inline onFenced(w)
{
    store[w] = Fenced;
    EVENT("onFenced", w, 0)
}

inline onFenceLost(w)
{
    store[w] = TakeoverReading;
    EVENT("onFenceLost", w, 0)
}

inline forget(w)
{
    forgets++;
    clearStore(w);
    EVENT("forget", w, 0)
}

/* What a witness may say of a ticket that exists. */
#ifdef M_P5_UNWITNESSED_ANSWERED
#define answerable(t) (ticket[t] != Minted)
#else
#define answerable(t) (ticket[t] != Minted && (witnessed & BIT(t)))
#endif
#define saysNotRun(w, t) ((store[w] == Fenced || store[w] == HandedOver) && answerable(t) \
    && (storeMask[w] & BIT(t)) && !(storeGrants[w] & BIT(t)) && !(witnessSaidNotRun & BIT(t)))

inline answer(w, t)
{
    witnessSaidNotRun = witnessSaidNotRun | BIT(t);
    P5_NotRunIsTrue(t);
    EVENT("answer", w, t)
}

/* ---- Steps */

/* Repeated claims and giving up are left out with two tickets: they act on one ticket alone. */
#define TICKET_STEPS(t) \
    :: d_step { (ticket[t] == Minted && !handoverSent && (t == 0 || ticket[0] != Minted) IN_WALK(phase == Active || epoch == EPOCHS)) -> claim(t) } \
    :: d_step { (mayStart(t) && (!(witnessed & BIT(t)) || hasGrant(t))) -> dispatch(t) } \
    :: d_step { (phase == Active && ticket[t] == Queued && (witnessed & BIT(t)) && !((asked | granted) & BIT(t))) -> ask(t) } \
    :: d_step { (phase == Active && (asked & grants[epoch] & BIT(t))) -> onGranted(t) }

#define SINGLE_TICKET_STEPS(t) \
    :: d_step { (mayGiveUp(t) IN_WALK((deliveries & 7) == 7)) -> giveUp(t) } \
    :: d_step { (ticket[t] == NotRun && !handoverSent) -> claimNotRun(t) } \
    :: d_step { (ticket[t] == Dispatched && !(claimedAgain & BIT(t))) -> claimDispatched(t) }

#define TOKEN_STEPS(k) \
    :: d_step { (phase == Installing && (installedTokens[epoch] & BIT(k))) -> requestToken[epoch] = k; onInstalled(k) }

#define EPOCH_STEPS(e) \
    :: d_step { (putValid[e]) -> applyPut(e) } \
    :: d_step { (epoch >= e && lastToken[witnessOf[e]] < 4 IN_WALK((phase == Installing && e == epoch && installedTokens[e] == 0) || (deliveries & 7) == 3)) -> install(witnessOf[e], e) } \
    :: d_step { ((requests[e] & 1) IN_WALK((e == epoch && !(grants[e] & 1) && !refused[e]) || (deliveries & 7) == 5)) -> request(witnessOf[e], e, 0) } \
    :: d_step { ((requests[e] & 2) IN_WALK((e == epoch && !(grants[e] & 2) && !refused[e]) || (deliveries & 7) == 5)) -> request(witnessOf[e], e, 1) }

#define WITNESS_STEPS(w) \
    :: d_step { (epoch < EPOCHS && phase != Stopped && (w == 0 || epoch > 0) IN_WALK(epoch == 0 || (phase != Installing && witnessed))) -> replaceWitness(w) } \
    :: d_step { (handoverSent && storeMatches(w, epoch) IN_WALK(store[w] != HandedOver || (deliveries & 7) == 5)) -> takeHandover(w) } \
    :: d_step { (store[w] == Granting IN_WALK(dispatches[0] + dispatches[1] || granted)) -> suspect(w) } \
    :: d_step { (store[w] == TakeoverReading) -> witnessReads(w) } \
    :: d_step { (fenceValid[w]) -> applyFence(w) } \
    :: d_step { (store[w] == TakeoverWriting && fenceDone[w]) -> onFenced(w) } \
    :: d_step { (store[w] == TakeoverWriting) -> onFenceLost(w) } \
    :: d_step { (store[w] != Empty && forgets < FORGETS IN_WALK(ticket[1] != Minted && (deliveries & 3) == 2)) -> forget(w) } \
    :: d_step { saysNotRun(w, 0) -> answer(w, 0) } \
    :: d_step { saysNotRun(w, 1) -> answer(w, 1) }

active proctype World()
{
end:
    do
    TICKET_STEPS(0)
#if TICKETS == 1 || defined(TRACE)
    SINGLE_TICKET_STEPS(0)
#endif
#if TICKETS > 1
    TICKET_STEPS(1)
#endif
    TOKEN_STEPS(1)
    TOKEN_STEPS(2)
    TOKEN_STEPS(3)
    TOKEN_STEPS(4)
    EPOCH_STEPS(1)
    EPOCH_STEPS(2)
#if EPOCHS > 2
    EPOCH_STEPS(3)
#endif
    WITNESS_STEPS(0)
    WITNESS_STEPS(1)
    :: d_step { (phase == Reading) -> ownerReads() }
    :: d_step { (phase == Writing && putDone[epoch]) -> onWritten() }
    :: d_step { (phase == Writing) -> onWriteLost() }
    :: d_step { ((phase == Installing || phase == Active) && refused[epoch]) -> onRefused() }
    :: d_step { (phase == Active IN_WALK(granted && (deliveries & 1))) -> handOver() }
    :: d_step { (recordOwner == 1 IN_WALK(granted)) -> restart() }
    od
}
