// Counts the requests of one objective over the burn windows, in ring buffers of fixed size.
//
//   BurnTracker tracker(objective);
//   tracker.add({.requests = 1, .slow = 1}, now);
//   ObjectiveReport report = tracker.makeReport(now);
#pragma once

#include "report/report.h"

#include <array>
#include <optional>
#include <vector>

namespace kumquat {

// Sums counts over one moving window. The oldest bucket is dropped as a whole, so the covered time
// is up to one bucket shorter than the window.
class WindowRing
{
public:
    explicit WindowRing(const WindowSpec &spec);

    // Moves the window to a time and drops older buckets. A time before the newest bucket changes
    // nothing.
    void advance(Time now);

    // Adds counts to the newest bucket.
    void add(const WindowCounts &counts);

    WindowCounts sum() const;

    // Returns the start of the newest bucket.
    Time newestStart() const { return this->width * this->newest; }

    // Returns whether the time is after the newest bucket.
    bool isPast(Time now) const { return now / this->width > this->newest; }

private:
    WindowCounts &bucketAt(std::int64_t number);

    Duration width{};
    std::int64_t newest = 0; // number of the newest bucket, counted from time 0
    std::vector<WindowCounts> buckets;
};

// Tracks the burn rates of one objective. Not thread-safe.
class BurnTracker
{
public:
    explicit BurnTracker(Objective objective);

    void add(const WindowCounts &counts, Time now);

    ObjectiveReport makeReport(Time now);

    const Objective &objective() const { return this->target; }

private:
    void advance(Time now);
    void noteRates();
    ObjectiveReport sumWindows() const;

    Objective target;
    std::vector<WindowRing> rings;                 // in the order of burnWindows
    std::array<std::optional<Time>, 2> aboveSince; // by Measure: start of a 5 min rate above 1
};

} // namespace kumquat
