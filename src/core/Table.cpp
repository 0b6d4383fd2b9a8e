// Validation of the operators' table and the interning of its names into dense ids.
#include "core/Table.h"

#include <cmath>
#include <cstdio>
#include <unordered_set>

namespace guavapond {

namespace {

constexpr size_t maxNameLength = 64; // characters
constexpr double maxWeight = 1000;
constexpr double maxEngineSecondsPerSecond = 1e6;
constexpr uint32_t maxBurstEngineSeconds = 86400; // a day
constexpr uint32_t maxRequests = 1000000;
constexpr uint32_t maxTargetWindow = 10000; // requests
constexpr double maxUnprovedPercentBound = 50; // P3: a version that is not proved never receives most of the traffic
constexpr double maxLatencyRatio = 100;
constexpr double percentTolerance = 0.01; // allows three shares of 33.33, 33.33 and 33.34 after rounding in a spreadsheet

constexpr std::string_view nameRule = "1 to 64 letters, digits, '.', '_' or '-'";
constexpr std::string_view modelRule = "1 to 64 letters, digits, '.', '_', '-', ':' or '/'";
constexpr std::string_view versionRule = "1 to 64 letters, digits, '.', '_', '+' or '-'";
constexpr std::string_view namePunctuation = "._-";
constexpr std::string_view modelPunctuation = "._-:/";
constexpr std::string_view versionPunctuation = "._+-";

bool isWord(std::string_view text, std::string_view punctuation)
{
    if (text.empty() || text.size() > maxNameLength)
        return false;
    for (char c : text) {
        const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (!alphanumeric && punctuation.find(c) == std::string_view::npos)
            return false;
    }
    return true;
}

// Tokens travel in an HTTP header, so they hold visible ASCII only.
bool isToken(std::string_view text)
{
    constexpr size_t maxTokenLength = 512;
    if (text.size() > maxTokenLength)
        return false;
    for (char c : text) {
        if (c <= ' ' || c > '~')
            return false;
    }
    return true;
}

bool isBaseUrl(std::string_view text)
{
    constexpr size_t maxUrlLength = 256;
    if (text.size() > maxUrlLength)
        return false;
    for (std::string_view scheme : { "http://", "https://" }) {
        if (text.starts_with(scheme))
            return isToken(text) && text.size() > scheme.size() && text[scheme.size()] != '/';
    }
    return false;
}

std::string numberText(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.10g", value);
    return buffer;
}

struct Range {
    double low;
    double high;
    bool lowExcluded = false;

    bool contains(double v) const { return std::isfinite(v) && (this->lowExcluded ? v > this->low : v >= this->low) && v <= this->high; }
    std::string text() const
    {
        return (this->lowExcluded ? "above " : "") + numberText(this->low) + (this->lowExcluded ? ", at most " : " to ")
            + numberText(this->high);
    }
};

class Validator {
public:
    explicit Validator(const Table& t)
        : table(t)
    {
    }

    std::vector<CellFault> run()
    {
        for (const WorkspaceRow& row : this->table.workspaces)
            checkWorkspace(row);
        for (const TargetRow& row : this->table.targets)
            checkTarget(row);
        for (const ShareRow& row : this->table.shares)
            checkShare(row);
        checkShareSums();
        for (const MoveRow& row : this->table.moves)
            checkMove(row);
        return std::move(this->faults);
    }

private:
    void fault(std::string cell, std::string value, std::string allowed)
    {
        this->faults.push_back({ std::move(cell), std::move(value), std::move(allowed) });
    }
    void checkNumber(const std::string& cell, double value, const Range& range)
    {
        if (!range.contains(value))
            fault(cell, numberText(value), range.text());
    }
    void checkWord(const std::string& cell, std::string_view value, std::string_view punctuation, std::string_view rule)
    {
        if (!isWord(value, punctuation))
            fault(cell, std::string(value), std::string(rule));
    }
    void checkUnique(std::unordered_set<std::string>& seen, const std::string& key, const std::string& cell, const std::string& value)
    {
        if (!seen.insert(key).second)
            fault(cell, value, "a value that no other row has");
    }

    void checkWorkspace(const WorkspaceRow& row)
    {
        const std::string base = "workspaces/" + row.name;
        checkWord(base + ".name", row.name, namePunctuation, nameRule);
        checkUnique(this->workspaceNames, row.name, base + ".name", row.name);
        if (!isToken(row.token))
            fault(base + ".token", "(not shown)", "at most 512 visible ASCII characters, or empty");
        for (size_t i = 0; i < tierCount; ++i)
            checkLimits(base + "/" + std::string(tierName(static_cast<Tier>(i))), row.tiers[i]);
    }

