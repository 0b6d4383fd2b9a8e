// The store's calls.
#include "edge/PlatformStore.h"

#include <openssl/evp.h>

namespace guavapond::standins {

namespace {

using nlohmann::json;

std::string encode(const std::string& bytes)
{
    std::string result((bytes.size() + 2) / 3 * 4 + 1, '\0');
    result.resize(static_cast<size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(result.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
    return result;
}

std::string decode(const std::string& text)
{
    std::string result(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(result.data()), reinterpret_cast<const unsigned char*>(text.data()),
        static_cast<int>(text.size()));
    const auto padding = std::count(text.begin(), text.end(), '=');
    result.resize(length < 0 ? 0 : static_cast<size_t>(length - padding));
    return result;
}

json toJson(const std::string& key, const StoreModel::Item& item)
{
    return { { "key", key }, { "value", encode(item.value) }, { "revision", item.revision }, { "created", item.created },
        { "lease", item.lease } };
}

std::string unescape(const std::string& text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            result += text[i];
    }
    return result;
}

std::map<std::string, std::string> parseQuery(const std::string& text)
{
    std::map<std::string, std::string> result;
    std::istringstream stream(text);
    for (std::string entry; std::getline(stream, entry, '&');) {
        const size_t equals = std::min(entry.find('='), entry.size());
        result[entry.substr(0, equals)] = unescape(equals < entry.size() ? entry.substr(equals + 1) : "");
    }
    return result;
}

} // namespace

uint64_t StoreModel::put(const std::string& key, const std::string& value, uint64_t lease)
{
    Item& item = this->byKey[key];
    item.value = value;
    item.revision = ++this->revision;
    if (item.created == 0)
        item.created = item.revision;
    item.lease = lease;
    return item.revision;
}

void StoreModel::remove(const std::string& key)
{
    if (this->byKey.erase(key) > 0)
        ++this->revision;
}

void StoreModel::restore(StoreModel copy)
{
    copy.era = this->era + 1;
    *this = std::move(copy);
}

StoreModel::Answer StoreModel::range(const std::string& prefix, const std::string& after) const
{
    json entries = json::array();
    bool more = false;
    for (const auto& [key, item] : this->byKey) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        if (entries.size() == this->pageItems) {
            more = true;
            break;
        }
        entries.push_back(toJson(key, item));
    }
    return { 200, { { "entries", entries }, { "more_pages", more }, { "store_revision", this->revision } } };
}

StoreModel::Answer StoreModel::transact(const json& request)
{
    json conflicts = json::array();
    for (const json& row : request.at("expected_revision")) {
        const auto found = this->byKey.find(row.at("key").get<std::string>());
        const uint64_t current = found == this->byKey.end() ? 0 : found->second.revision;
        if (current != row.at("revision").get<uint64_t>())
            conflicts.push_back({ { "key", row.at("key") }, { "revision", current } });
    }
    if (!conflicts.empty())
        return { 412, { { "entries", conflicts } } };
    for (const json& write : request.at("writes")) {
        const auto lease = write.value("lease", uint64_t { 0 });
        if (lease != 0 && !this->leases.contains(lease))
            return { 404, json::object() };
        const auto key = write.at("key").get<std::string>();
        if (key.starts_with("op/") || key.starts_with("servers/"))
            return { 403, json::object() };
    }
    for (const json& write : request.at("writes"))
        this->put(write.at("key").get<std::string>(), decode(write.at("value").get<std::string>()), write.value("lease", uint64_t { 0 }));
    for (const json& key : request.at("remove"))
        this->remove(key.get<std::string>());
    return { 200, { { "revision", this->revision } }, true };
}

StoreModel::Answer StoreModel::grant(Duration asked, TimePoint now)
{
    const Duration ttl = std::min(asked, this->longestLease);
    const uint64_t id = ++this->nextLease;
    this->leases[id] = { ttl, now + ttl };
    return { 200, { { "lease", id }, { "ttl_ms", toMilliseconds(ttl) } }, true };
}

StoreModel::Answer StoreModel::renew(uint64_t lease, TimePoint now)
{
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return { 404, json::object() };
    found->second.endsAt = now + found->second.ttl;
    return { 200, { { "ttl_ms", toMilliseconds(found->second.ttl) } } };
}

StoreModel::Answer StoreModel::end(uint64_t lease)
{
    if (this->leases.erase(lease) == 0)
        return { 404, json::object() };
    for (auto at = this->byKey.begin(); at != this->byKey.end();)
        at = at->second.lease == lease ? this->byKey.erase(at) : std::next(at);
    return { 200, json::object(), true };
}

void StoreModel::expire(TimePoint now)
{
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : this->leases) {
        if (lease.endsAt <= now)
            ended.push_back(id);
    }
    for (const uint64_t id : ended)
        this->end(id);
}

