// Values that the settings file does not name keep the default of their part.
#include "daemon/SettingsMap.h"

#include <algorithm>

namespace guavapond {

HttpEngineSettings engineSettings(const Settings& settings)
{
    HttpEngineSettings result;
    result.caFile = settings.targetsCaFile;
    result.controlTimeout = settings.healthTimeout;
    return result;
}

HttpServiceSettings serviceSettings(const Settings& settings)
{
    HttpServiceSettings result;
    result.caFile = settings.targetsCaFile;
    return result;
}

HttpPlatformSettings platformSettings(const Settings& settings)
{
    HttpPlatformSettings result;
    result.urls = settings.platformUrls;
    result.timeout = settings.platformTimeout;
    result.caFile = settings.platformCaFile;
    return result;
}

HttpServerSettings serverSettings(const Settings& settings)
{
    HttpServerSettings result;
    result.address = settings.callersAddress;
    result.port = settings.callersPort;
    result.maxHeaderBytes = settings.maxHeaderBytes;
    result.maxHeaders = settings.maxHeaders;
    result.maxBodyBytes = settings.maxBodyBytes;
    result.receiveTimeout = settings.bodyTimeout;
    result.certificateFile = settings.callersTlsCert;
    result.keyFile = settings.callersTlsKey;
    return result;
}

DecisionSettings decisionSettings(const Settings& settings)
{
    DecisionSettings result;
    result.targets = settings.target;
    result.prefixes = settings.prefix;
    result.costs = settings.cost;
    result.router = settings.router;
    result.scheduler.queue.maxPerModel = settings.maxQueuedPerModel;
    return result;
}

RequestPathSettings requestPathSettings(const Settings& settings)
{
    RequestPathSettings result;
    result.callers.defaultDeadline = settings.defaultDeadline;
    result.callers.maxDeadline = settings.maxDeadline;
    result.streams.firstByteTimeout = settings.firstByteTimeout;
    result.streams.betweenTokensTimeout = settings.betweenTokensTimeout;
    return result;
}

TargetMonitorSettings monitorSettings(const Settings& settings)
{
    TargetMonitorSettings result;
    result.loadInterval = settings.loadPeriod;
    // All nodes together read the platform's VM list at most 100 times a second.
    constexpr Duration vmReadSpacing = std::chrono::milliseconds(10);
    result.vmInterval = std::max(result.vmInterval, vmReadSpacing * static_cast<int64_t>(settings.peers.size() + 1));
    return result;
}

TableWatcherSettings tableWatcherSettings(const Settings& settings)
{
    TableWatcherSettings result;
    result.watchWait = settings.platformWatch;
    return result;
}

} // namespace guavapond
