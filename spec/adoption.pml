/* Adoption of configuration (docs/design.md, section 9; TableStore).
 *
 * Two operators each make one edit by compare-and-swap on the head; two nodes adopt revisions from the platform and from each other. Every
 * step is one event in any order: messages are late, lost and repeated, reads are of any age, a write takes effect late or loses its
 * result, the platform goes away (nobody need read it), a node restarts without any configuration and asks its peer first.
 *
 * A revision stands for the content that was accepted with it. M_<name>_... is a seeded fault that has to break <name>.
 */
#define EDITS 2
#define REVISIONS 4 /* 0: none; each edit adds one; with the fault of a doubled edit up to 4 */
#define NODES 2
#define BIT(r) (1 << (r))

#if defined(ONLY_P9_NEVER) || defined(ONLY_P9_ONCE) || defined(ONLY_P9_REPORT)
#define ONLY 1
#endif
#if !defined(ONLY) || defined(ONLY_P9_NEVER)
#define P9_NeverReverts(n) assert(adopted[n] >= highest[n])
#else
#define P9_NeverReverts(n) skip
#endif
#if !defined(ONLY) || defined(ONLY_P9_ONCE)
#define P9_EditAppliedOnce(k) assert(applied[k] <= 1)
#else
#define P9_EditAppliedOnce(k) skip
#endif
#if !defined(ONLY) || defined(ONLY_P9_REPORT)
#define P9_ReportIsTrue(k) assert((outcome[k] != Done || applied[k] > 0) && (outcome[k] != Refused || applied[k] == 0))
#else
#define P9_ReportIsTrue(k) skip
#endif

mtype = { Open, Sent, Lost, Done, Refused };

/* Platform */
byte head; /* revision */
byte applied[EDITS]; /* times in effect; the head lists the ids of recent edits */

/* Operators */
mtype outcome[EDITS] = Open;
byte seen[EDITS]; /* revision that the edit names */
bit pending[EDITS]; /* a write that may still take effect */
bit answered[EDITS]; /* it took effect and its result is on the way */

/* Nodes */
byte adopted[NODES];
byte highest[NODES]; /* of this process since it started */
byte offered[NODES]; /* set of revisions sent to the node: each may arrive late and again */
byte restarts;

inline read(k)
{
    seen[k] = head;
    outcome[k] = Sent;
    pending[k] = 1
}

inline apply(k)
{
    head++;
    applied[k]++;
    pending[k] = 0;
    answered[k] = 1;
    P9_EditAppliedOnce(k);
    P9_ReportIsTrue(k)
}

/* The head is read again: the edit's id decides, then the revision. */
inline readBack(k)
{
    if
#ifndef M_P9_ONCE_RETRIES_WITHOUT_ID
    :: applied[k] > 0 -> outcome[k] = Done
#endif
    :: else ->
        if
        :: head != seen[k] ->
#ifdef M_P9_ONCE_RETRIES_WITHOUT_ID
            read(k)
#else
            outcome[k] = Refused /* a conflict: the write can't take effect any more */
#endif
        :: else ->
#ifdef M_P9_REPORT_LOST_IS_FAILED
            outcome[k] = Refused
#else
            pending[k] = 1; /* the same write again */
            outcome[k] = Sent
#endif
        fi
    fi;
    P9_ReportIsTrue(k)
}

inline adopt(n, r)
{
    adopted[n] = r;
    P9_NeverReverts(n);
    highest[n] = (r > highest[n] -> r : highest[n])
}

#ifdef M_P9_NEVER_ADOPTS_ANY
#define mayAdopt(n, r) ((r) != adopted[n])
#else
#define mayAdopt(n, r) ((r) > adopted[n])
#endif

#define EDIT_STEPS(k) \
    :: d_step { (outcome[k] == Open) -> read(k) } \
    :: d_step { (pending[k] && head == seen[k] && head < REVISIONS) -> apply(k) } \
    :: d_step { (outcome[k] == Sent && answered[k]) -> outcome[k] = Done; P9_ReportIsTrue(k) } \
    :: d_step { (outcome[k] == Sent) -> outcome[k] = Lost } \
    :: d_step { (outcome[k] == Lost) -> readBack(k) }

/* From the head, at any age: a read that was overtaken is an offer that arrives late. */
#define NODE_STEPS(n, r) \
    :: d_step { (head == r && !(offered[n] & BIT(r))) -> offered[n] = offered[n] | BIT(r) } \
    :: d_step { ((offered[n] & BIT(r)) && mayAdopt(n, r)) -> adopt(n, r) } \
    :: d_step { (adopted[n] == r && !(offered[1 - n] & BIT(r))) -> offered[1 - n] = offered[1 - n] | BIT(r) }

#define RESTART_STEPS(n) \
    :: d_step { (restarts < 2 && adopted[n] > 0) -> restarts++; adopted[n] = 0; highest[n] = 0 }

active proctype World()
{
end:
    do
    EDIT_STEPS(0)
    EDIT_STEPS(1)
    NODE_STEPS(0, 1)
    NODE_STEPS(0, 2)
    NODE_STEPS(0, 3)
    NODE_STEPS(0, 4)
    NODE_STEPS(1, 1)
    NODE_STEPS(1, 2)
    NODE_STEPS(1, 3)
    NODE_STEPS(1, 4)
    RESTART_STEPS(0)
    RESTART_STEPS(1)
    od
}
