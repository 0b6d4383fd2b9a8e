// Targets that read requests slowly, and callers that read so slowly that a target would cut their answers off.
#include "EdgeWorld.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr size_t requestBytes = 3 << 20;
constexpr size_t answerBytes = 14 << 20; // more than the kernel's buffers hold

// A target that reads its request and writes its answer by hand.
class ManualTarget {
public:
    explicit ManualTarget(net::io_context& loop)
        : acceptor(loop)
        , timer(loop)
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(net::socket_base::receive_buffer_size(4096)); // of the connections that it accepts
        this->acceptor.bind({ net::ip::address_v4::loopback(), 0 });
        this->acceptor.listen();
        this->accept();
    }
    Address address() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    Duration pause {};                 // before the body of a request is read
    Duration portionInterval {};       // between two reads
    size_t portionBytes = 65536;       // of each read
    size_t bodyBytes = 2;              // of the answer
    Duration maxUnread = 2s;           // an answer of which nothing is read for so long is cut off
    size_t connections = 0;            // accepted
    size_t received = 0;               // bytes of requests
    std::vector<std::string> attempts; // whose requests were received as a whole

private:
    struct Peer {
        explicit Peer(tcp::socket connected)
            : socket(std::move(connected))
        {
        }
        tcp::socket socket;
        std::string input;
        std::string output;
        size_t written = 0;
    };
    void accept()
    {
        this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++this->connections;
            this->peers.push_back(std::make_shared<Peer>(std::move(socket)));
            this->after(this->pause, [this, peer = this->peers.back()] { this->read(peer); });
            this->accept();
        });
    }
    void after(Duration delay, std::function<void()> action)
    {
        const auto timer = std::make_shared<net::steady_timer>(this->acceptor.get_executor(), delay);
        timer->async_wait([timer, action = std::move(action)](boost::system::error_code) { action(); });
    }
    void read(const std::shared_ptr<Peer>& peer)
    {
        const size_t before = peer->input.size();
        peer->input.resize(before + this->portionBytes);
        peer->socket.async_read_some(net::buffer(peer->input.data() + before, this->portionBytes),
            [this, peer, before](boost::system::error_code error, size_t count) {
                peer->input.resize(before + count);
                this->received += count;
                if (error)
                    return;
                if (this->isWhole(*peer))
                    return this->answer(peer);
                this->after(this->portionInterval, [this, peer] { this->read(peer); });
            });
    }
    static std::string field(const std::string& input, const std::string& name)
    {
        const size_t at = input.find("\r\n" + name + ": ") + name.size() + 4;
        return input.substr(at, input.find("\r\n", at) - at);
    }
    bool isWhole(const Peer& peer) const
    {
        const size_t head = peer.input.find("\r\n\r\n");
        return head != std::string::npos && peer.input.size() >= head + 4 + std::stoul(field(peer.input, "Content-Length"));
    }
    void answer(const std::shared_ptr<Peer>& peer)
    {
        this->attempts.push_back(field(peer->input, "Guavapond-Attempt-Id"));
        peer->output = "HTTP/1.1 200 OK\r\nGuavapond-Attempt-Id: " + this->attempts.back()
            + "\r\nGuavapond-Response-Seal: s\r\nContent-Length: " + std::to_string(this->bodyBytes) + "\r\n\r\n"
            + std::string(this->bodyBytes, 'x');
        this->write(peer);
    }
    void write(const std::shared_ptr<Peer>& peer)
    {
        const auto cut = std::make_shared<net::steady_timer>(this->acceptor.get_executor(), this->maxUnread);
        cut->async_wait([peer](boost::system::error_code error) {
            if (!error)
                peer->socket.close();
        });
        peer->socket.async_write_some(
            net::buffer(peer->output) + peer->written, [this, peer, cut](boost::system::error_code error, size_t count) {
                cut->cancel();
                peer->written += count;
                if (!error && peer->written < peer->output.size())
                    this->write(peer);
            });
    }

    tcp::acceptor acceptor;
    net::steady_timer timer;
    std::vector<std::shared_ptr<Peer>> peers;
};

} // namespace

TEST_GROUP(SlowTargets)
{
    EdgeWorld world;
    ManualTarget target { this->world.loop };

    void setup() override
    {
        Catalog catalog = this->world.catalog();
        for (Route& route : catalog.routes)
            route.timeout = 20s;
        this->world.setCatalog(std::move(catalog));
        this->world.addTarget("slow", this->target.address());
    }
};

// Guards against a large request whose target reads slowly being broken off as if the target were gone.
TEST(SlowTargets, ATargetThatPausesGetsItsLargeRequest)
{
    this->target.pause = 2500ms; // longer than the time-out of unacknowledged data
    const auto answer = this->world.send("/once/a", "a1", "Guavapond-Key: key-1\r\n", "POST", std::string(requestBytes, 'r'));
    CHECK(this->world.runUntilEnded(answer));
    LONGS_EQUAL(200, answer->status);
    LONGS_EQUAL(1, this->target.attempts.size());
    LONGS_EQUAL(1, this->target.connections);
}

// Guards against a request that is sent a second time though its target takes it in, slowly.
TEST(SlowTargets, ARequestIsNotSentTwiceWhileItsTargetTakesBytes)
{
    this->target.portionInterval = 30ms; // about 4 s for the request, by its small buffer; nothing is answered meanwhile
    ManualTarget other(this->world.loop);
    const auto answer = this->world.send("/plain/a", "a1", "Guavapond-Key: key-1\r\n", "POST", std::string(500 * 1024, 'r'));
    CHECK(this->world.runUntil([&] { return this->target.received > 0; }));
    this->world.addTarget("other", other.address());
    CHECK(this->world.runUntilEnded(answer));
    LONGS_EQUAL(200, answer->status);
    LONGS_EQUAL(1, this->target.attempts.size());
    LONGS_EQUAL(0, other.connections);
}

// Guards against a request that waits for a target which takes nothing, while another one could run it.
TEST(SlowTargets, ARequestIsSentAgainWhenItsTargetTakesNothing)
{
    this->target.pause = 15s;
    ManualTarget other(this->world.loop);
    const auto answer = this->world.send("/plain/a", "a1", "Guavapond-Key: key-1\r\n", "POST", std::string(requestBytes, 'r'));
    CHECK(this->world.runUntil([&] { return this->target.connections > 0; }));
    this->world.addTarget("other", other.address());
    const TimePoint start = bootTime();
    CHECK(this->world.runUntilEnded(answer));
    LONGS_EQUAL(200, answer->status);
    LONGS_EQUAL(1, other.attempts.size());
    CHECK(bootTime() - start < 5s);
}

// Guards against an answer that the node leaves unread for a slow caller until the target cuts it off.
TEST(SlowTargets, AnAnswerIsReadBeforeItsTargetCutsItOff)
{
    this->target.bodyBytes = answerBytes;
    const auto answer = this->world.send("/once/a", "a1", "Guavapond-Key: key-1\r\n", "POST", "text");
    const ConnectionPointer caller = this->world.callers.back();
    CHECK(this->world.runUntil([&] { return !answer->body.empty(); }));
    caller->pauseReading();
    this->world.runFor(4s);
    caller->resumeReading();
    CHECK(this->world.runUntilEnded(answer));
    CHECK(answer->complete);
    LONGS_EQUAL(answerBytes, answer->body.size());
}
