// Service port over HTTP.
//
// Index
//   HttpServiceSettings, makeHttpService
#pragma once

#include "ports/Target.h"

namespace guavapond {

struct HttpServiceSettings {
    std::string caFile = {};         // PEM; empty: the system's authorities
    size_t maxAnswerBytes = 8 << 20; // bytes
};

// `call` returns at once; the answer arrives once, on a network or timer thread. A call is never sent twice.
Service makeHttpService(const HttpServiceSettings& settings);

} // namespace guavapond
