#include "stage/upstream_monitor.h"

#include <algorithm>

namespace kumquat {

bool UpstreamMonitor::isOwn(const platform::Heartbeat &beat) const
{
    return beat.isDeregistration
           || (beat.service == this->settings.service && beat.address == this->settings.upstream);
}

void UpstreamMonitor::setMaxHold(Duration maxHold)
{
    this->settings.endedAfter = maxHold + MonitorSettings::endedSlack;
}

void UpstreamMonitor::restore(const RecordedUpstream &recorded, Time now)
{
    this->settings.awaitsRecord = false;
    this->lastInstance = recorded.instance;
    this->lastPhase = recorded.phase;
    this->hasLeft = recorded.isLeaving;
    this->instanceHistory = recorded.history;
    // The earlier process may have acknowledged the drain at any time.
    this->drainingSince = now - this->settings.drainPeriod;
    this->currentAt = now;
}

bool UpstreamMonitor::noteRecordedLeave(const UpstreamInstance &instance, Time now)
{
    if (!this->isRestored() || this->hasLeft || instance != this->lastInstance) {
        return false;
    }
    this->hasLeft = true;
    if (this->lastPhase != UpstreamPhase::Ended) {
        this->lastPhase = UpstreamPhase::Draining;
    }
    this->drainingSince = now - this->settings.drainPeriod; // acknowledged by an earlier process
    return true;
}

// Returns whether the current instance may have ended, by what this process has seen itself. If it
// leaves, `other` may be an earlier instance with the same id, and the requests for that one would
// run at the leaving one. Its end must be certain then.
bool UpstreamMonitor::hasCurrentEnded(const UpstreamInstance &other) const
{
    if (this->refusedAt || this->lastPhase == UpstreamPhase::Ended) {
        return true;
    }
    const bool mustBeCertain = this->hasLeft && other.id == this->lastInstance.id;
    return !mustBeCertain && (!this->current || this->mayHaveEnded);
}

// Returns whether a heartbeat of another instance than the last one is of a later one.
bool UpstreamMonitor::isLaterInstance(const platform::Heartbeat &beat, Time now)
{
    if (this->instanceHistory.hasReplaced(beat.instance)) {
        return this->returnsAfterSilence(beat, now);
    }
    return this->hasCurrentEnded(beat.instance)
           || now - this->currentAt >= this->settings.replacedAfter;
}

bool UpstreamMonitor::returnsAfterSilence(const platform::Heartbeat &beat, Time now)
{
    if (beat.instance != this->candidate.instance) {
        this->candidate = {.instance = beat.instance};
    }
    if (beat.sequence <= this->candidate.sequence) {
        return false;
    }
    this->candidate.sequence = beat.sequence;
    ++this->candidate.heartbeats;
    return now - this->currentAt >= this->settings.replacedAfter
           && this->candidate.heartbeats >= this->settings.replacingHeartbeats;
}

HeartbeatEffect UpstreamMonitor::applyHeartbeat(const platform::Heartbeat &beat, Time now)
{
    if (!this->isRestored()) {
        return HeartbeatEffect::Ignored;
    }
    const bool isSameInstance =
            beat.instance == this->lastInstance
            || (beat.isDeregistration && beat.instance.id == this->lastInstance.id
                && (beat.instance.startedMs == 0
                    || beat.instance.startedMs == this->lastInstance.startedMs));
    if (!isSameInstance && (beat.isDeregistration || !this->isLaterInstance(beat, now))) {
        return HeartbeatEffect::Ignored;
    }
    if (beat.isDeregistration) {
        if (this->hasLeft) {
            return HeartbeatEffect::Ignored;
        }
        this->hasLeft = true;
        if (this->lastPhase != UpstreamPhase::Ended) {
            // The upstream may still serve for a while, so it is treated like a draining one.
            this->lastPhase = UpstreamPhase::Draining;
            this->drainingSince = now;
        }
        return HeartbeatEffect::Changed;
    }
    if (isSameInstance && this->current && beat.sequence <= this->current->sequence) {
        return HeartbeatEffect::Ignored; // out of order
    }
    const bool wasLeaving = isSameInstance && this->hasLeft;
    const bool startsToDrain = beat.phase == UpstreamPhase::Draining && !wasLeaving;
    if (startsToDrain) {
        // A previous process on this host may have acknowledged the drain at any earlier time, so
        // the drain period counts as over.
        this->drainingSince = isSameInstance ? now : now - this->settings.drainPeriod;
    }
    this->refusedAt.reset();
    const UpstreamPhase phase = wasLeaving ? UpstreamPhase::Draining : beat.phase;
    const bool changed = !this->current || !isSameInstance || phase != this->lastPhase
                         || this->current->slots != beat.slots;
    if (!isSameInstance) {
        this->failures = 0;
        this->instanceHistory.noteReplaced(this->lastInstance);
        this->instanceHistory.noteCurrent(beat.instance);
    }
    this->current = beat;
    this->currentAt = now;
    this->candidate = {};
    this->mayHaveEnded = false;
    this->lastInstance = beat.instance;
    this->lastPhase = phase;
    this->hasLeft = wasLeaving || startsToDrain;
    return changed ? HeartbeatEffect::Changed : HeartbeatEffect::Accepted;
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
        const auto bound = std::chrono::duration_cast<Duration>(this->settings.drainPeriod
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
