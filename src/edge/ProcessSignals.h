// Signals of the operator to the process: SIGTERM and SIGINT ask for a planned stop, SIGHUP announces changed settings.
//
// Index
//   ProcessSignals   start
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>

namespace guavapond::edge {

namespace net = boost::asio;

class ProcessSignals {
public:
    struct Hooks {
        std::function<void()> stop; // at each of its signals, so that it has to bear repeats
        std::function<void()> reload;
    };

    ProcessSignals(net::io_context& loop, Hooks hooks); // handles the signals from here on
    ~ProcessSignals();                                  // leaves the signals blocked
    ProcessSignals(const ProcessSignals&) = delete;
    ProcessSignals& operator=(const ProcessSignals&) = delete;
    void start();

private:
    net::signal_set signals;
    Hooks hooks;
};

} // namespace guavapond::edge
