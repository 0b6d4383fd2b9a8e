// Version shares, candidate sampling and comparison of expected completion times.
#include "core/Router.h"

#include <algorithm>
#include <cassert>

namespace guavapond {

namespace {

// A version with at least this share may take what a full or unusable smaller version cannot; a smaller one never exceeds its share.
constexpr double absorbingPercent = 50;
constexpr uint64_t shareResolution = 1000000; // steps of a weighted draw
constexpr double occupancySlowdown = 0.5;     // decode time at a full window against an empty one, minus one

} // namespace

struct Router::Draw {
    const RequestSpec& request;
    uint32_t outputTokens = 0; // expected
    TimePoint now {};
};

Router::Router(const RouterSettings& s, TargetSet& targetSet, PrefixIndex& prefixIndex, CostModel& costModel,
    std::function<uint64_t(uint64_t)> randomBelow)
    : settings(s)
    , targets(targetSet)
    , prefixes(prefixIndex)
    , costs(costModel)
    , random(std::move(randomBelow))
{
    this->targets.setForgetHook([&prefixIndex](TargetId target) { prefixIndex.forget(target); });
    this->targets.setDispatchHook([&prefixIndex](TargetId target, const RequestSpec& request, TimePoint now) {
        prefixIndex.onDispatched(target, request.prefixBlocks, now);
    });
}

// ---- Shares
void Router::applyTable(const TableIndex& table, TimePoint now)
{
    this->targets.refresh(now);
    this->models.clear();
    this->models.resize(table.modelCount());
    for (uint32_t m = 0; m < this->models.size(); ++m) {
        ModelShares& model = this->models[m];
        model.name = table.modelName(ModelId { m });
        this->setShares(ModelId { m }, table.sharesOf(ModelId { m }));
    }
}

void Router::setShares(ModelId id, std::span<const ShareRow> shares)
{
    assert(raw(id) < this->models.size());
    ModelShares& model = this->models[raw(id)];
    model.versions.clear();
    model.drawn.reset();
    model.shared = !shares.empty();
    auto groups = this->targets.versionsOf(id);
    for (uint32_t g = 0; g < groups.size(); ++g) {
        const std::string& name = groups[g].version;
        auto share = std::find_if(shares.begin(), shares.end(), [&](const ShareRow& row) { return row.version == name; });
        // Without shares each version gets traffic by its number of targets.
        double percent = !model.shared ? groups[g].members : share == shares.end() ? 0 : share->percent;
        if (percent > 0)
            model.versions.push_back({ .name = name, .percent = percent, .group = g });
    }
    this->applyBlocked(model);
}

void Router::setBlockedVersions(ModelId model, std::vector<std::string> versions)
{
    assert(raw(model) < this->models.size());
    ModelShares& shares = this->models[raw(model)];
    this->blockedVersions[shares.name] = std::move(versions);
    this->applyBlocked(shares);
}

void Router::applyBlocked(ModelShares& model)
{
    auto blocked = this->blockedVersions.find(model.name);
    for (Version& version : model.versions) {
        bool listed = blocked != this->blockedVersions.end()
            && std::find(blocked->second.begin(), blocked->second.end(), version.name) != blocked->second.end();
        version.blocked = listed;
    }
}

const VersionGroup& Router::groupOf(ModelId model, const Version& version) const { return this->targets.versionsOf(model)[version.group]; }

bool Router::isUsable(ModelId model, const Version& version) const { return !version.blocked && this->groupOf(model, version).isUsable(); }

// The draw stays until a request is placed by it: drawing again on each attempt would favour the version with free slots over its share.
std::optional<size_t> Router::drawVersion(ModelId id)
{
    ModelShares& model = this->models[raw(id)];
    if (model.drawn && this->isUsable(id, model.versions[*model.drawn]))
        return model.drawn;
    model.drawn.reset();
    double sum = 0;
    size_t usable = 0;
    for (size_t v = 0; v < model.versions.size(); ++v) {
        if (!this->isUsable(id, model.versions[v]))
            continue;
        sum += model.versions[v].percent;
        ++usable;
        model.drawn = v;
    }
    if (usable < 2)
        return model.drawn;
    double point = sum * static_cast<double>(this->random(shareResolution)) / static_cast<double>(shareResolution);
    for (size_t v = 0; v < model.versions.size(); ++v) {
        if (!this->isUsable(id, model.versions[v]))
            continue;
        model.drawn = v;
        point -= model.versions[v].percent;
        if (point < 0)
            break;
    }
    return model.drawn;
}

std::optional<Failure> Router::unusable(ModelId id) const
{
    if (raw(id) >= this->models.size())
        return Failure { .kind = FailureKind::NotFound, .disposition = Disposition::NotRun, .message = "unknown model or service" };
    const ModelShares& model = this->models[raw(id)];
    bool blocked = false;
    for (const Version& version : model.versions) {
        if (this->isUsable(id, version))
            return std::nullopt;
        blocked = blocked || version.blocked;
    }
    std::string why = model.versions.empty() ? "no target has a version with a share"
        : blocked                            ? "every version with a share is blocked or has no usable target"
                                             : "no target is usable";
    return Failure { .kind = FailureKind::NoTarget, .disposition = Disposition::NotRun, .message = model.name + ": " + why };
}

uint32_t Router::capacity(ModelId id, TimePoint) const
{
    if (raw(id) >= this->models.size())
        return 0;
    uint32_t sum = 0;
    for (const Version& version : this->models[raw(id)].versions)
        sum += version.blocked ? 0 : this->groupOf(id, version).windowSum;
    return sum;
}

// ---- Candidates
bool Router::isShort(const Choice& choice) const { return choice.engineTime <= this->targets.settingsInUse().shortWork; }

Choice Router::cost(const Draw& draw, TargetId id, uint32_t cachedTokens) const
{
    TargetView view = this->targets.view(id, draw.now);
    const RequestSpec& request = draw.request;
    uint32_t cached = std::min(cachedTokens, request.promptTokens);
    Duration prefill = this->costs.prefillTime(request.promptTokens - cached, view.rates);
    Duration decode = this->costs.decodeTime(draw.outputTokens, view.rates);
    double load = view.running + view.foreignRunning;
    double occupancy = view.window > 0 ? std::min(1.0, load / view.window) : 1;

    Choice choice { .target = id, .cachedTokens = cached, .engineTime = prefill + decode, .prefill = prefill };
    choice.free = this->isShort(choice) ? view.freeShort : view.freeLong;
    Duration wait = view.local ? Duration::zero() : this->settings.remotePenalty;
    // With n running requests of equal cost whose remaining times are spread evenly, the first ends after cost / (n + 1).
    if (!choice.free && view.running > 0)
        wait += view.backlog / (static_cast<int64_t>(view.running) * (view.running + 1));
    choice.firstToken = wait + view.pendingPrefill + prefill;
    choice.completion = choice.firstToken + fromSeconds(toSeconds(decode) * (1 + occupancySlowdown * occupancy));
    return choice;
}

std::optional<Choice> Router::only(const Draw& draw, TargetId target, bool needsSlot) const
{
    if (!this->targets.contains(target))
        return std::nullopt;
    Choice choice = this->cost(draw, target, this->prefixes.cachedTokens(target, draw.request.prefixBlocks, draw.now));
    if (needsSlot && !this->targets.acceptsResume(target))
        return std::nullopt;
    return choice;
}

// A bounded sample of a list, half of it from this node's failure domain when both sides have enough.
void Router::sample(const VersionGroup::Sides& sides, std::vector<TargetId>& chosen)
{
    size_t most = this->settings.sampledCandidates;
    size_t fromRemote = std::min(sides[1].size(), std::max(most / 2, most - std::min(most, sides[0].size())));
    size_t fromLocal = std::min(sides[0].size(), most - fromRemote);
    for (size_t side = 0; side < sides.size(); ++side) {
        const std::vector<TargetId>& list = sides[side];
        size_t count = side == 0 ? fromLocal : fromRemote;
        if (count == 0)
            continue;
        // Consecutive entries from a random start: distinct, and free lists have no lasting order.
        size_t start = count == list.size() ? 0 : this->random(list.size());
        for (size_t i = 0; i < count; ++i)
            chosen.push_back(list[(start + i) % list.size()]);
    }
}

std::optional<Choice> Router::best(const Draw& draw, const Version& version, Pool pool)
{
    const RequestSpec& request = draw.request;
    const VersionGroup& group = this->groupOf(request.model, version);
    const VersionGroup::Sides& sides = pool == Pool::Usable ? group.usable : pool == Pool::FreeShort ? group.freeShort : group.freeLong;
    std::optional<Choice> found;
    auto consider = [&](TargetId target, uint32_t cachedTokens) {
        Choice choice = this->cost(draw, target, cachedTokens);
        if (pool != Pool::Usable && !choice.free)
            return;
        if (!found || choice.completion < found->completion)
            found = choice;
    };
    std::vector<PrefixMatch> matches;
    if (!request.prefixBlocks.empty())
        matches = this->prefixes.find(request.prefixBlocks, this->settings.prefixCandidates, draw.now);
    for (const PrefixMatch& match : matches) {
        if (this->targets.isIn(group, match.target))
            consider(match.target, match.cachedTokens);
    }
    this->candidates.clear();
    this->sample(sides, this->candidates);
    // Fewer matches than asked for are all holders of the prefix; the sampled targets then have none of it.
    bool mayHold = matches.size() >= this->settings.prefixCandidates;
    for (TargetId target : this->candidates) {
        bool known = std::any_of(matches.begin(), matches.end(), [&](const PrefixMatch& m) { return m.target == target; });
        if (!known)
            consider(target, mayHold ? this->prefixes.cachedTokens(target, request.prefixBlocks, draw.now) : 0);
    }
    return found;
}

// ---- Decisions
std::optional<Choice> Router::pick(const RequestSpec& request, TimePoint now)
{
    this->targets.refresh(now);
    Draw draw { .request = request, .outputTokens = this->costs.expectedOutputTokens(request), .now = now };
    if (request.onlyTarget)
        return this->only(draw, *request.onlyTarget, true);
    if (raw(request.model) >= this->models.size())
        return std::nullopt;
    auto drawn = this->drawVersion(request.model);
    if (!drawn)
        return std::nullopt;
    ModelShares& model = this->models[raw(request.model)];
    std::optional<Choice> choice = this->pickIn(draw, model.versions[*drawn]);
    for (size_t v = 0; !choice && v < model.versions.size(); ++v) {
        const Version& other = model.versions[v];
        bool absorbs = !model.shared || other.percent >= absorbingPercent;
        if (v != *drawn && absorbs && this->isUsable(request.model, other))
            choice = this->pickIn(draw, other);
    }
    if (choice)
        model.drawn.reset();
    return choice;
}

// Long work is compared among the targets with room for it; work that may be short on some targets among all free ones.
std::optional<Choice> Router::pickIn(const Draw& draw, const Version& version)
{
    auto isEmpty = [](const VersionGroup::Sides& sides) { return sides[0].empty() && sides[1].empty(); };
    const VersionGroup& group = this->groupOf(draw.request.model, version);
    if (isEmpty(group.freeShort))
        return std::nullopt;
    if (!isEmpty(group.freeLong)) {
        if (auto choice = this->best(draw, version, Pool::FreeLong))
            return choice;
    }
    return this->best(draw, version, Pool::FreeShort);
}

Choice Router::estimateBeside(const RequestSpec& request, TargetId target, const RemainingWork& remaining, TimePoint now) const
{
    TargetView view = this->targets.view(target, now);
    uint32_t cached = std::min(this->prefixes.cachedTokens(target, request.prefixBlocks, now), request.promptTokens);
    Duration prefill = this->costs.prefillTime(request.promptTokens - cached, view.rates);
    Duration decode = this->costs.decodeTime(this->costs.expectedOutputTokens(request), view.rates);
    double occupancy = view.window > 0 ? std::min(1.0, (remaining.running + view.foreignRunning) / view.window) : 1;
    Choice choice { .target = target, .cachedTokens = cached, .engineTime = prefill + decode, .prefill = prefill };
    choice.free = this->targets.wouldAccept(target, remaining, this->isShort(choice), now);
    choice.firstToken = (view.local ? Duration::zero() : this->settings.remotePenalty) + remaining.prefill + prefill;
    choice.completion = choice.firstToken + fromSeconds(toSeconds(decode) * (1 + occupancySlowdown * occupancy));
    return choice;
}

std::vector<TargetId> Router::placeable(ModelId id)
{
    std::vector<TargetId> found;
    if (raw(id) >= this->models.size())
        return found;
    auto drawn = this->drawVersion(id);
    const ModelShares& model = this->models[raw(id)];
    for (size_t v = 0; v < model.versions.size(); ++v) {
        const Version& version = model.versions[v];
        bool absorbs = !model.shared || version.percent >= absorbingPercent;
        if (!this->isUsable(id, version) || (v != drawn && !absorbs))
            continue;
        for (const auto& side : this->groupOf(id, version).usable)
            found.insert(found.end(), side.begin(), side.end());
    }
    return found;
}

std::optional<Choice> Router::estimate(const RequestSpec& request, TimePoint now)
{
    this->targets.refresh(now);
    Draw draw { .request = request, .outputTokens = this->costs.expectedOutputTokens(request), .now = now };
    if (request.onlyTarget)
        return this->only(draw, *request.onlyTarget, false);
    if (raw(request.model) >= this->models.size())
        return std::nullopt;
    std::optional<Choice> least;
    for (const Version& version : this->models[raw(request.model)].versions) {
        if (!this->isUsable(request.model, version))
            continue;
        auto choice = this->best(draw, version, Pool::Usable);
        if (choice && (!least || choice->completion < least->completion))
            least = choice;
    }
    return least;
}

} // namespace guavapond
