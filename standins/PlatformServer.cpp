// The platform's protocol over LoopbackServer. A watch blocks its connection's thread. An answer that is to be lost is not sent: the
// connection is closed after the write took effect.
#include "PlatformServer.h"

#include "LoopbackServer.h"

#include <charconv>
#include <condition_variable>
#include <nlohmann/json.hpp>

namespace guavapond::standin {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds tickPeriod(10); // at which blocked calls look at leases and faults
constexpr int64_t maxWatchMs = 120000;
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
    PlatformModel& model;
    std::mutex mutex;
    std::condition_variable wake; // after each write and on stop
    bool stopping = false;        // guarded by mutex
    size_t pendingWatches = 0;    // guarded by mutex
    std::unique_ptr<LoopbackServer> server;

    Impl(PlatformModel& m, uint16_t wanted)
        : model(m)
        , server(std::make_unique<LoopbackServer>(wanted, [this](const HttpCall& call) { return handle(call); }))
    {
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        this->server.reset();
    }

    // Blocks until `done` holds or the server stops; returns whether it held.
    bool blockUntil(const std::function<bool()>& done)
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            if (done())
                return true;
            this->wake.wait_for(lock, tickPeriod);
        }
        return false;
    }

    HttpAnswer handle(const HttpCall& call)
    {
        Answer answer;
        try {
            if (call.path == "/faults" || call.path == "/stats" || (call.path == "/v1/vms" && call.method == "PUT"))
                return encode(control(call));
            answer = call.path.starts_with(watchPrefix) && call.method == "GET" ? watch(call) : serve(call);
        } catch (const std::exception& error) {
            answer = refused(400, error.what());
        }
        this->wake.notify_all();
        HttpAnswer encoded = encode(answer);
        if (this->model.faults().outage == Outage::Silent) {
            blockUntil([this] { return this->model.faults().outage != Outage::Silent; });
            encoded.cut = true;
            return encoded;
        }
        delay(this->model.faults().delay);
        return encoded;
    }

    static HttpAnswer encode(const Answer& answer)
    {
        HttpAnswer result;
        result.status = answer.status;
        result.body = answer.body.dump();
        result.cut = answer.withheld;
        if (answer.retryAfter > Duration::zero())
            result.headers.emplace_back("Retry-After", std::to_string(1 + answer.retryAfter.count() / 1000000));
        return result;
    }

    void delay(Duration time)
    {
        const TimePoint due = steadyNow() + time;
        if (time > Duration::zero())
            blockUntil([due] { return steadyNow() >= due; });
    }

    Answer control(const HttpCall& call)
    {
        if (call.path == "/stats")
            return { 200, statsJson(), {}, false };
        if (call.method != "PUT")
            return refused(405, "PUT only");
        const json parsed = json::parse(call.body);
        if (call.path == "/faults")
            this->model.setFaults(readFaults(parsed, this->model.faults()));
        else
            this->model.setVms(readVms(parsed));
        return { 200, json::object(), {}, false };
    }

    json statsJson()
    {
        const PlatformStats s = this->model.stats();
        const std::lock_guard lock(this->mutex);
        return { { "gets", s.gets }, { "puts", s.puts }, { "watches", s.watches }, { "leaseCalls", s.leaseCalls }, { "vmLists", s.vmLists },
            { "conflicts", s.conflicts }, { "rateLimited", s.rateLimited }, { "lostAnswers", s.lostAnswers },
            { "unavailable", s.unavailable }, { "pendingWatches", this->pendingWatches } };
    }

    Answer serve(const HttpCall& call)
    {
        const TimePoint now = steadyNow();
        if (call.path.starts_with(keyPrefix)) {
            const std::string key = call.path.substr(keyPrefix.size());
            if (call.method == "PUT")
                return putKey(key, call, now);
            return call.method == "GET" ? getKey(key, now) : refused(405, "GET or PUT");
        }
        if (call.path == "/v1/leases" && call.method == "POST") {
            const auto ttl = queryNumber(call.query, "ttlMs");
            if (!ttl || *ttl == 0)
                return refused(400, "ttlMs is missing");
            const auto lease = this->model.grantLease(std::chrono::milliseconds(*ttl), now);
            return lease ? Answer { 200, { { "lease", static_cast<uint64_t>(*lease) } }, {}, false } : failed(*lease.reason);
        }
        if (call.path.starts_with(leasePrefix))
            return leaseCall(call.path.substr(leasePrefix.size()), call.method, now);
        if (call.path == "/v1/vms" && call.method == "GET") {
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

    Answer putKey(const std::string& key, const HttpCall& call, TimePoint now)
    {
        const auto expected = queryNumber(call.query, "expect");
        if (!expected)
            return refused(400, "expect is missing");
        std::optional<LeaseId> lease;
        if (const auto id = queryNumber(call.query, "lease"))
            lease = static_cast<LeaseId>(*id);
        const auto revision = this->model.put(key, call.body, *expected, lease, now);
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

    Answer watch(const HttpCall& call)
    {
        const auto after = queryNumber(call.query, "after");
        const auto waitMs = queryNumber(call.query, "waitMs");
        if (!after || !waitMs)
            return refused(400, "after or waitMs is missing");
        if (const auto failure = this->model.startWatch(steadyNow()))
            return failed(*failure);
        const TimePoint deadline = steadyNow() + std::chrono::milliseconds(std::min<uint64_t>(*waitMs, maxWatchMs));
        const std::string key = call.path.substr(watchPrefix.size());
        Answer answer = refused(503, "stopping");
        countWatch(1);
        blockUntil([&] {
            const Outage outage = this->model.faults().outage;
            const bool up = outage == Outage::None;
            const auto pair = up ? this->model.pollWatch(key, *after, steadyNow()) : std::nullopt;
            if (outage == Outage::Refusing)
                answer = refused(503, "outage");
            else if (pair)
                answer = pairAnswer(*pair);
            else if (up && steadyNow() >= deadline)
                answer = { 304, {}, {}, false };
            else
                return false;
            return true;
        });
        countWatch(-1);
        if (answer.status == 200)
            delay(this->model.faults().watchDelay);
        return answer;
    }

    void countWatch(int change)
    {
        const std::lock_guard lock(this->mutex);
        this->pendingWatches += static_cast<size_t>(change);
    }
};

PlatformServer::PlatformServer(PlatformModel& model, uint16_t port)
    : impl(std::make_unique<Impl>(model, port))
{
}

PlatformServer::~PlatformServer() = default;

uint16_t PlatformServer::port() const { return this->impl->server->port(); }

std::string PlatformServer::url() const { return this->impl->server->url(); }

} // namespace guavapond::standin
