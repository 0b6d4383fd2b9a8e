// Output and exit codes of the guavapond command.
#pragma once

#include "core/TableStore.h"

#include <nlohmann/json.hpp>

namespace guavapond::cli {

enum ExitCode : int {
    Done = 0,
    Usage = 1,       // arguments
    Invalid = 2,     // a file or an edit with errors; nothing was changed
    Conflicting = 3, // someone else changed the table first; nothing was changed
    Unavailable = 4, // the platform or a node does not answer; nothing was changed
    Uncertain = 5,   // the outcome is not known
    Absent = 6,      // no such cell, target, ticket or table
    Refused = 7,     // a node refused or failed the request
};

using Lines = std::vector<std::vector<std::string>>;

void printTable(const std::vector<std::string>& header, const Lines& lines); // columns aligned, on standard output
void printJson(const nlohmann::json& value);
int fail(ExitCode code, const std::string& message); // prints on standard error, returns the code
int fail(const Failure& failure);
std::string timeText(int64_t unixMs); // UTC, ISO 8601

} // namespace guavapond::cli
