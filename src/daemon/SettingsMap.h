// From the settings file to the settings of each part.
#pragma once

#include "adapters/HttpEngine.h"
#include "adapters/HttpPlatform.h"
#include "adapters/HttpServer.h"
#include "adapters/HttpService.h"
#include "adapters/Settings.h"
#include "node/RequestPath.h"
#include "node/TableWatcher.h"
#include "node/TargetMonitor.h"

namespace guavapond {

HttpEngineSettings engineSettings(const Settings& settings);
HttpServiceSettings serviceSettings(const Settings& settings);
HttpPlatformSettings platformSettings(const Settings& settings);
HttpServerSettings serverSettings(const Settings& settings);
DecisionSettings decisionSettings(const Settings& settings);
RequestPathSettings requestPathSettings(const Settings& settings);
TargetMonitorSettings monitorSettings(const Settings& settings);
TableWatcherSettings tableWatcherSettings(const Settings& settings);

} // namespace guavapond
