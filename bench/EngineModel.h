// Small model of a language model engine in virtual time: continuous batching, a prefix cache in limited memory, no priorities.
//
// Index
//   EngineSettings, EngineJob, EngineProgress, CacheChange
//   EngineModel    admit, cancel, crash; iterations as time advances
//
// An iteration gives each decoding sequence one token and prefills up to one chunk of the oldest prompt. Its length is the base time
// plus a time for each decoding sequence (decode slows with the batch) plus the time of the chunk (prefill interferes with decode).
// Everything is admitted; what exceeds the batch or the memory waits first come first served.
#pragma once

#include "core/Types.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace guavapond::bench {

struct EngineSettings {
    double speed = 1;                      // against the reference hardware
    double iterationSeconds = 0.010;       // base time of an iteration
    double sequenceSeconds = 0.0005;       // for each decoding sequence
    double prefillTokenSeconds = 0.000025; // for each uncached prompt token
    uint32_t prefillChunk = 384;           // tokens in an iteration
    uint32_t maxBatch = 64;                // sequences
    uint64_t memoryTokens = 500000;        // tokens of KV memory, shared by sequences and prefix cache
};

struct EngineJob {
    uint64_t id = 0;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    std::vector<uint64_t> blocks; // chained hashes of the prompt's full blocks
};

struct EngineProgress {
    uint64_t id = 0;
    bool isFirst = false;
    bool isFinished = false;
};

struct CacheChange {
    uint64_t seq = 0;
    uint64_t block = 0;
    bool isAdded = false;
};

class EngineModel {
public:
    explicit EngineModel(const EngineSettings& settings);

    void admit(EngineJob job, TimePoint now);
    void cancel(uint64_t id, TimePoint now);
    std::vector<uint64_t> crash(); // ids of the requests that were lost
    void setSlowdown(double factor) { this->slowdown = factor; }

    std::optional<TimePoint> nextEvent() const { return this->iterationEnd; }
    std::vector<EngineProgress> advance(TimePoint now); // ends the iteration that is due at `now`

    uint32_t running() const { return static_cast<uint32_t>(this->batch.size()); }
    uint32_t waiting() const { return static_cast<uint32_t>(this->queue.size()); }
    uint64_t prefilledTokens() const { return this->prefilledTotal; } // computed, not taken from the cache
    std::vector<CacheChange> takeCacheChanges() { return std::exchange(this->cacheChanges, {}); }
    uint32_t takePrefilled(uint64_t id);                     // tokens computed for the request; forgets it
    double decodeTokensPerSecond(double tokenSeconds) const; // throughput at which a token takes this long

private:
    struct Sequence {
        EngineJob job;
        uint32_t prefillLeft = 0; // tokens
        uint32_t produced = 0;    // tokens
        uint64_t memory = 0;      // tokens held
    };

    void fillBatch();
    void startIteration(TimePoint now);
    uint32_t cachedTokens(const EngineJob& job) const;
    void remember(const EngineJob& job);
    void evict();
    void release(std::list<Sequence>::iterator position);

    EngineSettings settings;
    double slowdown = 1;
    std::deque<EngineJob> queue;
    std::list<Sequence> batch;
    std::optional<TimePoint> iterationEnd;
    uint32_t chunk = 0;               // tokens prefilled in the present iteration
    uint64_t usedMemory = 0;          // tokens of sequences
    std::list<uint64_t> recentBlocks; // the last used first
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache;
    std::unordered_map<uint64_t, uint32_t> prefilled; // by request
    uint64_t prefilledTotal = 0;
    std::vector<CacheChange> cacheChanges; // since they were taken last
    uint64_t cacheSeq = 0;
};

} // namespace guavapond::bench
