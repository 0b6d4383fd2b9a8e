// A value that many threads read on the path of a request and one thread replaces now and then: read-copy-update by liburcu.
//
// Index
//   RcuThread   registers the calling thread as a reader, once
//   Snapshot    holds the current value; read() sees one version for the length of the call
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <urcu/urcu-memb.h>

namespace guavapond {

class RcuThread {
public:
    static void ensure() { thread_local RcuThread registration; }

private:
    RcuThread() { urcu_memb_register_thread(); }

public:
    ~RcuThread() { urcu_memb_unregister_thread(); }
    RcuThread(const RcuThread&) = delete;
    RcuThread& operator=(const RcuThread&) = delete;
};

// Invariant: `current` is never null, and a version is released only after every reader that may hold it has left read().
template <typename T> class Snapshot {
public:
    using Version = std::shared_ptr<const T>;

    explicit Snapshot(Version first)
        : current(new Version(std::move(first)))
    {
    }
    ~Snapshot() { delete this->current.load(); }
    Snapshot(const Snapshot&) = delete;
    Snapshot& operator=(const Snapshot&) = delete;

    // `reader` must not block and must not keep a reference to its argument.
    template <typename Reader> auto read(Reader&& reader) const
    {
        RcuThread::ensure();
        urcu_memb_read_lock();
        struct Unlock {
            ~Unlock() { urcu_memb_read_unlock(); }
        } unlock;
        return reader(**this->current.load(std::memory_order_acquire));
    }

    // For readers that block or keep the version: one reference count more.
    Version get() const
    {
        RcuThread::ensure();
        urcu_memb_read_lock();
        Version version = *this->current.load(std::memory_order_acquire);
        urcu_memb_read_unlock();
        return version;
    }

    // Waits for readers of the replaced version; not on the path of a request, and not inside read().
    void publish(Version next)
    {
        std::lock_guard lock(this->writer);
        const Version* previous = this->current.exchange(new Version(std::move(next)), std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete previous;
    }

private:
    std::atomic<const Version*> current;
    std::mutex writer;
};

} // namespace guavapond
