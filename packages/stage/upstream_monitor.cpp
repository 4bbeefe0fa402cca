#include "stage/upstream_monitor.h"

#include <algorithm>

namespace kumquat {

bool UpstreamMonitor::isOwn(const platform::Heartbeat &beat) const
{
    return beat.isGoodbye
           || (beat.service == this->settings.service && beat.address == this->settings.upstream);
}

bool UpstreamMonitor::isNewest(const platform::Heartbeat &beat) const
{
    if (beat.isGoodbye || beat.life != this->lastLife || !this->current) {
        return !beat.isGoodbye && beat.life.bornMs >= this->lastLife.bornMs;
    }
    return beat.sequence > this->current->sequence;
}

void UpstreamMonitor::setLongestHold(Duration longestHold)
{
    this->settings.endedAfter = longestHold + MonitorSettings::endedSlack;
}

bool UpstreamMonitor::applyHeartbeat(const platform::Heartbeat &beat, Time now)
{
    const bool isSameLife =
            beat.life == this->lastLife
            || (beat.isGoodbye && beat.life.id == this->lastLife.id
                && (beat.life.bornMs == 0 || beat.life.bornMs == this->lastLife.bornMs));
    if (!isSameLife && (beat.isGoodbye || beat.life.bornMs < this->lastLife.bornMs)) {
        return false; // of an earlier life
    }
    if (beat.isGoodbye) {
        if (this->lastPhase == UpstreamPhase::Ended || this->lastPhase == UpstreamPhase::Draining) {
            return false;
        }
        // It may go on serving for a while, so it leaves like one that drains.
        this->lastPhase = UpstreamPhase::Draining;
        this->drainingSince = now;
        return true;
    }
    if (isSameLife && this->current && beat.sequence <= this->current->sequence) {
        return false; // late
    }
    const bool startsToDrain = beat.phase == UpstreamPhase::Draining
                               && (!isSameLife || this->lastPhase != UpstreamPhase::Draining);
    if (startsToDrain) {
        // An earlier process may have acknowledged it any time ago.
        this->drainingSince = isSameLife ? now : now - this->settings.drain;
    }
    this->refusedAt.reset();
    const bool saidGoodbye = isSameLife && this->lastPhase == UpstreamPhase::Draining;
    const UpstreamPhase phase = saidGoodbye ? UpstreamPhase::Draining : beat.phase;
    const bool changed = !isSameLife || phase != this->lastPhase
                         || (this->current && this->current->slots != beat.slots);
    if (!isSameLife) {
        this->failures = 0;
    }
    this->current = beat;
    this->lastLife = beat.life;
    this->lastPhase = phase;
    return changed;
}

void UpstreamMonitor::noteRefused(Time now)
{
    if (this->current && !this->refusedAt) {
        this->refusedAt = now;
    }
}

bool UpstreamMonitor::advance(Time now)
{
    const bool ends = this->refusedAt && this->lastPhase != UpstreamPhase::Ended
                      && now >= *this->refusedAt + this->settings.endedAfter;
    if (ends) {
        this->lastPhase = UpstreamPhase::Ended;
    }
    return ends;
}

bool UpstreamMonitor::mayServe(Time now) const
{
    if (!this->current || this->isFailing() || this->isRefusing()) {
        return false;
    }
    if (this->lastPhase == UpstreamPhase::Draining) {
        const auto bound = std::chrono::duration_cast<Duration>(this->settings.drain
                                                                * this->settings.drainShare);
        return now < this->drainingSince + bound;
    }
    return this->lastPhase == UpstreamPhase::Ready;
}

UpstreamPhase UpstreamMonitor::phase() const
{
    return this->lastPhase;
}

} // namespace kumquat
