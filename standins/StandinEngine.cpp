// standin-engine: a language model engine's stand-in for tests and benchmarks. Prints {"port":N} when it is ready.
#include "EngineModel.h"

#include <CLI/CLI.hpp>
#include <pplx/threadpool.h>

#include <csignal>
#include <iostream>

namespace {
constexpr size_t networkThreads = 4; // shared by all connections of the process
}

int main(int argc, char** argv)
{
    guavapond::standins::EngineSettings settings;
    int64_t loadLagMs = 0;
    CLI::App app { "Stand-in for a language model engine" };
    app.add_option("--port", settings.port, "0: chosen by the kernel");
    app.add_option("--model", settings.model);
    app.add_option("--version", settings.version);
    app.add_option("--prefill-rate", settings.prefillRate, "uncached prompt tokens/s of one request; 0: no prefill time");
    app.add_option("--decode-rate", settings.decodeRate, "tokens/s of one request; 0: as fast as possible");
    app.add_option("--cache-blocks", settings.cacheBlocks, "prefix blocks kept");
    app.add_flag("--checks-fencing", settings.checksFencing, "refuse orders with an old fencing number");
    app.add_option("--load-lag-ms", loadLagMs, "age of load reports, ms");
    CLI11_PARSE(app, argc, argv);
    settings.loadLag = std::chrono::milliseconds(loadLagMs);

    // Blocked before any thread starts, so that only sigwait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    crossplat::threadpool::initialize_with_threads(networkThreads);

    guavapond::standins::EngineModel engine(settings);
    std::cout << nlohmann::json { { "port", engine.port() } }.dump() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
