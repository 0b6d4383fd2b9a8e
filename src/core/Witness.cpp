// Owner's and witness's state machines, and the JSON form of the incarnation record.
#include "core/Witness.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <nlohmann/json.hpp>

namespace guavapond {

using nlohmann::json;

// ---- Record

namespace {

// 64-bit numbers are texts: many JSON readers keep 53 bits only.
std::string hexText(uint64_t value)
{
    std::array<char, 16> digits {};
    auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
    return { digits.data(), end };
}

std::optional<uint64_t> hexField(const json& object, const char* key)
{
    auto field = object.find(key);
    if (field == object.end() || !field->is_string())
        return std::nullopt;
    const auto& text = field->get_ref<const std::string&>();
    uint64_t value = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<std::string> nodeField(const json& object, const char* key)
{
    auto field = object.find(key);
    if (field == object.end() || !field->is_string() || !isNodeName(field->get_ref<const std::string&>()))
        return std::nullopt;
    return field->get<std::string>();
}

json entryJson(const IncarnationEntry& entry)
{
    return {
        { "incarnation", hexText(entry.incarnation) },
        { "witness", entry.witness.node },
        { "witnessIncarnation", hexText(entry.witness.incarnation) },
        { "epoch", hexText(entry.epoch) },
        { "token", hexText(entry.token) },
    };
}

std::optional<IncarnationEntry> parseEntry(const json& object)
{
    if (!object.is_object())
        return std::nullopt;
    auto incarnation = hexField(object, "incarnation");
    auto witness = nodeField(object, "witness");
    auto witnessIncarnation = hexField(object, "witnessIncarnation");
    auto epoch = hexField(object, "epoch");
    auto token = hexField(object, "token");
    if (!incarnation || !witness || !witnessIncarnation || !epoch || !token)
        return std::nullopt;
    return IncarnationEntry { *incarnation, { *witness, *witnessIncarnation }, *epoch, *token };
}

Failure malformedRecord(const char* what)
{
    return { FailureKind::WrongType, Disposition::NotRun, std::string("incarnation record: ") + what, {} };
}

} // namespace

std::string recordKey(std::string_view node) { return "guavapond/node/" + std::string(node); }

std::string recordText(const IncarnationRecord& record)
{
    json previous = json::array();
    for (const IncarnationEntry& entry : record.previous)
        previous.push_back(entryJson(entry));
    return json {
        { "node", record.node },
        { "current", entryJson(record.current) },
        { "fenced", record.fenced },
        { "previous", previous },
    }
        .dump();
}

Result<IncarnationRecord> parseRecord(std::string_view text)
{
    json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return malformedRecord("not a JSON object");
    auto node = nodeField(object, "node");
    if (!node)
        return malformedRecord("node is missing or not a node name");
    auto current = parseEntry(object.value("current", json()));
    if (!current)
        return malformedRecord("current is missing or incomplete");
    json fenced = object.value("fenced", json());
    json previous = object.value("previous", json());
    if (!fenced.is_boolean() || !previous.is_array() || previous.size() > maxPreviousIncarnations)
        return malformedRecord("fenced or previous is missing or of the wrong type");
    IncarnationRecord record { *node, *current, fenced.get<bool>(), {} };
    for (const json& item : previous) {
        auto entry = parseEntry(item);
        if (!entry)
            return malformedRecord("an entry of previous is incomplete");
        record.previous.push_back(*entry);
    }
    return record;
}

namespace {

// Nothing: the key is absent.
Result<std::optional<IncarnationRecord>> recordOf(const Result<KeyValuePair>& read, std::string_view node)
{
    if (!read)
        return *read.reason;
    if (read->revision == 0)
        return std::optional<IncarnationRecord>();
    auto record = parseRecord(read->value);
    if (!record)
        return *record.reason;
    if (record->node != node)
        return malformedRecord("of another node");
    return std::optional<IncarnationRecord>(*record);
}

const IncarnationEntry* findPrevious(const IncarnationRecord& record, uint64_t incarnation)
{
    auto found = std::find_if(record.previous.begin(), record.previous.end(),
        [incarnation](const IncarnationEntry& entry) { return entry.incarnation == incarnation; });
    return found == record.previous.end() ? nullptr : &*found;
}

} // namespace

// ---- Owner: choosing a witness

WitnessedOwner::WitnessedOwner(const NodeIdentity& identity, const OwnerSettings& ownerSettings)
    : self(identity)
    , settings(ownerSettings)
{
    assert(isNodeName(identity.node));
    assert(ownerSettings.batch > 0);
}

void WitnessedOwner::replaceWitness(const NodeIdentity& candidate, uint64_t mark, std::vector<uint64_t> queued, TimePoint now)
{
    if (this->phase == OwnerState::HandingOver || this->phase == OwnerState::Stopped)
        return;
    assert(candidate.node != this->self.node && "a node that fails can't answer for itself");
    dropGrants();
    this->currentWitness = candidate;
    ++this->currentEpoch;
    this->installMark = mark;
    this->installQueued = std::move(queued);
    if (this->installQueued.size() > this->settings.installList)
        this->installQueued.resize(this->settings.installList);
    enter(OwnerState::Installing, now);
    this->waitingSince = now;
}

bool WitnessedOwner::wantsWitness(TimePoint now) const
{
    if (this->phase == OwnerState::Unwitnessed)
        return true;
    if (this->phase != OwnerState::Installing && this->phase != OwnerState::Active)
        return false;
    return this->waitingSince && *this->waitingSince + this->settings.witnessTimeout <= now;
}

void WitnessedOwner::enter(OwnerState next, TimePoint now)
{
    this->phase = next;
    this->due = now;
    this->waitingSince = std::nullopt;
}

void WitnessedOwner::dropGrants()
{
    this->asked.clear();
    this->fresh.clear();
    this->granted.clear();
}

// ---- Owner: grants

bool WitnessedOwner::ask(uint64_t sequence)
{
    if (this->phase != OwnerState::Active)
        return false;
    if (this->granted.contains(sequence) || this->asked.contains(sequence))
        return true;
    if (outstanding() >= this->settings.maxOutstanding)
        return false;
    this->asked.insert(sequence);
    this->fresh.push_back(sequence);
    return true;
}

void WitnessedOwner::withdraw(uint64_t sequence)
{
    this->asked.erase(sequence);
    this->granted.erase(sequence);
}

bool WitnessedOwner::mayDispatch(uint64_t sequence) const { return this->phase == OwnerState::Active && this->granted.contains(sequence); }

bool WitnessedOwner::useGrant(uint64_t sequence) { return mayDispatch(sequence) && this->granted.erase(sequence) > 0; }

void WitnessedOwner::handOver(TimePoint now)
{
    if (this->phase == OwnerState::HandingOver || this->phase == OwnerState::Stopped)
        return;
    // Only the witness of the record's epoch can use a handover.
    if (this->phase != OwnerState::Active) {
        dropGrants();
        enter(OwnerState::Stopped, now);
        return;
    }
    this->asked.clear();
    this->fresh.clear();
    enter(OwnerState::HandingOver, now);
    this->waitingSince = now;
}

// ---- Owner: events

void WitnessedOwner::onMessage(const WitnessMessage& message, TimePoint now)
{
    bool current = message.owner == this->self && message.witness == this->currentWitness && message.epoch == this->currentEpoch;
    if (!current)
        return;
    switch (message.kind) {
    case WitnessMessage::Kind::Installed:
        if (this->phase != OwnerState::Installing)
            return;
        this->token = message.token;
        enter(OwnerState::Reading, now);
        return;
    case WitnessMessage::Kind::Granted:
        onGranted(message, now);
        return;
    case WitnessMessage::Kind::Refused:
        if (this->phase != OwnerState::Installing && this->phase != OwnerState::Active)
            return;
        dropGrants();
        enter(OwnerState::Unwitnessed, now);
        return;
    case WitnessMessage::Kind::HandoverTaken:
        if (this->phase != OwnerState::HandingOver)
            return;
        dropGrants();
        enter(OwnerState::Stopped, now);
        return;
    }
}

void WitnessedOwner::onGranted(const WitnessMessage& message, TimePoint now)
{
    if (this->phase != OwnerState::Active)
        return;
    for (uint64_t sequence : message.sequences) {
        if (this->asked.erase(sequence) > 0)
            this->granted.insert(sequence);
    }
    this->waitingSince = std::nullopt;
    if (!this->asked.empty())
        this->waitingSince = now;
}

void WitnessedOwner::onRecordRead(const Result<KeyValuePair>& result, TimePoint now)
{
    this->accessOutstanding = false;
    if (this->phase != OwnerState::Reading)
        return;
    auto found = recordOf(result, this->self.node);
    if (!found) {
        this->due = now + this->settings.platformRetry;
        return;
    }
    this->lastRecord = *found;
    this->revision = result->revision;
    decideOnRecord(*found, now);
}

void WitnessedOwner::decideOnRecord(const std::optional<IncarnationRecord>& found, TimePoint now)
{
    if (found && found->current.incarnation == this->self.incarnation) {
        this->registered = true;
        bool ours = found->current.epoch == this->currentEpoch;
        if (found->fenced || found->current.epoch > this->currentEpoch)
            enter(OwnerState::Stopped, now);
        else
            enter(ours ? OwnerState::Active : OwnerState::Writing, now);
        return;
    }
    // Another incarnation, or none. Whoever was in the record once and is not any more was replaced.
    bool replaced = this->registered || (found && findPrevious(*found, this->self.incarnation));
    enter(replaced ? OwnerState::Stopped : OwnerState::Writing, now);
}

IncarnationRecord WitnessedOwner::nextRecord() const
{
    IncarnationRecord next { this->self.node, { this->self.incarnation, this->currentWitness, this->currentEpoch, this->token }, false,
        {} };
    if (!this->lastRecord)
        return next;
    next.previous = this->lastRecord->previous;
    if (this->lastRecord->current.incarnation != this->self.incarnation)
        next.previous.insert(next.previous.begin(), this->lastRecord->current);
    if (next.previous.size() > maxPreviousIncarnations)
        next.previous.resize(maxPreviousIncarnations);
    return next;
}

void WitnessedOwner::onRecordWritten(const Result<Revision>& result, TimePoint now)
{
    this->accessOutstanding = false;
    if (result)
        this->registered = true;
    if (this->phase != OwnerState::Writing)
        return;
    if (result) {
        enter(OwnerState::Active, now);
        return;
    }
    // Refused, or lost and perhaps in effect: the record itself tells which.
    enter(OwnerState::Reading, now);
    if (result.reason->kind != FailureKind::Conflict)
        this->due = now + this->settings.platformRetry;
}

OwnerOutput WitnessedOwner::advance(TimePoint now)
{
    OwnerOutput output;
    if (this->phase == OwnerState::HandingOver && *this->waitingSince + this->settings.witnessTimeout <= now) {
        dropGrants();
        enter(OwnerState::Stopped, now);
    }
    if (this->due <= now)
        addDue(output, now);
    if (this->phase == OwnerState::Active && !this->fresh.empty()) {
        std::erase_if(this->fresh, [this](uint64_t sequence) { return !this->asked.contains(sequence); });
        addRequests(output, this->fresh);
        this->fresh.clear();
    }
    if (this->phase == OwnerState::Active && this->asked.empty())
        this->waitingSince = std::nullopt;
    else if (this->phase == OwnerState::Active && !this->waitingSince)
        this->waitingSince = now;
    return output;
}

void WitnessedOwner::addDue(OwnerOutput& output, TimePoint now)
{
    switch (this->phase) {
    case OwnerState::Installing:
        output.messages.push_back(newMessage(OwnerMessage::Kind::Install));
        output.messages.back().mark = this->installMark;
        output.messages.back().sequences = this->installQueued;
        break;
    case OwnerState::HandingOver:
        output.messages.push_back(newMessage(OwnerMessage::Kind::Handover));
        output.messages.back().sequences.assign(this->granted.begin(), this->granted.end());
        break;
    case OwnerState::Active:
        this->fresh.clear();
        addRequests(output, std::vector<uint64_t>(this->asked.begin(), this->asked.end()));
        break;
    case OwnerState::Reading:
    case OwnerState::Writing:
        if (this->accessOutstanding)
            return;
        this->accessOutstanding = true;
        output.access.emplace();
        output.access->write = this->phase == OwnerState::Writing;
        if (output.access->write) {
            output.access->record = nextRecord();
            output.access->expected = this->lastRecord ? this->revision : 0;
        }
        return;
    case OwnerState::Unwitnessed:
    case OwnerState::Stopped:
        return;
    }
    this->due = now + this->settings.resend;
}

void WitnessedOwner::addRequests(OwnerOutput& output, std::span<const uint64_t> sequences) const
{
    for (size_t at = 0; at < sequences.size(); at += this->settings.batch) {
        auto part = sequences.subspan(at, std::min(this->settings.batch, sequences.size() - at));
        output.messages.push_back(newMessage(OwnerMessage::Kind::RequestGrants));
        output.messages.back().sequences.assign(part.begin(), part.end());
    }
}

OwnerMessage WitnessedOwner::newMessage(OwnerMessage::Kind kind) const
{
    return { kind, this->self, this->currentWitness, this->currentEpoch, this->token, 0, {} };
}

std::optional<TimePoint> WitnessedOwner::nextWake() const
{
    switch (this->phase) {
    case OwnerState::Unwitnessed:
    case OwnerState::Stopped:
        return std::nullopt;
    case OwnerState::Reading:
    case OwnerState::Writing:
        return this->accessOutstanding ? std::nullopt : std::optional(this->due);
    case OwnerState::Active:
        return this->asked.empty() ? std::nullopt : std::optional(this->due);
    case OwnerState::Installing:
    case OwnerState::HandingOver:
        return this->due;
    }
    return std::nullopt;
}

// ---- Sequence numbers

void SequenceSet::insert(uint64_t sequence)
{
    if (contains(sequence))
        return;
    uint64_t first = sequence;
    uint64_t last = sequence;
    auto next = this->ranges.upper_bound(sequence);
    if (next != this->ranges.begin() && std::prev(next)->second + 1 == sequence) {
        first = std::prev(next)->first;
        this->ranges.erase(std::prev(next));
    }
    if (next != this->ranges.end() && next->first - 1 == sequence) {
        last = next->second;
        this->ranges.erase(next);
    }
    this->ranges.emplace(first, last);
    if (this->ranges.size() > this->bound) {
        auto second = std::next(this->ranges.begin());
        this->ranges.begin()->second = second->second;
        this->ranges.erase(second);
    }
}

void SequenceSet::erase(uint64_t sequence)
{
    // Without room for one more range the number stays a member.
    if (!contains(sequence) || this->ranges.size() >= this->bound)
        return;
    auto range = std::prev(this->ranges.upper_bound(sequence));
    auto [first, last] = *range;
    this->ranges.erase(range);
    if (first < sequence)
        this->ranges.emplace(first, sequence - 1);
    if (sequence < last)
        this->ranges.emplace(sequence + 1, last);
}

bool SequenceSet::contains(uint64_t sequence) const
{
    auto next = this->ranges.upper_bound(sequence);
    return next != this->ranges.begin() && std::prev(next)->second >= sequence;
}

// ---- Witness: messages

WitnessStore::WitnessStore(const NodeIdentity& identity, const WitnessSettings& witnessSettings)
    : self(identity)
    , settings(witnessSettings)
{
    assert(isNodeName(identity.node));
}

std::optional<WitnessMessage> WitnessStore::onMessage(const OwnerMessage& message, TimePoint now)
{
    if (message.witness != this->self)
        return std::nullopt;
    if (message.kind == OwnerMessage::Kind::Install)
        return install(message, now);
    Store* store = find(message.owner);
    if (!store || store->epoch != message.epoch || store->token != message.token)
        return reply(message, WitnessMessage::Kind::Refused);
    store->lastHeard = now;
    return message.kind == OwnerMessage::Kind::Handover ? takeHandover(message, *store) : grant(message, *store);
}

std::optional<WitnessMessage> WitnessStore::install(const OwnerMessage& message, TimePoint now)
{
    if (Store* held = find(message.owner)) {
        if (message.epoch < held->epoch)
            return std::nullopt;
        // What a takeover answers from is not replaced.
        if (held->phase != Phase::Granting)
            return reply(message, WitnessMessage::Kind::Refused);
        // A repeated Install: its list is older than the grants.
        if (message.epoch == held->epoch) {
            WitnessMessage repeated = reply(message, WitnessMessage::Kind::Installed);
            repeated.token = held->token;
            return repeated;
        }
        this->stores.erase(keyOf(message.owner));
    }
    makeRoom();
    Store store(this->settings.maxRanges);
    store.epoch = message.epoch;
    store.token = ++this->lastToken;
    store.mark = message.mark;
    store.notDispatched = message.sequences;
    if (store.notDispatched.size() > this->settings.maxInstallList)
        store.notDispatched.resize(this->settings.maxInstallList);
    std::sort(store.notDispatched.begin(), store.notDispatched.end());
    store.lastHeard = now;
    this->stores.emplace(keyOf(message.owner), std::move(store));
    WitnessMessage installed = reply(message, WitnessMessage::Kind::Installed);
    installed.token = this->lastToken;
    return installed;
}

WitnessMessage WitnessStore::grant(const OwnerMessage& message, Store& store) const
{
    if (store.phase != Phase::Granting)
        return reply(message, WitnessMessage::Kind::Refused);
    WitnessMessage granted = reply(message, WitnessMessage::Kind::Granted);
    granted.sequences = message.sequences;
    if (granted.sequences.size() > this->settings.maxBatch)
        granted.sequences.resize(this->settings.maxBatch);
    for (uint64_t sequence : granted.sequences)
        store.granted.insert(sequence);
    return granted;
}

WitnessMessage WitnessStore::takeHandover(const OwnerMessage& message, Store& store) const
{
    for (uint64_t sequence : message.sequences)
        store.granted.erase(sequence);
    // An owner that has handed over uses no further epoch, so that its record need not be fenced.
    if (store.phase != Phase::Fenced)
        store.phase = Phase::HandedOver;
    return reply(message, WitnessMessage::Kind::HandoverTaken);
}

WitnessMessage WitnessStore::reply(const OwnerMessage& message, WitnessMessage::Kind kind) const
{
    return { kind, this->self, message.owner, message.epoch, 0, {} };
}

void WitnessStore::makeRoom()
{
    while (!this->stores.empty() && this->stores.size() >= this->settings.maxOwners) {
        auto oldest = std::min_element(
            this->stores.begin(), this->stores.end(), [](const auto& a, const auto& b) { return a.second.lastHeard < b.second.lastHeard; });
        this->stores.erase(oldest);
    }
}

// ---- Witness: takeover

void WitnessStore::presumeFailed(const NodeIdentity& owner, TimePoint now)
{
    Store* store = find(owner);
    if (!store || store->phase != Phase::Granting)
        return;
    store->phase = Phase::Reading;
    store->due = now;
}

std::vector<TakeoverAccess> WitnessStore::advance(TimePoint now)
{
    std::vector<TakeoverAccess> accesses;
    for (auto& [key, store] : this->stores) {
        bool wants = store.phase == Phase::Reading || store.phase == Phase::Writing;
        if (!wants || store.accessOutstanding || store.due > now)
            continue;
        store.accessOutstanding = true;
        TakeoverAccess& takeover = accesses.emplace_back();
        takeover.owner = { key.first, key.second };
        takeover.access.write = store.phase == Phase::Writing;
        if (takeover.access.write) {
            takeover.access.record = store.record;
            takeover.access.expected = store.expected;
        }
    }
    return accesses;
}

void WitnessStore::onRecordRead(const NodeIdentity& owner, const Result<KeyValuePair>& result, TimePoint now)
{
    Store* store = find(owner);
    if (!store)
        return;
    store->accessOutstanding = false;
    if (store->phase != Phase::Reading)
        return;
    auto found = recordOf(result, owner.node);
    if (!found) {
        store->due = now + this->settings.platformRetry;
        return;
    }
    if (!*found) {
        this->stores.erase(keyOf(owner));
        return;
    }
    store->due = now;
    decideOnRecord(owner, *store, **found, result->revision);
}

void WitnessStore::decideOnRecord(const NodeIdentity& owner, Store& store, const IncarnationRecord& found, Revision foundRevision)
{
    const IncarnationEntry ours { owner.incarnation, this->self, store.epoch, store.token };
    if (found.current == ours) {
        store.phase = found.fenced ? Phase::Fenced : Phase::Writing;
        store.record = found;
        store.record.fenced = true;
        store.expected = foundRevision;
        return;
    }
    const IncarnationEntry* previous = findPrevious(found, owner.incarnation);
    if (found.current.incarnation != owner.incarnation && previous && *previous == ours) {
        store.phase = Phase::Fenced;
        return;
    }
    // Another epoch is, or may come to be, in effect: this witness has not seen all grants.
    this->stores.erase(keyOf(owner));
}

void WitnessStore::onRecordWritten(const NodeIdentity& owner, const Result<Revision>& result, TimePoint now)
{
    Store* store = find(owner);
    if (!store)
        return;
    store->accessOutstanding = false;
    if (store->phase != Phase::Writing)
        return;
    store->due = now;
    store->phase = result ? Phase::Fenced : Phase::Reading;
    if (!result && result.reason->kind != FailureKind::Conflict)
        store->due = now + this->settings.platformRetry;
}

std::optional<TimePoint> WitnessStore::nextWake() const
{
    std::optional<TimePoint> wake;
    for (const auto& [key, store] : this->stores) {
        bool wants = store.phase == Phase::Reading || store.phase == Phase::Writing;
        if (wants && !store.accessOutstanding && (!wake || store.due < *wake))
            wake = store.due;
    }
    return wake;
}

std::optional<Disposition> WitnessStore::answer(const Ticket& ticket) const
{
    const Store* store = find(ticket.owner);
    if (!store || !ticket.witnessed)
        return Disposition::Unknown;
    if (store->phase != Phase::Fenced && store->phase != Phase::HandedOver)
        return std::nullopt;
    bool beforeEpoch
        = ticket.sequence < store->mark && !std::binary_search(store->notDispatched.begin(), store->notDispatched.end(), ticket.sequence);
    if (beforeEpoch || store->granted.contains(ticket.sequence))
        return Disposition::Unknown;
    return Disposition::NotRun;
}

const WitnessStore::Store* WitnessStore::find(const NodeIdentity& owner) const
{
    auto found = this->stores.find(keyOf(owner));
    return found == this->stores.end() ? nullptr : &found->second;
}

WitnessStore::Store* WitnessStore::find(const NodeIdentity& owner)
{
    auto found = this->stores.find(keyOf(owner));
    return found == this->stores.end() ? nullptr : &found->second;
}

} // namespace guavapond
