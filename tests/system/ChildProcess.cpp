// Children by posix_spawn.
#include "ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace guavapond::test {

using nlohmann::json;

namespace {

std::string readFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

bool waitFor(const std::function<bool()>& condition, std::chrono::milliseconds bound)
{
    constexpr std::chrono::milliseconds step(20);
    for (auto until = std::chrono::steady_clock::now() + bound; std::chrono::steady_clock::now() < until;) {
        if (condition())
            return true;
        std::this_thread::sleep_for(step);
    }
    return condition();
}

Process::Process(
    const std::string& directory, const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
    : base(directory + "/" + name)
{
    std::vector<std::string> held { program };
    held.insert(held.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(held.size() + 1);
    for (auto& argument : held)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    constexpr int flags = O_WRONLY | O_CREAT | O_TRUNC;
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, (this->base + ".out").c_str(), flags, 0600);
    ::posix_spawn_file_actions_addopen(&files, STDERR_FILENO, (this->base + ".err").c_str(), flags, 0600);
    if (::posix_spawn(&this->pid, program.c_str(), &files, nullptr, argv.data(), environ) != 0)
        this->status = 127;
    ::posix_spawn_file_actions_destroy(&files);
}

Process::~Process()
{
    if (!this->isRunning())
        return;
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
}

void Process::send(int signal) const
{
    if (!this->status)
        ::kill(this->pid, signal);
}

bool Process::isRunning()
{
    int state = 0;
    if (!this->status && ::waitpid(this->pid, &state, WNOHANG) == this->pid)
        this->status = WIFEXITED(state) ? WEXITSTATUS(state) : 128 + WTERMSIG(state);
    return !this->status;
}

std::optional<int> Process::waitForExit()
{
    waitFor([this] { return !this->isRunning(); });
    return this->status;
}

json Process::ready()
{
    json line;
    waitFor([&] {
        std::istringstream out(this->output());
        std::string first;
        std::getline(out, first);
        line = out.eof() ? json() : json::parse(first, nullptr, false);
        return line.is_object() || !this->isRunning();
    });
    return line;
}

std::string Process::output() const { return readFile(this->base + ".out"); }

std::string Process::errors() const { return readFile(this->base + ".err"); }

} // namespace guavapond::test
