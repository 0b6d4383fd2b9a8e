// Program standin-platform: the platform's stand-in on loopback. Prints one JSON line with its port when it is ready; SIGTERM or SIGINT
// ends it.
#include "PlatformServer.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>

using namespace guavapond::standin;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the platform: key-value service, leases, watches and the list of VMs");
    uint16_t port = 0;
    app.add_option("--port", port, "port on 127.0.0.1; 0: chosen by the kernel");
    CLI11_PARSE(app, argc, argv);

    // Blocked before the listener starts its threads, so that only sigwait receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        PlatformModel model;
        const PlatformServer server(model, port);
        std::printf("%s\n", nlohmann::json { { "ready", true }, { "port", server.port() } }.dump().c_str());
        std::fflush(stdout);
        int received = 0;
        sigwait(&signals, &received);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "standin-platform: %s\n", error.what());
        return 1;
    }
    return 0;
}
