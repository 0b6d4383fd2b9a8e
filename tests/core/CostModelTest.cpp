// Tests of the engine time estimate and of learned answer lengths.
#include "core/CostModel.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;

namespace {

RequestSpec requestOf(uint32_t workspace, uint32_t model, Tier tier)
{
    RequestSpec spec;
    spec.workspace = WorkspaceId { workspace };
    spec.model = ModelId { model };
    spec.tier = tier;
    spec.promptTokens = 1000;
    return spec;
}

} // namespace

TEST_GROUP(CostModel) {};

// Guards against a learned length of one workspace, model or tier that is applied to another one.
TEST(CostModel, LearnsOutputLengthByWorkspaceModelAndTier)
{
    CostModel costs({});
    for (int i = 0; i < 200; ++i) {
        costs.learn(WorkspaceId { 1 }, ModelId { 2 }, Tier::Urgent, 30);
        costs.learn(WorkspaceId { 1 }, ModelId { 2 }, Tier::Batch, 3000);
    }
    LONGS_EQUAL(30, costs.expectedOutputTokens(requestOf(1, 2, Tier::Urgent)));
    LONGS_EQUAL(3000, costs.expectedOutputTokens(requestOf(1, 2, Tier::Batch)));
    LONGS_EQUAL(256, costs.expectedOutputTokens(requestOf(1, 3, Tier::Urgent)));
}

// Guards against an estimate above the caller's own limit, which would refuse a request that is cheap.
TEST(CostModel, CallersLimitBoundsTheEstimate)
{
    CostModel costs({});
    RequestSpec spec = requestOf(1, 1, Tier::Standard);
    spec.maxOutputTokens = 10;
    LONGS_EQUAL(10, costs.expectedOutputTokens(spec));
    spec.maxOutputTokens = 0;
    LONGS_EQUAL(1, costs.expectedOutputTokens(spec));
}

// Guards against memory that grows with every workspace ever seen.
TEST(CostModel, ForgottenWorkspaceFallsBackToItsModel)
{
    CostModel costs({ .maxLearnedKeys = 4 });
    for (uint32_t workspace = 0; workspace < 100; ++workspace)
        costs.learn(WorkspaceId { workspace }, ModelId { 0 }, Tier::Standard, 80);
    for (uint32_t workspace = 0; workspace < 200; ++workspace)
        LONGS_EQUAL(80, costs.expectedOutputTokens(requestOf(workspace, 0, Tier::Standard)));
}

// Guards against prefill charged for cached tokens, and against a negative or infinite time.
TEST(CostModel, EngineTimeCountsUncachedPromptAndOutput)
{
    CostModel costs({});
    TokenRates rates { .prefillTokensPerSecond = 1000, .decodeTokensPerSecond = 256 };
    RequestSpec spec = requestOf(0, 0, Tier::Standard);
    LONGS_EQUAL(2000, toMilliseconds(costs.engineTime(spec, 0, rates)));
    LONGS_EQUAL(1250, toMilliseconds(costs.engineTime(spec, 750, rates)));
    LONGS_EQUAL(1000, toMilliseconds(costs.engineTime(spec, 5000, rates)));
    CHECK(costs.engineTime(spec, 0, { .prefillTokensPerSecond = 0, .decodeTokensPerSecond = 0 }) > Duration::zero());
}
