// Values of store items for tests, in the format in which the platform's operator and runners write them.
//
// Index
//   configText  the operators' configuration: one route, one service, one workspace
//   plainConfigText  the same with a plain service, and a quota that bounds nothing
//   targetText  the entry of a target of service s1
#pragma once

#include <string>

namespace guavapond::test {

inline std::string configText(int version, const std::string& route)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":")" + route
        + R"(","host":"A.example","prefix":"/x/","route_type":"streaming","timeout_ms":12000,"target_latency_ms":250,"priority":1,)"
          R"("service":"s1","max_attempts":2,"anonymous":false,"resumable":true,"itl_target_ms":200}],)"
          R"("services":[{"name":"s1","health_path":"/h","max_conns":360,"engine":{"slots":13,"kv_capacity":1000,"stride":6}}],)"
          R"("limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
          R"("tenants":[{"name":"t1","api_keys":["k"],"priority":1,"unit":"token_count","uncached_tokens":200,"rate_per_s":310,"burst":620}]})";
}

// `kind` is the platform's word for the route's kind.
inline std::string plainConfigText(int version, const std::string& kind, int timeoutMs)
{
    std::string config = configText(version, "r");
    const auto replace = [&](const std::string& from, const std::string& to) { config.replace(config.find(from), from.size(), to); };
    replace("\"streaming\"", "\"" + kind + "\"");
    replace("\"timeout_ms\":12000", "\"timeout_ms\":" + std::to_string(timeoutMs));
    replace("\"rate_per_s\":310,\"burst\":620", "\"rate_per_s\":1000000,\"burst\":1000000");
    replace(R"(,"engine":{"slots":13,"kv_capacity":1000,"stride":6})", "");
    return config;
}

inline std::string targetText(const std::string& state, int sequence, const std::string& address = "10.0.0.9:8080")
{
    return R"({"service":"s1","address":")" + address + R"(","zone":"z","version":"v1","slots":13,"state":")" + state
        + R"(","cold_left_ms":0,"sequence":)" + std::to_string(sequence) + "}";
}

// Of a target's process that tells when it started.
inline std::string reportText(const std::string& state, int sequence, int64_t startedUnixMs)
{
    std::string text = targetText(state, sequence);
    return text.insert(1, R"("born":)" + std::to_string(startedUnixMs) + ",");
}

} // namespace guavapond::test
