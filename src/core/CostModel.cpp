// Engine time of requests, and moving averages of answer lengths.
#include "core/CostModel.h"

#include <algorithm>
#include <cmath>

namespace guavapond {

namespace {

uint64_t keyOf(WorkspaceId workspace, ModelId model, Tier tier)
{
    return (static_cast<uint64_t>(raw(workspace)) << 32) | (static_cast<uint64_t>(raw(model)) << 2) | raw(tier);
}

Duration timeFor(uint32_t tokens, double tokensPerSecond)
{
    constexpr double leastRate = 1e-3; // tokens/s; keeps the quotient finite
    return fromSeconds(tokens / std::max(tokensPerSecond, leastRate));
}

} // namespace

CostModel::CostModel(const CostSettings& s)
    : settings(s)
{
}

uint32_t CostModel::expectedOutputTokens(const RequestSpec& request) const
{
    if (request.kind == RequestKind::Service)
        return 1;
    double expected = this->settings.defaultOutputTokens;
    auto learned = this->learnedOutput.find(keyOf(request.workspace, request.model, request.tier));
    if (learned != this->learnedOutput.end()) {
        expected = learned->second;
    } else if (auto model = this->modelOutput.find(raw(request.model)); model != this->modelOutput.end()) {
        expected = model->second;
    }
    auto tokens = static_cast<uint32_t>(std::max(1.0, std::round(expected)));
    return request.maxOutputTokens ? std::min(tokens, std::max(1U, *request.maxOutputTokens)) : tokens;
}

Duration CostModel::prefillTime(uint32_t uncachedTokens, const TokenRates& rates) const
{
    return timeFor(uncachedTokens, rates.prefillTokensPerSecond);
}

Duration CostModel::decodeTime(uint32_t outputTokens, const TokenRates& rates) const
{
    return timeFor(outputTokens, rates.decodeTokensPerSecond);
}

Duration CostModel::engineTime(const RequestSpec& request, uint32_t cachedTokens, const TokenRates& rates) const
{
    uint32_t uncached = request.promptTokens - std::min(cachedTokens, request.promptTokens);
    return this->prefillTime(uncached, rates) + this->decodeTime(this->expectedOutputTokens(request), rates);
}

void CostModel::learn(WorkspaceId workspace, ModelId model, Tier tier, uint32_t outputTokens)
{
    auto observe = [&](double& average) { average += this->settings.learningRate * (outputTokens - average); };
    auto [byModel, newModel] = this->modelOutput.try_emplace(raw(model), outputTokens);
    if (!newModel)
        observe(byModel->second);
    uint64_t key = keyOf(workspace, model, tier);
    if (auto known = this->learnedOutput.find(key); known != this->learnedOutput.end()) {
        observe(known->second);
        return;
    }
    if (this->settings.maxLearnedKeys == 0)
        return;
    // Any victim will do: its workspace falls back to the model's average until it is learned again.
    if (this->learnedOutput.size() >= this->settings.maxLearnedKeys)
        this->learnedOutput.erase(this->learnedOutput.begin());
    this->learnedOutput.emplace(key, outputTokens);
}

} // namespace guavapond
