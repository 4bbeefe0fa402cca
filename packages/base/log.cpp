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

std::atomic<LogLevel> minLevel{LogLevel::Info};

bool isEnabled(LogLevel level)
{
    return level >= minLevel.load(std::memory_order_relaxed);
}

// Replaces bytes that are not UTF-8 by their hexadecimal form, so that each line is text.
std::string escapeBytes(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isAscii = byte < 0x80;
        text += isAscii ? std::string(1, c) : absl::StrCat("\\x", absl::Hex(byte));
    }
    return text;
}

std::string quoteIfNeeded(const std::string &bytes)
{
    std::string value = isUtf8(bytes) ? bytes : escapeBytes(bytes);
    const bool hasSpecial = std::any_of(value.begin(), value.end(), [](char c) {
        return static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=';
    });
    if (!value.empty() && !hasSpecial) {
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

// Lines that wait for flushLog().
struct BufferedLines
{
    std::string text;
    LogQuota quota;
    std::uint64_t reportedDrops = 0; // number of dropped lines in the last report
};

BufferedLines &bufferedLines()
{
    static BufferedLines lines;
    return lines;
}

std::atomic<bool> isBuffering{false}; // whether the target is standard output

constexpr std::size_t maxBufferedBytes = 16UL * 1024; // reaching this size triggers a write

void writeBuffered()
{
    BufferedLines &lines = bufferedLines();
    std::string_view remaining = lines.text;
    while (!remaining.empty()) {
        const ssize_t written = write(STDOUT_FILENO, remaining.data(), remaining.size());
        if (written <= 0) {
            lines.quota.noteDropped(static_cast<std::uint64_t>(
                    std::count(remaining.begin(), remaining.end(), '\n')));
            break;
        }
        remaining.remove_prefix(static_cast<std::size_t>(written));
    }
    lines.text.clear();
}

// Buffers lines for standard output.
class StandardOutputCallback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        BufferedLines &lines = bufferedLines();
        if (!lines.quota.tryAdd()) {
            return;
        }
        lines.text += message->logger()->logBuilder()->build(message, true);
        if (lines.text.size() >= maxBufferedBytes) {
            writeBuffered();
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
    minLevel = level;
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
    isBuffering = target == LogTarget::StandardOutput;
    if (isBuffering) {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        el::Helpers::installLogDispatchCallback<StandardOutputCallback>("StandardOutputCallback");
    } else {
        el::Helpers::installLogDispatchCallback<StandardErrorCallback>("StandardErrorCallback");
    }
}

void flushLog()
{
    BufferedLines &lines = bufferedLines();
    const std::uint64_t dropped = lines.quota.droppedCount();
    if (dropped > lines.reportedDrops) {
        lines.text += absl::StrCat("main: log lines dropped total=", dropped, "\n");
        lines.reportedDrops = dropped;
    }
    lines.quota.noteFlush();
    writeBuffered();
}

bool hasRoomForRequestLine()
{
    if (!isBuffering || bufferedLines().quota.hasRoom(LogQuota::maxRequestLines)) {
        return true;
    }
    bufferedLines().quota.noteDropped(1);
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
