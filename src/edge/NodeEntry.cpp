// Grants, writes and renewals of a node's entry.
#include "edge/NodeEntry.h"

#include "adapters/Logging.h"

namespace guavapond::edge {

namespace {

constexpr double renewalsPerLease = 2.5; // a lease survives one lost renewal

Duration renewalInterval(const NodeEntry::Lease& lease) { return std::chrono::duration_cast<Duration>(lease.ttl / renewalsPerLease); }

} // namespace

void NodeEntry::retry(uint64_t attempt)
{
    if (attempt == this->attempts)
        this->hooks.schedule(this->retryInterval, [this] { this->write(); });
}

void NodeEntry::write()
{
    if (this->ended)
        return;
    this->lease.reset();
    const uint64_t attempt = ++this->attempts;
    this->hooks.grantLease([this, attempt](const std::optional<Lease>& granted) {
        if (!granted || attempt != this->attempts)
            return this->retry(attempt);
        this->hooks.writeEntry(granted->id, [this, attempt, lease = *granted](bool isWritten) {
            if (!isWritten || attempt != this->attempts) // a write that is done later ends with its lease
                return this->retry(attempt);
            if (this->ended)
                return this->hooks.endLease(lease.id, [] {});
            this->lease = lease;
            this->hooks.schedule(renewalInterval(lease), [this] { this->renew(); });
            this->hooks.written();
        });
    });
}

void NodeEntry::renew()
{
    if (this->ended || !this->lease)
        return;
    this->hooks.renewLease(this->lease->id, [this, attempt = this->attempts](Renewal renewal) {
        if (this->ended || attempt != this->attempts)
            return;
        if (renewal == Renewal::Lapsed) {
            log(LogLevel::Warn, "lease has lapsed", { { "lease", this->lease->id } });
            return this->write();
        }
        this->hooks.schedule(renewal == Renewal::Renewed ? renewalInterval(*this->lease) : this->retryInterval, [this] { this->renew(); });
    });
}

void NodeEntry::end(std::function<void()> done)
{
    this->ended = true;
    this->hooks.schedule(Duration::zero(), [] {});
    if (!this->lease)
        return done();
    this->hooks.endLease(this->lease->id, std::move(done));
}

} // namespace guavapond::edge
