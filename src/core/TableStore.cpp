// Adoption and editing of the table over the key-value port.
#include "core/TableStore.h"

#include "core/TableFields.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <nlohmann/json.hpp>

namespace guavapond {

namespace {

using nlohmann::json;

constexpr Duration retiredLease = std::chrono::seconds(10); // its expiry removes a replaced page
constexpr size_t maxEditIdLength = 64;

Failure unavailable(Disposition disposition, std::string message, Duration retryAfter = {})
{
    return { FailureKind::PlatformUnavailable, disposition, std::move(message), retryAfter };
}

EditOutcome failedEdit(Failure reason)
{
    EditOutcome outcome;
    outcome.reason = std::move(reason);
    return outcome;
}

// After an attempt whose end is not known, a later failure proves nothing about it.
EditOutcome unavailableEdit(Failure reason, bool ambiguous)
{
    reason.disposition = ambiguous ? Disposition::Unknown : Disposition::NotRun;
    if (ambiguous)
        reason.message += "; the edit may be in effect: repeat it with the same id to find out";
    return failedEdit(std::move(reason));
}

bool isEditId(std::string_view id)
{
    const auto allowed
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'; };
    return !id.empty() && id.size() <= maxEditIdLength && std::all_of(id.begin(), id.end(), allowed);
}

const AuditEntry* findEdit(const TableHead& head, const std::string& id)
{
    for (const AuditEntry& entry : head.edits) {
        if (entry.editId == id)
            return &entry;
    }
    return nullptr;
}

EditOutcome invalid(std::vector<CellFault> faults)
{
    EditOutcome outcome = failedEdit({ FailureKind::InvalidEdit, Disposition::NotRun, "", {} });
    outcome.reason->message = std::to_string(faults.size()) + (faults.size() == 1 ? " cell is" : " cells are") + " not valid";
    outcome.faults = std::move(faults);
    return outcome;
}

Table joinPages(const std::map<std::string, std::shared_ptr<const Table>>& pages)
{
    Table table;
    for (const auto& [name, page] : pages) {
        const auto append = [](auto& to, const auto& from) { to.insert(to.end(), from.begin(), from.end()); };
        append(table.workspaces, page->workspaces);
        append(table.targets, page->targets);
        append(table.shares, page->shares);
        append(table.moves, page->moves);
    }
    sortRows(table);
    return table;
}

struct EncodedPage {
    TablePage page;
    std::string text; // empty: unchanged
};

// Splits the table into pages that fit. The number of pages of a section grows by powers of two and never shrinks, so that most rows
// keep their page. A page that equals its predecessor is not encoded.
std::vector<EncodedPage> encodePages(
    const Table& table, PageCounts counts, const std::map<std::string, std::shared_ptr<const Table>>& base, const AuditEntry& entry)
{
    while (true) {
        std::vector<EncodedPage> encoded;
        bool fits = true;
        for (TablePage& page : splitPages(table, counts)) {
            const auto old = base.find(page.name);
            const bool unchanged = old != base.end() && *old->second == page.rows;
            std::string text = unchanged ? "" : encodePage(page, entry);
            if (text.size() > maxPageBytes) {
                size_t& count = counts.emplace(page.name.substr(0, page.name.rfind('-')), 1).first->second;
                count *= std::bit_ceil((text.size() + maxPageBytes - 1) / maxPageBytes);
                fits = false;
                break;
            }
            encoded.push_back({ std::move(page), std::move(text) });
        }
        if (fits)
            return encoded;
    }
}

} // namespace

TableStore::TableStore(KeyValue port, TableStoreSettings s)
    : kv(std::move(port))
    , settings(std::move(s))
    , index(std::make_shared<const TableIndex>())
{
    assert(this->settings.editAttempts > 0);
}

// ---- Adoption

Result<TableStore::Loaded> TableStore::load(const KeyValuePair& pair)
{
    Loaded loaded;
    loaded.headRevision = pair.revision;
    if (pair.revision == 0)
        return loaded;
    Result<TableHead> head = decodeHead(pair.value);
    if (!head)
        return *head.reason;
    loaded.head = std::move(*head);
    for (const PageRef& page : loaded.head.pages) {
        const auto same = std::find(this->adopted.pages.begin(), this->adopted.pages.end(), page);
        if (same != this->adopted.pages.end()) {
            loaded.pages[page.name] = this->adoptedPages.at(page.name);
            continue;
        }
        const Result<KeyValuePair> stored = this->kv.get(page.key());
        if (!stored)
            return *stored.reason;
        if (stored->revision == 0 || stored->value.empty())
            return unavailable(Disposition::NotRun, "page " + page.key() + " is gone: the head has moved on");
        Result<Table> rows = decodePage(stored->value, page.name);
        if (!rows)
            return *rows.reason;
        loaded.pages[page.name] = std::make_shared<const Table>(std::move(*rows));
    }
    return loaded;
}

bool TableStore::adopt(Loaded loaded)
{
    if (loaded.head.revision <= this->adopted.revision) {
        this->lowerCount += loaded.head.revision < this->adopted.revision;
        return false;
    }
    this->adopted = std::move(loaded.head);
    this->adoptedPages = std::move(loaded.pages);
    this->index = std::make_shared<const TableIndex>(joinPages(this->adoptedPages), this->adopted.revision, this->index.get());
    return true;
}

Result<bool> TableStore::consider(const KeyValuePair& pair)
{
    Result<TableHead> head = pair.revision == 0 ? Result<TableHead>(TableHead {}) : decodeHead(pair.value);
    if (!head)
        return *head.reason;
    bool changed = false;
    if (head->revision > this->adopted.revision) {
        Result<Loaded> loaded = load(pair);
        if (!loaded)
            return *loaded.reason; // examined again on the next call
        changed = adopt(std::move(*loaded));
    } else
        this->lowerCount += head->revision < this->adopted.revision;
    this->seenHeadRevision = pair.revision;
    return changed;
}

Result<bool> TableStore::refresh()
{
    const Result<KeyValuePair> pair = this->kv.get(headKey);
    if (!pair)
        return *pair.reason;
    return consider(*pair);
}

Result<bool> TableStore::watch(Duration wait)
{
    const Result<std::optional<KeyValuePair>> changed = this->kv.watch(headKey, this->seenHeadRevision, wait);
    if (!changed)
        return *changed.reason;
    return *changed ? consider(**changed) : Result<bool>(false);
}

std::string TableStore::snapshot() const
{
    if (this->adopted.revision == 0)
        return "";
    TableHead head = this->adopted;
    json pages = json::object();
    for (const auto& [name, rows] : this->adoptedPages)
        pages[name] = encodePage({ name, *rows }, {});
    return json { { "head", encodeHead(head) }, { "pages", pages } }.dump();
}

Result<bool> TableStore::offer(std::string_view text)
{
    const Failure malformed { FailureKind::WrongType, Disposition::NotRun, "a peer's snapshot of the table is malformed", {} };
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object() || !object.contains("head") || !object["head"].is_string() || !object.contains("pages"))
        return malformed;
    Result<TableHead> head = decodeHead(object["head"].get_ref<const std::string&>());
    if (!head)
        return *head.reason;
    if (head->revision <= this->adopted.revision) {
        this->lowerCount += head->revision < this->adopted.revision;
        return false;
    }
    Loaded loaded;
    loaded.head = std::move(*head);
    for (const PageRef& page : loaded.head.pages) {
        const json& pages = object["pages"];
        if (!pages.is_object() || !pages.contains(page.name) || !pages[page.name].is_string())
            return malformed;
        Result<Table> rows = decodePage(pages[page.name].get_ref<const std::string&>(), page.name);
        if (!rows)
            return *rows.reason;
        loaded.pages[page.name] = std::make_shared<const Table>(std::move(*rows));
    }
    return adopt(std::move(loaded));
}

