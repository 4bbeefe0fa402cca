// Sections: ring, tracker
#include "report/burn.h"

#include <algorithm>
#include <utility>

namespace kumquat {

// --- ring ---

WindowRing::WindowRing(const WindowSpec &spec)
    : width(spec.length / spec.buckets)
    , buckets(static_cast<std::size_t>(spec.buckets))
{}

WindowCounts &WindowRing::bucketAt(std::int64_t number)
{
    return this->buckets.at(static_cast<std::size_t>(number) % this->buckets.size());
}

void WindowRing::advance(Time now)
{
    const std::int64_t number = now / this->width;
    if (number <= this->newest) {
        return;
    }
    const auto size = static_cast<std::int64_t>(this->buckets.size());
    for (std::int64_t next = std::max(this->newest + 1, number - size + 1); next <= number;
         ++next) {
        this->bucketAt(next) = {};
    }
    this->newest = number;
}

void WindowRing::add(const WindowCounts &counts)
{
    this->bucketAt(this->newest).add(counts);
}

WindowCounts WindowRing::sum() const
{
    WindowCounts total;
    for (const WindowCounts &bucket : this->buckets) {
        total.add(bucket);
    }
    return total;
}

// --- tracker ---

BurnTracker::BurnTracker(Objective objective)
    : target(std::move(objective))
{
    for (const WindowSpec &spec : burnWindows) {
        this->rings.emplace_back(spec);
    }
}

// Records the burn rates once per bucket of the shortest window, at its end. The start of a burn is
// therefore known even if no report is requested.
void BurnTracker::advance(Time now)
{
    if (!this->rings.front().isPast(now)) {
        return;
    }
    this->noteRates();
    for (WindowRing &ring : this->rings) {
        ring.advance(now);
    }
    this->noteRates();
}

void BurnTracker::noteRates()
{
    ObjectiveReport report{this->target, {}, {}};
    report.windows.front() = this->rings.front().sum();
    for (const Measure measure : allMeasures) {
        std::optional<Time> &since = this->aboveSince.at(static_cast<std::size_t>(measure));
        if (report.burnRate(measure, 0) <= 1) {
            since.reset();
        } else if (!since) {
            since = this->rings.front().newestStart();
        }
    }
}

ObjectiveReport BurnTracker::sumWindows() const
{
    ObjectiveReport report{this->target, {}, {}};
    for (std::size_t index = 0; index < this->rings.size(); ++index) {
        report.windows.at(index) = this->rings[index].sum();
    }
    return report;
}

void BurnTracker::add(const WindowCounts &counts, Time now)
{
    this->advance(now);
    for (WindowRing &ring : this->rings) {
        ring.add(counts);
    }
}

ObjectiveReport BurnTracker::makeReport(Time now)
{
    this->advance(now);
    this->noteRates();
    ObjectiveReport report = this->sumWindows();
    for (std::size_t index = 0; index < this->aboveSince.size(); ++index) {
        const Time since = this->aboveSince[index].value_or(now);
        report.aboveFor.at(index) = std::max(now - since, Duration::zero());
    }
    return report;
}

} // namespace kumquat
