// HTTP listener of the platform's stand-in. A watch is held open without a thread; a ticker answers it when the key changes or its wait
// is over. An answer that is to be lost is withheld, so that the caller runs into its own timeout.
#include "PlatformServer.h"

#include "adapters/PortReservation.h"

#include <charconv>
#include <condition_variable>
#include <cpprest/http_listener.h>
#include <deque>
#include <nlohmann/json.hpp>
#include <thread>

namespace guavapond::standin {

namespace {

using nlohmann::json;
using web::http::http_request;

constexpr std::chrono::milliseconds tickPeriod(10);
constexpr int64_t maxWatchMs = 120000;
constexpr size_t maxWithheld = 1024; // requests; older ones are answered with 503, so that the list stays bounded
constexpr std::string_view keyPrefix = "/v1/kv/";
constexpr std::string_view watchPrefix = "/v1/watch/";
constexpr std::string_view leasePrefix = "/v1/leases/";

TimePoint steadyNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

struct Answer {
    int status = 200;
    json body;
    Duration retryAfter {};
    bool withheld = false;
};

Answer failed(const Failure& failure)
{
    Answer answer;
    answer.body = { { "error", failure.message } };
    answer.retryAfter = failure.retryAfter;
    if (failure.kind == FailureKind::Conflict)
        answer.status = 412;
    else if (failure.kind == FailureKind::BodyTooLarge)
        answer.status = 413;
    else if (failure.kind == FailureKind::NotFound)
        answer.status = 404;
    else
        answer.status = failure.retryAfter > Duration::zero() ? 429 : 503;
    answer.withheld = failure.disposition == Disposition::Unknown;
    return answer;
}

Answer refused(int status, std::string message) { return { status, { { "error", std::move(message) } }, {}, false }; }

Answer pairAnswer(const KeyValuePair& pair)
{
    if (pair.revision == 0)
        return refused(404, "no such key");
    return { 200, { { "value", pair.value }, { "revision", pair.revision } }, {}, false };
}

std::optional<uint64_t> number(std::string_view text)
{
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

using Query = std::map<std::string, std::string>;
std::optional<uint64_t> queryNumber(const Query& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::nullopt : number(found->second);
}

PlatformFaults readFaults(const json& body, PlatformFaults faults)
{
    if (body.contains("outage")) {
        const json& outage = body["outage"];
        if (outage.is_boolean())
            faults.outage = outage.get<bool>() ? Outage::Refusing : Outage::None;
        else
            faults.outage = outage == "silent" ? Outage::Silent : outage == "refusing" ? Outage::Refusing : Outage::None;
    }
    faults.delay = std::chrono::milliseconds(body.value("delayMs", toMilliseconds(faults.delay)));
    faults.watchDelay = std::chrono::milliseconds(body.value("watchDelayMs", toMilliseconds(faults.watchDelay)));
    faults.loseWriteAnswers = body.value("loseWriteAnswers", faults.loseWriteAnswers);
    faults.writesPerSecond = body.value("writesPerSecond", faults.writesPerSecond);
    faults.readsPerSecond = body.value("readsPerSecond", faults.readsPerSecond);
    return faults;
}

std::vector<VmEntry> readVms(const json& body)
{
    std::vector<VmEntry> list;
    for (const json& item : body.at("vms")) {
        const VmState state = item.value("state", "live") == "leaving" ? VmState::Leaving : VmState::Live;
        list.push_back({ item.at("address").get<std::string>(), item.value("failureDomain", ""), state });
    }
    return list;
}

json vmsJson(const std::vector<VmEntry>& list)
{
    json items = json::array();
    for (const VmEntry& vm : list) {
        const char* state = vm.state == VmState::Leaving ? "leaving" : "live";
        items.push_back({ { "address", vm.address }, { "failureDomain", vm.failureDomain }, { "state", state } });
    }
    return { { "vms", items } };
}

} // namespace

struct PlatformServer::Impl {
    struct Watch {
        http_request request;
        std::string key;
        Revision after = 0;
        TimePoint deadline {};
    };
    struct Delayed {
        http_request request;
        Answer answer;
        TimePoint due {};
    };

    PlatformModel& model;
    uint16_t port = 0;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::vector<Watch> watches;
    std::vector<Delayed> delayed;
    std::deque<http_request> withheld;
    std::mutex openMutex; // innermost: taken with or without `mutex`
    std::condition_variable allAnswered;
    size_t openRequests = 0; // accepted and not answered yet; guarded by openMutex
    std::thread ticker;

