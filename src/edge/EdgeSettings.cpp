// Parses the settings file with toml++ and checks each value against its allowed range.
#include "edge/EdgeSettings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <toml++/toml.h>

namespace guavapond::edge {

namespace {

// Reads typed values from the parsed file and collects a fault for each missing or invalid value.
class Reader {
public:
    explicit Reader(const toml::table& root)
        : root(root)
    {
    }

    std::string text(std::string_view key, const std::optional<std::string>& fallback = std::nullopt)
    {
        const auto value = this->root.at_path(key).value<std::string>();
        if (value && !value->empty())
            return *value;
        if (!fallback)
            this->faults.push_back({ std::string(key), "a non-empty string is needed" });
        return fallback.value_or("");
    }

    double number(std::string_view key, double minimum, double maximum, double fallback)
    {
        const auto node = this->root.at_path(key);
        if (!node)
            return fallback;
        const auto value = node.value<double>();
        if (!value || *value < minimum || *value > maximum) {
            std::ostringstream range;
            range << "a number from " << minimum << " to " << maximum << " is needed";
            this->faults.push_back({ std::string(key), range.str() });
            return fallback;
        }
        return *value;
    }

    bool flag(std::string_view key, bool fallback)
    {
        const auto node = this->root.at_path(key);
        if (!node)
            return fallback;
        const auto value = node.value_exact<bool>();
        if (!value)
            this->faults.push_back({ std::string(key), "true or false is needed" });
        return value.value_or(fallback);
    }

    std::string oneOf(std::string_view key, std::initializer_list<std::string_view> allowed, const std::string& fallback)
    {
        std::string value = this->text(key, fallback);
        if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
            return value;
        std::string list;
        for (const std::string_view word : allowed)
            list += " " + std::string(word);
        this->faults.push_back({ std::string(key), "one of" + list + " is needed" });
        return fallback;
    }

    Address address(std::string_view key)
    {
        const std::string value = this->text(key);
        if (auto address = parseAddress(value))
            return *address;
        if (!value.empty())
            this->faults.push_back({ std::string(key), "an address IP:PORT is needed, not \"" + value + "\"" });
        return {};
    }

