// Settings of an edge node, read from a TOML file. All errors of the file are reported together, each with its key and the allowed
// values.
//
// Index
//   EdgeSettings         all settings of a node
//   SettingsFault        one error in the file
//   EdgeSettingsResult   settings or errors
//   readEdgeSettings, parseEdgeSettings
#pragma once

#include "edge/PeerLink.h"

namespace guavapond::edge {

struct EdgeSettings {
    std::string node; // name of this node
    std::string failureDomain;
    MachineSettings machine;
    Address callers;                                                  // listens for requests of callers
    Address ready;                                                    // listens for readiness checks of the load balancer
    Address peers;                                                    // listens for beacons and store items from other edge nodes
    Address metrics;                                                  // listens for requests for the metrics page
    Address store;                                                    // of the store server
    uint32_t descriptors = 1024;                                      // file descriptors that the process may open
    size_t memoryBytes = 128'000'000;                                 // that the process may use
    Duration maxKeyRevocationDelay = std::chrono::milliseconds(5000); // longest time for which a revoked key is still accepted
    bool checksRevocation = true;                               // false: keys are accepted without proof that the configuration is current
    Duration stopGrace = std::chrono::seconds(8);               // time between SIGTERM and SIGKILL
    Duration leaseTtl = std::chrono::seconds(5);                // time to live of this node's entry in the store
    Duration evacuationBound = std::chrono::milliseconds(5000); // from an evacuation until no node in touch sends to the domain's targets
    SecondTrySettings secondTries;
    Duration quotaWindow = std::chrono::seconds(8); // window in which the operators count a workspace's tokens
    MoveSettings moves;
    PlacementSettings placement; // placement.failureDomain is copied from failureDomain above
    AdmissionSettings admission;
    std::string logLevel = "info"; // error, warn, info or debug
};

struct SettingsFault {
    std::string key; // path of the setting; the position or the file's path if the file can't be parsed or read
    std::string message;
};

// Either the settings, or all errors of the file.
struct EdgeSettingsResult {
    std::optional<EdgeSettings> settings; // empty: there are faults
    std::vector<SettingsFault> faults;
};
EdgeSettingsResult readEdgeSettings(const std::string& path);
EdgeSettingsResult parseEdgeSettings(std::string_view text);

} // namespace guavapond::edge
