// The platform's key-value service and VM list over HTTP (design, section 8).
//
// Index
//   HttpPlatformSettings   addresses and timeouts
//   httpKeyValue           the KeyValue port
//   httpVmList             the VmList port
#pragma once

#include "ports/Platform.h"

namespace guavapond {

struct HttpPlatformSettings {
    std::vector<std::string> urls;              // base URLs; a read tries each in turn, a write goes to one
    Duration timeout = std::chrono::seconds(2); // of a call; a watch has it in addition to its wait
    std::string caFile;                         // PEM; empty: the system's certificates
};

// The hooks are thread-safe and block; don't call them from a cpprestsdk handler.
// put: a timeout, a lost connection, a 5xx status or an answer that can't be read gives PlatformUnavailable with Disposition::Unknown;
// a rate limit gives PlatformUnavailable with NotRun and retryAfter.
// watch: a removed key is a pair with revision 0.
KeyValue httpKeyValue(const HttpPlatformSettings& settings);
VmList httpVmList(const HttpPlatformSettings& settings);

} // namespace guavapond
