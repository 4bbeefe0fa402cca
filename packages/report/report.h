// The report of a process: counters, latency quantiles and the burn of objectives, as plain data.
//
// Sections: causes, windows, prefixes, objectives, report, output
//
//   Report report = collector.makeReport(now);
//   report.merge(otherProcess);               // sums the counts
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

// Counts by error kind. ErrorKind::None stands for an answer of the upstream.
using KindCounts = std::array<std::uint64_t, errorKindCount>;

// Returns the name of a cause of failure; None is "upstream-answer", an upstream's own 5xx.
std::string_view causeName(ErrorKind kind);

// --- windows ---

struct WindowSpec
{
    Duration length{};
    int buckets = 0; // resolution of the window; bounds its memory
    std::string_view name;
};

inline constexpr int burnWindowCount = 3;
inline constexpr std::array<WindowSpec, burnWindowCount> burnWindows{
        {{5min, 30, "5m"}, {1h, 60, "1h"}, {6h, 72, "6h"}}};

// Requests of one objective in one window. Requests that their callers must correct (error kinds
// below HTTP 500) are not counted, so that they neither burn an objective nor hide a burn.
struct WindowCounts
{
    std::uint64_t requests = 0;
    std::uint64_t failed = 0; // error kinds of HTTP 500 and above, or such an upstream answer
    std::uint64_t slow = 0;   // not failed, but later than the objective's latency
    KindCounts causes{};      // of `failed`

    void add(const WindowCounts &other);

    // Returns the cause with the highest count, or nothing without failures.
    std::optional<ErrorKind> largestCause() const;
};

// --- prefixes ---

// Estimates over the last one to two minutes, 0 without requests.
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
    KindCounts kinds{};                 // all requests by kind
    std::uint64_t upstreamFailures = 0; // of kind None: upstream answers of 500 and above
    double latencySum = 0; // s, of all requests; nanoseconds of a fleet overflow 64 bits in days
    LatencyQuantiles latency;

    std::uint64_t requests() const;
};

// --- objectives ---

// What is promised: the share of requests that do not fail, or of answers in time.
enum class Measure : std::uint8_t { Availability, Latency };

inline constexpr std::array<Measure, 2> allMeasures{Measure::Availability, Measure::Latency};
inline constexpr NameTable<Measure, 2> measureNames{
        {{{Measure::Availability, "availability"}, {Measure::Latency, "latency"}}}};

struct ObjectiveReport
{
    Objective objective;
    std::array<WindowCounts, burnWindowCount> windows; // in the order of burnWindows
    std::array<Duration, 2> aboveFor{};                // by Measure: see burningFor

    // Returns the share of bad requests over the share that the objective allows. Above 1 the
    // objective is missed if this goes on. 0 without requests.
    double burnRate(Measure measure, int window) const;

    // Returns how long the objective has burned, or nothing. It burns while the rates over 5 min
    // and 1 h are both above 1: the short window ends a burn soon, the long one keeps a few
    // failures from starting one. The start is the time at which the 5 min rate rose above 1.
    std::optional<Duration> burningFor(Measure measure) const;

    // Returns the name of the largest cause of failure over 5 min, "slow answers" for the latency
    // measure, or "" without bad requests.
    std::string_view largestCause(Measure measure) const;
};

// --- report ---

struct Report
{
    std::vector<PrefixReport> prefixes; // sorted by prefix
    std::vector<ObjectiveReport> objectives;

    // Adds the counts of another process. Quantiles cannot be summed: the higher one is kept,
    // which is an upper bound. Objectives are matched by their whole definition; burns last as
    // long as the longest.
    void merge(const Report &other);
};

// --- output ---

// Formats tables for a person.
std::string formatReport(const Report &report);

// Formats the JSON of GET /report.
std::string formatReportJson(const Report &report);

// Parses what formatReportJson returns. Error: Internal.
absl::StatusOr<Report> parseReportJson(std::string_view text);

} // namespace kumquat
