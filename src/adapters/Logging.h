// Logging with log4cxx: one JSON object per line. Request and answer bodies, prompts and tokens for authorization are never logged.
//
// Index
//   LogSettings      file, level, rotation
//   startLogging     configures the process once
//   stopLogging      writes what waits
//   log              one line with fields
//
//   log(LogLevel::Warn, "target ejected", { { "target", name }, { "failures", 3 } });
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace guavapond {

enum class LogLevel : uint8_t {
    Error,
    Warn,
    Info,
    Debug,
};

struct LogSettings {
    std::string file;                     // empty: standard output
    std::string level = "info";           // error, warn, info or debug
    uint64_t maxBytes = 64 * 1024 * 1024; // bytes before the file is rotated
    uint32_t files = 4;                   // rotated files that are kept
    std::string node;                     // field "node" of each line
    size_t asyncLines = 0;                // lines that may wait for the output; more are dropped and counted; 0: written by the caller
};

using LogValue = std::variant<std::string_view, int64_t, double, bool>;

struct LogField {
    std::string_view name;
    LogValue value;

    LogField(std::string_view n, std::string_view v)
        : name(n)
        , value(v)
    {
    }
    LogField(std::string_view n, const char* v)
        : name(n)
        , value(std::string_view(v))
    {
    }
    LogField(std::string_view n, const std::string& v)
        : name(n)
        , value(std::string_view(v))
    {
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string_view n, Number v)
        : name(n)
    {
        if constexpr (std::is_same_v<Number, bool>)
            this->value = v;
        else if constexpr (std::is_floating_point_v<Number>)
            this->value = static_cast<double>(v);
        else
            this->value = static_cast<int64_t>(v);
    }
};

void startLogging(const LogSettings& settings); // replaces an earlier configuration; call it from one thread
void stopLogging();
void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {}); // thread-safe

} // namespace guavapond
