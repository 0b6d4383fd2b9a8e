// standin-service: a plain service's stand-in for tests and benchmarks. Prints {"port":N} when it is ready.
#include "ServiceModel.h"

#include <CLI/CLI.hpp>
#include <pplx/threadpool.h>

#include <csignal>
#include <iostream>

namespace {
constexpr size_t networkThreads = 4; // shared by all connections of the process
}

int main(int argc, char** argv)
{
    guavapond::standins::ServiceSettings settings;
    CLI::App app { "Stand-in for a plain service" };
    app.add_option("--port", settings.port, "0: chosen by the kernel");
    app.add_option("--service", settings.service);
    app.add_option("--version", settings.version);
    CLI11_PARSE(app, argc, argv);

    // Blocked before any thread starts, so that only sigwait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    crossplat::threadpool::initialize_with_threads(networkThreads);

    guavapond::standins::ServiceModel service(settings);
    std::cout << nlohmann::json { { "port", service.port() } }.dump() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
