// The faults and the check of the ownership model. Sections: scenario, faults, check.
#include "ownership_model.h"

namespace kumquat {

// ---- Scenario ----

OwnershipModel::OwnershipModel(unsigned seed, Guards modelGuards, GrantMode modelGrantMode,
                               Faults modelFaults)
    : random(seed)
    , guards(modelGuards)
    , grantMode(modelGrantMode)
    , faults(modelFaults)
    , upstreamsRestart(modelFaults == Faults::ClockSteps)
    , load(3s)
{
    for (int i = 0; i < hostCount; ++i) {
        this->hosts.push_back(std::make_unique<ModelHost>(this->now));
        this->upstreams.emplace_back();
        this->upstreams.back().clockFactor = this->chance(0.5) ? 1.02 : 1.0;
        this->frozenUntil.push_back(Time::zero());
        this->cutUntil.push_back(Time::zero());
        this->apartUntil.push_back(Time::zero());
        this->gone.push_back(false);
        this->clockOffsets.push_back(Duration::zero());
    }
}

std::string OwnershipModel::run(Duration length)
{
    const Time end = this->now + length;
    while (this->now < end && this->violation.empty()) {
        this->now += tick;
        this->injectFaults();
        this->runScheduled();
        this->planTable();
        for (int i = 0; i < hostCount; ++i) {
            this->advance(i);
            if (this->upstreamsRestart) {
                this->reportInstance(i);
            }
            if (this->grantMode == GrantMode::Heartbeat) {
                this->advanceUpstream(i);
            }
        }
        this->check();
    }
    return this->violation;
}

std::uint32_t OwnershipModel::heldKeysWithin(Duration length)
{
    std::vector<bool> isHeld(lastShardKey + 1);
    const Time end = this->now + length;
    while (this->now < end) {
        this->run(tick);
        this->addHeldKeys(isHeld);
    }
    return static_cast<std::uint32_t>(std::count(isHeld.begin(), isHeld.end(), true));
}

std::uint32_t OwnershipModel::heldKeys() const
{
    std::vector<bool> isHeld(lastShardKey + 1);
    this->addHeldKeys(isHeld);
    return static_cast<std::uint32_t>(std::count(isHeld.begin(), isHeld.end(), true));
}

void OwnershipModel::addHeldKeys(std::vector<bool> &isHeld) const
{
    for (int i = 0; i < hostCount; ++i) {
        for (const ModelUpstream::Hold &hold : this->upstreams[i].holds) {
            if (hold.until > this->now && !this->gone[i]) {
                std::fill_n(isHeld.begin() + hold.span.first, hold.span.size(), true);
            }
        }
    }
}

bool OwnershipModel::chance(double share)
{
    return this->faults != Faults::None
           && std::uniform_real_distribution<>(0, 1)(this->random) < share;
}

Duration OwnershipModel::between(Duration minimum, Duration maximum)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(minimum.count(),
                                                                 maximum.count())(this->random));
}

bool OwnershipModel::isAwake(int host) const
{
    return this->now >= this->frozenUntil[host] && !this->gone[host];
}

bool OwnershipModel::isLinked(int a, int b) const
{
    return this->now >= this->cutUntil[a] && this->now >= this->cutUntil[b]
           && this->isApart(a) == this->isApart(b);
}

bool OwnershipModel::reachesStore(int host) const
{
    return this->isAwake(host) && !this->isApart(host) && this->now >= this->cutUntil[host]
           && this->now >= this->storeDownUntil;
}

void OwnershipModel::schedule(Duration delay, std::function<void()> work)
{
    this->scheduled.emplace(this->now + delay, std::move(work));
}

void OwnershipModel::runScheduled()
{
    while (!this->scheduled.empty() && this->scheduled.begin()->first <= this->now) {
        const std::function<void()> work = std::move(this->scheduled.begin()->second);
        this->scheduled.erase(this->scheduled.begin());
        work();
    }
}

// ---- Faults ----

