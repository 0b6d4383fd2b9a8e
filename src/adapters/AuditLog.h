// The audit trail as JSON lines in files of bounded size. The trail of record is in the platform with the table; each node writes what it
// sees adopted, so that the trail outlives the bounded list in the table's head.
#pragma once

#include "core/TableCodec.h"

#include <fstream>
#include <mutex>

namespace guavapond {

struct AuditLogSettings {
    std::string file;                     // empty: nothing is written
    uint64_t maxBytes = 16 * 1024 * 1024; // bytes before the file is rotated
    uint32_t files = 4;                   // rotated files that are kept: FILE.1 is the newest
};

// Thread-safe.
class AuditLog {
public:
    explicit AuditLog(AuditLogSettings settings);

    // Writes the entries above the last revision written. Returns false if the file can't be written; the entries are then offered again.
    bool record(std::span<const AuditEntry> entries);
    uint64_t lastRevision() const; // restored from the file on start

private:
    bool append(const std::string& line);
    void rotate();

    mutable std::mutex mutex;
    const AuditLogSettings settings;
    std::ofstream out;
    uint64_t bytes = 0; // of the current file
    uint64_t last = 0;
};

} // namespace guavapond
