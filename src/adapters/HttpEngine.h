// Engine port over HTTP: section 7 of docs/design.md.
//
// Index
//   HttpEngineSettings, makeHttpEngine
#pragma once

#include "ports/Target.h"

namespace guavapond {

struct HttpEngineSettings {
    std::string caFile = {};                           // PEM; empty: the system's authorities
    Duration controlTimeout = std::chrono::seconds(2); // µs; of each call other than generate
    size_t maxEventBytes = 1 << 20;                    // bytes of one streamed event
    size_t maxAnswerBytes = 1 << 20;                   // bytes of an answer that is not a stream
};

// `generate` and `cancel` return at once; events arrive one at a time on network or timer threads, and the last one is Terminator or
// Failed. The other calls block for up to controlTimeout and must not run on a network thread. The hooks share one adapter, which
// lives as long as any of them.
Engine makeHttpEngine(const HttpEngineSettings& settings);

} // namespace guavapond
