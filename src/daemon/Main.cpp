// guavapondd: one node.
#include "adapters/Logging.h"
#include "daemon/NodeProcess.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace guavapond;

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitStartFailed = 3;

// The signals are blocked in all threads and taken here one by one.
sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

uint64_t drawIncarnation()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32U) | device();
}

int run(const Settings& settings)
{
    auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    startLogging({ settings.logFile, settings.logLevel, settings.logFileBytes, settings.logFiles, settings.name });
    NodeProcess node(settings, drawIncarnation());
    if (auto failure = node.start()) {
        std::cerr << failure->message << "\n";
        return exitStartFailed;
    }
    std::cout << nlohmann::json { { "node", settings.name }, { "port", node.callerPort() }, { "peerPort", node.peerPort() } }.dump()
              << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    node.stopGracefully();
    // All answers are out. A watch of the platform that is under way can't be cancelled, so the process ends without waiting for it.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "guavapondd: a node of the Guavapond request scheduler. Prints one JSON line with its ports when it is ready; SIGTERM "
                   "stops it after all admitted work is done." };
    std::string file;
    app.add_option("--settings", file, "settings file (TOML); guavapond check FILE explains its faults")->required();
    CLI11_PARSE(app, argc, argv);
    auto loaded = readSettings(file);
    for (const auto& error : loaded.errors)
        std::cerr << describe(error) << "\n";
    if (!loaded.settings)
        return exitBadSettings;
    return run(*loaded.settings);
}
