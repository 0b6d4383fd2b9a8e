// log4cxx appenders with a layout of JSON lines. log4cxx's own JSONLayout writes the fields of a line as one quoted text, so programs
// that read the log could not filter by field.
#include "adapters/Logging.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/threadutility.h>
#include <log4cxx/layout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/rolling/fixedwindowrollingpolicy.h>
#include <log4cxx/rolling/rollingfileappender.h>
#include <log4cxx/rolling/sizebasedtriggeringpolicy.h>
#include <log4cxx/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace guavapond {

namespace {

using nlohmann::json;

// The message of an event is the inside of a JSON object; the layout adds time, level and node.
class JsonLinesLayout : public log4cxx::Layout {
public:
    explicit JsonLinesLayout(const std::string& node)
        : nodeField(node.empty() ? "" : ",\"node\":" + json(node).dump(-1, ' ', false, json::error_handler_t::replace))
    {
    }
    void format(log4cxx::LogString& output, const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) const override
    {
        const auto sinceEpoch = event->getChronoTimeStamp().time_since_epoch();
        const auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
        // The appender's own report of dropped lines is plain text.
        const std::string rendered = event->getRenderedMessage();
        const std::string fields = rendered.starts_with('"') ? rendered : "\"message\":" + json(rendered).dump();
        output += "{\"unixMs\":" + std::to_string(unixMs) + ",\"level\":\"" + event->getLevel()->toString() + "\"" + this->nodeField + ","
            + fields + "}\n";
    }
    const log4cxx::helpers::Class& getClass() const override { return log4cxx::Layout::getStaticClass(); }
    bool ignoresThrowable() const override { return true; }
    void activateOptions(log4cxx::helpers::Pool&) override { }
    void setOption(const log4cxx::LogString&, const log4cxx::LogString&) override { }

private:
    std::string nodeField;
};

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Error:
        return log4cxx::Level::getError();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Debug:
        break;
    }
    return log4cxx::Level::getDebug();
}

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("guavapond");
    return instance;
}

std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

} // namespace

void startLogging(const LogSettings& settings)
{
    using log4cxx::helpers::ThreadUtility;
    ThreadUtility::configure(log4cxx::helpers::ThreadConfigurationType::BlockSignalsOnly); // signals are for the program's threads
    log4cxx::helpers::Pool pool;
    const auto layout = std::make_shared<JsonLinesLayout>(settings.node);
    log4cxx::AppenderPtr appender;
    if (settings.file.empty())
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
    else {
        const auto policy = std::make_shared<log4cxx::rolling::FixedWindowRollingPolicy>();
        policy->setMinIndex(1);
        policy->setMaxIndex(static_cast<int>(settings.files));
        policy->setFileNamePattern(settings.file + ".%i");
        const auto trigger = std::make_shared<log4cxx::rolling::SizeBasedTriggeringPolicy>();
        trigger->setMaxFileSize(settings.maxBytes);
        const auto rolling = std::make_shared<log4cxx::rolling::RollingFileAppender>();
        rolling->setLayout(layout);
        rolling->setFile(settings.file);
        rolling->setAppend(true);
        rolling->setRollingPolicy(policy);
        rolling->setTriggeringPolicy(trigger);
        policy->activateOptions(pool);
        rolling->activateOptions(pool);
        appender = rolling;
    }
    if (settings.asyncLines > 0) {
        const auto async = std::make_shared<log4cxx::AsyncAppender>();
        async->setBufferSize(static_cast<int>(settings.asyncLines));
        async->setBlocking(false);
        async->addAppender(appender);
        appender = async;
    }
    logger()->setAdditivity(false);
    logger()->removeAllAppenders();
    logger()->addAppender(appender);
    logger()->setLevel(log4cxx::Level::toLevel(settings.level, log4cxx::Level::getInfo()));
}

void stopLogging() { log4cxx::LogManager::shutdown(); }

void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    const log4cxx::LevelPtr native = levelOf(level);
    if (!logger()->isEnabledFor(native))
        return;
    std::string text = "\"message\":" + dump(message);
    for (const LogField& field : fields) {
        text += "," + dump(field.name) + ":";
        std::visit([&](const auto& value) { text += dump(value); }, field.value);
    }
    logger()->forcedLog(native, text);
}

} // namespace guavapond
