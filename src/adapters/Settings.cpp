// Reads the TOML settings of a node. One list of keys serves parsing, the check for unknown keys and the suggestions.
#include "adapters/Settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace guavapond {

namespace {

constexpr int64_t dayMs = 24 * 3600 * 1000;
constexpr size_t maxNameLength = 64;
constexpr int64_t maxFileBytes = int64_t(1) << 40;

// ---- Rules of texts: each returns whether the text is allowed.
bool isName(const std::string& text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}
bool isIpAddress(const std::string& text)
{
    unsigned char buffer[sizeof(in6_addr)];
    return ::inet_pton(AF_INET, text.c_str(), buffer) == 1 || ::inet_pton(AF_INET6, text.c_str(), buffer) == 1;
}
bool isHostPort(const std::string& text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size() || text.size() - colon > 6)
        return false;
    const std::string port = text.substr(colon + 1);
    if (!std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return false;
    const int number = std::stoi(port);
    return number >= 1 && number <= 65535 && text.find_first_of(" /\t") == std::string::npos;
}
bool isUrl(const std::string& text)
{
    for (const std::string scheme : { "http://", "https://" }) {
        if (text.starts_with(scheme))
            return text.size() > scheme.size() && text[scheme.size()] != '/' && text.find_first_of(" \t") == std::string::npos;
    }
    return false;
}
bool isPath(const std::string&) { return true; }
bool isLevel(const std::string& text) { return text == "error" || text == "warn" || text == "info" || text == "debug"; }

struct TextRule {
    bool (*holds)(const std::string&);
    const char* text;
};
constexpr TextRule nameRule { isName, "1 to 64 letters, digits, '.', '_' or '-'" };
constexpr TextRule addressRule { isIpAddress, "an IP address" };
constexpr TextRule hostPortRule { isHostPort, "HOST:PORT with a port from 1 to 65535" };
constexpr TextRule urlRule { isUrl, "http://HOST[:PORT] or https://HOST[:PORT]" };
constexpr TextRule fileRule { isPath, "the path of a file, or empty" };
constexpr TextRule levelRule { isLevel, "error, warn, info or debug" };

enum class Need : uint8_t {
    Optional,
    Required,
};

// ---- The keys. Durations are whole milliseconds, with a name that ends in Ms.
template <typename Visitor> void visitKeys(Settings& s, Visitor& v)
{
    v.text("node.name", s.name, nameRule, Need::Required);
    v.text("node.failureDomain", s.failureDomain, nameRule, Need::Required);
    v.text("callers.address", s.callersAddress, addressRule);
    v.number("callers.port", s.callersPort, 0, 65535);
    v.text("callers.adminToken", s.adminToken, fileRule);
    v.text("callers.tlsCert", s.callersTlsCert, fileRule);
    v.text("callers.tlsKey", s.callersTlsKey, fileRule);
    v.text("nodes.address", s.nodesAddress, addressRule);
    v.number("nodes.port", s.nodesPort, 0, 65535);
    v.texts("platform.urls", s.platformUrls, urlRule);
    v.text("platform.caFile", s.platformCaFile, fileRule);
    v.duration("platform.timeoutMs", s.platformTimeout, 10, 60000);
    v.duration("platform.watchMs", s.platformWatch, 100, 120000);
    v.text("targets.caFile", s.targetsCaFile, fileRule);
    v.duration("targets.firstByteMs", s.firstByteTimeout, 10, dayMs);
    v.duration("targets.betweenTokensMs", s.betweenTokensTimeout, 10, 3600000);
    v.duration("targets.healthMs", s.healthTimeout, 10, 60000);
    v.duration("targets.loadPeriodMs", s.loadPeriod, 10, 60000);
    v.number("limits.maxBodyBytes", s.maxBodyBytes, 1024, int64_t(1) << 30);
    v.number("limits.maxHeaders", s.maxHeaders, 8, 1000);
    v.number("limits.maxHeaderBytes", s.maxHeaderBytes, 1024, 1 << 20);
    v.duration("limits.bodyTimeoutMs", s.bodyTimeout, 10, 600000);
    v.duration("limits.defaultDeadlineMs", s.defaultDeadline, 10, dayMs);
    v.duration("limits.maxDeadlineMs", s.maxDeadline, 1000, 7 * dayMs);
    v.number("queue.maxPerModel", s.maxQueuedPerModel, 1, 1000000);
    v.number("scheduler.initialWindow", s.target.initialWindow, 1, 10000);
    v.number("scheduler.minWindow", s.target.minWindow, 1, 10000);
    v.real("scheduler.shortWorkFraction", s.target.shortWorkFraction, 0, 0.9);
    v.duration("scheduler.shortWorkMs", s.target.shortWork, 1, 3600000);
    v.duration("scheduler.firstTokenGoalMs", s.target.firstTokenGoal, 1, 60000);
    v.duration("scheduler.betweenTokensGoalMs", s.target.betweenTokensGoal, 1, 60000);
    v.real("scheduler.windowDecrease", s.target.windowDecrease, 0.1, 0.99);
    v.real("scheduler.windowIncrease", s.target.windowIncrease, 0.01, 100);
    v.real("scheduler.stragglerRatio", s.target.stragglerRatio, 1.1, 100);
    v.real("scheduler.ejectRatio", s.target.ejectRatio, 1.1, 1000);
    v.number("scheduler.ejectFailures", s.target.ejectFailures, 1, 1000);
    v.duration("scheduler.firstProbeMs", s.target.firstProbe, 10, 600000);
    v.duration("scheduler.maxProbeMs", s.target.maxProbe, 10, 3600000);
    v.duration("scheduler.loadHalfLifeMs", s.target.loadHalfLife, 10, 60000);
    v.real("scheduler.speedLearningRate", s.target.learningRate, 0.001, 1);
    v.number("scheduler.defaultOutputTokens", s.cost.defaultOutputTokens, 1, 1000000);
    v.real("scheduler.lengthLearningRate", s.cost.learningRate, 0.001, 1);
    v.number("scheduler.maxLearnedKeys", s.cost.maxLearnedKeys, 1, 10000000);
    v.number("scheduler.maxPrefixEntries", s.prefix.maxEntries, 1, 10000000);
    v.duration("scheduler.prefixLifetimeMs", s.prefix.entryLifetime, 1000, dayMs);
    v.real("scheduler.prefixGapTrust", s.prefix.gapTrust, 0, 1);
    v.real("scheduler.prefixMinTrust", s.prefix.minTrust, 0, 1);
    v.number("router.prefixCandidates", s.router.prefixCandidates, 0, 64);
    v.number("router.sampledCandidates", s.router.sampledCandidates, 1, 256);
    v.duration("router.remotePenaltyMs", s.router.remotePenalty, 0, 60000);
    v.text("log.file", s.logFile, fileRule);
    v.text("log.level", s.logLevel, levelRule);
    v.number("log.maxBytes", s.logFileBytes, 4096, maxFileBytes);
    v.number("log.files", s.logFiles, 1, 1000);
    v.text("audit.file", s.auditFile, fileRule);
    v.number("audit.maxBytes", s.auditFileBytes, 4096, maxFileBytes);
    v.number("audit.files", s.auditFiles, 1, 1000);
    v.duration("shutdown.timeMs", s.shutdownTime, 0, dayMs);
}

template <typename Visitor> void visitPeer(PeerSettings& peer, Visitor& v)
{
    v.text("name", peer.name, nameRule, Need::Required);
    v.text("address", peer.address, hostPortRule, Need::Required);
    v.text("failureDomain", peer.failureDomain, nameRule, Need::Required);
}

std::string valueText(const toml::node& node)
{
    constexpr size_t maxShown = 80; // characters
    std::ostringstream out;
    node.visit([&](const auto& value) { out << value; });
    std::string text = out.str();
    return text.size() <= maxShown ? text : text.substr(0, maxShown) + "...";
}

std::string rangeText(auto low, auto high)
{
    std::ostringstream out;
    out << low << " to " << high;
    return out.str();
}

size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<size_t> row(b.size() + 1);
    for (size_t j = 0; j <= b.size(); ++j)
        row[j] = j;
    for (size_t i = 1; i <= a.size(); ++i) {
        size_t diagonal = std::exchange(row[0], i);
        for (size_t j = 1; j <= b.size(); ++j) {
            const size_t substituted = diagonal + (a[i - 1] != b[j - 1]);
            diagonal = row[j];
            row[j] = std::min({ substituted, row[j] + 1, row[j - 1] + 1 });
        }
    }
    return row.back();
}

