// Real processes for tests.
//
// Index
//   waitFor    polls a condition up to a generous bound
//   Process    a child, ended by its own id
#pragma once

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace guavapond::test {

constexpr std::chrono::seconds patience(40); // reached only when a test fails

bool waitFor(const std::function<bool()>& condition, std::chrono::milliseconds bound = patience);

class Process {
public:
    // Standard output and error go to NAME.out and NAME.err in the directory.
    Process(const std::string& directory, const std::string& name, const std::string& program, const std::vector<std::string>& arguments);
    ~Process(); // SIGKILL if it still runs
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void send(int signal) const;
    std::optional<int> waitForExit(); // exit status; 128 + signal if killed; none: still running
    bool isRunning();
    pid_t id() const { return this->pid; }
    nlohmann::json ready(); // its first line, once printed; null: ended or too late
    std::string output() const;
    std::string errors() const;

private:
    std::string base;
    pid_t pid = -1;
    std::optional<int> status;
};

} // namespace guavapond::test
