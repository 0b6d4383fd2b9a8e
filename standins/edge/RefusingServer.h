// A server that refuses requests and writes a copy of each refusal late, on the same connection, where the next answer is due. Requests
// that it does not refuse it runs.
//
// Index
//   RefusingServer   refuse, copyDelay; runs, refused, copies
#pragma once

#include "edge/HttpClient.h"

#include <map>

namespace guavapond::standins {

class RefusingServer {
public:
    struct Request {
        std::string id;     // Guavapond-Attempt-Id
        std::string target; // Guavapond-Target-Instance
        size_t connection;  // number of its connection, from 1
    };
    explicit RefusingServer(edge::net::io_context& loop);

    edge::Address address() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    // Start lines and fields of the refusal, each with its line end; empty: the request runs. `{id}` stands for the request's id.
    std::function<std::string(const Request&)> refuse = [](const Request&) { return ""; };
    Duration copyDelay {};   // of a copy, from its refusal; zero: right before the next answer of the connection
    Duration serviceTime {}; // of a request that runs
    size_t copiesPerRefusal = 1;
    std::vector<Request> runs;
    std::vector<Request> refused;
    size_t copies = 0;   // written so far
    size_t repeated = 0; // requests whose id their connection had carried before
    size_t connections = 0;

private:
    struct Peer {
        explicit Peer(edge::tcp::socket connected)
            : socket(std::move(connected))
        {
        }
        edge::tcp::socket socket;
        std::string input;
        std::string due; // copies that are written before the next answer
        std::map<std::string, size_t> seen;
        size_t number = 0;
    };
    using PeerPointer = std::shared_ptr<Peer>;
    void accept();
    void read(const PeerPointer& peer);
    void readBody(const PeerPointer& peer, const Request& request, size_t bytes);
    void answer(const PeerPointer& peer, const Request& request);
    void refuseWith(const PeerPointer& peer, const std::string& fields, const Request& request);
    void run(const PeerPointer& peer, const Request& request);
    void write(const PeerPointer& peer, const std::string& text); // in full; the other side may have closed the connection
    void after(Duration delay, std::function<void()> step);

    edge::net::io_context& loop;
    edge::tcp::acceptor acceptor;
};

} // namespace guavapond::standins
