// The planned stop of a node as one sequence of phases. It decides what is admitted and when a phase ends; the node carries it out.
//
//   Serving ──begin──▶ Announcing ──▶ Draining ──▶ Closing ──▶ Leaving ──entryRemoved──▶ Ended
//
//   Phase        New connections   Requests that are admitted                  Ends
//   Serving      accepted          all                                         with begin()
//   Announcing   accepted          all; later those that can end in time       when the load balancer has removed the node
//   Draining     accepted          those that can end in time                  when nothing is in progress and no connection is open,
//                                                                              at the latest at `answerBy`
//   Closing      refused           those that can end in time, on              when no connection is open, at the latest at `closeBy`
//                                  connections that are open
//   Leaving      refused           none: no connection is open                 when the node's entry is removed, at the latest at `endBy`
//   Ended        refused           none                                        the process exits
//
// A request can end in time if its deadline is not after `answerBy`: until then its answer is due, and at `answerBy` each request that is
// still in progress is answered with what is true of it. That holds for every kind of request, since only the deadline bounds how long a
// target may work on one.
//
// Index
//   StopPhase       the phases above
//   StopBounds      the times of one stop
//   NodeLoad        what keeps a node from ending
//   StopSequence    begin, advance, entryRemoved, phase, bounds
#pragma once

#include "core/Types.h"

#include <optional>
#include <string_view>

namespace guavapond::edge {

enum class StopPhase : uint8_t {
    Serving,
    Announcing,
    Draining,
    Closing,
    Leaving,
    Ended,
};
std::string_view stopPhaseName(StopPhase phase); // in lower_snake_case

struct StopBounds {
    TimePoint admitAllUntil {}; // the load balancer may still send requests to this node without a choice
    TimePoint drainFrom {};     // the load balancer has removed the node
    TimePoint answerBy {};      // each request has its answer
    TimePoint closeBy {};       // each connection is closed
    TimePoint endBy {};         // the process ends, before it is killed

    bool admits(TimePoint deadline, TimePoint now) const { return now < this->admitAllUntil || deadline <= this->answerBy; }
};

struct NodeLoad {
    size_t requests = 0;    // in progress
    size_t connections = 0; // of callers, open
};

class StopSequence {
public:
    void begin(Duration grace, TimePoint now); // grace: until the process is killed; does nothing if a stop has begun
    // Moves on by at most one phase. Call it until it returns false; each phase is then to be carried out.
    bool advance(const NodeLoad& load, TimePoint now);
    void entryRemoved(); // from the store; only a node that is Leaving has asked for that

    StopPhase phase() const { return this->current; }
    bool isStopping() const { return this->current != StopPhase::Serving; }
    Duration elapsed(TimePoint now) const { return now - this->begunAt; }
    const std::optional<StopBounds>& bounds() const { return this->times; } // empty: Serving

private:
    bool isOver(const NodeLoad& load, TimePoint now) const; // the present phase

    StopPhase current = StopPhase::Serving;
    TimePoint begunAt {};
    std::optional<StopBounds> times;
    bool isEntryRemoved = false;
};

} // namespace guavapond::edge
