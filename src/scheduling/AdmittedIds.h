// Ids of the requests that must not run twice and that this node has admitted. An id becomes one exchange at a node: a second request with
// the id of one that may have run is refused, whoever sent it again.
//
// Index
//   AdmittedIds   contains, insert, erase
#pragma once

#include "core/Types.h"

#include <deque>
#include <unordered_map>

namespace guavapond::edge {

class AdmittedIds {
public:
    static constexpr Duration keepTime = std::chrono::seconds(60); // longer than a request lasts, its repeats included
    static constexpr size_t maxIds = 16384;                        // the oldest yield; reached above 273 such requests a second

    bool contains(std::string_view id, TimePoint now);
    void insert(std::string_view id, TimePoint now);
    void erase(std::string_view id); // the request has not run, so that its id may come again
    size_t size() const { return this->admittedAt.size(); }

private:
    void expire(TimePoint now);

    std::unordered_map<uint64_t, TimePoint> admittedAt;     // by hash of the id
    std::deque<std::pair<TimePoint, uint64_t>> byAdmission; // an erased id stays here until its time has passed
};

} // namespace guavapond::edge
