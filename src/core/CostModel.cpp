// Engine time of requests, and moving averages of answer lengths.
#include "core/CostModel.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace guavapond {

namespace {

// Requests with prompts and output limits of the same powers of two are alike; class 0 holds all.
constexpr uint32_t classBits = 10;
constexpr uint32_t classBlockTokens = 256; // tokens; shorter prompts are alike
constexpr WorkspaceId anyWorkspace { UINT32_MAX };

uint32_t classOf(const RequestSpec& request)
{
    auto prompt = static_cast<uint32_t>(std::bit_width(request.promptTokens / classBlockTokens));
    auto limit = static_cast<uint32_t>(std::bit_width(request.maxOutputTokens.value_or(0)));
    return 1 + std::min(prompt, 14U) * 32 + std::min(limit, 31U);
}

uint64_t keyOf(WorkspaceId workspace, ModelId model, Tier tier, uint32_t lengthClass = 0)
{
    uint64_t ofModel = (static_cast<uint64_t>(raw(model)) << (classBits + 2)) & UINT32_MAX;
    return (static_cast<uint64_t>(raw(workspace)) << 32) | ofModel | (static_cast<uint64_t>(lengthClass) << 2) | raw(tier);
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
    if (auto model = this->modelOutput.find(raw(request.model)); model != this->modelOutput.end())
        expected = model->second;
    // From the closest match to the widest.
    for (uint64_t key : { keyOf(request.workspace, request.model, request.tier, classOf(request)),
             keyOf(anyWorkspace, request.model, Tier::Urgent, classOf(request)), keyOf(request.workspace, request.model, request.tier) }) {
        if (auto learned = this->learnedOutput.find(key); learned != this->learnedOutput.end()) {
            expected = learned->second;
            break;
        }
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

void CostModel::learn(const RequestSpec& request, uint32_t outputTokens)
{
    this->learn(request.workspace, request.model, request.tier, outputTokens);
    this->observe(keyOf(request.workspace, request.model, request.tier, classOf(request)), outputTokens);
    this->observe(keyOf(anyWorkspace, request.model, Tier::Urgent, classOf(request)), outputTokens);
}

void CostModel::learn(WorkspaceId workspace, ModelId model, Tier tier, uint32_t outputTokens)
{
    auto [average, isNew] = this->modelOutput.try_emplace(raw(model), outputTokens);
    if (!isNew)
        average->second += this->settings.learningRate * (outputTokens - average->second);
    this->observe(keyOf(workspace, model, tier), outputTokens);
}

void CostModel::observe(uint64_t key, uint32_t outputTokens)
{
    if (auto known = this->learnedOutput.find(key); known != this->learnedOutput.end()) {
        known->second += this->settings.learningRate * (outputTokens - known->second);
        return;
    }
    if (this->settings.maxLearnedKeys == 0)
        return;
    // Any victim will do: its workspace falls back to a wider average until it is learned again.
    if (this->learnedOutput.size() >= this->settings.maxLearnedKeys)
        this->learnedOutput.erase(this->learnedOutput.begin());
    this->learnedOutput.emplace(key, outputTokens);
}

} // namespace guavapond
