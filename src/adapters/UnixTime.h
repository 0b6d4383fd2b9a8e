// The time of day, for what other processes store or show. Decisions take the time since boot as an argument instead.
//
// Index
//   unixMsNow   ms since 1970
#pragma once

#include <chrono>
#include <cstdint>

namespace guavapond {

inline int64_t unixMsNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace guavapond
