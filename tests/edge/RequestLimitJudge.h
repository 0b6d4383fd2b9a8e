// Judges what arrives at targets that name request limits, as operators do: from `contact` after a target first named its limit, any
// window of 4 s may hold one and a half times what the limit allows, and 5 requests. Only requests count that come from nodes which got
// an answer with the limit half a second earlier or more. A node that was restarted, frozen or cut off is excused for `contact`.
//
// Index
//   RequestLimitJudge   onNamed, onAnswer, onArrival, excuse, forget, worst
#pragma once

#include "core/Types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavapond::edge {

class RequestLimitJudge {
public:
    static constexpr Duration window = std::chrono::seconds(4);
    static constexpr Duration answerMargin = std::chrono::milliseconds(500);
    static constexpr double tolerance = 1.5;
    static constexpr double allowance = 5; // requests

    explicit RequestLimitJudge(Duration contact)
        : contact(contact)
    {
    }

    // The target names this limit from now on; empty: none. An absent limit leaves no window that contains this time to be judged.
    void onNamed(const std::string& target, std::optional<double> perSecond, TimePoint at)
    {
        this->targets[target].named.emplace_back(at, perSecond);
    }
    // A node receives an answer of the target.
    void onAnswer(const std::string& node, const std::string& target, TimePoint at)
    {
        Target& entry = this->targets[target];
        if (!entry.named.empty() && entry.named.back().second)
            entry.toldAt.try_emplace(node, at);
    }
    void onArrival(const std::string& node, const std::string& target, TimePoint at)
    {
        Target& entry = this->targets[target];
        const auto told = entry.toldAt.find(node);
        const auto excused = this->excusedUntil.find(node);
        const bool counts = told != entry.toldAt.end() && at - told->second >= answerMargin
            && (excused == this->excusedUntil.end() || at >= excused->second);
        if (counts)
            entry.arrivals.push_back(at);
    }
    void excuse(const std::string& node, TimePoint until) { this->excusedUntil[node] = until + this->contact; }
    void forget(const std::string& node) // a restarted node knows nothing
    {
        for (auto& [name, target] : this->targets)
            target.toldAt.erase(node);
    }

    struct Finding {
        std::string target;
        TimePoint at {};
        size_t arrived = 0;
        double allowed = 0;
        double ratio = 0; // of arrived to allowed; above 1: a breach
        std::string text() const
        {
            return this->target + " got " + std::to_string(this->arrived) + " requests in 4 s; allowed " + std::to_string(this->allowed);
        }
    };
    Finding worst() const
    {
        Finding result;
        for (const auto& [name, target] : this->targets) {
            std::deque<TimePoint> inWindow;
            for (const TimePoint at : target.arrivals) {
                inWindow.push_back(at);
                while (inWindow.front() <= at - window)
                    inWindow.pop_front();
                const auto allowed = this->allowed(target, at);
                if (!allowed || static_cast<double>(inWindow.size()) <= result.ratio * *allowed)
                    continue;
                result = { name, at, inWindow.size(), *allowed, static_cast<double>(inWindow.size()) / *allowed };
            }
        }
        return result;
    }

private:
    struct Target {
        std::vector<std::pair<TimePoint, std::optional<double>>> named; // limit from that time on
        std::map<std::string, TimePoint> toldAt;                        // by node
        std::vector<TimePoint> arrivals;                                // that count
    };
    // Requests in the window that ends at `end`; empty: it is not judged.
    std::optional<double> allowed(const Target& target, TimePoint end) const
    {
        const TimePoint begin = end - window;
        if (target.named.empty() || end < target.named.front().first + this->contact)
            return std::nullopt;
        double sum = 0;
        for (size_t i = 0; i < target.named.size(); ++i) {
            const TimePoint from = std::max(begin, i == 0 ? begin : target.named[i].first);
            const TimePoint to = i + 1 < target.named.size() ? std::min(end, target.named[i + 1].first) : end;
            if (to <= from)
                continue;
            if (!target.named[i].second)
                return std::nullopt;
            sum += *target.named[i].second * toSeconds(to - from);
        }
        return tolerance * sum + allowance;
    }

    Duration contact;
    std::map<std::string, Target> targets;
    std::map<std::string, TimePoint> excusedUntil;
};

} // namespace guavapond::edge
