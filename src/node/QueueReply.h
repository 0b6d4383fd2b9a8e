// The answer of a forwarded request on its way back to the node that forwarded it.
#pragma once

#include "ports/Caller.h"
#include "ports/Peer.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace guavapond {

// Written on one thread, taken on another.
class QueueReply final : public HttpReply {
public:
    void send(int status, std::span<const HttpHeader> headers, std::string body) override
    {
        this->push({ status, { headers.begin(), headers.end() }, std::move(body), true });
    }
    void start(int status, std::span<const HttpHeader> headers) override
    {
        this->push({ status, { headers.begin(), headers.end() }, {}, false });
    }
    void write(std::string_view data) override { this->push({ 0, {}, std::string(data), false }); }
    void finish() override { this->push({ 0, {}, {}, true }); }
    void abort() override
    {
        std::lock_guard lock(this->mutex);
        this->aborted = true;
        this->changed.notify_one();
    }
    bool isGone() const override { return this->gone; }
    void onGone(std::function<void()> callback) override
    {
        std::lock_guard lock(this->mutex);
        this->goneCallback = std::move(callback);
    }

    // Next piece; none: aborted, or nothing came within `wait`.
    std::optional<ForwardedChunk> take(Duration wait)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, wait, [this] { return this->aborted || !this->chunks.empty(); });
        if (this->chunks.empty())
            return std::nullopt;
        auto chunk = std::move(this->chunks.front());
        this->chunks.pop_front();
        return chunk;
    }
    bool isAborted() const
    {
        std::lock_guard lock(this->mutex);
        return this->aborted && this->chunks.empty();
    }
    void markGone()
    {
        std::function<void()> callback;
        {
            std::lock_guard lock(this->mutex);
            this->gone = true;
            callback.swap(this->goneCallback);
        }
        if (callback)
            callback();
    }

private:
    void push(ForwardedChunk chunk)
    {
        std::lock_guard lock(this->mutex);
        if (this->gone)
            return;
        // Consecutive pieces of a stream travel as one message when the taker is slower than the engine.
        bool joins = !this->chunks.empty() && chunk.status == 0 && this->chunks.back().status == 0 && !this->chunks.back().last;
        if (joins) {
            this->chunks.back().data += chunk.data;
            this->chunks.back().last = chunk.last;
        } else {
            this->chunks.push_back(std::move(chunk));
        }
        this->changed.notify_one();
    }

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<ForwardedChunk> chunks;
    bool aborted = false;
    std::function<void()> goneCallback;
    std::atomic<bool> gone { false };
};

} // namespace guavapond