    std::vector<SettingsFault> faults;

private:
    const toml::table& root;
};

constexpr double maxDurationMs = 3600 * 1000;
constexpr double bytesPerMb = 1e6;
constexpr double maxPrice = 1e9; // in the operators' unit of account

Duration milliseconds(double value) { return fromSeconds(value / 1000); }

void readPlacement(Reader& reader, PlacementSettings& placement)
{
    placement.mostPerSlot = reader.number("placement.mostPerSlot", 0.1, 10, placement.mostPerSlot);
    placement.queueForUrgent
        = milliseconds(reader.number("placement.queueForUrgentMs", 0, maxDurationMs, inMilliseconds(placement.queueForUrgent)));
    placement.queueForOthers
        = milliseconds(reader.number("placement.queueForOthersMs", 0, maxDurationMs, inMilliseconds(placement.queueForOthers)));
    placement.otherDomainCost = reader.number("placement.otherDomainCost", 0, 10, placement.otherDomainCost);
    SpillSettings& spill = placement.spill;
    spill.enabled = reader.flag("spill.enabled", spill.enabled);
    spill.gigabytePrice = reader.number("spill.gigabytePrice", 0, maxPrice, spill.gigabytePrice);
    spill.waitSecondPrice = reader.number("spill.waitSecondPrice", 0, maxPrice, spill.waitSecondPrice);
    spill.maxRequestPrice = reader.number("spill.maxRequestPrice", 0, maxPrice, maxPrice);
    spill.initialRoundTrip = milliseconds(reader.number("spill.initialRoundTripMs", 0, 10'000, inMilliseconds(spill.initialRoundTrip)));
    placement.stallAfter = milliseconds(reader.number("placement.stallAfterMs", 10, maxDurationMs, inMilliseconds(placement.stallAfter)));
    placement.ejection.firstPause
        = milliseconds(reader.number("placement.firstPauseMs", 1, maxDurationMs, inMilliseconds(placement.ejection.firstPause)));
    placement.ejection.longestPause
        = milliseconds(reader.number("placement.longestPauseMs", 1, maxDurationMs, inMilliseconds(placement.ejection.longestPause)));
}

void readAdmission(Reader& reader, AdmissionSettings& admission)
{
    admission.maxWaitFraction = reader.number("admission.longestWait", 0, 1, admission.maxWaitFraction);
    admission.maxFirstEventFactor = reader.number("admission.latestFirstEvent", 0.1, 100, admission.maxFirstEventFactor);
    admission.minRetryAfter
        = milliseconds(reader.number("admission.leastRetryAfterMs", 0, maxDurationMs, inMilliseconds(admission.minRetryAfter)));
    admission.plansRoom = reader.flag("admission.plansRoom", admission.plansRoom);
    admission.heededShare = reader.number("admission.heededShare", 0, 1, admission.heededShare);
    admission.retryAfterJitter
        = milliseconds(reader.number("admission.retryAfterSpreadMs", 0, maxDurationMs, inMilliseconds(admission.retryAfterJitter)));
}

} // namespace

EdgeSettingsResult parseEdgeSettings(std::string_view text)
{
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error& error) {
        std::ostringstream position;
        position << error.source().begin;
        return { std::nullopt, { { position.str(), std::string(error.description()) } } };
    }
    Reader reader(root);
    EdgeSettings settings;
    settings.node = reader.text("node");
    settings.failureDomain = reader.text("failureDomain");
    settings.callers = reader.address("listen.callers");
    settings.ready = reader.address("listen.ready");
    settings.peers = reader.address("listen.peers");
    settings.metrics = reader.address("listen.metrics");
    settings.store = reader.address("store.address");
    settings.descriptors = static_cast<uint32_t>(reader.number("limits.descriptors", 64, 1e7, 1024));
    settings.memoryBytes = static_cast<size_t>(reader.number("limits.memoryMb", 32, 1e6, 128) * bytesPerMb);
    settings.maxKeyRevocationDelay = milliseconds(reader.number("keys.revocationMs", 100, maxDurationMs, 5000));
    settings.machine.cores = reader.number("machine.cores", 0, 1e4, 0) * reader.number("machine.coreShare", 0, 1, 1);
    settings.machine.linkMbps = reader.number("machine.linkMbps", 0, 1e7, 0);
    settings.checksRevocation = reader.flag("keys.checkRevocation", true);
    settings.evacuationBound
        = milliseconds(reader.number("evacuation.withinMs", 500, maxDurationMs, inMilliseconds(settings.evacuationBound)));
    settings.stopGrace = fromSeconds(reader.number("stop.graceSeconds", 1, 3600, 8));
    settings.leaseTtl = milliseconds(reader.number("store.leaseMs", 1000, maxDurationMs, 5000));
    settings.secondTries.ratio = reader.number("secondTries.ratio", 0, 10, 0.2);
    settings.secondTries.window = fromSeconds(reader.number("secondTries.windowSeconds", 0.1, 3600, 10));
    settings.secondTries.allowance = reader.number("secondTries.allowance", 0, 1e6, 0);
    settings.moves.mostExposed = reader.number("moves.mostExposed", 0, 1, settings.moves.mostExposed);
    settings.moves.exposedAllowance = reader.number("moves.exposedAllowance", 0, 1e6, settings.moves.exposedAllowance);
    settings.quotaWindow = fromSeconds(reader.number("quotas.windowSeconds", 0.1, 3600, toSeconds(settings.quotaWindow)));
    readPlacement(reader, settings.placement);
    settings.placement.failureDomain = settings.failureDomain;
    WarmUpTolerance& warmUps = settings.placement.warmUps;
    warmUps.overrun = reader.number("warmUps.overrun", 0, 100, warmUps.overrun);
    warmUps.allowance = reader.number("warmUps.allowance", 0, 1e6, warmUps.allowance);
    readAdmission(reader, settings.admission);
    settings.placement.plansRoom = settings.admission.plansRoom;
    settings.logLevel = reader.oneOf("log.level", { "error", "warn", "info", "debug" }, "info");
    if (!reader.faults.empty())
        return { std::nullopt, reader.faults };
    return { settings, {} };
}

EdgeSettingsResult readEdgeSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return { std::nullopt, { { path, "the settings file can't be read" } } };
    std::ostringstream text;
    text << file.rdbuf();
    return parseEdgeSettings(text.str());
}

} // namespace guavapond::edge
