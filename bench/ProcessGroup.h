// Child processes of a benchmark: started, signalled and measured by their process id.
//
// Index
//   ChildUsage, ChildProcess    one process
//   programDirectory            where the benchmark and the programs beside it are
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace guavapond::bench {

struct ChildUsage {
    double cpuSeconds = 0; // user and system
    double residentMb = 0; // MiB
};

// Ends with the benchmark: the kernel kills it when the thread that started it ends.
class ChildProcess {
public:
    // Standard error goes to `errorFile`.
    ChildProcess(const std::vector<std::string>& command, const std::string& errorFile);
    ~ChildProcess(); // kills it if it still runs
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    nlohmann::json readLine(std::chrono::milliseconds wait); // first line of its standard output; throws when none comes
    void signal(int number) const;
    bool hasEnded();
    int waitForEnd(std::chrono::milliseconds wait); // exit status; -1: ended by a signal, or still running
    ChildUsage usage() const;

private:
    pid_t pid = -1;
    int output = -1;
    bool ended = false;
    int status = 0;
};

std::string programDirectory();

} // namespace guavapond::bench
