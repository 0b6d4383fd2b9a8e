// Bytes that a connection has received and that are not parsed yet. The parser may consume them while the next read is in progress: the
// space of that read is never part of what the parser sees, and consuming moves no byte, so that no byte is parsed twice.
//
// Index
//   ReceiveBuffer   beginRead, endRead, isReading, bytes, size, consume
#pragma once

#include <algorithm>
#include <cassert>
#include <span>
#include <string_view>
#include <vector>

namespace guavapond::edge {

class ReceiveBuffer {
public:
    // Returns the space for one read, which stays valid until endRead(). One read at a time.
    std::span<char> beginRead(size_t bytes)
    {
        assert(this->reading == 0 && bytes > 0 && "a read is in progress");
        this->makeRoom(bytes);
        this->reading = bytes;
        return std::span(this->storage).subspan(this->last, bytes);
    }
    void endRead(size_t received) // 0: the read failed
    {
        assert(received <= this->reading && "more than the space of the read");
        this->last += received;
        this->reading = 0;
    }
    bool isReading() const { return this->reading > 0; }

    std::string_view bytes() const { return { this->storage.data() + this->first, this->size() }; } // received and not consumed
    size_t size() const { return this->last - this->first; }
    void consume(size_t count) // the first bytes
    {
        assert(count <= this->size() && "more than was received");
        this->first += count;
    }

private:
    void makeRoom(size_t bytes)
    {
        if (this->storage.size() - this->last >= bytes && this->size() > 0)
            return;
        const std::string_view kept = this->bytes();
        std::copy(kept.begin(), kept.end(), this->storage.begin());
        this->last -= this->first;
        this->first = 0;
        if (this->storage.size() - this->last < bytes)
            this->storage.resize(this->last + bytes);
    }

    std::vector<char> storage; // moved and resized only while no read is in progress
    size_t first = 0;          // of the bytes that are not consumed
    size_t last = 0;           // one behind them; the space of the read begins here. first <= last, last + reading <= storage.size()
    size_t reading = 0;        // space of the read in progress; 0: there is none
};

} // namespace guavapond::edge
