// The table as this process holds it, and the only way to change it. Safety state: the adopted revision never goes down, and an edit is
// never applied twice and never reported as failed when it is in effect.
//
// Index
//   TableEdit, EditOutcome    an operators' change and what became of it
//   TableStore                adopts revisions, applies edits by compare-and-swap
//
// Not thread-safe; the hooks block. A change is in effect once the compare-and-swap of the head has succeeded; the head carries the
// audit entry, so change and audit record are one write.
#pragma once

#include "core/TableCodec.h"
#include "ports/Platform.h"

#include <memory>

namespace guavapond {

struct TableEdit {
    std::string id;            // unique; the same id again is the same edit: letters, digits, '-' and '_', at most 64
    uint64_t seenRevision = 0; // table revision that the operator saw
    std::string who;
    std::string where;
    std::string reason;
    int64_t unixMs = 0; // wall clock, for the audit trail
    std::vector<CellEdit> cells;
    std::optional<Table> whole; // replaces the table before the cells are applied (import)
};

struct EditOutcome {
    std::optional<uint64_t> revision;     // set: the edit is in effect with this table revision
    bool repeated = false;                // it already was in effect when this call began
    bool unchanged = false;               // it changed nothing, so nothing was written
    std::optional<Failure> reason;        // Conflict, InvalidEdit, PlatformUnavailable; NotRun: proved not in effect; Unknown: may be
    std::vector<AuditEntry> changedSince; // on Conflict: who changed what after seenRevision
    bool changesComplete = true;          // false: older changes have left the head's list
    std::vector<CellFault> faults;        // on InvalidEdit
};

struct TableStoreSettings {
    int editAttempts = 5;                               // rounds of reading, writing and reading back
    uint64_t keepRetired = 8;                           // table revisions for which a replaced page stays readable
    std::function<void(Duration)> pause;                // between attempts; empty: none
    Duration pauseStep = std::chrono::milliseconds(50); // times the number of the attempt
};

class TableStore {
public:
    TableStore(KeyValue port, TableStoreSettings settings);

    // ---- Adoption: true when a higher revision was adopted. A failure leaves the adopted revision in effect.
    Result<bool> refresh();
    Result<bool> watch(Duration wait);
    Result<bool> offer(std::string_view snapshot); // from a peer
    std::string snapshot() const;                  // for peers; empty at revision 0

    std::shared_ptr<const TableIndex> current() const { return this->index; } // never null; revision 0: no table yet
    const TableHead& head() const { return this->adopted; }
    uint64_t lowerOffered() const { return this->lowerCount; } // revisions below the adopted one that were turned down

    // ---- Edits
    EditOutcome edit(const TableEdit& edit);

private:
    using Fragment = std::shared_ptr<const Table>;
    struct Loaded {
        TableHead head;
        std::map<std::string, Fragment> pages; // by page name
        Revision headRevision = 0;             // of the head's key
    };

    struct Progress {
        bool ambiguous = false; // a write of the head has an unknown end
        std::string lastReason;
    };

    Result<Loaded> load(const KeyValuePair& pair);
    bool adopt(Loaded loaded);
    Result<bool> consider(const KeyValuePair& pair);
    std::optional<EditOutcome> tryEdit(const TableEdit& edit, Progress& progress);
    EditOutcome conflict(const TableEdit& edit, const TableHead& head, bool ambiguous) const;
    Result<Loaded> prepare(const TableEdit& edit, const Loaded& base, const Table& table, std::vector<CellChange> changes);
    Result<Revision> writePage(const std::string& key, const std::string& text);
    void removeRetired(const std::vector<RetiredPage>& pages);

    KeyValue kv;
    TableStoreSettings settings;
    TableHead adopted;
    Revision seenHeadRevision = 0; // of the head's key when it was last examined; a watch waits for a higher one
    std::map<std::string, Fragment> adoptedPages;
    std::shared_ptr<const TableIndex> index;
    uint64_t lowerCount = 0;
};

} // namespace guavapond
