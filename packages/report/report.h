// The report of a process as plain data: request counters, latency quantiles and the burn rates of
// its objectives. A burn rate is the share of bad requests divided by the share that an objective
// allows.
//
// Sections: causes, windows, prefixes, objectives, report, output
//
//   Report report = collector.makeReport(now);
//   report.merge(otherProcess);               // adds the counts
//   std::cout << formatReport(report);
#pragma once

#include "base/errors.h"
#include "base/time.h"
#include "settings/settings.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// --- causes ---

// Counts indexed by error kind. ErrorKind::None stands for an answer of the upstream.
using KindCounts = std::array<std::uint64_t, errorKindCount>;

// Returns the name of a cause of failure. None is "upstream-answer": the upstream answered with
// 5xx.
std::string_view causeName(ErrorKind kind);

// --- windows ---

struct WindowSpec
{
    Duration length{};
    int buckets = 0; // resolution of the window; limits its memory
    std::string_view name;
};

inline constexpr int burnWindowCount = 3;
inline constexpr std::array<WindowSpec, burnWindowCount> burnWindows{
        {{5min, 30, "5m"}, {1h, 60, "1h"}, {6h, 72, "6h"}}};

// Requests of one objective in one window. Requests that failed through a fault of the caller
// (error kinds below HTTP 500) are not counted, so that they neither raise nor lower the burn rate.
struct WindowCounts
{
    std::uint64_t requests = 0;
    std::uint64_t failed = 0; // error kind or upstream answer of HTTP 500 and above
    std::uint64_t slow = 0;   // not failed, but slower than the latency of the objective
    KindCounts causes{};      // of the failed requests

    void add(const WindowCounts &other);

    // Returns the cause with the highest count, or nullopt without failures.
    std::optional<ErrorKind> largestCause() const;
};

// --- prefixes ---

// Estimates over the last one to two minutes; 0 without requests.
struct LatencyQuantiles
{
    Duration p50{};
    Duration p99{};
    Duration p999{};
};

// Totals since the start of the process for one rule prefix.
struct PrefixReport
{
    std::string prefix;                 // "" for requests without a rule
    KindCounts kinds{};                 // all requests, by error kind
    std::uint64_t upstreamFailures = 0; // upstream answers of HTTP 500 and above, part of kind None
    double latencySum = 0; // in seconds; nanoseconds of a fleet would overflow 64 bits in days
    LatencyQuantiles latency;

    std::uint64_t requests() const;
};

// --- objectives ---

// What an objective limits: the share of failed requests, or the share of slow answers.
enum class Measure : std::uint8_t { Availability, Latency };

inline constexpr std::array<Measure, 2> allMeasures{Measure::Availability, Measure::Latency};
inline constexpr NameTable<Measure, 2> measureNames{
        {{{Measure::Availability, "availability"}, {Measure::Latency, "latency"}}}};

struct ObjectiveReport
{
    Objective objective;
    std::array<WindowCounts, burnWindowCount> windows; // in the order of burnWindows
    std::array<Duration, 2> aboveFor{};                // by Measure: age of a 5 min rate above 1

    // Returns the share of bad requests divided by the share that the objective allows. If the rate
    // stays above 1, the objective is missed. 0 without requests.
    double burnRate(Measure measure, int window) const;

    // Returns how long the objective has been burning, or nullopt if it is not. An objective burns
    // while its burn rates over 5 min and 1 h are both above 1. The short window makes a burn end
    // soon, and the long one prevents a few failures from starting a burn. A burn starts at the
    // time at which the 5 min rate rose above 1.
    std::optional<Duration> burningFor(Measure measure) const;

    // Returns the name of the most frequent cause of failure over 5 min, "slow answers" for the
    // latency measure, or "" without bad requests.
    std::string_view largestCause(Measure measure) const;
};

// --- report ---

struct Report
{
    std::vector<PrefixReport> prefixes; // sorted by prefix
    std::vector<ObjectiveReport> objectives;

    // Adds the counts of another process. Quantiles cannot be added, so the higher one is kept,
    // which is an upper bound. Objectives are merged if their definitions are equal. The longer
    // time above a burn rate of 1 is kept.
    void merge(const Report &other);
};

// --- output ---

// Formats the report as tables of text.
std::string formatReport(const Report &report);

// Formats the report as the JSON of GET /report.
std::string formatReportJson(const Report &report);

// Parses the output of formatReportJson. Error: Internal.
absl::StatusOr<Report> parseReportJson(std::string_view text);

} // namespace kumquat
