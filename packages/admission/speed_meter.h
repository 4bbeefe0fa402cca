// Learns how many requests an upstream can run at once before its throughput stops growing.
//
//   meter.reset(slots, now);                       // a new instance of the upstream
//   meter.noteStarted(run, routeHash, now);
//   meter.noteEnded(run, CallEnd::Answered, figures, now);
//   meter.advance(now);                            // every 50 ms
//   meter.concurrencyLimit();                      // of the limiter
//   meter.usableSlots();                           // for other hosts
//
// Throughput at a concurrency is the concurrency divided by the time that a run takes there
// (Little's law). Times are compared with the usual time of the same route, so expensive requests
// do not count as slow ones. Figures taken at different times may differ because the speed of the
// upstream changed in between. So the curve of throughput by concurrency only suggests a change; a
// trial decides, which alternates between two limits in short turns and compares their runs.
//
// Sections: settings, results, SpeedMeter.
#pragma once

#include "admission/upstream_figures.h"
#include "base/names.h"
#include "base/time.h"
#include "traffic/limiter.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace kumquat {

// ---- Settings ----

struct SpeedMeterSettings
{
    // The usable slots are never fewer than this share of the announced ones, and never fewer than
    // `minSlots` unless fewer are announced.
    double minShare = 0.25;
    std::uint32_t minSlots = 2;
    // Throughput counts as no longer growing if a lower limit reaches more than this share of it.
    double enoughShare = 0.93;
    // Standard errors by which a trial must be decided. 2 keep a wrong decision below 3 %.
    double confidence = 2;
    std::size_t minSamples = 16; // runs at each limit of a trial
    std::size_t minTurns = 3;    // a trend in time shifts neither side of lower-upper-lower
    std::size_t maxTurns = 10;   // a trial that is undecided by then changes nothing
    // A turn lasts this many times as long as a run, so that most runs lie within one turn.
    double runsPerTurn = 2;
    Duration minTurn = 100ms;
    Duration maxTurn = 1s;
    // Until the next trial of a higher limit, and of a lower one. Doubles with each trial that
    // changes nothing, and starts again when the speed of the upstream changes.
    // A limit at the edge of the contention does not show when the contention ends, so higher ones
    // are tried at least every second. Up to 4 s served no more work in the load test.
    Duration raiseInterval = 500ms;
    Duration maxRaiseInterval = 1s;
    Duration lowerInterval = 5s;
    Duration maxLowerInterval = 60s;
    // Longest time between trials of a lower limit while the speed keeps changing. With turns of
    // 0.1 s at half of the limit they cost 3 % of the throughput.
    Duration maxChangeInterval = 3s;
    // A limit that was not reached for this time is raised without a trial, as nothing shows
    // whether it is still needed.
    Duration unusedAfter = 1500ms;
    Duration headerMaxAge = 400ms; // older figures of the upstream are not used
    double speedChange = 1.25;     // ratio of speeds that counts as a change of the upstream
    double largeSpeedChange =
            2; // ratio that no upstream shows all the time (they differ 0.6 to 1.6)
    // The reported service time is corrected for this long after a slow time; by then the mean has
    // followed.
    Duration slowMemory = 15s;
    Duration idleAfter = 1s; // without a run, the measured service time is outdated
};

// ---- Results ----

enum class SpeedReason : std::uint8_t {
    LowerIsEnough, // a trial showed that fewer concurrent runs give as much throughput
    HigherIsBetter,
    NotReached, // the limit was not reached for some time
    Restarted,  // another instance of the upstream
};

inline constexpr NameTable<SpeedReason, 4> speedReasonNames{
        {{{SpeedReason::LowerIsEnough, "lower-is-enough"},
          {SpeedReason::HigherIsBetter, "higher-is-better"},
          {SpeedReason::NotReached, "not-reached"},
          {SpeedReason::Restarted, "restarted"}}}};

// A change of the usable slots, with the inputs of the decision.
struct SpeedChange
{
    SpeedReason reason = SpeedReason::NotReached;
    std::uint32_t before = 0;
    std::uint32_t after = 0;
    double gain = 1;         // throughput at the higher limit divided by that at the lower one
    std::size_t samples = 0; // runs that were compared
    Duration age{};          // of the oldest of them
};

// ---- SpeedMeter ----

// Not thread-safe.
class SpeedMeter
{
public:
    using RunId = const void *; // unique while the run lasts

    explicit SpeedMeter(SpeedMeterSettings meterSettings = {})
        : settings(meterSettings)
    {}

    // Forgets everything: another instance of the upstream, or other announced slots.
    void reset(std::uint32_t announcedSlots, Time now);

    void noteStarted(RunId run, std::uint64_t route, Time now);

    // Only answered runs are learned. `figures`: from the upstream's answer.
    void noteEnded(RunId run, CallEnd end, const std::optional<UpstreamFigures> &figures, Time now);