    Impl(PlatformModel& m, uint16_t wanted)
        : model(m)
        , port(wanted)
    {
        std::optional<PortReservation> reservation;
        if (wanted == 0)
            this->port = reservation.emplace().port();
        const std::string url = "http://127.0.0.1:" + std::to_string(this->port);
        this->listener = std::make_unique<web::http::experimental::listener::http_listener>(url);
        this->listener->support([this](const http_request& request) { accept(request); });
        this->listener->open().get();
        this->ticker = std::thread([this] { run(); });
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        this->ticker.join();
        std::unique_lock lock(this->mutex);
        for (const Watch& watch : this->watches)
            send(watch.request, refused(503, "stopping"));
        for (const Delayed& item : this->delayed)
            send(item.request, item.answer);
        for (const http_request& request : this->withheld)
            send(request, refused(503, "stopping"));
        // From here on handlers see `stopping` and answer at once.
        lock.unlock();
        // cpprestsdk crashes when a listener closes its sockets while an answer is being written.
        std::unique_lock open(this->openMutex);
        this->allAnswered.wait(open, [this] { return this->openRequests == 0; });
        open.unlock();
        this->listener->close().wait();
    }

    // Each accepted request is sent exactly one answer.
    void send(const http_request& request, const Answer& answer)
    {
        web::http::http_response response(static_cast<web::http::status_code>(answer.status));
        if (answer.status != 304)
            response.set_body(answer.body.dump(), "application/json");
        if (answer.retryAfter > Duration::zero())
            response.headers().add("Retry-After", std::to_string(1 + answer.retryAfter.count() / 1000000));
        // The caller may be gone; its failed write is of no interest here.
        request.reply(response).then([this](const pplx::task<void>& done) {
            try {
                done.get();
            } catch (const std::exception&) {
            }
            const std::lock_guard lock(this->openMutex);
            --this->openRequests;
            this->allAnswered.notify_all();
        });
    }

    void answerLater(const http_request& request, Answer answer, Duration delay)
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping)
            send(request, refused(503, "stopping"));
        else if (answer.withheld || this->model.faults().outage == Outage::Silent) {
            this->withheld.push_back(request);
            if (this->withheld.size() > maxWithheld) {
                send(this->withheld.front(), refused(503, "withheld"));
                this->withheld.pop_front();
            }
        } else if (delay > Duration::zero())
            this->delayed.push_back({ request, std::move(answer), steadyNow() + delay });
        else
            send(request, answer);
    }

    void accept(const http_request& request)
    {
        {
            const std::lock_guard lock(this->openMutex);
            ++this->openRequests;
        }
        // Without the body's content type, so that any bytes are taken as the value.
        http_request reader(request);
        reader.extract_string(true).then([this, request](const pplx::task<std::string>& body) {
            try {
                handle(request, body.get());
            } catch (const std::exception& error) {
                send(request, refused(400, error.what()));
            }
        });
    }

    void handle(const http_request& request, const std::string& body)
    {
        const std::string path = web::uri::decode(request.request_uri().path());
        const std::string& method = request.method();
        Query query;
        for (const auto& [name, value] : web::uri::split_query(request.request_uri().query()))
            query[name] = web::uri::decode(value);
        if (path == "/faults" || path == "/stats" || (path == "/v1/vms" && method == "PUT")) {
            send(request, control(path, method, body));
            return;
        }
        if (path.starts_with(watchPrefix) && method == "GET") {
            watch(request, path.substr(watchPrefix.size()), query);
            return;
        }
        const Duration delay = this->model.faults().delay;
        Answer answer = call(path, method, query, body);
        answerLater(request, std::move(answer), delay);
        this->wake.notify_all();
    }

    Answer control(const std::string& path, const std::string& method, const std::string& body)
    {
        if (path == "/stats")
            return { 200, statsJson(), {}, false };
        if (method != "PUT")
            return refused(405, "PUT only");
        const json parsed = json::parse(body);
        if (path == "/faults")
            this->model.setFaults(readFaults(parsed, this->model.faults()));
        else
            this->model.setVms(readVms(parsed));
        this->wake.notify_all();
        return { 200, json::object(), {}, false };
    }

    json statsJson()
    {
        const PlatformStats s = this->model.stats();
        const std::lock_guard lock(this->mutex);
        return { { "gets", s.gets }, { "puts", s.puts }, { "watches", s.watches }, { "leaseCalls", s.leaseCalls }, { "vmLists", s.vmLists },
            { "conflicts", s.conflicts }, { "rateLimited", s.rateLimited }, { "lostAnswers", s.lostAnswers },
            { "unavailable", s.unavailable }, { "pendingWatches", this->watches.size() } };
    }

