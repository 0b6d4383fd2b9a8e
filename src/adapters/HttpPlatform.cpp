// Client of the platform over cpprestsdk.
#include "adapters/HttpPlatform.h"

#include <atomic>
#include <boost/asio/ssl/context.hpp>
#include <cassert>
#include <cpprest/http_client.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace guavapond {

namespace {

using nlohmann::json;
using web::http::client::http_client;
using web::http::client::http_client_config;

constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

Failure unavailable(Disposition disposition, std::string message, Duration retryAfter = {})
{
    return { FailureKind::PlatformUnavailable, disposition, std::move(message), retryAfter };
}

struct Reply {
    int status = 0;
    json body;
    Duration retryAfter {};
};

std::optional<uint64_t> unsignedField(const json& body, const char* name)
{
    if (!body.is_object() || !body.contains(name) || !body[name].is_number_unsigned())
        return std::nullopt;
    return body[name].get<uint64_t>();
}

std::optional<KeyValuePair> readPair(const json& body)
{
    const auto revision = unsignedField(body, "revision");
    if (!revision || !body.contains("value") || !body["value"].is_string())
        return std::nullopt;
    return KeyValuePair { body["value"].get<std::string>(), *revision };
}

// Keys hold '/', which stays as it is in the path.
std::string keyPath(std::string_view prefix, std::string_view key)
{
    return std::string(prefix) + web::uri::encode_uri(std::string(key), web::uri::components::path);
}

class Client {
public:
    explicit Client(HttpPlatformSettings s)
        : settings(std::move(s))
    {
        assert(!this->settings.urls.empty());
        for (const std::string& url : this->settings.urls) {
            this->readers.push_back(std::make_unique<http_client>(url, config(this->settings.timeout)));
            this->writers.push_back(std::make_unique<http_client>(url, config(this->settings.timeout)));
        }
    }

    // One attempt at each address until one answers.
    Result<Reply> read(const std::string& path)
    {
        return eachAddress([&](size_t i) { return call(*this->readers[i], "GET", path, nullptr); });
    }

    Result<Reply> watch(const std::string& path, Duration wait)
    {
        return eachAddress([&](size_t i) { return call(*watcher(i, wait), "GET", path, nullptr); });
    }

    // One attempt only: a repeated write whose first answer was lost would report a conflict with itself.
    Result<Reply> write(const char* method, const std::string& path, const std::string* body)
    {
        const size_t i = this->preferred.load() % this->writers.size();
        Result<Reply> reply = call(*this->writers[i], method, path, body);
        if (!reply)
            this->preferred.store(i + 1);
        return reply;
    }

private:
    http_client_config config(Duration timeout) const
    {
        http_client_config result;
        result.set_timeout(timeout);
        if (!this->settings.caFile.empty()) {
            const std::string file = this->settings.caFile;
            result.set_ssl_context_callback([file](boost::asio::ssl::context& context) { context.load_verify_file(file); });
        }
        return result;
    }

    // cpprestsdk fixes the timeout per client, so a watch has a client of its own per address, rebuilt when its wait changes.
    std::shared_ptr<http_client> watcher(size_t i, Duration wait)
    {
        const std::lock_guard lock(this->mutex);
        this->watchers.resize(this->settings.urls.size());
        if (!this->watchers[i] || this->watcherWait != wait) {
            if (this->watcherWait != wait)
                this->watchers.assign(this->settings.urls.size(), nullptr);
            this->watcherWait = wait;
            this->watchers[i] = std::make_shared<http_client>(this->settings.urls[i], config(wait + this->settings.timeout));
        }
        return this->watchers[i];
    }

    template <typename Attempt> Result<Reply> eachAddress(Attempt attempt)
    {
        std::optional<Failure> reason;
        for (size_t n = 0; n < this->settings.urls.size(); ++n) {
            const size_t i = this->preferred.load() % this->settings.urls.size();
            Result<Reply> reply = attempt(i);
            if (reply)
                return reply;
            reason = reply.reason;
            if (reason->retryAfter > Duration::zero())
                break; // the rate is limited for all addresses alike
            this->preferred.store(i + 1);
        }
        return *reason;
    }

    static Result<Reply> call(http_client& client, const char* method, const std::string& path, const std::string* body)
    {
        try {
            web::http::http_request request { web::http::method(method) };
            request.set_request_uri(web::uri(path));
            if (body)
                request.set_body(*body, "application/octet-stream");
            // cpprestsdk resends a request by itself when a reused connection turns out to be closed. A write on a fresh connection is
            // sent once, so a conflict is never one with itself.
            if (request.method() != web::http::methods::GET)
                request.headers().add("Connection", "close");
            web::http::http_response response = client.request(request).get();
            const std::string text = response.extract_string(true).get();
            Reply reply;
            reply.status = response.status_code();
            reply.body = json::parse(text, nullptr, false);
            if (reply.status == 429) {
                const auto header = response.headers().find("Retry-After");
                const long seconds = header == response.headers().end() ? 0 : std::atol(header->second.c_str());
                return unavailable(Disposition::NotRun, "the platform limits the rate of calls",
                    seconds > 0 ? Duration(std::chrono::seconds(seconds)) : defaultRetryAfter);
            }
            if (reply.status >= 500)
                return unavailable(Disposition::Unknown, "the platform answered with status " + std::to_string(reply.status));
            return reply;
        } catch (const std::exception& error) {
            return unavailable(Disposition::Unknown, std::string("no answer from the platform: ") + error.what());
        }
    }