    void checkLimits(const std::string& base, const TierLimits& limits)
    {
        const double reservable = limits.engineSecondsPerSecond > 0 ? limits.engineSecondsPerSecond : maxEngineSecondsPerSecond;
        checkNumber(base + ".weight", limits.weight, { 0, maxWeight, true });
        checkNumber(base + ".engineSecondsPerSecond", limits.engineSecondsPerSecond, { 0, maxEngineSecondsPerSecond });
        checkNumber(base + ".burstEngineSeconds", limits.burstEngineSeconds, { 1, maxBurstEngineSeconds });
        checkNumber(base + ".running", limits.running, { 0, maxRequests });
        checkNumber(base + ".queued", limits.queued, { 0, maxRequests });
        checkNumber(base + ".reservedEngineSeconds", limits.reservedEngineSeconds, { 0, reservable });
    }

    void checkTarget(const TargetRow& row)
    {
        const std::string base = "targets/" + row.name;
        checkWord(base + ".name", row.name, namePunctuation, nameRule);
        checkUnique(this->targetNames, row.name, base + ".name", row.name);
        if (!isBaseUrl(row.address))
            fault(base + ".address", row.address, "a base URL, http://HOST[:PORT] or https://HOST[:PORT], at most 256 characters");
        checkWord(base + ".failureDomain", row.failureDomain, namePunctuation, nameRule);
        checkWord(base + ".model", row.model, modelPunctuation, modelRule);
        if (row.kind == RequestKind::Engine || !row.version.empty())
            checkWord(base + ".version", row.version, versionPunctuation, versionRule);
        checkNumber(base + ".maxRunning", row.maxRunning, { 1, maxTargetWindow });
        const auto [known, added] = this->modelKinds.emplace(row.model, row.kind);
        if (!added && known->second != row.kind)
            fault(base + ".kind", row.kind == RequestKind::Engine ? "engine" : "service", "the kind of the other targets of " + row.model);
    }

    void checkServed(const std::string& cell, const std::string& model)
    {
        if (!this->modelKinds.contains(model))
            fault(cell, model, "a model or service that a target of the table serves");
    }

    void checkShare(const ShareRow& row)
    {
        const std::string base = "shares/" + row.model + "/" + row.version;
        checkServed(base + ".model", row.model);
        checkWord(base + ".version", row.version, versionPunctuation, versionRule);
        checkNumber(base + ".percent", row.percent, { 0, 100 });
        checkUnique(this->shareKeys, row.model + "/" + row.version, base + ".version", row.version);
        this->shareSums[row.model] += row.percent;
    }

    void checkShareSums()
    {
        for (const auto& [model, sum] : this->shareSums) {
            if (!(std::fabs(sum - 100) <= percentTolerance))
                fault("shares/" + model + ".percent", numberText(sum), "a sum of 100 over the versions of the model");
        }
    }

    void checkMove(const MoveRow& row)
    {
        const std::string base = "moves/" + row.id;
        checkWord(base + ".id", row.id, namePunctuation, nameRule);
        checkUnique(this->moveIds, row.id, base + ".id", row.id);
        checkServed(base + ".model", row.model);
        checkWord(base + ".fromVersion", row.fromVersion, versionPunctuation, versionRule);
        checkWord(base + ".toVersion", row.toVersion, versionPunctuation, versionRule);
        if (row.fromVersion == row.toVersion)
            fault(base + ".toVersion", row.toVersion, "a version other than fromVersion");
        if (row.deadlineUnixMs <= 0)
            fault(base + ".deadlineUnixMs", std::to_string(row.deadlineUnixMs), "a time after 1970, in ms");
        checkNumber(base + ".maxUnprovedPercent", row.maxUnprovedPercent, { 0, maxUnprovedPercentBound, true });
        checkNumber(base + ".badFailureRate", row.badFailureRate, { 0, 1, true });
        checkNumber(base + ".badLatencyRatio", row.badLatencyRatio, { 1, maxLatencyRatio, true });
        if (row.state == MoveState::Running && !this->movingModels.insert(row.model).second)
            fault(base + ".state", "running", "one running move per model");
    }

