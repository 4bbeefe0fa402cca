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
        this->probesGood = 0;
    }
    if (this->current == BreakerState::HalfOpen) {
        if (this->probesStarted >= this->settings.probes) {
            return false;
        }
        ++this->probesStarted;
        return true;
    }
    return this->current == BreakerState::Closed;
}

void Breaker::note(bool success, Time now)
{
    if (this->current == BreakerState::HalfOpen) {
        this->noteProbe(success, now);
    }
    if (this->current != BreakerState::Closed) {
        return;
    }
    this->outcomes.push_back(!success);
    this->failureCount += success ? 0 : 1;
    if (this->outcomes.size() > this->settings.window) {
        this->failureCount -= this->outcomes.front() ? 1 : 0;
        this->outcomes.pop_front();
    }
    if (this->failureCount >= this->settings.failures) {
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

// Closes after enough successes; opens again when the probes left cannot give them.
void Breaker::noteProbe(bool success, Time now)
{
    ++this->probesEnded;
    this->probesGood += success ? 1 : 0;
    if (this->probesGood >= this->settings.successes) {
        this->current = BreakerState::Closed;
    } else if (this->probesEnded >= this->settings.probes) {
        this->open(now);
    }
}

} // namespace kumquat