// ---- Edits

EditOutcome TableStore::edit(const TableEdit& edit)
{
    if (!isEditId(edit.id))
        return invalid({ { "edit id", edit.id, "1 to 64 letters, digits, '-' or '_'" } });
    Progress progress;
    for (int attempt = 1; attempt <= this->settings.editAttempts; ++attempt) {
        if (auto outcome = tryEdit(edit, progress))
            return *outcome;
        if (this->settings.pause)
            this->settings.pause(this->settings.pauseStep * attempt);
    }
    return unavailableEdit(unavailable(Disposition::Unknown, progress.lastReason), progress.ambiguous);
}

// One round: read the head, settle what an earlier round left open, write. No outcome: another round is needed.
std::optional<EditOutcome> TableStore::tryEdit(const TableEdit& edit, Progress& progress)
{
    const auto again = [&](const Failure& reason) {
        progress.lastReason = reason.message;
        return std::optional<EditOutcome>();
    };
    const Result<KeyValuePair> pair = this->kv.get(headKey);
    if (!pair)
        return progress.ambiguous ? again(*pair.reason) : unavailableEdit(*pair.reason, false);
    Result<Loaded> base = load(*pair);
    if (!base)
        return base.reason->kind == FailureKind::PlatformUnavailable ? again(*base.reason)
                                                                     : unavailableEdit(*base.reason, progress.ambiguous);
    if (base->head.revision < this->adopted.revision) {
        ++this->lowerCount;
        return unavailableEdit(unavailable(Disposition::NotRun,
                                   "the platform offers table revision " + std::to_string(base->head.revision) + ", below the adopted "
                                       + std::to_string(this->adopted.revision)),
            progress.ambiguous);
    }
    adopt(*base);
    if (const AuditEntry* entry = findEdit(base->head, edit.id)) {
        EditOutcome outcome;
        outcome.revision = entry->revision;
        outcome.repeated = !progress.ambiguous;
        return outcome;
    }
    if (base->head.revision != edit.seenRevision)
        return conflict(edit, base->head, progress.ambiguous);

    const Table before = joinPages(base->pages);
    Table after = edit.whole ? *edit.whole : before;
    std::vector<CellFault> faults = applyEdits(after, edit.cells);
    const std::vector<CellFault> rowFaults = validate(after);
    faults.insert(faults.end(), rowFaults.begin(), rowFaults.end());
    if (!faults.empty())
        return invalid(std::move(faults));
    sortRows(after);
    if (after == before) {
        EditOutcome outcome;
        outcome.revision = base->head.revision;
        outcome.unchanged = true;
        return outcome;
    }

    Result<Loaded> next = prepare(edit, *base, after, diffTables(before, after));
    if (!next)
        return next.reason->disposition == Disposition::Unknown ? again(*next.reason) : unavailableEdit(*next.reason, progress.ambiguous);
    std::vector<RetiredPage> removable;
    std::erase_if(next->head.retired, [&](const RetiredPage& page) {
        const bool old = page.since + this->settings.keepRetired < next->head.revision;
        if (old)
            removable.push_back(page);
        return old;
    });
    const std::string text = encodeHead(next->head);
    const Result<Revision> written = this->kv.put(headKey, text, base->headRevision, std::nullopt);
    if (written) {
        EditOutcome outcome;
        outcome.revision = next->head.revision;
        this->seenHeadRevision = *written;
        adopt(std::move(*next));
        removeRetired(removable);
        return outcome;
    }
    if (written.reason->disposition == Disposition::Unknown) {
        // The write may be in effect, or be on its way. Reading back tells; a second write expects the same revision of the head, so at
        // most one of the two takes effect.
        progress.ambiguous = true;
        return again(*written.reason);
    }
    if (written.reason->kind == FailureKind::Conflict)
        return again(*written.reason); // the next round finds this edit or the other operator's
    return unavailableEdit(*written.reason, progress.ambiguous);
}

