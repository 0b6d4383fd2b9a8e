// A server that answers each request on a connection with the bytes of a script, whatever they are. For answers that no well-behaved
// server sends.
//
// Index
//   ScriptedEnd      what follows the bytes
//   ScriptedServer
#pragma once

#include "edge/HttpClient.h"

namespace guavapond::standins {

enum class ScriptedEnd : uint8_t {
    KeepOpen,
    Close,
    Reset,
    Stall,  // nothing more is read on the connection
    Repeat, // the filler again and again until the other side closes
};

class ScriptedServer {
public:
    // `{id}` in the bytes stands for the request's Guavapond-Attempt-Id.
    ScriptedServer(edge::net::io_context& loop, std::string bytes, ScriptedEnd end, std::string filler = {});

    edge::Address address() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }
    void push(const std::string& text); // on all open connections, without a request

    std::vector<std::string> first; // answers to the first requests, in place of the bytes; their connections stay open
    std::function<void()> onRequest = [] {};
    size_t connections = 0;
    size_t requests = 0;
    std::vector<std::string> attempts; // Guavapond-Attempt-Id of each request, in order
    size_t repeated = 0;               // bytes of the filler that were sent
    bool closed = false;               // the other side closed a connection that the filler was sent on

private:
    struct Peer {
        explicit Peer(edge::tcp::socket connected)
            : socket(std::move(connected))
        {
        }
        edge::tcp::socket socket;
        std::string input;
        std::string output;
    };
    void accept();
    void read(const std::shared_ptr<Peer>& peer);
    void repeat(const std::shared_ptr<Peer>& peer);
    void answer(const std::shared_ptr<Peer>& peer, const std::string& head);

    std::vector<std::shared_ptr<Peer>> peers;
    std::string bytes;
    ScriptedEnd end;
    std::string filler;
    edge::tcp::acceptor acceptor;
};

} // namespace guavapond::standins
