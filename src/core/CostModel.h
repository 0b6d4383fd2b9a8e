// Estimates what a request costs in engine time, and learns how many tokens answers have.
//
// Index
//   TokenRates    learned speed of one target
//   CostModel     expected output length, engine time on a target with given rates
#pragma once

#include "core/Types.h"

#include <unordered_map>

namespace guavapond {

struct TokenRates {
    double prefillTokensPerSecond = 4000; // uncached prompt tokens of one request
    double decodeTokensPerSecond = 40; // tokens of one request while the target runs its window
};

struct CostSettings {
    uint32_t defaultOutputTokens = 256; // tokens; until something is learned
    double learningRate = 0.05; // weight of a new observation
    size_t maxLearnedKeys = 65536; // combinations of workspace, model and tier kept
};

class CostModel {
public:
    explicit CostModel(const CostSettings& settings);

    // A call of a plain service counts as one output token: the decode rate of a service target is its calls per second.
    uint32_t expectedOutputTokens(const RequestSpec& request) const;
    Duration prefillTime(uint32_t uncachedTokens, const TokenRates& rates) const;
    Duration decodeTime(uint32_t outputTokens, const TokenRates& rates) const;
    Duration engineTime(const RequestSpec& request, uint32_t cachedTokens, const TokenRates& rates) const;

    void learn(WorkspaceId workspace, ModelId model, Tier tier, uint32_t outputTokens); // from a finished answer
    // The same, also for requests of a similar prompt length and output limit: the questions and the long drafts of one workspace and
    // tier differ by a factor of 100, so that their common average fits neither.
    void learn(const RequestSpec& request, uint32_t outputTokens);

private:
    CostSettings settings;
    void observe(uint64_t key, uint32_t outputTokens);

    std::unordered_map<uint64_t, double> learnedOutput; // tokens; bounded by maxLearnedKeys
    std::unordered_map<uint32_t, double> modelOutput; // tokens, by model; used for workspaces without answers yet
};

} // namespace guavapond
