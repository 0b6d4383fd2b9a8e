// Child processes by fork and exec; usage from /proc.
#include "ProcessGroup.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace guavapond::bench {

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& errorFile)
{
    int ends[2] = { -1, -1 };
    if (::pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    int errors = ::open(errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    this->pid = ::fork();
    if (this->pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(ends[1], STDOUT_FILENO);
        ::dup2(errors, STDERR_FILENO);
        // Sockets of the benchmark, which asio opens without close-on-exec: a copy in the child would keep closed connections open.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    ::close(ends[1]);
    if (errors >= 0)
        ::close(errors);
    this->output = ends[0];
    if (this->pid < 0)
        throw std::runtime_error("fork failed");
}

ChildProcess::~ChildProcess()
{
    if (!this->hasEnded()) {
        this->signal(SIGKILL);
        ::waitpid(this->pid, &this->status, 0);
    }
    ::close(this->output);
}

nlohmann::json ChildProcess::readLine(std::chrono::milliseconds wait)
{
    std::string line;
    const auto until = std::chrono::steady_clock::now() + wait;
    while (std::chrono::steady_clock::now() < until) {
        constexpr int pollMs = 50;
        pollfd entry { this->output, POLLIN, 0 };
        if (::poll(&entry, 1, pollMs) <= 0)
            continue;
        char byte = 0;
        if (::read(this->output, &byte, 1) != 1)
            throw std::runtime_error("a child process ended before it was ready");
        if (byte == '\n')
            return nlohmann::json::parse(line);
        line += byte;
    }
    throw std::runtime_error("a child process was not ready in time");
}

void ChildProcess::signal(int number) const
{
    if (!this->ended)
        ::kill(this->pid, number);
}

bool ChildProcess::hasEnded()
{
    if (!this->ended && ::waitpid(this->pid, &this->status, WNOHANG) == this->pid)
        this->ended = true;
    return this->ended;
}

int ChildProcess::waitForEnd(std::chrono::milliseconds wait)
{
    const auto until = std::chrono::steady_clock::now() + wait;
    while (!this->hasEnded() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return this->ended && WIFEXITED(this->status) ? WEXITSTATUS(this->status) : -1;
}

ChildUsage ChildProcess::usage() const
{
    const std::string directory = "/proc/" + std::to_string(this->pid);
    std::ifstream stat(directory + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    // The name in parentheses may hold spaces; the fields after it are numbers.
    const auto afterName = text.rfind(')');
    if (afterName == std::string::npos)
        return {};
    std::istringstream fields(text.substr(afterName + 2));
    constexpr int userField = 11; // counted from the state
    std::string skipped;
    for (int i = 0; i < userField; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream statm(directory + "/statm");
    double size = 0;
    double resident = 0;
    statm >> size >> resident;
    constexpr double bytesPerMb = 1024 * 1024;
    return { (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK)),
        resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / bytesPerMb };
}

std::string programDirectory() { return std::filesystem::read_symlink("/proc/self/exe").parent_path().string(); }

} // namespace guavapond::bench
