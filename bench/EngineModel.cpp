// Iterations of the engine model and its prefix cache.
#include "EngineModel.h"

#include "core/PrefixIndex.h"

#include <algorithm>
#include <cassert>

namespace guavapond::bench {

EngineModel::EngineModel(const EngineSettings& initial)
    : settings(initial)
{
}

void EngineModel::admit(EngineJob job, TimePoint now)
{
    this->queue.push_back(std::move(job));
    if (!this->iterationEnd)
        this->startIteration(now);
}

void EngineModel::cancel(uint64_t id, TimePoint)
{
    auto waiting = std::find_if(this->queue.begin(), this->queue.end(), [id](const EngineJob& job) { return job.id == id; });
    if (waiting != this->queue.end())
        this->queue.erase(waiting);
    auto running = std::find_if(this->batch.begin(), this->batch.end(), [id](const Sequence& s) { return s.job.id == id; });
    if (running != this->batch.end())
        this->release(running);
}

std::vector<uint64_t> EngineModel::crash()
{
    std::vector<uint64_t> lost;
    for (const auto& job : this->queue)
        lost.push_back(job.id);
    for (const auto& sequence : this->batch)
        lost.push_back(sequence.job.id);
    this->queue.clear();
    this->batch.clear();
    this->iterationEnd.reset();
    this->usedMemory = 0;
    this->cache.clear();
    this->recentBlocks.clear();
    this->cacheChanges.clear();
    return lost;
}

std::vector<EngineProgress> EngineModel::advance(TimePoint now)
{
    assert(this->iterationEnd && *this->iterationEnd <= now);
    std::vector<EngineProgress> progress;
    uint32_t prefillLeft = this->chunk;
    for (auto position = this->batch.begin(); position != this->batch.end();) {
        auto& sequence = *position;
        if (sequence.prefillLeft > 0) {
            uint32_t done = std::min(prefillLeft, sequence.prefillLeft);
            sequence.prefillLeft -= done;
            prefillLeft -= done;
            this->prefilled[sequence.job.id] += done;
            this->prefilledTotal += done;
            if (sequence.prefillLeft > 0 || done == 0) {
                ++position;
                continue;
            }
            this->remember(sequence.job);
        }
        ++sequence.produced;
        bool isFinished = sequence.produced >= sequence.job.outputTokens;
        progress.push_back({ sequence.job.id, sequence.produced == 1, isFinished });
        auto current = position++;
        if (isFinished)
            this->release(current);
    }
    this->iterationEnd.reset();
    this->startIteration(now);
    return progress;
}

uint32_t EngineModel::takePrefilled(uint64_t id)
{
    auto node = this->prefilled.extract(id);
    return node.empty() ? 0 : node.mapped();
}

double EngineModel::decodeTokensPerSecond(double tokenSeconds) const
{
    double sequences = (tokenSeconds * this->settings.speed - this->settings.iterationSeconds) / this->settings.sequenceSeconds;
    return std::clamp<double>(sequences, 1, this->settings.maxBatch) / tokenSeconds;
}

void EngineModel::fillBatch()
{
    while (!this->queue.empty() && this->batch.size() < this->settings.maxBatch) {
        const auto& job = this->queue.front();
        uint32_t cached = this->cachedTokens(job);
        uint64_t memory = static_cast<uint64_t>(job.promptTokens - cached) + job.outputTokens;
        if (!this->batch.empty() && this->usedMemory + memory > this->settings.memoryTokens)
            return;
        this->usedMemory += memory;
        this->batch.push_back({ .job = job, .prefillLeft = job.promptTokens - cached, .produced = 0, .memory = memory });
        this->queue.pop_front();
        this->evict();
    }
}

void EngineModel::startIteration(TimePoint now)
{
    this->fillBatch();
    if (this->batch.empty())
        return;
    this->chunk = 0;
    uint32_t decoding = 0;
    for (const auto& sequence : this->batch) {
        if (sequence.prefillLeft == 0)
            ++decoding;
        this->chunk = std::min(this->settings.prefillChunk, this->chunk + sequence.prefillLeft);
    }
    double seconds
        = this->settings.iterationSeconds + decoding * this->settings.sequenceSeconds + this->chunk * this->settings.prefillTokenSeconds;
    this->iterationEnd = now + fromSeconds(seconds * this->slowdown / this->settings.speed);
}

uint32_t EngineModel::cachedTokens(const EngineJob& job) const
{
    uint32_t tokens = 0;
    for (uint64_t block : job.blocks) {
        if (!this->cache.contains(block))
            break;
        tokens += prefixBlockTokens;
    }
    // The last token of a prompt is always computed.
    return std::min(tokens, job.promptTokens - 1);
}

void EngineModel::remember(const EngineJob& job)
{
    // The first block of a prompt is used last, so that a prefix is evicted from its end.
    std::vector<uint64_t> fromLast(job.blocks.rbegin(), job.blocks.rend());
    for (uint64_t block : fromLast) {
        auto [position, isNew] = this->cache.try_emplace(block);
        if (isNew)
            this->cacheChanges.push_back({ ++this->cacheSeq, block, true });
        else
            this->recentBlocks.erase(position->second);
        this->recentBlocks.push_front(block);
        position->second = this->recentBlocks.begin();
    }
    this->evict();
}

void EngineModel::evict()
{
    uint64_t left = this->settings.memoryTokens - std::min(this->settings.memoryTokens, this->usedMemory);
    while (this->cache.size() * prefixBlockTokens > left) {
        this->cacheChanges.push_back({ ++this->cacheSeq, this->recentBlocks.back(), false });
        this->cache.erase(this->recentBlocks.back());
        this->recentBlocks.pop_back();
    }
}

void EngineModel::release(std::list<Sequence>::iterator position)
{
    this->usedMemory -= position->memory;
    this->batch.erase(position);
}

} // namespace guavapond::bench
