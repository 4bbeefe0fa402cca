// Log lines: time, level, prefix of the part, a short sentence, key=value fields.
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

// Parts of the system, each with a fixed prefix.
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
    std::string value; // quoted in the output if it has spaces
};

using LogFields = std::vector<LogField>;

enum class LogTarget : std::uint8_t {
    StandardError,
    // Lines are gathered and written by flushLog or when many have come. What standard output does
    // not take at once is dropped and counted, so that logging never blocks.
    StandardOutput,
};

// Configures the library: no files, lines below the level are dropped. Call once before the first
// line.
void setUpLogging(LogLevel level, LogTarget target = LogTarget::StandardError);

// Writes what StandardOutput has gathered, and how many lines were dropped since the last call.
void flushLog();

// Bounds the lines between two flushes. A part of them is kept for lines that say what the process
// believes: those of requests are the most.
class LogQuota
{
public:
    static constexpr std::size_t mostLines = 60; // with five flushes a second 300 a second
    static constexpr std::size_t mostOfRequests = 50;

    bool hasRoom(std::size_t most = mostLines) const { return this->lines < most; }

    // Counts a line and says whether it is written.
    bool take()
    {
        const bool isTaken = this->hasRoom();
        this->lines += isTaken ? 1 : 0;
        this->dropped += isTaken ? 0 : 1;
        return isTaken;
    }

    void noteFlush() { this->lines = 0; }
    void noteLost(std::uint64_t count) { this->dropped += count; }
    std::uint64_t droppedCount() const { return this->dropped; }

private:
    std::atomic<std::size_t> lines{0};
    std::atomic<std::uint64_t> dropped{0}; // in all
};

// Says whether the line of a request would be written, and counts it as dropped if not. To be asked
// before the line is made, as making it costs more than the rest of a refusal.
bool hasRoomForRequestLine();

void logDebug(LogPart part, std::string_view sentence, const LogFields &fields = {});
void logInfo(LogPart part, std::string_view sentence, const LogFields &fields = {});
void logWarning(LogPart part, std::string_view sentence, const LogFields &fields = {});
void logError(LogPart part, std::string_view sentence, const LogFields &fields = {});

// Formats one line without time and level: "lease: lease granted session=42".
std::string formatLogLine(LogPart part, std::string_view sentence, const LogFields &fields);

} // namespace kumquat
