#include "base/log.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>
#include <easylogging++.h>

#include <atomic>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace kumquat {
namespace {

std::atomic<LogLevel> lowestLevel{LogLevel::Info};

bool isEnabled(LogLevel level)
{
    return level >= lowestLevel.load(std::memory_order_relaxed);
}

std::string quoteIfNeeded(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \t\n\"=") == std::string::npos) {
        return value;
    }
    std::string quoted = "\"";
    for (const char c : value) {
        const bool isControl = static_cast<unsigned char>(c) < ' ';
        if (c == '"') {
            quoted += "\\\"";
        } else {
            quoted += isControl ? ' ' : c;
        }
    }
    return quoted + "\"";
}

// Writes each line to standard error; easylogging++ itself writes to standard output or files.
class StandardErrorCallback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        const std::string line = message->logger()->logBuilder()->build(message, true);
        std::cerr << line << std::flush;
    }
};

} // namespace

void setUpLogging(LogLevel level)
{
    lowestLevel = level;
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::setDefaultConfigurations(configuration, true);
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
            "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<StandardErrorCallback>("StandardErrorCallback");
}

std::string formatLogLine(LogPart part, std::string_view sentence, const LogFields &fields)
{
    std::string line = absl::StrCat(toAbsl(logPartNames.nameOf(part)), ": ", toAbsl(sentence));
    for (const LogField &field : fields) {
        absl::StrAppend(&line, " ", toAbsl(field.key), "=", quoteIfNeeded(field.value));
    }
    return line;
}

void logDebug(LogPart part, std::string_view sentence, const LogFields &fields)
{
    if (isEnabled(LogLevel::Debug)) {
        LOG(DEBUG) << formatLogLine(part, sentence, fields);
    }
}

void logInfo(LogPart part, std::string_view sentence, const LogFields &fields)
{
    if (isEnabled(LogLevel::Info)) {
        LOG(INFO) << formatLogLine(part, sentence, fields);
    }
}

void logWarning(LogPart part, std::string_view sentence, const LogFields &fields)
{
    if (isEnabled(LogLevel::Warning)) {
        LOG(WARNING) << formatLogLine(part, sentence, fields);
    }
}

void logError(LogPart part, std::string_view sentence, const LogFields &fields)
{
    if (isEnabled(LogLevel::Error)) {
        LOG(ERROR) << formatLogLine(part, sentence, fields);
    }
}

} // namespace kumquat
