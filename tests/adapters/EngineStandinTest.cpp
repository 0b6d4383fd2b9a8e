// Guards against a stand-in that hangs: a benchmark would then report a fault that is not the nodes'.
#include "EngineModel.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio.hpp>
#include <future>
#include <pplx/pplxtasks.h>
#include <pplx/threadpool.h>

using namespace guavapond::standins;
namespace asio = boost::asio;

namespace {

// Raw connection with a bound on every read; cpprestsdk's client would share the thread pool under test.
class Connection {
public:
    explicit Connection(uint16_t port)
    {
        this->socket.connect({ asio::ip::address_v4::loopback(), port });
        const timeval bound { 20, 0 }; // only reached when the test fails
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
    }
    void send(const std::string& head, const std::string& body)
    {
        auto text = head + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(this->socket, asio::buffer(text));
    }
    std::string receive() // what comes first; empty: nothing in time
    {
        std::array<char, 4096> bytes {};
        const auto count = ::recv(this->socket.native_handle(), bytes.data(), bytes.size(), 0);
        return { bytes.data(), count > 0 ? static_cast<size_t>(count) : 0 };
    }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket { this->context };
};

} // namespace

TEST_GROUP(EngineStandin) {};

// Each cancel used to wait for a task of the thread pool on a thread of that pool: as many cancels at once as threads stopped the engine.
TEST(EngineStandin, CancelsAsManyStreamsAtOnceAsItHasThreads)
{
    // Closing the listener takes a thread of its own, so the second thread is held only until the cancel is answered.
    crossplat::threadpool::initialize_with_threads(2);
    std::promise<void> held;
    std::promise<void> release;
    auto holder = pplx::create_task([&held, released = release.get_future().share()] {
        held.set_value();
        released.wait();
    });
    held.get_future().wait();
    EngineSettings settings;
    settings.decodeRate = 1;
    EngineModel engine(settings);
    Connection stream(engine.port());
    stream.send("POST /v1/completions", R"({"prompt":"a","max_tokens":1000})");
    CHECK(stream.receive().starts_with("HTTP/1.1 200"));
    Connection other(engine.port());
    other.send("DELETE /v1/streams/r1", "");
    const auto answer = other.receive();
    release.set_value();
    holder.wait();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(engine.log().at(0).outcome == "cancelled");
}
