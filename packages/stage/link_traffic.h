// Counts the bytes that a process sends, by purpose, to show what fills the link of its host.
//
//   traffic.note(TrafficKind::CallerAnswers, bytes);
//   if (const auto summary = traffic.take(now)) { ... log it ... }
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <numeric>
#include <optional>

namespace kumquat {

enum class TrafficKind : std::uint8_t {
    CallerAnswers, // to callers of this host
    Requests,      // passed on to other hosts
    PeerAnswers,   // to requests that other hosts passed on
    State,         // configurations, host records and key tables
    Control,       // votes, load reports, pings
};

inline constexpr NameTable<TrafficKind, 5> trafficKindNames{
        {{{TrafficKind::CallerAnswers, "callerAnswers"},
          {TrafficKind::Requests, "requests"},
          {TrafficKind::PeerAnswers, "peerAnswers"},
          {TrafficKind::State, "state"},
          {TrafficKind::Control, "control"}}}};

struct TrafficSummary
{
    std::array<std::uint64_t, trafficKindNames.entries.size()> bytes{}; // by kind
    Duration sendTime{}; // time that the link needs for them
    Duration window{};   // in which they were queued
};

// Not thread-safe.
class LinkTraffic
{
public:
    void note(TrafficKind kind, std::uint64_t bytes)
    {
        this->counts[static_cast<std::size_t>(kind)] += bytes;
    }

    // Returns the bytes since the last call if the link needs more than half of the time for them.
    // At most twice a second. `bytesPerSecond`: of the link; 0 if unknown.
    std::optional<TrafficSummary> take(double bytesPerSecond, Time now)
    {
        if (now - this->startedAt < minWindow) {
            return std::nullopt;
        }
        TrafficSummary summary{.bytes = this->counts, .window = now - this->startedAt};
        this->counts = {};
        this->startedAt = now;
        const auto total =
                std::accumulate(summary.bytes.begin(), summary.bytes.end(), std::uint64_t{0});
        if (bytesPerSecond <= 0) {
            return std::nullopt;
        }
        summary.sendTime = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(static_cast<double>(total) / bytesPerSecond));
        return summary.sendTime * 2 > summary.window ? std::optional(summary) : std::nullopt;
    }

private:
    static constexpr Duration minWindow = 500ms;

    std::array<std::uint64_t, trafficKindNames.entries.size()> counts{};
    Time startedAt{};
};

} // namespace kumquat
