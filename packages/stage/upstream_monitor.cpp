#include "stage/upstream_monitor.h"

#include <algorithm>

namespace kumquat {

bool UpstreamMonitor::isOwn(const platform::Heartbeat &beat) const
{
    return beat.isDeregistration
           || (beat.service == this->settings.service && beat.address == this->settings.upstream);
}

void UpstreamMonitor::setLongestHold(Duration longestHold)
{
    this->settings.endedAfter = longestHold + MonitorSettings::endedSlack;
}

bool UpstreamMonitor::isSilentLifeReplaced(const platform::Heartbeat &beat, Time now)
{
    if (beat.instance != this->claimant.life) {
        this->claimant = {.life = beat.instance};
    }
    if (beat.sequence <= this->claimant.sequence) {
        return false;
    }
    this->claimant.sequence = beat.sequence;
    ++this->claimant.heartbeats;
    return now - this->currentAt >= this->settings.replacedAfter
           && this->claimant.heartbeats >= this->settings.replacingHeartbeats;
}

HeartbeatEffect UpstreamMonitor::applyHeartbeat(const platform::Heartbeat &beat, Time now)
{
    const bool isSameLife =
            beat.instance == this->lastLife
            || (beat.isDeregistration && beat.instance.id == this->lastLife.id
                && (beat.instance.bornMs == 0 || beat.instance.bornMs == this->lastLife.bornMs));
    const bool isEarlierLife = beat.instance.bornMs < this->lastLife.bornMs;
    if (!isSameLife
        && (beat.isDeregistration || (isEarlierLife && !this->isSilentLifeReplaced(beat, now)))) {
        return HeartbeatEffect::Ignored;
    }
    if (beat.isDeregistration) {
        if (this->lastPhase == UpstreamPhase::Ended || this->lastPhase == UpstreamPhase::Draining) {
            return HeartbeatEffect::Ignored;
        }
        // It may go on serving for a while, so it leaves like one that drains.
        this->lastPhase = UpstreamPhase::Draining;
        this->drainingSince = now;
        return HeartbeatEffect::Changed;
    }
    if (isSameLife && this->current && beat.sequence <= this->current->sequence) {
        return HeartbeatEffect::Ignored; // late
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
    this->currentAt = now;
    this->claimant = {};
    this->lastLife = beat.instance;
    this->lastPhase = phase;
    return changed ? HeartbeatEffect::Changed : HeartbeatEffect::Taken;
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
