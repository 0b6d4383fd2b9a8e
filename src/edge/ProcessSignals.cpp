// Implements the signals to the process.
#include "edge/ProcessSignals.h"

#include <csignal>

namespace guavapond::edge {

ProcessSignals::ProcessSignals(net::io_context& loop, Hooks h)
    : signals(loop, SIGTERM, SIGINT, SIGHUP)
    , hooks(std::move(h))
{
}

// The set restores the default actions, with which a further signal would replace the exit code and lose log lines that are not written
// yet.
ProcessSignals::~ProcessSignals()
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&handled, signal);
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

void ProcessSignals::start()
{
    this->signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            this->hooks.reload();
        else
            this->hooks.stop();
        this->start();
    });
}

} // namespace guavapond::edge
