// Aligned tables, JSON and errors.
#include "cli/Output.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace guavapond::cli {

void printTable(const std::vector<std::string>& header, const Lines& lines)
{
    std::vector<size_t> widths;
    widths.reserve(header.size());
    for (const std::string& name : header)
        widths.push_back(name.size());
    for (const auto& line : lines) {
        for (size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    const auto print = [&](const std::vector<std::string>& line) {
        std::string text;
        for (size_t i = 0; i < line.size(); ++i) {
            text += line[i];
            if (i + 1 < line.size())
                text += std::string(widths[i] - line[i].size() + 2, ' ');
        }
        std::printf("%s\n", text.c_str());
    };
    print(header);
    for (const auto& line : lines)
        print(line);
}

void printJson(const nlohmann::json& value)
{
    std::printf("%s\n", value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
}

int fail(ExitCode code, const std::string& message)
{
    std::fprintf(stderr, "guavapond: %s\n", message.c_str());
    return code;
}

int fail(const Failure& failure)
{
    ExitCode code = Unavailable;
    if (failure.disposition == Disposition::Unknown)
        code = Uncertain;
    else if (failure.kind == FailureKind::Conflict)
        code = Conflicting;
    else if (failure.kind == FailureKind::InvalidEdit || failure.kind == FailureKind::WrongType)
        code = Invalid;
    std::string message = std::string(failureKindName(failure.kind)) + ": " + failure.message;
    if (failure.retryAfter > Duration::zero())
        message += " (retry after " + std::to_string(toMilliseconds(failure.retryAfter)) + " ms)";
    return fail(code, message);
}

std::string timeText(int64_t unixMs)
{
    const std::time_t seconds = unixMs / 1000;
    std::tm utc {};
    ::gmtime_r(&seconds, &utc);
    char buffer[32];
    std::strftime(buffer, sizeof buffer, "%Y-%m-%dT%H:%M:%SZ", &utc);
    return buffer;
}

} // namespace guavapond::cli
