// Instances of upstreams in the ownership model, and the wall clocks of the hosts, from which
// processes and instances take their start times.
#include "ownership_model.h"

namespace kumquat {

std::int64_t OwnershipModel::wallMs(int host) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->now
                                                                 + this->clockOffsets[host])
            .count();
}

void OwnershipModel::injectClockFaults(int host)
{
    if (this->chance(0.02)) {
        const bool stepsBack = this->clockOffsets[host] != Duration::zero();
        const Duration step = this->between(500ms, 10s);
        this->clockOffsets[host] =
                stepsBack ? Duration::zero() : (this->chance(0.5) ? step : -step);
    }
    if (this->chance(0.006)) {
        this->crashUpstream(host);
    }
    if (this->chance(0.006)) {
        this->restart(host);
    }
}

// Ends the upstream of a host. Its next instance starts at once, at the same address and without
// keys.
void OwnershipModel::crashUpstream(int index)
{
    ModelUpstream &upstream = this->upstreams[index];
    ModelUpstream next{.clockFactor = upstream.clockFactor,
                       .instance = {.id = "i-1", .startedMs = this->wallMs(index)},
                       .restarts = upstream.restarts + 1,
                       .nextReport = this->now + this->between(1ms, 400ms)};
    upstream = std::move(next);
}

// Tells the process beside an upstream which instance runs, as each heartbeat does.
void OwnershipModel::reportInstance(int index)
{
    ModelUpstream &upstream = this->upstreams[index];
    if (this->now < upstream.nextReport) {
        return;
    }
    upstream.nextReport = this->now + heartbeatInterval;
    this->schedule(this->delay(),
                   [this, index, instance = upstream.instance, number = upstream.restarts] {
                       this->noteInstance(index, instance, number);
                   });
}

void OwnershipModel::noteInstance(int index, const UpstreamInstance &instance, int number)
{
    ModelHost &host = *this->hosts[index];
    if (!this->isAwake(index) || number < host.instanceNumber) {
        return;
    }
    host.hasHeardUpstream = true;
    if (number == host.instanceNumber) {
        return;
    }
    host.instance = instance;
    host.instanceNumber = number;
    host.lastSequence = 0;
    host.holder.noteUpstreamEnded(this->now);
    host.session = 0; // it was that of the former instance
    this->forgetEarlierGrants(host);
    if (host.table.end != 0) {
        this->deliverTable(index, host.table, host.era.current());
    }
}

// With the guard switched off: takes the start times by the wall clock for an order.
void OwnershipModel::forgetEarlierGrants(ModelHost &host) const
{
    if (!this->guards.earlierGrants && host.session == 0
        && host.instance.startedMs > host.startedMs) {
        host.holder = RangeHolder({}, Time::zero());
    }
}

// Returns whether a session in the table of a host is that of the upstream instance it knows.
bool OwnershipModel::ownsSession(int index, const KeySession &session) const
{
    const ModelHost &host = *this->hosts[index];
    return !host.table.isFormer && session.instance == host.instance;
}

} // namespace kumquat
