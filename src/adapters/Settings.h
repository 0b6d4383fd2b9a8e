// Settings of a node, read once at start from a TOML file. Everything that changes while nodes run is in the operators' table instead.
//
// Index
//   PeerSettings, Settings    values with their defaults and units
//   SettingsError             file, line, key, value and what is allowed
//   readSettings              parses a file; reports every error in one go
#pragma once

#include "core/CostModel.h"
#include "core/PrefixIndex.h"
#include "core/Router.h"
#include "core/TargetSet.h"

namespace guavapond {

struct PeerSettings {
    std::string name;
    std::string address; // HOST:PORT of its listener for nodes
    std::string failureDomain;
};

struct Settings {
    // [node]
    std::string name;          // required
    std::string failureDomain; // required
    // [callers]: HTTP
    std::string callersAddress = "127.0.0.1"; // IP address to listen on
    uint16_t callersPort = 8080;              // 0: chosen by the kernel
    std::string callersTlsCert;               // PEM file; empty: no TLS
    std::string adminToken;                   // expected in "Authorization: Bearer" of /v1/admin/; empty: no check
    std::string callersTlsKey;                // PEM file
    // [nodes]: gRPC
    std::string nodesAddress = "127.0.0.1"; // IP address to listen on
    uint16_t nodesPort = 8081;              // 0: chosen by the kernel
    // [[peers]]
    std::vector<PeerSettings> peers;
    // [platform]
    std::vector<std::string> platformUrls;              // required
    std::string platformCaFile;                         // PEM file; empty: the system's certificates
    Duration platformTimeout = std::chrono::seconds(2); // of a call
    Duration platformWatch = std::chrono::seconds(30);  // of a watch of the table's head
    // [targets]
    std::string targetsCaFile;                                // PEM file; empty: the system's certificates
    Duration firstByteTimeout = std::chrono::seconds(30);     // from dispatch to the first byte
    Duration betweenTokensTimeout = std::chrono::seconds(10); // silence inside a stream
    Duration healthTimeout = std::chrono::seconds(2);         // of a health check
    Duration loadPeriod = std::chrono::milliseconds(500);     // between load reports of a target
    // [limits]: per request
    uint64_t maxBodyBytes = 8 * 1024 * 1024; // bytes
    uint32_t maxHeaders = 64;
    uint32_t maxHeaderBytes = 16 * 1024;                // bytes, all headers together
    Duration bodyTimeout = std::chrono::seconds(10);    // to receive the body
    Duration defaultDeadline = std::chrono::minutes(2); // of a request that names none
    Duration maxDeadline = std::chrono::hours(24);      // longest that a request may name
    // [queue]
    uint32_t maxQueuedPerModel = 32768; // requests waiting in all tiers of a model
    // [scheduler]: windows, health and learned speeds of targets, cost of requests, prefix index; [router]
    TargetSettings target;
    CostSettings cost;
    PrefixSettings prefix;
    RouterSettings router;
    // [log]
    std::string logFile;                      // empty: standard output
    std::string logLevel = "info";            // error, warn, info or debug
    uint64_t logFileBytes = 64 * 1024 * 1024; // bytes before the file is rotated
    uint32_t logFiles = 4;                    // rotated files that are kept
    // [audit]
    std::string auditFile;                      // empty: none
    uint64_t auditFileBytes = 16 * 1024 * 1024; // bytes before the file is rotated
    uint32_t auditFiles = 4;                    // rotated files that are kept
    // [shutdown]
    Duration shutdownTime = std::chrono::minutes(5); // for running and queued work after SIGTERM
};

struct SettingsError {
    std::string file;
    size_t line = 0;     // from 1; 0: the file as a whole
    std::string key;     // "limits.maxBodyBytes"
    std::string value;   // as written; empty: missing
    std::string allowed; // range or rule
};

std::string describe(const SettingsError& error); // "FILE:LINE: KEY = VALUE: allowed: ..."

struct SettingsResult {
    std::optional<Settings> settings;  // only without errors
    std::vector<SettingsError> errors; // in the order of their lines
};

SettingsResult readSettings(const std::string& file);
SettingsResult parseSettings(std::string_view text, const std::string& file); // `file` is for the errors

} // namespace guavapond
