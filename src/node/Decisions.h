// The decision logic of one node and the mutex that guards it. Nothing here waits: the mutex is held for microseconds at a time.
#pragma once

#include "core/CostModel.h"
#include "core/PrefixIndex.h"
#include "core/RetryBudget.h"
#include "core/Router.h"
#include "core/Scheduler.h"
#include "core/TargetSet.h"
#include "core/TicketLedger.h"
#include "core/Witness.h"

#include <mutex>

namespace guavapond {

struct DecisionSettings {
    TargetSettings targets;
    PrefixSettings prefixes;
    CostSettings costs;
    RouterSettings router;
    SchedulerSettings scheduler;
    LedgerSettings ledger;
    RetrySettings retries;
    OwnerSettings owner;
    WitnessSettings witness;
};

// Invariant: every member but the mutex is used under the mutex only.
struct Decisions {
    Decisions(const NodeIdentity& identity, const std::string& failureDomain, const DecisionSettings& settings,
        const std::function<uint64_t(uint64_t)>& random)
        : targets(settings.targets, failureDomain)
        , prefixes(settings.prefixes)
        , costs(settings.costs)
        , router(settings.router, this->targets, this->prefixes, this->costs, random)
        , scheduler(settings.scheduler, this->targets, this->router, this->costs)
        , ledger(identity, settings.ledger)
        , retries(settings.retries, random)
        , owner(identity, settings.owner)
        , witness(identity, settings.witness)
    {
    }

    void applyTable(const TableIndex& table, TimePoint now)
    {
        this->targets.applyTable(table, now);
        this->router.applyTable(table, now);
        this->scheduler.applyTable(table, now);
    }

    std::mutex mutex;
    TargetSet targets;
    PrefixIndex prefixes;
    CostModel costs;
    Router router;
    Scheduler scheduler;
    TicketLedger ledger;
    RetryBudget retries;
    WitnessedOwner owner; // of this node's tickets
    WitnessStore witness; // for other nodes
};

} // namespace guavapond