// Reads the keys of one table and collects the errors.
class Reader {
public:
    Reader(const toml::table& t, std::string f, std::vector<SettingsError>& e, std::string p = "")
        : table(t)
        , file(std::move(f))
        , errors(e)
        , prefix(std::move(p))
    {
    }

    void text(const char* key, std::string& value, const TextRule& rule, Need need = Need::Optional)
    {
        const toml::node* node = find(key, need, rule.text);
        if (!node)
            return;
        const auto read = node->value_exact<std::string>();
        if (!read || !rule.holds(*read))
            fault(key, *node, std::string(rule.text) + (read ? "" : ", in quotes"));
        else
            value = *read;
    }
    void texts(const char* key, std::vector<std::string>& values, const TextRule& rule)
    {
        const std::string allowed = std::string("a list of one or more, each ") + rule.text;
        const toml::node* node = find(key, Need::Required, allowed);
        if (!node)
            return;
        const toml::array* list = node->as_array();
        if (!list || list->empty()) {
            fault(key, *node, allowed);
            return;
        }
        for (const toml::node& item : *list) {
            const auto read = item.value_exact<std::string>();
            if (!read || !rule.holds(*read))
                fault(key, item, rule.text);
            else
                values.push_back(*read);
        }
    }
    template <typename Number> void number(const char* key, Number& value, int64_t low, int64_t high)
    {
        const toml::node* node = find(key, Need::Optional, "");
        if (!node)
            return;
        const auto read = node->value_exact<int64_t>();
        if (!read || *read < low || *read > high)
            fault(key, *node, "a whole number from " + rangeText(low, high));
        else
            value = static_cast<Number>(*read);
    }
    void real(const char* key, double& value, double low, double high)
    {
        const toml::node* node = find(key, Need::Optional, "");
        if (!node)
            return;
        const auto read = node->is_number() ? node->value<double>() : std::nullopt;
        if (!read || !(*read >= low && *read <= high))
            fault(key, *node, "a number from " + rangeText(low, high));
        else
            value = *read;
    }
    void duration(const char* key, Duration& value, int64_t lowMs, int64_t highMs)
    {
        int64_t ms = toMilliseconds(value);
        number(key, ms, lowMs, highMs);
        if (ms != toMilliseconds(value))
            value = std::chrono::milliseconds(ms);
    }

