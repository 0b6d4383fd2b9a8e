// Compares the store's list of quarantined prompt parts with what this node knows.
#include "edge/QuarantineRecord.h"

#include <algorithm>

namespace guavapond::edge {

QuarantineRecord::QuarantineRecord(PromptQuarantine& quarantine, Hooks hooks)
    : quarantine(quarantine)
    , hooks(std::move(hooks))
{
}

void QuarantineRecord::onListed(std::span<const PartAge> listed, TimePoint now)
{
    this->quarantine.onPeerReport({ {}, {}, { listed.begin(), listed.end() } }, now);
    if (!this->hooks.isWriter(now))
        return;
    for (const PartAge& entry : listed) {
        if (this->quarantine.isWithdrawn(entry.part, now - entry.age))
            this->hooks.remove(entry.part);
    }
    for (const PartAge& known : this->quarantine.list(now)) {
        const auto isSame = [&](const PartAge& entry) { return entry.part == known.part; };
        if (std::none_of(listed.begin(), listed.end(), isSame))
            this->write(known);
    }
}

void QuarantineRecord::onChange(const PromptQuarantine::Change& change, TimePoint now)
{
    // All nodes withdraw a verdict; one of them removes its entry.
    const bool mayRemove = change.replacedBy == 0 || this->hooks.isWriter(now);
    if (!change.isQuarantined && change.isOwn && mayRemove)
        this->hooks.remove(change.part);
    else if (change.isQuarantined && this->hooks.isWriter(now))
        this->write({ change.part, Duration::zero(), change.isRequest });
}

void QuarantineRecord::write(const PartAge& part)
{
    if (part.age < this->quarantine.quarantineTime() && this->writing.insert(part.part).second)
        this->hooks.write(part);
}

} // namespace guavapond::edge