PlatformStore::PlatformStore(edge::net::io_context& loop, const edge::Address& address)
    : listener(
        loop, { address, 256 },
        [this](const edge::CallerPointer& caller, const edge::CallerRequest& request) { this->onCall(caller, request); },
        [] { return edge::CallerLimits {}; })
{
}

void PlatformStore::onCall(const edge::CallerPointer& caller, const edge::CallerRequest& request)
{
    ++this->calls;
    this->model.expire(edge::bootTime());
    this->callers.insert(caller);
    if (this->mode == StoreMode::Silent || this->silenced.contains(caller))
        return this->unanswered.push_back(caller);
    const auto respond = [&](unsigned status, std::string text) {
        auto message = edge::makeResponse({ status, std::move(text), "application/json", {} });
        for (const std::string& value : this->eraFields.value_or(std::vector { std::to_string(this->model.era) }))
            message.insert("Store-Era", value);
        caller->sendResponse(std::move(message));
    };
    if (this->mode == StoreMode::Busy)
        return respond(503, "{}");
    const std::string target(request.message.target());
    const size_t mark = std::min(target.find('?'), target.size());
    StoreModel::Answer answer;
    try {
        answer = this->handle(std::string(request.message.method_string()), target.substr(0, mark),
            parseQuery(mark < target.size() ? target.substr(mark + 1) : ""), request.message.body());
    } catch (const std::exception& error) {
        answer = { 400, { { "error", error.what() } } };
    }
    if (this->mode == StoreMode::LosesAnswers && answer.changed)
        return this->unanswered.push_back(caller);
    respond(answer.status, answer.body.dump());
}

void PlatformStore::silenceOpenConnections() { this->silenced.merge(this->callers); }

StoreModel::Answer PlatformStore::handle(
    const std::string& method, const std::string& path, const std::map<std::string, std::string>& query, const std::string& body)
{
    const TimePoint now = edge::bootTime();
    const auto parameter = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const auto idAfter = [&](std::string_view prefix) { return std::stoull(path.substr(prefix.size())); };
    if (method == "GET" && path == "/-/kv-range") {
        StoreModel::Answer answer = this->model.range(parameter("prefix"), parameter("after"));
        for (const json& entry : this->oddEntries)
            answer.body["entries"].push_back(entry);
        return answer;
    }
    if (method == "POST" && path == "/-/kv-txn")
        return this->model.transact(json::parse(body));
    if (method == "POST" && path == "/-/kv-lease")
        return this->model.grant(std::chrono::milliseconds(json::parse(body).at("ttl_ms").get<int64_t>()), now);
    if (method == "POST" && path.starts_with("/-/kv-keep/"))
        return this->model.renew(idAfter("/-/kv-keep/"), now);
    if (method == "DELETE" && path.starts_with("/-/kv-lease-end/"))
        return this->model.end(idAfter("/-/kv-lease-end/"));
    return { 404, json::object() };
}

} // namespace guavapond::standins