    // Reports each key of the file that nobody asked for, with the nearest known one.
    void reportUnknown() { reportUnknown(this->table, ""); }

    size_t lineOf(const std::string& key) const
    {
        const toml::node* node = this->table.at_path(key).node();
        return node ? node->source().begin.line : 0;
    }
    void fault(const std::string& key, const toml::node& node, std::string allowed)
    {
        this->errors.push_back({ this->file, node.source().begin.line, this->prefix + key, valueText(node), std::move(allowed) });
    }

private:
    const toml::node* find(const char* key, Need need, const std::string& allowed)
    {
        this->known.insert(key);
        const toml::node* node = this->table.at_path(key).node();
        if (node || need == Need::Optional)
            return node;
        const std::string path(key);
        const size_t dot = path.rfind('.');
        const toml::node* section = dot == std::string::npos ? &this->table : this->table.at_path(path.substr(0, dot)).node();
        const size_t line = section ? section->source().begin.line : 0;
        this->errors.push_back({ this->file, line, this->prefix + path, "", "required: " + allowed });
        return nullptr;
    }

    bool isSection(const std::string& path) const
    {
        const auto next = this->known.lower_bound(path + ".");
        return next != this->known.end() && next->starts_with(path + ".");
    }

    std::string nearest(const std::string& path) const
    {
        std::string best;
        size_t bestDistance = std::numeric_limits<size_t>::max();
        const std::string leaf = path.substr(path.rfind('.') + 1);
        for (const std::string& key : this->known) {
            // A key in the wrong section is as near as its own spelling, plus one.
            const size_t byLeaf = editDistance(leaf, key.substr(key.rfind('.') + 1)) + 1;
            const size_t distance = std::min(editDistance(path, key), byLeaf);
            if (distance < bestDistance) {
                bestDistance = distance;
                best = key;
            }
        }
        return best;
    }

    void reportUnknown(const toml::table& part, const std::string& path)
    {
        for (const auto& [key, node] : part) {
            const std::string full = path + std::string(key.str());
            if (this->known.contains(full) || (path.empty() && full == "peers" && this->prefix.empty()))
                continue;
            if (isSection(full) && node.is_table()) {
                reportUnknown(*node.as_table(), full + ".");
                continue;
            }
            if (isSection(full)) {
                fault(full, node, "a section with keys");
                continue;
            }
            const std::string rule = "a known key; the nearest is " + this->prefix + nearest(full);
            const size_t line = key.source().begin.line;
            this->errors.push_back({ this->file, line, this->prefix + full, node.is_table() ? "a section" : valueText(node), rule });
        }
    }

