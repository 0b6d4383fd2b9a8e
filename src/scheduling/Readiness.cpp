// The decision whether a node takes callers.
#include "scheduling/Readiness.h"

#include <array>

namespace guavapond::edge {

namespace {

// Of the known nodes. Of two parts of the fleet that don't hear each other, at most one stays ready without a proof.
constexpr double minReachableShare = 0.5;

} // namespace

std::string_view readinessName(Readiness readiness)
{
    static constexpr std::array<std::string_view, 5> names { "ready", "ready_without_proof", "no_configuration", "no_targets", "no_proof" };
    return names.at(static_cast<size_t>(readiness));
}

Readiness judgeReadiness(const ReadinessInput& input)
{
    if (!input.hasConfiguration)
        return Readiness::NoConfiguration;
    if (!input.hasTargets)
        return Readiness::NoTargets;
    if (input.isProofYoung)
        return Readiness::Ready;
    return input.wasProved && input.reachableShare > minReachableShare ? Readiness::ReadyWithoutProof : Readiness::NoProof;
}

} // namespace guavapond::edge
