// Stand-in for the platform's store: keys with revisions, ranges in pages, transactions under a condition, leases; with the faults
// that tests need.
//
// Index
//   StoreMode       how the stand-in behaves
//   StoreModel      the state, without a network
//   PlatformStore   the state behind HTTP
#pragma once

#include "edge/HttpListener.h"

#include <nlohmann/json.hpp>
#include <set>

namespace guavapond::standins {

enum class StoreMode : uint8_t {
    Up,
    Busy,         // 503 to every call; nothing is done
    Silent,       // calls are not answered
    LosesAnswers, // changes are done and not answered
};

class StoreModel {
public:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t created = 0;
        uint64_t lease = 0;
    };
    struct Answer {
        unsigned status = 200;
        nlohmann::json body;
        bool changed = false;
    };

    uint64_t put(const std::string& key, const std::string& value, uint64_t lease = 0);
    void remove(const std::string& key);
    Answer range(const std::string& prefix, const std::string& after) const;
    Answer transact(const nlohmann::json& request);
    Answer grant(Duration asked, TimePoint now);
    Answer renew(uint64_t lease, TimePoint now);
    Answer end(uint64_t lease);
    void expire(TimePoint now);    // removes the keys of leases that ran out
    void restore(StoreModel copy); // loses all changes, leases too, that this copy does not have
    const std::map<std::string, Item>& items() const { return this->byKey; }

    size_t pageItems = 500;
    uint64_t era = 1;                                 // rises when changes are lost
    Duration longestLease = std::chrono::minutes(10); // a longer one is cut to it

private:
    struct Lease {
        Duration ttl;
        TimePoint endsAt;
    };
    std::map<std::string, Item> byKey;
    std::map<uint64_t, Lease> leases;
    uint64_t revision = 100;
    uint64_t nextLease = 7000;
};

class PlatformStore {
public:
    PlatformStore(edge::net::io_context& loop, const edge::Address& address);

    void start() { this->listener.listen(); }
    uint16_t port() const { return this->listener.port(); }
    void silenceOpenConnections(); // calls on them are no longer answered; new connections work

    StoreModel model;
    StoreMode mode = StoreMode::Up;
    size_t calls = 0;
    std::vector<nlohmann::json> oddEntries;            // in each range, after the model's
    std::optional<std::vector<std::string>> eraFields; // values of the era's header fields, in place of the model's era

private:
    void onCall(const edge::CallerPointer& caller, const edge::CallerRequest& request);
    StoreModel::Answer handle(
        const std::string& method, const std::string& path, const std::map<std::string, std::string>& query, const std::string& body);

    edge::HttpListener listener;
    using Callers = std::set<std::weak_ptr<edge::CallerConnection>, std::owner_less<>>;
    std::vector<edge::CallerPointer> unanswered;
    Callers callers; // that have made a call
    Callers silenced;
};

} // namespace guavapond::standins
