// What the store says of the moves of services to new versions: the operators' orders, and this system's statuses of them. Decides which
// order is new and which status has to be written.
//
// Index
//   MoveStatus    a status as the store holds it
//   MoveRecord    applyOrder, onStatusRead, onChangesLost, publish, onWritten; hasOpen, orders, digest
#pragma once

#include "edge/PeerLink.h"

namespace guavapond::edge {

struct MoveStatus {
    std::string version;
    MoveState state = MoveState::Trying;
};

class MoveRecord {
public:
    struct Write {
        MoveOrder order;
        MoveStatus status;
        StoreRevision expected = 0; // of the present status; 0: there is none
    };
    struct Hooks {
        std::function<void(const MoveOrder&)> ordered;
        std::function<void(const MoveOrder&, MoveState)> ended; // the store holds a final status
        std::function<void()> readStatuses;                     // calls onStatusRead() for all services when done
        std::function<void(const Write&)> write;                // calls onWritten() when done
    };
    explicit MoveRecord(Hooks hooks)
        : hooks(std::move(hooks))
    {
    }

    void applyOrder(const StoreItem& item, const MoveOrder& order, TimePoint now); // a newer one only
    // The store is back from an older copy. Its statuses may be gone, and until `copiedUntil` its orders may be older than the known ones.
    void onChangesLost(TimePoint copiedUntil);
    struct ReadStatus {
        std::string service;
        StoreRevision revision = 0;
        std::optional<MoveStatus> status; // empty: it can't be read
    };
    void onStatusRead(std::span<const ReadStatus> statuses); // all that the store holds
    // Brings the state of a move into the store unless it has it, or has a final one. The newest wish counts. Repeats are harmless.
    void publish(const MoveOrder& order, MoveState state);
    void onWritten(const Write& write, std::optional<StoreRevision> written); // empty: the call failed, or may have

    bool hasOpen() const; // moves without a final status in the store
    std::vector<StoreItem> orders() const;
    uint64_t digest() const;

private:
    struct Known {
        StoreItem item;                   // as written last
        MoveOrder order;                  // as given first
        StoreRevision statusRevision = 0; // of the newest status that was read; 0: none
        bool wasRead = false;             // the statuses were read since the order came
        bool isWriting = false;
        std::optional<MoveState> wanted;  // newest state to publish
        std::optional<MoveState> written; // and acknowledged, or read
        bool hasEnded() const { return this->written && isFinal(*this->written); }
    };
    void write(Known& move);

    Hooks hooks;
    std::map<std::string, Known> moves; // by service
    TimePoint copiedUntil {};
};

} // namespace guavapond::edge
