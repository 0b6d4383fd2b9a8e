// Settings of an edge node: a TOML file, checked as a whole. Every fault is reported with its key and the allowed range.
//
// Index
//   EdgeSettings
//   readEdgeSettings
#pragma once

#include "edge/PeerLink.h"

namespace guavapond::edge {

struct EdgeSettings {
    std::string node;
    std::string failureDomain;
    Address callers; // where requests come in
    Address ready;   // where the balancer asks whether the node takes requests
    Address peers;   // beacons and store items
    Address metrics;
    Address store;
    uint32_t descriptors = 1024;                              // that the process may open
    Duration keyRevocation = std::chrono::milliseconds(5000); // a key that was taken away is not honoured for longer
    bool checksRevocation = true;                             // false: keys are honoured without a proof
    Duration stopGrace = std::chrono::seconds(8);             // from SIGTERM to SIGKILL
    Duration leaseTtl = std::chrono::seconds(5);              // of this node's entry in the store
    SecondTrySettings secondTries;
    Duration quotaWindow = std::chrono::seconds(8); // over which the operators count a workspace's tokens
    MoveSettings moves;
    PlacementSettings placement; // failureDomain is set from the one above
    AdmissionSettings admission;
    std::string logLevel = "info"; // error, warn, info or debug
};

struct SettingsFault {
    std::string key;
    std::string message;
};

// The settings, or every fault of the file.
struct EdgeSettingsResult {
    std::optional<EdgeSettings> settings;
    std::vector<SettingsFault> faults;
};
EdgeSettingsResult readEdgeSettings(const std::string& path);
EdgeSettingsResult parseEdgeSettings(std::string_view text);

} // namespace guavapond::edge