EditOutcome TableStore::conflict(const TableEdit& edit, const TableHead& head, bool ambiguous) const
{
    EditOutcome outcome;
    for (const AuditEntry& entry : head.edits) {
        if (entry.revision > edit.seenRevision)
            outcome.changedSince.push_back(entry);
    }
    outcome.changesComplete = edit.seenRevision <= head.revision && outcome.changedSince.size() == head.revision - edit.seenRevision;
    std::string message = edit.seenRevision > head.revision ? "the edit names table revision " + std::to_string(edit.seenRevision)
                                                            : "the table has changed since revision " + std::to_string(edit.seenRevision);
    message += "; it is at " + std::to_string(head.revision);
    // An edit id that has left the head's list can't be told from one that never was there.
    const bool proved = outcome.changesComplete || (edit.seenRevision > head.revision && !ambiguous);
    outcome.reason = Failure { FailureKind::Conflict, proved ? Disposition::NotRun : Disposition::Unknown, std::move(message), {} };
    return outcome;
}

// Writes the pages that the edit changes and returns the state that a successful write of the head brings into effect.
Result<TableStore::Loaded> TableStore::prepare(
    const TableEdit& edit, const Loaded& base, const Table& table, std::vector<CellChange> changes)
{
    Loaded next;
    next.head = base.head;
    next.head.revision = base.head.revision + 1;
    AuditEntry entry { edit.id, next.head.revision, edit.unixMs, edit.who, edit.where, edit.reason, std::move(changes), 0 };
    if (entry.cells.size() > maxAuditCells) {
        entry.omittedCells = entry.cells.size() - maxAuditCells;
        entry.cells.resize(maxAuditCells);
    }
    next.head.pages.clear();
    for (auto& [page, text] : encodePages(table, pageCounts(base.head), base.pages, entry)) {
        const auto ref = std::find_if(
            base.head.pages.begin(), base.head.pages.end(), [&, name = page.name](const PageRef& r) { return r.name == name; });
        if (text.empty()) {
            next.head.pages.push_back(*ref);
            next.pages[page.name] = base.pages.at(page.name);
            continue;
        }
        PageRef fresh { page.name, pageRevision(next.head.revision, edit.id, text), 0 };
        const Result<Revision> written = writePage(fresh.key(), text);
        if (!written)
            return *written.reason;
        fresh.storeRevision = *written;
        next.head.pages.push_back(fresh);
        next.pages[page.name] = std::make_shared<const Table>(std::move(page.rows));
        if (ref != base.head.pages.end())
            next.head.retired.push_back({ ref->key(), ref->storeRevision, next.head.revision });
    }
    next.head.edits.push_back(std::move(entry));
    return next;
}

// The key names the content, so a value that is already there was written by an earlier attempt of the same edit.
Result<Revision> TableStore::writePage(const std::string& key, const std::string& text)
{
    Result<Revision> written = this->kv.put(key, text, 0, std::nullopt);
    if (written || (written.reason->disposition != Disposition::Unknown && written.reason->kind != FailureKind::Conflict))
        return written;
    const Result<KeyValuePair> stored = this->kv.get(key);
    if (stored && stored->revision > 0 && stored->value == text)
        return stored->revision;
    return unavailable(Disposition::Unknown, "the answer to the write of a page was lost");
}

// Attaches the pages to a lease that lapses. A failure leaves a page behind, which costs space only.
void TableStore::removeRetired(const std::vector<RetiredPage>& pages)
{
    if (pages.empty())
        return;
    const Result<LeaseId> lease = this->kv.grantLease(retiredLease);
    if (!lease)
        return;
    for (const RetiredPage& page : pages)
        (void)this->kv.put(page.key, "", page.storeRevision, *lease);
}

} // namespace guavapond
