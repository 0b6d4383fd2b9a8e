// Decides what the store's list of quarantined prompt parts needs: the list outlives all processes, and one node at a time writes it.
//
// Index
//   QuarantineRecord   onListed, onChange, written
#pragma once

#include "scheduling/PromptQuarantine.h"

#include <functional>
#include <set>

namespace guavapond::edge {

class QuarantineRecord {
public:
    struct Hooks {
        std::function<bool(TimePoint now)> isWriter;    // this node writes what is missing; one node at a time does
        std::function<void(const PartAge& part)> write; // creates the part's entry, unless there is one; calls written() when done
        std::function<void(PartKey part)> remove;       // without an answer the entry ends with the quarantine
    };
    QuarantineRecord(PromptQuarantine& quarantine, Hooks hooks);

    void onListed(std::span<const PartAge> listed, TimePoint now); // all entries that the store holds
    void onChange(const PromptQuarantine::Change& change, TimePoint now);
    void written(PartKey part) { this->writing.erase(part); } // also after a failure; the next list shows whether it is there

private:
    void write(const PartAge& part);

    PromptQuarantine& quarantine;
    Hooks hooks;
    std::set<PartKey> writing; // calls are under way
};

} // namespace guavapond::edge
