// Sections: estimator, window
#include "report/quantiles.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace kumquat {
namespace {

namespace acc = boost::accumulators;

using Accumulators = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

// 0.9 and 0.995 are not reported. They add markers that improve the estimates of the others.
constexpr std::array<double, 5> probabilities{0.5, 0.9, 0.99, 0.995, 0.999};
constexpr std::size_t p50Index = 0;
constexpr std::size_t p99Index = 2;
constexpr std::size_t p999Index = 4;

// P² estimates are poor for few values, so up to this many values are stored and evaluated exactly.
constexpr std::size_t exactCount = 100;

Duration toDuration(double nanoseconds)
{
    return Duration(std::llround(nanoseconds));
}

} // namespace

// --- estimator ---

struct LatencyWindow::Estimator
{
    std::size_t count = 0;
    std::array<float, exactCount> first{}; // ns
    Accumulators all{acc::tag::extended_p_square::probabilities = probabilities};

    void add(Duration latency);
    LatencyQuantiles quantiles() const;
    Duration exactQuantile(double probability) const;
};

void LatencyWindow::Estimator::add(Duration latency)
{
    const auto value = static_cast<double>(latency.count());
    if (this->count < exactCount) {
        this->first.at(this->count) = static_cast<float>(value);
    }
    this->all(value);
    ++this->count;
}

// Returns the stored value of rank ceil(probability * count).
Duration LatencyWindow::Estimator::exactQuantile(double probability) const
{
    std::vector<float> sorted(this->first.begin(), this->first.begin() + this->count);
    std::sort(sorted.begin(), sorted.end());
    const auto rank =
            static_cast<std::size_t>(std::ceil(probability * static_cast<double>(this->count)));
    return toDuration(sorted.at(std::max<std::size_t>(rank, 1) - 1));
}

LatencyQuantiles LatencyWindow::Estimator::quantiles() const
{
    if (this->count == 0) {
        return {};
    }
    if (this->count <= exactCount) {
        return {this->exactQuantile(0.5), this->exactQuantile(0.99), this->exactQuantile(0.999)};
    }
    const auto estimates = acc::extended_p_square(this->all);
    return {toDuration(estimates[p50Index]), toDuration(estimates[p99Index]),
            toDuration(estimates[p999Index])};
}

// --- window ---

LatencyWindow::LatencyWindow()
    : current(std::make_unique<Estimator>())
    , last(std::make_unique<Estimator>())
{}

LatencyWindow::~LatencyWindow() = default;
LatencyWindow::LatencyWindow(LatencyWindow &&) noexcept = default;
LatencyWindow &LatencyWindow::operator=(LatencyWindow &&) noexcept = default;

void LatencyWindow::advance(Time now)
{
    const std::int64_t number = now / quantilePeriod;
    if (number <= this->period) {
        return;
    }
    this->last =
            number == this->period + 1 ? std::move(this->current) : std::make_unique<Estimator>();
    this->current = std::make_unique<Estimator>();
    this->period = number;
}

void LatencyWindow::add(Duration latency, Time now)
{
    this->advance(now);
    this->current->add(latency);
}

LatencyQuantiles LatencyWindow::quantiles(Time now)
{
    this->advance(now);
    const bool isLastLarger = this->last->count > this->current->count;
    return (isLastLarger ? this->last : this->current)->quantiles();
}

} // namespace kumquat
