// Compares orders and statuses of moves with what is known of them.
#include "edge/MoveRecord.h"

#include <algorithm>

namespace guavapond::edge {

void MoveRecord::applyOrder(const StoreItem& item, const MoveOrder& order, TimePoint now)
{
    Known& known = this->moves[order.service];
    if (known.item.revision >= item.revision)
        return;
    const bool isOfLaterEra = known.item.revision > 0 && eraOf(item.revision) > eraOf(known.item.revision);
    if (isOfLaterEra && item.value == known.item.value) { // the same order, copied or written again
        known.item = item;
        return;
    }
    if (isOfLaterEra && now < this->copiedUntil)
        return;
    known = Known {};
    known.item = item;
    known.order = order;
    this->hooks.ordered(known.order);
}

void MoveRecord::onChangesLost(TimePoint until)
{
    this->copiedUntil = until;
    for (auto& [service, move] : this->moves) {
        if (!move.wanted)
            move.wanted = move.written;
        move.written.reset();
        move.wasRead = false;
        move.statusRevision = 0;
    }
}

bool MoveRecord::hasOpen() const
{
    return std::any_of(this->moves.begin(), this->moves.end(), [](const auto& move) { return !move.second.hasEnded(); });
}

void MoveRecord::onStatusRead(std::span<const ReadStatus> statuses)
{
    for (const ReadStatus& read : statuses) {
        const auto found = this->moves.find(read.service);
        if (found == this->moves.end())
            continue;
        Known& move = found->second;
        move.statusRevision = read.revision;
        // A status older than the order speaks of an earlier move.
        if (!read.status || read.revision <= move.order.revision || read.status->version != move.order.version)
            continue;
        if (isFinal(read.status->state)) {
            move.written = read.status->state;
            this->hooks.ended(move.order, read.status->state);
        } else if (!move.written)
            move.written = read.status->state; // by another node
    }
    for (auto& [service, move] : this->moves) {
        move.wasRead = true;
        this->write(move);
    }
}

void MoveRecord::publish(const MoveOrder& order, MoveState state)
{
    const auto found = this->moves.find(order.service);
    if (found == this->moves.end() || found->second.order.revision != order.revision)
        return;
    found->second.wanted = isFinal(state) ? state : MoveState::Trying;
    this->write(found->second);
}

void MoveRecord::write(Known& move)
{
    if (!move.wanted || move.wanted == move.written || move.hasEnded() || !move.wasRead || move.isWriting)
        return;
    move.isWriting = true;
    this->hooks.write({ move.order, { move.order.version, *move.wanted }, move.statusRevision });
}

void MoveRecord::onWritten(const Write& write, std::optional<StoreRevision> written)
{
    Known& known = this->moves.at(write.order.service);
    if (known.order.revision != write.order.revision)
        return; // a newer order came meanwhile
    known.isWriting = false;
    if (!written) {
        known.wasRead = false; // the store may hold another status, also this one
        return this->hooks.readStatuses();
    }
    known.written = write.status.state;
    known.statusRevision = *written;
    this->write(known); // the wish may have changed
}

std::vector<StoreItem> MoveRecord::orders() const
{
    std::vector<StoreItem> result;
    for (const auto& [service, move] : this->moves)
        result.push_back(move.item);
    return result;
}

uint64_t MoveRecord::digest() const
{
    uint64_t digest = 0;
    for (const auto& [service, move] : this->moves)
        digest += nameHash(move.item.key + '@' + std::to_string(move.item.revision));
    return digest;
}

} // namespace guavapond::edge
