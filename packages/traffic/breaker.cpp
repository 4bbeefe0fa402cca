#include "traffic/breaker.h"

namespace kumquat {

Breaker::Breaker(BreakerSettings initial)
    : settings(initial)
{}

bool Breaker::allow(Time now)
{
    if (this->current == BreakerState::Open && now - this->openedAt >= this->settings.openTime) {
        this->current = BreakerState::HalfOpen;
        this->probesStarted = 0;
        this->probesEnded = 0;
        this->probeSuccesses = 0;
    }
    if (this->current == BreakerState::HalfOpen) {
        if (this->probesStarted >= this->settings.maxProbes) {
            return false;
        }
        ++this->probesStarted;
        return true;
    }
    return this->current == BreakerState::Closed;
}

void Breaker::noteOutcome(bool success, Time now)
{
    if (this->current == BreakerState::HalfOpen) {
        this->noteProbe(success, now);
    }
    if (this->current != BreakerState::Closed) {
        return;
    }
    this->outcomes.push_back(!success);
    this->failureCount += success ? 0 : 1;
    if (this->outcomes.size() > this->settings.windowSize) {
        this->failureCount -= this->outcomes.front() ? 1 : 0;
        this->outcomes.pop_front();
    }
    if (this->failureCount >= this->settings.failureThreshold) {
        this->open(now);
    }
}

void Breaker::open(Time now)
{
    this->current = BreakerState::Open;
    this->openedAt = now;
    this->outcomes.clear();
    this->failureCount = 0;
}

// Closes the breaker after enough successful probes, and opens it again when all probes have ended
// without them.
void Breaker::noteProbe(bool success, Time now)
{
    ++this->probesEnded;
    this->probeSuccesses += success ? 1 : 0;
    if (this->probeSuccesses >= this->settings.successThreshold) {
        this->current = BreakerState::Closed;
    } else if (this->probesEnded >= this->settings.maxProbes) {
        this->open(now);
    }
}

} // namespace kumquat