    Answer call(const std::string& path, const std::string& method, const Query& query, const std::string& body)
    {
        const TimePoint now = steadyNow();
        if (path.starts_with(keyPrefix)) {
            const std::string key = path.substr(keyPrefix.size());
            return method == "PUT" ? putKey(key, query, body, now) : method == "GET" ? getKey(key, now) : refused(405, "GET or PUT");
        }
        if (path == "/v1/leases" && method == "POST") {
            const auto ttl = queryNumber(query, "ttlMs");
            if (!ttl || *ttl == 0)
                return refused(400, "ttlMs is missing");
            const auto lease = this->model.grantLease(std::chrono::milliseconds(*ttl), now);
            return lease ? Answer { 200, { { "lease", static_cast<uint64_t>(*lease) } }, {}, false } : failed(*lease.reason);
        }
        if (path.starts_with(leasePrefix))
            return leaseCall(path.substr(leasePrefix.size()), method, now);
        if (path == "/v1/vms" && method == "GET") {
            const auto list = this->model.listVms(now);
            return list ? Answer { 200, vmsJson(*list), {}, false } : failed(*list.reason);
        }
        return refused(404, "no such path");
    }

    Answer getKey(const std::string& key, TimePoint now)
    {
        const auto pair = this->model.get(key, now);
        return pair ? pairAnswer(*pair) : failed(*pair.reason);
    }

    Answer putKey(const std::string& key, const Query& query, const std::string& body, TimePoint now)
    {
        const auto expected = queryNumber(query, "expect");
        if (!expected)
            return refused(400, "expect is missing");
        std::optional<LeaseId> lease;
        if (const auto id = queryNumber(query, "lease"))
            lease = static_cast<LeaseId>(*id);
        const auto revision = this->model.put(key, body, *expected, lease, now);
        return revision ? Answer { 200, { { "revision", *revision } }, {}, false } : failed(*revision.reason);
    }

    Answer leaseCall(const std::string& text, const std::string& method, TimePoint now)
    {
        const auto id = number(text);
        if (!id)
            return refused(400, "bad lease id");
        const auto lease = static_cast<LeaseId>(*id);
        if (method == "DELETE") {
            this->model.revokeLease(lease, now);
            return { 200, json::object(), {}, false };
        }
        const auto renewed = this->model.renewLease(lease, now);
        if (!renewed)
            return failed(*renewed.reason);
        return *renewed ? Answer { 200, json::object(), {}, false } : refused(404, "the lease has lapsed");
    }

    void watch(const http_request& request, std::string key, const Query& query)
    {
        const TimePoint now = steadyNow();
        const auto after = queryNumber(query, "after");
        const auto waitMs = queryNumber(query, "waitMs");
        if (!after || !waitMs) {
            send(request, refused(400, "after or waitMs is missing"));
            return;
        }
        if (const auto failure = this->model.startWatch(now)) {
            answerLater(request, failed(*failure), {});
            return;
        }
        const auto wait = std::chrono::milliseconds(std::min<uint64_t>(*waitMs, maxWatchMs));
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopping) {
                send(request, refused(503, "stopping"));
                return;
            }
            this->watches.push_back({ request, std::move(key), *after, now + wait });
        }
        this->wake.notify_all();
    }

    // Moves the watches that have an answer out of the list.
    std::vector<Delayed> readyWatches(TimePoint now, const PlatformFaults& faults)
    {
        std::vector<Delayed> ready;
        std::erase_if(this->watches, [&](Watch& item) {
            if (const auto pair = this->model.pollWatch(item.key, item.after, now))
                ready.push_back({ item.request, pairAnswer(*pair), now + faults.delay + faults.watchDelay });
            else if (now >= item.deadline)
                ready.push_back({ item.request, Answer { 304, {}, {}, false }, now });
            else
                return false;
            return true;
        });
        return ready;
    }

    void run()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            const TimePoint now = steadyNow();
            const PlatformFaults faults = this->model.faults();
            if (faults.outage == Outage::None) {
                for (Delayed& item : readyWatches(now, faults))
                    this->delayed.push_back(std::move(item));
            } else if (faults.outage == Outage::Refusing) {
                for (Watch& item : this->watches)
                    this->delayed.push_back({ item.request, refused(503, "outage"), now });
                this->watches.clear();
            }
            std::erase_if(this->delayed, [&](const Delayed& item) {
                if (item.due > now)
                    return false;
                send(item.request, item.answer);
                return true;
            });
            this->wake.wait_for(lock, tickPeriod);
        }
    }
};

PlatformServer::PlatformServer(PlatformModel& model, uint16_t port)
    : impl(std::make_unique<Impl>(model, port))
{
}

PlatformServer::~PlatformServer() = default;

uint16_t PlatformServer::port() const { return this->impl->port; }

std::string PlatformServer::url() const { return "http://127.0.0.1:" + std::to_string(this->impl->port); }

} // namespace guavapond::standin