void OwnershipModel::injectFaults()
{
    if (this->faults == Faults::None) {
        return;
    }
    if (this->faults == Faults::Lasting) {
        this->injectLastingFaults();
    }
    const int host = static_cast<int>(this->random() % hostCount);
    if (this->faults == Faults::ClockSteps) {
        this->injectClockFaults(host);
    }
    if (this->faults == Faults::Evacuations && this->chance(0.01)) {
        this->evacuatedUntil[host] = this->now + this->between(500ms, 10s);
    }
    if (this->chance(0.004)) {
        this->frozenUntil[host] = this->now + this->between(500ms, 5s);
    }
    if (this->chance(0.004)) {
        this->cutUntil[host] = this->now + this->between(500ms, 5s);
    }
    if (this->chance(0.002)) {
        // The process is killed and restarts; its upstream keeps the keys that it holds.
        this->restart(host);
    }
    if (this->chance(0.002)) {
        this->storeDownUntil = this->now + this->between(500ms, 5s);
    }
}

void OwnershipModel::injectLastingFaults()
{
    if (this->chance(0.001)) {
        // Some hosts are cut off from the store and from the other hosts, but not from each
        // other.
        const Time end = this->now + this->between(5s, 25s);
        for (int i = 0; i < hostCount; ++i) {
            this->apartUntil[i] = this->chance(0.5) ? end : Time::zero();
        }
    }
    if (this->chance(0.0004)) {
        for (int i = 1 + static_cast<int>(this->random() % hostCount); i < hostCount; ++i) {
            this->lose(i);
        }
    }
    if (this->chance(0.0006)) {
        this->lose(1 + static_cast<int>(this->random() % (hostCount - 1)));
    }
}

void OwnershipModel::restart(int host)
{
    const UpstreamInstance recorded = this->hosts[host]->instance; // in the record of the host
    const int recordedNumber = this->hosts[host]->instanceNumber;
    this->hosts[host] = std::make_unique<ModelHost>(this->now, this->wallMs(host));
    const int other = static_cast<int>(this->random() % hostCount);
    ModelHost &started = *this->hosts[host];
    started.instance = recorded;
    started.instanceNumber = recordedNumber;
    started.hasHeardUpstream = !this->upstreamsRestart;
    this->forgetEarlierGrants(started);
    if (this->reachesStore(host)) {
        started.noteEra(this->storeEra, this->now);
        this->takeTable(started, this->stored);
        this->noteRead(started, this->now, this->storeEra, this->storeEnd());
    } else if (other != host && this->isLinked(host, other)) {
        started.noteEra(this->hosts[other]->era.current(), this->now);
        this->takeTable(started, this->hosts[other]->table); // may be out of date
    }
}

// ---- Check ----

// Checks that no two upstreams hold a key at once.
void OwnershipModel::check()
{
    for (int a = 0; a < hostCount; ++a) {
        std::erase_if(this->upstreams[a].holds,
                      [this](const ModelUpstream::Hold &hold) { return hold.until <= this->now; });
    }
    for (int a = 0; a < hostCount; ++a) {
        for (int b = a + 1; b < hostCount; ++b) {
            this->findOverlap(a, b);
        }
    }
}

std::vector<ModelUpstream::Hold> OwnershipModel::allHolds(int index) const
{
    std::vector<ModelUpstream::Hold> holds = this->upstreams[index].holds;
    const auto &stillRunning = this->upstreams[index].stillRunning;
    holds.insert(holds.end(), stillRunning.begin(), stillRunning.end());
    return holds;
}

void OwnershipModel::findOverlap(int a, int b)
{
    for (const ModelUpstream::Hold &first : this->allHolds(a)) {
        for (const ModelUpstream::Hold &second : this->allHolds(b)) {
            if (first.span.overlaps(second.span)) {
                this->violation =
                        "hosts " + this->nameOf(a) + " and " + this->nameOf(b) + " hold keys from "
                        + std::to_string(std::max(first.span.first, second.span.first))
                        + " under fences " + std::to_string(first.fence) + " and "
                        + std::to_string(second.fence) + " at " + std::to_string(this->now.count());
                return;
            }
        }
    }
}

} // namespace kumquat