    const toml::table& table;
    std::string file;
    std::vector<SettingsError>& errors;
    std::string prefix;
    std::set<std::string> known;
};

void readPeers(const toml::table& table, const std::string& file, Settings& settings, std::vector<SettingsError>& errors)
{
    const toml::node* node = table.get("peers");
    if (!node)
        return;
    const toml::array* list = node->as_array();
    if (!list || !list->is_homogeneous<toml::table>()) {
        if (!list || !list->empty())
            errors.push_back({ file, node->source().begin.line, "peers", valueText(*node), "sections [[peers]]" });
        return;
    }
    std::set<std::string> names;
    for (size_t i = 0; i < list->size(); ++i) {
        const toml::table& item = *list->get_as<toml::table>(i);
        PeerSettings& peer = settings.peers.emplace_back();
        Reader reader(item, file, errors, "peers[" + std::to_string(i) + "].");
        visitPeer(peer, reader);
        reader.reportUnknown();
        if (!peer.name.empty() && (peer.name == settings.name || !names.insert(peer.name).second))
            reader.fault("name", *item.get("name"), "a name that neither this node nor another peer has");
    }
}

void checkTogether(const Settings& s, const Reader& reader, const std::string& file, std::vector<SettingsError>& errors)
{
    const auto fault = [&](const std::string& key, const std::string& value, const std::string& allowed) {
        errors.push_back({ file, reader.lineOf(key), key, value, allowed });
    };
    if (!s.callersTlsCert.empty() && s.callersTlsKey.empty())
        fault("callers.tlsCert", s.callersTlsCert, "together with callers.tlsKey");
    if (s.callersTlsCert.empty() && !s.callersTlsKey.empty())
        fault("callers.tlsKey", s.callersTlsKey, "together with callers.tlsCert");
    if (s.callersPort != 0 && s.callersPort == s.nodesPort && s.callersAddress == s.nodesAddress)
        fault("nodes.port", std::to_string(s.nodesPort), "a port other than callers.port");
    if (s.defaultDeadline > s.maxDeadline)
        fault("limits.defaultDeadlineMs", std::to_string(toMilliseconds(s.defaultDeadline)), "at most limits.maxDeadlineMs");
    if (s.target.minWindow > s.target.initialWindow)
        fault("scheduler.minWindow", std::to_string(s.target.minWindow), "at most scheduler.initialWindow");
    if (s.target.stragglerRatio > s.target.ejectRatio)
        fault("scheduler.stragglerRatio", std::to_string(s.target.stragglerRatio), "at most scheduler.ejectRatio");
    if (s.target.firstProbe > s.target.maxProbe)
        fault("scheduler.firstProbeMs", std::to_string(toMilliseconds(s.target.firstProbe)), "at most scheduler.maxProbeMs");
}

} // namespace

std::string describe(const SettingsError& error)
{
    std::string text = error.file;
    if (error.line > 0)
        text += ":" + std::to_string(error.line);
    text += ": ";
    if (!error.key.empty())
        text += error.key + (error.value.empty() ? "" : " = " + error.value) + ": ";
    return text + "allowed: " + error.allowed;
}

SettingsResult parseSettings(std::string_view text, const std::string& file)
{
    SettingsResult result;
    toml::table table;
    try {
        table = toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        result.errors.push_back({ file, error.source().begin.line, "", "", "TOML syntax; " + std::string(error.description()) });
        return result;
    }
    Settings settings;
    Reader reader(table, file, result.errors);
    visitKeys(settings, reader);
    readPeers(table, file, settings, result.errors);
    reader.reportUnknown();
    checkTogether(settings, reader, file, result.errors);
    std::stable_sort(
        result.errors.begin(), result.errors.end(), [](const SettingsError& a, const SettingsError& b) { return a.line < b.line; });
    if (result.errors.empty())
        result.settings = std::move(settings);
    return result;
}

SettingsResult readSettings(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    if (in)
        text << in.rdbuf();
    if (!in || !text)
        return { std::nullopt, { { file, 0, "", "", "a file that can be read" } } };
    return parseSettings(text.str(), file);
}

} // namespace guavapond
