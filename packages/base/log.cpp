#include "base/log.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>
#include <easylogging++.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
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

// Lines that wait for flushLog.
struct GatheredLines
{
    std::string text;
    LogQuota quota;
    std::uint64_t reported = 0; // of the dropped ones
};

GatheredLines &gathered()
{
    static GatheredLines lines;
    return lines;
}

std::atomic<bool> isGathering{false}; // the target is standard output

constexpr std::size_t flushBytes = 16UL * 1024; // gathered before a line is written without a flush

void writeGathered()
{
    GatheredLines &lines = gathered();
    std::string_view rest = lines.text;
    while (!rest.empty()) {
        const ssize_t written = write(STDOUT_FILENO, rest.data(), rest.size());
        if (written <= 0) {
            lines.quota.noteLost(
                    static_cast<std::uint64_t>(std::count(rest.begin(), rest.end(), '\n')));
            break;
        }
        rest.remove_prefix(static_cast<std::size_t>(written));
    }
    lines.text.clear();
}

// Gathers lines for standard output.
class StandardOutputCallback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        GatheredLines &lines = gathered();
        if (!lines.quota.take()) {
            return;
        }
        lines.text += message->logger()->logBuilder()->build(message, true);
        if (lines.text.size() >= flushBytes) {
            writeGathered();
        }
    }
};

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

void setUpLogging(LogLevel level, LogTarget target)
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
    isGathering = target == LogTarget::StandardOutput;
    if (isGathering) {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        el::Helpers::installLogDispatchCallback<StandardOutputCallback>("StandardOutputCallback");
    } else {
        el::Helpers::installLogDispatchCallback<StandardErrorCallback>("StandardErrorCallback");
    }
}

void flushLog()
{
    GatheredLines &lines = gathered();
    const std::uint64_t dropped = lines.quota.droppedCount();
    if (dropped > lines.reported) {
        lines.text += absl::StrCat("main: log lines dropped total=", dropped, "\n");
        lines.reported = dropped;
    }
    lines.quota.noteFlush();
    writeGathered();
}

bool hasRoomForRequestLine()
{
    if (!isGathering || gathered().quota.hasRoom(LogQuota::mostOfRequests)) {
        return true;
    }
    gathered().quota.noteLost(1);
    return false;
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
