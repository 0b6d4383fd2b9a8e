// The operators' table: what each workspace may use, which targets there are, and how traffic is divided among versions.
//
// Index
//   Rows          WorkspaceRow, TargetRow, ShareRow, MoveRow, Table
//   Validation    CellFault, validate
//   TableIndex    immutable snapshot with names interned into dense ids; read without locks on the request path
#pragma once

#include "core/Types.h"

#include <array>
#include <map>
#include <unordered_map>

namespace guavapond {

// ---- Rows
struct TierLimits {
    double weight = 1;                 // share inside the tier; above 0
    double engineSecondsPerSecond = 0; // 0: no limit
    uint32_t burstEngineSeconds = 60;  // engine seconds that may be saved up
    uint32_t running = 0;              // requests at a time; 0: no limit
    uint32_t queued = 0;               // requests waiting at a time; 0: no limit
    double reservedEngineSeconds = 0;  // engine seconds per second kept for this workspace; at most the limit

    bool operator==(const TierLimits&) const = default;
};

struct WorkspaceRow {
    std::string name;
    std::string token; // expected in "Authorization: Bearer"; empty: no check
    std::array<TierLimits, tierCount> tiers {};

    bool operator==(const WorkspaceRow&) const = default;
};

enum class TargetState : uint8_t {
    Active,
    Draining, // finishes what runs, gets nothing new
};

struct TargetRow {
    std::string name;
    RequestKind kind = RequestKind::Engine;
    std::string address; // base URL
    std::string failureDomain;
    std::string model; // model served, or the service's name
    std::string version;
    TargetState state = TargetState::Active;
    bool checksFencing = false; // refuses an order with an old fencing number
    bool resumes = true;        // can resume a stream at an offset
    uint32_t maxRunning = 64;   // requests; upper bound of the window

    bool operator==(const TargetRow&) const = default;
};

struct ShareRow {
    std::string model;
    std::string version;
    double percent = 100; // 0..100; per model the sum is 100

    bool operator==(const ShareRow&) const = default;
};

enum class MoveState : uint8_t {
    Running,
    Finished,
    TakenBack,
};

struct MoveRow {
    std::string id;
    std::string model;
    std::string fromVersion;
    std::string toVersion;
    int64_t deadlineUnixMs = 0;    // wall clock; operators state it so
    double maxUnprovedPercent = 5; // largest share while the new version is unproved
    double badFailureRate = 0.02;  // failures above the old version's that make the new one bad
    double badLatencyRatio = 1.5;  // latency against the old version's that makes the new one bad
    MoveState state = MoveState::Running;
    std::string reason; // of the last change of state

    bool operator==(const MoveRow&) const = default;
};

struct Table {
    std::vector<WorkspaceRow> workspaces;
    std::vector<TargetRow> targets;
    std::vector<ShareRow> shares;
    std::vector<MoveRow> moves;

    bool operator==(const Table&) const = default;
};

// ---- Validation
struct CellFault {
    std::string cell; // for example workspaces/himal-labs/urgent.weight
    std::string value;
    std::string allowed; // range or rule
};

std::vector<CellFault> validate(const Table& table); // all faults; empty: valid

// ---- TableIndex
// Invariant: ids are positions in the vectors, so they change only with the revision. Ids of targets and workspaces that stay in the
// table stay the same from one revision to the next when the index is built with its predecessor; removed ones leave a hole.
class TableIndex {
public:
    TableIndex() = default;
    TableIndex(Table table, uint64_t revision, const TableIndex* predecessor = nullptr);

    uint64_t revision() const { return this->headRevision; }
    const Table& table() const { return this->rows; }

    std::optional<WorkspaceId> workspace(std::string_view name) const;
    std::optional<ModelId> model(std::string_view name) const; // a model or a service
    std::optional<TargetId> target(std::string_view name) const;

    size_t workspaceCount() const { return this->workspaceById.size(); } // ids are below this
    size_t targetCount() const { return this->targetById.size(); }
    size_t modelCount() const { return this->modelNames.size(); }

    const WorkspaceRow* row(WorkspaceId id) const; // null: a hole
    const TargetRow* row(TargetId id) const;
    std::string_view modelName(ModelId id) const;
    RequestKind modelKind(ModelId id) const;
    std::span<const TargetId> targetsOf(ModelId id) const;
    std::span<const ShareRow> sharesOf(ModelId id) const; // empty: all versions alike
    ModelId modelOf(TargetId id) const;

private:
    struct StringHash {
        using is_transparent = void;
        size_t operator()(std::string_view s) const { return std::hash<std::string_view> {}(s); }
    };
    template <typename Id> using NameMap = std::unordered_map<std::string, Id, StringHash, std::equal_to<>>;

    Table rows;
    uint64_t headRevision = 0;
    NameMap<WorkspaceId> workspaceIds;
    NameMap<TargetId> targetIds;
    NameMap<ModelId> modelIds;
    std::vector<int32_t> workspaceById; // position in rows.workspaces; -1: a hole
    std::vector<int32_t> targetById;    // position in rows.targets; -1: a hole
    std::vector<std::string> modelNames;
    std::vector<RequestKind> modelKinds;
    std::vector<std::vector<TargetId>> modelTargets;
    std::vector<std::vector<ShareRow>> modelShares;
    std::vector<ModelId> targetModels; // by target id
};

} // namespace guavapond