    const HttpPlatformSettings settings;
    std::vector<std::unique_ptr<http_client>> readers;
    std::vector<std::unique_ptr<http_client>> writers;
    std::mutex mutex;
    std::vector<std::shared_ptr<http_client>> watchers; // guarded by mutex
    Duration watcherWait {};                            // guarded by mutex
    std::atomic<size_t> preferred { 0 };                // address that answered last
};

// A read has no effect, whatever became of it.
Failure readFailure(const Failure& failure)
{
    Failure result = failure;
    result.disposition = Disposition::NotRun;
    return result;
}

Failure unexpected(int status, Disposition disposition)
{
    return unavailable(disposition, "unexpected answer from the platform with status " + std::to_string(status));
}

Result<KeyValuePair> getKey(Client& client, std::string_view key)
{
    const Result<Reply> reply = client.read(keyPath("/v1/kv/", key));
    if (!reply)
        return readFailure(*reply.reason);
    if (reply->status == 404)
        return KeyValuePair {};
    const auto pair = readPair(reply->body);
    if (reply->status != 200 || !pair)
        return unexpected(reply->status, Disposition::NotRun);
    return *pair;
}

Result<Revision> putKey(Client& client, std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId> lease)
{
    std::string path = keyPath("/v1/kv/", key) + "?expect=" + std::to_string(expected);
    if (lease)
        path += "&lease=" + std::to_string(static_cast<uint64_t>(*lease));
    const std::string body(value);
    const Result<Reply> reply = client.write("PUT", path, &body);
    if (!reply)
        return *reply.reason;
    switch (reply->status) {
    case 200:
        if (const auto revision = unsignedField(reply->body, "revision"))
            return *revision;
        return unexpected(200, Disposition::Unknown);
    case 412:
        return Failure { FailureKind::Conflict, Disposition::NotRun, "the key is not at revision " + std::to_string(expected), {} };
    case 413:
        return Failure { FailureKind::BodyTooLarge, Disposition::NotRun, "the value is too large for the platform", {} };
    case 404:
        return Failure { FailureKind::NotFound, Disposition::NotRun, "the lease has lapsed", {} };
    default:
        return unexpected(reply->status, Disposition::Unknown);
    }
}

Result<std::optional<KeyValuePair>> watchKey(Client& client, std::string_view key, Revision after, Duration wait)
{
    const std::string path
        = keyPath("/v1/watch/", key) + "?after=" + std::to_string(after) + "&waitMs=" + std::to_string(toMilliseconds(wait));
    const Result<Reply> reply = client.watch(path, wait);
    if (!reply)
        return readFailure(*reply.reason);
    if (reply->status == 304)
        return std::optional<KeyValuePair>();
    if (reply->status == 404)
        return std::optional(KeyValuePair {});
    const auto pair = readPair(reply->body);
    if (reply->status != 200 || !pair)
        return unexpected(reply->status, Disposition::NotRun);
    return pair;
}

std::string leasePath(LeaseId lease) { return "/v1/leases/" + std::to_string(static_cast<uint64_t>(lease)); }

Result<std::vector<VmEntry>> listVms(Client& client)
{
    const Result<Reply> reply = client.read("/v1/vms");
    if (!reply)
        return readFailure(*reply.reason);
    if (reply->status != 200 || !reply->body.is_object() || !reply->body.contains("vms") || !reply->body["vms"].is_array())
        return unexpected(reply->status, Disposition::NotRun);
    std::vector<VmEntry> list;
    for (const json& item : reply->body["vms"]) {
        if (!item.is_object() || !item.contains("address") || !item["address"].is_string())
            return unexpected(reply->status, Disposition::NotRun);
        const auto text = [&](const char* name) {
            return item.contains(name) && item[name].is_string() ? item[name].get<std::string>() : std::string();
        };
        list.push_back({ text("address"), text("failureDomain"), text("state") == "leaving" ? VmState::Leaving : VmState::Live });
    }
    return list;
}

} // namespace

KeyValue httpKeyValue(const HttpPlatformSettings& settings)
{
    const auto client = std::make_shared<Client>(settings);
    KeyValue port;
    port.get = [client](std::string_view key) { return getKey(*client, key); };
    port.put = [client](std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId> lease) {
        return putKey(*client, key, value, expected, lease);
    };
    port.watch = [client](std::string_view key, Revision after, Duration wait) { return watchKey(*client, key, after, wait); };
    port.grantLease = [client](Duration ttl) -> Result<LeaseId> {
        const auto reply = client->write("POST", "/v1/leases?ttlMs=" + std::to_string(toMilliseconds(ttl)), nullptr);
        if (!reply)
            return *reply.reason;
        if (const auto id = unsignedField(reply->body, "lease"); id && reply->status == 200)
            return static_cast<LeaseId>(*id);
        return unexpected(reply->status, Disposition::Unknown);
    };
    port.renewLease = [client](LeaseId lease) -> Result<bool> {
        const auto reply = client->write("PUT", leasePath(lease), nullptr);
        if (!reply)
            return *reply.reason;
        if (reply->status != 200 && reply->status != 404)
            return unexpected(reply->status, Disposition::Unknown);
        return reply->status == 200;
    };
    // A revocation that fails is left to the lease's expiry.
    port.revokeLease = [client](LeaseId lease) { (void)client->write("DELETE", leasePath(lease), nullptr); };
    return port;
}

VmList httpVmList(const HttpPlatformSettings& settings)
{
    const auto client = std::make_shared<Client>(settings);
    return { [client] { return listVms(*client); } };
}

} // namespace guavapond
