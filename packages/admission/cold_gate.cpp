#include "admission/cold_gate.h"

#include "base/durations.h"

#include <algorithm>

namespace kumquat {
namespace {

// Share of the bound that is used in any window. Requests that were sent in different seconds may
// arrive within one.
constexpr double windowShare = 0.85;
constexpr Duration window = 1s + 50ms; // one second and the spread of the transit times
constexpr double burstShare = 0.5;     // of the slack that may be sent at once

} // namespace

void ColdGate::setLimits(const ColdLimits &newLimits)
{
    this->limits = newLimits;
}

void ColdGate::noteState(Duration coldLeft, Time now)
{
    if (!this->isCold(now) && coldLeft > Duration::zero()) {
        this->bucket = 0;
        this->bucketAt = now;
    }
    this->coldUntil = now + coldLeft;
}

std::size_t ColdGate::windowLimit() const
{
    const double bound = this->limits.perSecond * this->limits.excess + this->limits.slack;
    return std::max<std::size_t>(1, static_cast<std::size_t>(bound * windowShare));
}

// Between the rate that the upstream tolerates and the one up to which the bound allows it.
double ColdGate::sustainedRate() const
{
    constexpr double half = 0.5;
    return this->limits.perSecond * (1 + std::max(0.0, this->limits.excess - 1) * half);
}

double ColdGate::tokens(Time now) const
{
    const double burst = std::max(1.0, this->limits.slack * burstShare);
    return std::min(burst, this->bucket + toSeconds(now - this->bucketAt) * this->sustainedRate());
}

void ColdGate::noteSent(Time now)
{
    if (this->limits.perSecond <= 0) {
        return;
    }
    this->bucket = this->isCold(now) ? this->tokens(now) - 1 : this->bucket;
    this->bucketAt = now;
    this->sent.push_back(now);
    while (this->sent.size() > this->windowLimit()) {
        this->sent.pop_front();
    }
}

Duration ColdGate::wait(Time now) const
{
    if (!this->isCold(now)) {
        return Duration::zero();
    }
    const double missing = 1 - this->tokens(now);
    Duration result = missing > 0 ? fromSeconds(missing / this->sustainedRate()) : Duration::zero();
    if (this->sent.size() >= this->windowLimit()) {
        result = std::max(result, this->sent.front() + window - now);
    }
    return std::min(std::max(result, Duration::zero()), this->coldUntil - now);
}

} // namespace kumquat
