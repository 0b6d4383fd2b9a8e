/* End of a move to a new version (docs/design.md, section 16; VersionMove, EdgeNode).
 *
 * Two nodes try the new version, then switch and send nothing to the old one. Reports are late and the last one counts. A node writes
 * "completed" once it believes that nobody has work at the old targets or will send any; the operators stop them at that moment. A
 * final state in the store is never replaced. The end at the deadline, whatever is under way, is not part of it. M_<name> is a seeded
 * fault.
 */
#define NODES 2
#define OTHER (1 - me)

#ifdef M_UNHEARD_NODES_ARE_DRAINED
#define HEARD true
#else
#define HEARD heard[OTHER]
#endif
#ifdef M_NODES_THAT_TRY_ARE_DRAINED
#define SWITCHED true
#else
#define SWITCHED (!heard[OTHER] || switched[OTHER])
#endif
#ifdef M_WORK_OF_OTHERS_IS_IGNORED
#define WORKS false
#else
#define WORKS worked[OTHER]
#endif
#ifdef M_OWN_WORK_IS_IGNORED
#define IDLE true
#else
#define IDLE (oldWork[me] == 0)
#endif

mtype = { Trying, Switching, Reverted, Open, Completed };

mtype state[NODES] = Trying;
byte oldWork[NODES] = 0;
mtype inStore = Open;

/* Newest report of each node that the other one received. */
bool heard[NODES] = false;
bool switched[NODES] = false;
bool worked[NODES] = false;

active [NODES] proctype Node()
{
    byte me = _pid;
    do
    :: atomic { state[me] == Trying && oldWork[me] < 2 && inStore == Open -> oldWork[me]++ }
    :: atomic { oldWork[me] > 0 -> oldWork[me]-- }
    :: atomic { state[me] == Trying -> state[me] = Switching }
    :: atomic { state[me] == Trying -> state[me] = Reverted }
    :: atomic { heard[me] = true; switched[me] = (state[me] == Switching); worked[me] = (oldWork[me] > 0) }
    :: atomic { state[me] == Switching && inStore == Open && IDLE && HEARD && SWITCHED && !WORKS ->
        inStore = Completed;
        assert(oldWork[0] == 0 && oldWork[1] == 0 && state[0] != Trying && state[1] != Trying) }
    :: atomic { state[me] == Reverted && inStore == Open -> inStore = Reverted }
    :: inStore != Open -> break
    od
}
