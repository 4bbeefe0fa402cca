// Logging. A line consists of the time, the level, the part of the system as a prefix, a short
// sentence and key=value fields.
//
//   logInfo(LogPart::Lease, "lease granted", {{"session", "42"}});
#pragma once

#include "base/names.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

inline constexpr NameTable<LogLevel, 4> logLevelNames{{{{LogLevel::Debug, "debug"},
                                                        {LogLevel::Info, "info"},
                                                        {LogLevel::Warning, "warning"},
                                                        {LogLevel::Error, "error"}}}};

// Parts of the system. Each part has a fixed prefix in its log lines.
enum class LogPart : std::uint8_t {
    Main,
    Settings,
    Rules,
    Log,
    Lease,
    Slots,
    Request,
    Upstream,
    Mesh,
    Admin,
    Placement,
};

inline constexpr NameTable<LogPart, 11> logPartNames{{{{LogPart::Main, "main"},
                                                       {LogPart::Settings, "settings"},
                                                       {LogPart::Rules, "rules"},
                                                       {LogPart::Log, "log"},
                                                       {LogPart::Lease, "lease"},
                                                       {LogPart::Slots, "slots"},
                                                       {LogPart::Request, "request"},
                                                       {LogPart::Upstream, "upstream"},
                                                       {LogPart::Mesh, "mesh"},
                                                       {LogPart::Admin, "admin"},
                                                       {LogPart::Placement, "placement"}}}};

struct LogField
{
    std::string_view key;
    std::string value; // quoted in the output if it is empty or contains whitespace, '"' or '='
};

using LogFields = std::vector<LogField>;

enum class LogTarget : std::uint8_t {
    StandardError,
    // Lines are buffered and written by flushLog() or when the buffer is full. Lines that standard
    // output does not accept at once are dropped and counted, so that logging never blocks.
    StandardOutput,
};

// Configures the logging library: no log files, and lines below the level are dropped. Call once
// before the first line.
void setUpLogging(LogLevel level, LogTarget target = LogTarget::StandardError);

// Writes the lines that are buffered for StandardOutput. Adds a line with the total number of
// dropped lines if it has grown since the last call.
void flushLog();

// Limits the number of lines between two flushes. Lines about single requests are the most frequent
// ones, so they may use only a part of the limit; the rest is reserved for lines about the state of
// the process.
class LogQuota
{
public:
    static constexpr std::size_t maxLines = 60; // 300 lines per second with five flushes per second
    static constexpr std::size_t maxRequestLines = 50;

    bool hasRoom(std::size_t limit = maxLines) const { return this->lines < limit; }

    // Returns whether a line may be written, and counts it as written or dropped.
    bool tryAdd()
    {
        const bool isAccepted = this->hasRoom();
        this->lines += isAccepted ? 1 : 0;
        this->dropped += isAccepted ? 0 : 1;
        return isAccepted;
    }

    void noteFlush() { this->lines = 0; }
    void noteDropped(std::uint64_t count) { this->dropped += count; }
    std::uint64_t droppedCount() const { return this->dropped; }

private:
    std::atomic<std::size_t> lines{0};
    std::atomic<std::uint64_t> dropped{0}; // since the start
};

// Returns whether a line about a request would be written, and counts it as dropped if not. Call
// this before the line is formatted: formatting costs more than all other work of refusing a
// request.
bool hasRoomForRequestLine();

void logDebug(LogPart part, std::string_view sentence, const LogFields &fields = {});
void logInfo(LogPart part, std::string_view sentence, const LogFields &fields = {});
void logWarning(LogPart part, std::string_view sentence, const LogFields &fields = {});
void logError(LogPart part, std::string_view sentence, const LogFields &fields = {});

// Formats one line without time and level: "lease: lease granted session=42".
std::string formatLogLine(LogPart part, std::string_view sentence, const LogFields &fields);

} // namespace kumquat
