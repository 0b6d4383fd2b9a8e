// Nodes in virtual time whose messages a seeded queue delays, loses and repeats.
#pragma once

#include "core/Membership.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace guavapond::test {

using namespace std::chrono_literals;

inline TimePoint at(Duration sinceStart) { return TimePoint {} + sinceStart; }

struct ClusterFaults {
    double loss = 0;                              // part of the messages
    double repeat = 0;                            // part of the messages, delivered again up to 2 s later
    Duration maxDelay = 5ms;                      // messages take between 1 ms and this
    std::function<bool(size_t, size_t)> isCut {}; // no message goes from the first to the second
};

// Framing of a call between nodes: HTTP/2 frames with compressed headers, TCP and IP, for the request or the response.
constexpr size_t transportBytes = 120;

class ClusterWorld {
public:
    ClusterWorld(size_t nodes, size_t domains, uint64_t seed)
        : random(seed)
        , domainCount(domains)
    {
        this->bytes.resize(nodes);
        this->down.resize(nodes);
        this->pausedUntil.resize(nodes);
        for (size_t i = 0; i < nodes; ++i)
            this->nodes.push_back(this->start(i, nodes));
    }

    static std::string name(size_t i) { return "node-" + std::to_string(i); }
    std::string domain(size_t i) const { return "domain-" + std::to_string(i % this->domainCount); }
    size_t size() const { return this->nodes.size(); }

    void restart(size_t i)
    {
        this->nodes[i] = this->start(i, this->size());
        this->down[i] = false;
    }

    void run(Duration time)
    {
        for (auto until = this->now + time; this->now < until; this->now += step) {
            while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
                auto message = std::move(this->queue.begin()->second);
                this->queue.erase(this->queue.begin());
                this->deliver(std::move(message));
            }
            for (size_t i = 0; i < this->size(); ++i) {
                if (!this->down[i] && this->pausedUntil[i] <= this->now)
                    this->send(i, this->nodes[i]->advance(this->now));
            }
        }
    }

    // How many live nodes take `subject` as live.
    size_t seenLive(size_t subject) const
    {
        size_t count = 0;
        for (size_t i = 0; i < this->size(); ++i)
            count += !this->down[i] && this->nodes[i]->find(name(subject))->isLive() ? 1 : 0;
        return count;
    }

    size_t up() const { return static_cast<size_t>(std::count(this->down.begin(), this->down.end(), false)); }

    // Pairs of live nodes in which the first has a wrong view of the second.
    size_t wrongViews() const
    {
        size_t wrong = 0;
        for (size_t i = 0; i < this->size(); ++i)
            wrong += this->down[i] ? this->seenLive(i) : this->up() - this->seenLive(i);
        return wrong;
    }

    double maxBytesPerSecond(Duration time) const // of the busiest node, sent
    {
        return static_cast<double>(*std::max_element(this->bytes.begin(), this->bytes.end())) / toSeconds(time);
    }

    void resetBytes() { std::fill(this->bytes.begin(), this->bytes.end(), 0); }

    ClusterFaults faults;
    std::vector<std::unique_ptr<Membership>> nodes;
    std::vector<bool> down;
    std::vector<TimePoint> pausedUntil;
    std::vector<size_t> bytes; // sent by each node
    TimePoint now {};
    std::mt19937_64 random;

private:
    static constexpr Duration step = 20ms;

    std::unique_ptr<Membership> start(size_t i, size_t count)
    {
        NodeIdentity identity { name(i), this->random() | 1 };
        auto node = std::make_unique<Membership>(identity, this->domain(i), MembershipSettings {},
            [generator = std::mt19937_64(this->random())](uint64_t bound) mutable { return generator() % bound; });
        for (size_t peer = 0; peer < count; ++peer) {
            if (peer != i)
                node->addPeer(name(peer), this->domain(peer));
        }
        return node;
    }

    double unit() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    static size_t indexOf(const std::string& node) { return std::stoul(node.substr(5)); }

    void send(size_t from, std::vector<MembershipMessage> messages)
    {
        for (auto& message : messages) {
            this->bytes[from] += encodedBytes(message) + transportBytes;
            if (this->faults.isCut && this->faults.isCut(from, indexOf(message.to)))
                continue;
            if (this->unit() < this->faults.repeat)
                this->queue.emplace(this->now + fromSeconds(2 * this->unit()), message);
            if (this->unit() >= this->faults.loss)
                this->queue.emplace(this->now + 1ms + fromSeconds(this->unit() * toSeconds(this->faults.maxDelay)), std::move(message));
        }
    }

    void deliver(MembershipMessage message)
    {
        size_t to = indexOf(message.to);
        if (this->down[to])
            return;
        if (this->pausedUntil[to] > this->now) { // waits in the socket's buffer
            this->queue.emplace(this->pausedUntil[to] + 1ms, std::move(message));
            return;
        }
        this->send(to, this->nodes[to]->onMessage(message, this->now));
    }

    size_t domainCount;
    std::multimap<TimePoint, MembershipMessage> queue;
};

} // namespace guavapond::test