    // Begins, continues and ends trials.
    void advance(Time now);

    // Concurrency beyond which throughput stops growing; 0: no upstream is known.
    std::uint32_t usableSlots() const { return this->usable; }

    // Limit to apply now. Differs from usableSlots() during a trial.
    std::uint32_t concurrencyLimit() const;

    // Returns the service time to report to other hosts: the measured mean, or less if the latest
    // runs show that it is outdated. A slow upstream that gets no requests any more would count as
    // slow for ever, so its usual time is reported when it is idle.
    double reportedServiceSeconds(double measured, Time now) const;

    std::size_t running() const { return this->runs.size(); }

    // Returns and clears the last change.
    std::optional<SpeedChange> takeChange();

private:
    struct Run
    {
        std::uint64_t route = 0;
        Time started{};
        double area = 0; // runArea when it started
    };

    // Usual time of the runs of a route, as the mean of its logarithm: a long tail moves it little.
    struct Route
    {
        double logSeconds = 0;
        std::size_t count = 0;
        Time at{};
    };

    // Mean of recent values. `level`: the concurrency that they were measured at.
    struct Level
    {
        double slowness = 0; // logarithm of the time of a run divided by the usual one
        double concurrency = 0;
        std::size_t count = 0;
        Time at{};

        double throughput() const; // as a logarithm
    };

    struct Samples
    {
        std::size_t count = 0;
        double sum = 0;
        double squares = 0;

        void add(double value);
        double mean() const { return this->sum / static_cast<double>(this->count); }
        double variance() const;
    };

    // Recent slowness as a logarithm, and that at the last decision.
    struct Trend
    {
        double recent = 0;
        double accepted = 0;
        std::size_t count = 0;
        Time at{};

        // Returns whether the speed has changed by more than the ratio.
        bool add(double sample, Time now, double changeRatio);
        double change() const; // as a logarithm
        void accept() { this->accepted = this->recent; }
    };

    struct Trial
    {
        std::uint32_t lower = 0;
        std::uint32_t upper = 0;
        bool mayRaise = false; // looks for more throughput above the usable slots
        bool isUpper = false;  // limit of the present turn
        std::size_t turns = 0; // that have ended
        Time startedAt{};
        Time turnStartedAt{};
        Samples atLower;
        Samples atUpper;
    };

    static constexpr std::size_t levelCount = 8;

    void accumulate(Time now);
    std::optional<double> learnRoute(std::uint64_t route, double logSeconds, Time now);
    void learnLevel(double concurrency, double slowness, Time now);
    void learnTrial(double concurrency, double slowness);
    void noteSpeed(double slowness, const std::optional<UpstreamFigures> &figures, Time now);
    std::uint32_t minimum() const;
    std::optional<std::uint32_t> suggestLower(Time now) const;
    std::uint32_t nextHigher() const;
    bool isLowUnknown(const Level &top, Time now) const;
    void beginTrial(std::uint32_t lower, std::uint32_t upper, bool mayRaise, Time now);
    void maybeBeginTrial(Time now);
    void raiseUnused(Time now);
    Duration turnLength() const;
    void judgeTrial(Time now);
    void endTrial(std::uint32_t newUsable, SpeedReason reason, Time now);
    void setUsable(std::uint32_t newUsable, SpeedChange change);

    SpeedMeterSettings settings;
    std::uint32_t slots = 0;
    std::uint32_t usable = 0;
    std::unordered_map<RunId, Run> runs;
    double runArea = 0; // sum of the number of runs over time, in run seconds
    Time areaAt{};
    std::unordered_map<std::uint64_t, Route> routes;
    std::array<Level, levelCount> levels{};
    double runSeconds = 0;     // mean of recent runs
    double usualSeconds = 0;   // mean over a long time
    Time slowAt = -1h;         // when runs last took several times the usual time
    double latestSlowness = 0; // of the last few runs, as a logarithm
    Time endedAt{};            // of the latest run
    Time reachedAt{};          // when the runs last reached the limit
    std::optional<Trial> trial;
    bool isNextTrialFull = false; // the next trial of a higher limit tries all slots
    Time nextRaiseAt{};
    Time nextLowerAt{};
    Time loweredAt{}; // end of the latest trial of a lower limit
    Duration raiseInterval{};
    Duration lowerInterval{};
    Trend runTrend;          // of the runs
    Trend headerTrend;       // of the upstream's own speed figure
    Time headerAt{};         // of the latest figure
    bool hasFigures = false; // the upstream sends figures
    // A lower limit may be tried although the curve shows nothing about it: the speed has changed,
    // or the upstream sends figures and so belongs to a deployment where such limits matter.
    bool mayTryBlind = false;
    std::optional<SpeedChange> change;
};

} // namespace kumquat