    const Table& table;
    std::vector<CellFault> faults;
    std::unordered_set<std::string> workspaceNames;
    std::unordered_set<std::string> targetNames;
    std::unordered_set<std::string> shareKeys;
    std::unordered_set<std::string> moveIds;
    std::unordered_set<std::string> movingModels;
    std::unordered_map<std::string, RequestKind> modelKinds;
    std::map<std::string, double> shareSums; // ordered, so that faults come in a stable order
};

// Gives each row of the new table its id: the one that its name has in the predecessor, or the next free one.
template <typename Id, typename Row, typename Map>
void assignIds(const std::vector<Row>& rows, const Map* previousIds, size_t previousCount, Map& ids, std::vector<int32_t>& positions)
{
    positions.assign(previousCount, -1);
    ids.reserve(rows.size());
    for (size_t i = 0; i < rows.size(); ++i) {
        std::optional<Id> id;
        if (previousIds) {
            if (const auto found = previousIds->find(rows[i].name); found != previousIds->end())
                id = found->second;
        }
        if (!id)
            id = static_cast<Id>(positions.size());
        if (!ids.emplace(rows[i].name, *id).second)
            continue;
        if (raw(*id) >= positions.size())
            positions.resize(raw(*id) + 1, -1);
        positions[raw(*id)] = static_cast<int32_t>(i);
    }
}

template <typename Id, typename Map> std::optional<Id> lookUp(const Map& ids, std::string_view name)
{
    const auto found = ids.find(name);
    return found == ids.end() ? std::nullopt : std::optional<Id>(found->second);
}

} // namespace

std::vector<CellFault> validate(const Table& table) { return Validator(table).run(); }

TableIndex::TableIndex(Table table, uint64_t revision, const TableIndex* predecessor)
    : rows(std::move(table))
    , headRevision(revision)
{
    assignIds<WorkspaceId>(this->rows.workspaces, predecessor ? &predecessor->workspaceIds : nullptr,
        predecessor ? predecessor->workspaceCount() : 0, this->workspaceIds, this->workspaceById);
    assignIds<TargetId>(this->rows.targets, predecessor ? &predecessor->targetIds : nullptr, predecessor ? predecessor->targetCount() : 0,
        this->targetIds, this->targetById);

    // Models keep their ids as well; one without targets and shares stays as a name that model() no longer finds.
    if (predecessor) {
        this->modelNames = predecessor->modelNames;
        this->modelKinds = predecessor->modelKinds;
    }
    NameMap<ModelId> known;
    for (size_t i = 0; i < this->modelNames.size(); ++i)
        known.emplace(this->modelNames[i], static_cast<ModelId>(i));
    const auto intern = [&](const std::string& name) {
        const auto [found, added] = known.emplace(name, static_cast<ModelId>(this->modelNames.size()));
        if (added) {
            this->modelNames.push_back(name);
            this->modelKinds.push_back(RequestKind::Engine);
        }
        this->modelIds.emplace(name, found->second);
        return found->second;
    };

    this->targetModels.assign(this->targetById.size(), ModelId {});
    this->modelTargets.resize(this->modelNames.size());
    for (size_t i = 0; i < this->targetById.size(); ++i) {
        const TargetRow* target = row(static_cast<TargetId>(i));
        if (!target)
            continue;
        const ModelId id = intern(target->model);
        this->modelKinds[raw(id)] = target->kind;
        this->targetModels[i] = id;
        this->modelTargets.resize(this->modelNames.size());
        this->modelTargets[raw(id)].push_back(static_cast<TargetId>(i));
    }
    for (const ShareRow& share : this->rows.shares) {
        const ModelId id = intern(share.model);
        this->modelShares.resize(this->modelNames.size());
        this->modelShares[raw(id)].push_back(share);
    }
    this->modelTargets.resize(this->modelNames.size());
    this->modelShares.resize(this->modelNames.size());
}

std::optional<WorkspaceId> TableIndex::workspace(std::string_view name) const { return lookUp<WorkspaceId>(this->workspaceIds, name); }

std::optional<ModelId> TableIndex::model(std::string_view name) const { return lookUp<ModelId>(this->modelIds, name); }

std::optional<TargetId> TableIndex::target(std::string_view name) const { return lookUp<TargetId>(this->targetIds, name); }

const WorkspaceRow* TableIndex::row(WorkspaceId id) const
{
    if (raw(id) >= this->workspaceById.size() || this->workspaceById[raw(id)] < 0)
        return nullptr;
    return &this->rows.workspaces[static_cast<size_t>(this->workspaceById[raw(id)])];
}

const TargetRow* TableIndex::row(TargetId id) const
{
    if (raw(id) >= this->targetById.size() || this->targetById[raw(id)] < 0)
        return nullptr;
    return &this->rows.targets[static_cast<size_t>(this->targetById[raw(id)])];
}

std::string_view TableIndex::modelName(ModelId id) const
{
    return raw(id) < this->modelNames.size() ? std::string_view(this->modelNames[raw(id)]) : std::string_view();
}

RequestKind TableIndex::modelKind(ModelId id) const
{
    return raw(id) < this->modelKinds.size() ? this->modelKinds[raw(id)] : RequestKind::Engine;
}

std::span<const TargetId> TableIndex::targetsOf(ModelId id) const
{
    return raw(id) < this->modelTargets.size() ? std::span<const TargetId>(this->modelTargets[raw(id)]) : std::span<const TargetId>();
}

std::span<const ShareRow> TableIndex::sharesOf(ModelId id) const
{
    return raw(id) < this->modelShares.size() ? std::span<const ShareRow>(this->modelShares[raw(id)]) : std::span<const ShareRow>();
}

ModelId TableIndex::modelOf(TargetId id) const { return raw(id) < this->targetModels.size() ? this->targetModels[raw(id)] : ModelId {}; }

} // namespace guavapond
