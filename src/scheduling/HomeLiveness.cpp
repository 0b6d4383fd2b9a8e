// Measures the answer times of homes and derives timeouts, probes and skips from them.
#include "scheduling/HomeLiveness.h"

#include <algorithm>
#include <array>
#include <set>

namespace guavapond::edge {

namespace {

// Weights of a new sample and factor of the deviation, as RFC 6298 has them.
constexpr int meanWeight = 8;
constexpr int deviationWeight = 4;
constexpr int deviationFactor = 4;

} // namespace

std::string_view homeStateName(HomeState state)
{
    static constexpr std::array<std::string_view, 3> names { "waiting", "silent", "unanswered" };
    return names.at(static_cast<size_t>(state));
}

HomeLiveness::HomeLiveness(const HomeLivenessSettings& settings)
    : settings(settings)
{
}

const HomeLiveness::Peer* HomeLiveness::find(const std::string& node) const
{
    const auto found = this->peers.find(node);
    return found == this->peers.end() ? nullptr : &found->second;
}

void HomeLiveness::heard(const std::string& node, TimePoint now)
{
    Peer& peer = this->peers[node];
    peer.heardAt = now;
    if (peer.skippedFor == HomeState::Silent)
        peer.skippedFor.reset();
}

void HomeLiveness::answered(const std::string& node, Duration after, TimePoint now)
{
    this->heard(node, now);
    Peer& peer = this->peers[node];
    peer.skippedFor.reset();
    peer.answeredAt = now;
    peer.wasSkipped = false;
    if (!peer.mean) {
        peer.mean = after;
        peer.deviation = after / 2;
        return;
    }
    const Duration error = after > *peer.mean ? after - *peer.mean : *peer.mean - after;
    peer.deviation += (error - peer.deviation) / deviationWeight;
    *peer.mean += (after - *peer.mean) / meanWeight;
}

Duration HomeLiveness::spread(const Peer* peer) const
{
    return peer && peer->mean ? *peer->mean + deviationFactor * peer->deviation : Duration::zero();
}

Duration HomeLiveness::timeout(const std::string& node, TimePoint now) const
{
    const Peer* peer = this->find(node);
    if (!peer || !peer->mean || now - peer->answeredAt > this->settings.sampleLifetime)
        return this->settings.maxTimeout;
    return std::clamp<Duration>(this->settings.retries * this->spread(peer), this->settings.minTimeout, this->settings.maxTimeout);
}

Duration HomeLiveness::retryInterval(const std::string& node) const
{
    return std::clamp<Duration>(this->spread(this->find(node)), this->settings.minRetry, this->settings.maxTimeout);
}

std::optional<Duration> HomeLiveness::answerTime(const std::string& node) const
{
    const Peer* peer = this->find(node);
    return peer ? peer->mean : std::nullopt;
}

Duration HomeLiveness::slowestAnswer() const
{
    Duration result {};
    for (const auto& [node, peer] : this->peers)
        result = std::max(result, peer.mean.value_or(Duration::zero()));
    return result;
}

HomeState HomeLiveness::check(const std::string& node, TimePoint askedAt, TimePoint now) const
{
    const Duration limit = this->timeout(node, now);
    if (now - askedAt <= limit)
        return HomeState::Waiting;
    const Peer* peer = this->find(node);
    if (!peer || now - peer->heardAt > limit)
        return HomeState::Silent;
    return now - askedAt > this->settings.maxUnanswered ? HomeState::Unanswered : HomeState::Waiting;
}

bool HomeLiveness::isProbeDue(const std::string& node, TimePoint now) const
{
    const Peer* peer = this->find(node);
    return peer && now - std::max(peer->heardAt, peer->probedAt) > this->timeout(node, now) / 2;
}

void HomeLiveness::probed(const std::string& node, TimePoint now)
{
    Peer& peer = this->peers[node];
    if (peer.probedAt <= peer.heardAt)
        peer.probedAt = now;
}

bool HomeLiveness::isSilent(const std::string& node, TimePoint now) const
{
    const Peer* peer = this->find(node);
    return peer && peer->probedAt > peer->heardAt && now - peer->probedAt > this->timeout(node, now);
}

bool HomeLiveness::skip(const std::string& node, HomeState reason, TimePoint now)
{
    if (this->isSkipped(node, now))
        return false;
    Peer& peer = this->peers[node];
    peer.skippedFor = peer.wasSkipped ? HomeState::Unanswered : reason;
    peer.wasSkipped = true;
    peer.skippedAt = now;
    return true;
}

bool HomeLiveness::isSkipped(const std::string& node, TimePoint now) const
{
    const Peer* peer = this->find(node);
    if (!peer || !peer->skippedFor)
        return false;
    return now - peer->skippedAt < (*peer->skippedFor == HomeState::Silent ? this->settings.silentSkip : this->settings.unansweredSkip);
}

void HomeLiveness::retain(const std::vector<std::string>& nodes)
{
    const std::set<std::string> kept(nodes.begin(), nodes.end());
    std::erase_if(this->peers, [&](const auto& item) { return !kept.contains(item.first); });
}

} // namespace guavapond::edge
