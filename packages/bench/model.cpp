// Set-up of a run and slot ownership. step.cpp contains one step of virtual time.
//
// Sections: set-up, ownership.
#include "bench/model.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquat::bench {

namespace {

constexpr std::uint32_t trackedKeys = 100; // most frequent keys, modelled individually

// Number of keys that are assigned to slots individually. The load of all further keys is spread
// evenly over the slots, because each slot then has thousands of rare keys.
constexpr double individuallyPlacedKeys = 500'000;

} // namespace

Simulation::Simulation(const Trace &replayed, Strategy chosen, const PlacementSettings &placement,
                       const ModelTimes &parameters)
    : trace(replayed)
    , strategy(chosen)
    , settings(placement)
    , times(parameters)
    , random(replayed.seed)
    , counts(slotCount, 0)
    , owners(slotCount, noNode)
    , unservedUntil(slotCount, 0)
{
    this->settings.seed = this->trace.seed;
    this->makeLoad();
    this->startNodes();
}

Time Simulation::now() const
{
    return std::chrono::duration_cast<Time>(std::chrono::duration<double>(this->time));
}

Result Simulation::run()
{
    for (; this->time < this->trace.length; this->time += this->trace.step) {
        this->applyEvents(this->time, this->time + this->trace.step);
        this->fenceLostNodes();
        if (this->ownersChanged) {
            this->rebuildSlots();
        }
        this->updateRates();
        this->measure();
        if (this->strategy != Strategy::Rendezvous) {
            this->drawCounts();
        }
        if (this->strategy == Strategy::Policy) {
            this->runPolicies();
        }
        if (this->strategy == Strategy::NoHysteresis) {
            this->runNoHysteresis();
        }
    }
    return this->summarise();
}

// --- set-up ---

void Simulation::makeLoad()
{
    for (std::uint32_t region = 0; region < regionCount; ++region) {
        for (Rates &rates : this->baseRates[region]) {
            rates.assign(slotCount, 0);
        }
        this->background[region].assign(slotCount, 0);
    }
    this->arrivals.resize(hashedSlotCount);
    Random draw(hashPair(this->trace.seed, 1));
    const double exponent = 1 - this->trace.zipf;
    // Approximates the sum of rank^-zipf over all keys by the integral and a correction term.
    const double sum = (std::pow(this->trace.keys, exponent) - 1) / exponent + 0.55;
    const double placed = std::min(this->trace.keys, individuallyPlacedKeys);
    double placedRate = 0;
    for (double rank = 1; rank <= placed; ++rank) {
        const double rate = this->trace.rate * std::pow(rank, -this->trace.zipf) / sum;
        const std::uint64_t hash = draw.next();
        const auto region = static_cast<std::uint32_t>(draw.next() % regionCount);
        const auto hemisphere = static_cast<std::uint32_t>(draw.next() % hemisphereCount);
        placedRate += rate;
        if (rank <= trackedKeys) {
            this->keys.push_back({hash, region, hemisphere, rate, slotOf(hash), 0, {}});
        } else {
            this->baseRates[region][hemisphere][slotOf(hash)] += rate;
        }
    }
    const double restPerSlot = std::max(0.0, this->trace.rate - placedRate)
                               / (hashedSlotCount * regionCount * hemisphereCount);
    for (auto &region : this->baseRates) {
        for (Rates &rates : region) {
            for (Slot slot = 0; slot < hashedSlotCount; ++slot) {
                rates[slot] += restPerSlot;
            }
        }
    }
    for (const HotPhase &phase : this->trace.hotPhases) {
        this->keys.push_back(
                {phase.keyHash, phase.region, 0, 0, slotOf(phase.keyHash), 0, {phase}});
    }
}

void Simulation::startNodes()
{
    this->nodes.resize(this->trace.nodes);
    for (std::uint32_t index = 0; index < this->trace.nodes; ++index) {
        Node &node = this->nodes[index];
        node.dataCentre = index % this->trace.dataCentres;
        node.region = node.dataCentre * regionCount / this->trace.dataCentres;
        this->startSession(static_cast<int>(index), -1'000);
    }
    for (Slot slot = 0; slot < hashedSlotCount; ++slot) {
        const int owner = this->strategy == Strategy::Rendezvous
                                  ? this->chooseOwner(slot, regionCount)
                                  : static_cast<int>(slot % this->trace.nodes);
        this->assign(slot, owner, SlotGain::Assigned);
    }
    this->keysMoved = 0;
}

void Simulation::startSession(int index, double joinedAt)
{
    Node &node = this->nodes[static_cast<std::size_t>(index)];
    node.session = this->nextSession++;
    node.joinedAt = joinedAt;
    node.isAlive = true;
    node.isFrozen = false;
    node.isFenced = false;
    const std::string region = std::to_string(node.region);
    if (this->strategy == Strategy::Policy) {
        auto policy = PlacementPolicy::create(this->settings, node.session, region);
        assert(policy.ok() && "the benchmark passes settings in range");
        node.policy.emplace(*std::move(policy));
    }
    if (this->strategy == Strategy::NoHysteresis) {
        node.rates.emplace(this->settings.rateWindow);
    }
    this->ownersChanged = true;
}

// --- ownership ---

void Simulation::assign(Slot slot, int index, SlotGain gain)
{
    const int oldOwner = this->owners[slot];
    if (oldOwner == index) {
        return;
    }
    if (oldOwner != noNode) {
        Node &oldNode = this->nodes[static_cast<std::size_t>(oldOwner)];
        if (oldNode.rates) {
            oldNode.rates->lose(slot);
        }
        if (oldNode.policy) {
            oldNode.policy->loseSlot(slot);
        }
    }
    this->owners[slot] = index;
    this->ownersChanged = true;
    if (this->isMeasured()) {
        this->keysMoved += slot < hashedSlotCount ? this->trace.keys / hashedSlotCount : 1;
    }
    if (index == noNode) {
        return;
    }
    Node &newNode = this->nodes[static_cast<std::size_t>(index)];
    if (newNode.rates) {
        newNode.rates->gain(slot, this->now(), this->now());
    }
    if (newNode.policy) {
        newNode.policy->gainSlot(slot, gain, this->now());
    }
}

// Returns the owner by rendezvous hashing, or with the other strategies by the rule for the slots
// of ended sessions: prefer the given region, then the fewest slots, then the highest hash.
int Simulation::chooseOwner(Slot slot, std::uint32_t preferredRegion) const
{
    int best = noNode;
    bool isBestNear = false;
    std::size_t bestSlots = 0;
    std::uint64_t bestHash = 0;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const Node &node = this->nodes[index];
        if (!node.isAlive) {
            continue;
        }
        const bool isRendezvous = this->strategy == Strategy::Rendezvous;
        const bool isNear = !isRendezvous && node.region == preferredRegion;
        const std::size_t owned = isRendezvous ? 0 : node.slots.size();
        const std::uint64_t hash = hashPair(index, slot);
        const bool isBetter = best == noNode
                              || (isNear != isBestNear ? isNear
                                  : owned != bestSlots ? owned < bestSlots
                                                       : hash > bestHash);
        if (isBetter) {
            best = static_cast<int>(index);
            isBestNear = isNear;
            bestSlots = owned;
            bestHash = hash;
        }
    }
    return best;
}

void Simulation::reassign(int lost)
{
    Node &node = this->nodes[static_cast<std::size_t>(lost)];
    this->rebuildSlots();
    const std::vector<Slot> slots = node.slots;
    for (const Slot slot : slots) {
        const int owner = this->chooseOwner(slot, node.region);
        this->assign(slot, owner, SlotGain::Assigned);
        this->unservedUntil[slot] = this->time + this->times.takeover;
        this->allServedFrom = this->unservedUntil[slot];
        if (owner != noNode) {
            this->nodes[static_cast<std::size_t>(owner)].slots.push_back(slot);
        }
    }
    node.isFenced = true;
}

void Simulation::fenceLostNodes()
{
    if (!this->logUp) {
        return;
    }
    bool hasFenced = false;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const Node &node = this->nodes[index];
        if (!node.isAlive && !node.isFenced && node.fenceDue <= this->time) {
            this->reassign(static_cast<int>(index));
            this->countAppend(this->times.recordBytes); // Released record
            hasFenced = true;
        }
    }
    if (hasFenced) {
        this->countAppend(this->times.recordBytes); // one Fence record for all lost nodes
    }
}

void Simulation::applyEvents(double from, double to)
{
    for (const Event &event : this->trace.events) {
        if (event.at >= from && event.at < to) {
            this->applyEvent(event);
        }
    }
}

void Simulation::applyEvent(const Event &event)
{
    const double fenceDue = this->time + this->times.detection;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        Node &node = this->nodes[index];
        const bool isSubject = index == event.subject;
        const bool isLost =
                (event.kind == EventKind::LoseNode && isSubject)
                || (event.kind == EventKind::LoseDataCentre && node.dataCentre == event.subject);
        if (isLost) {
            node.isAlive = false;
            node.fenceDue = fenceDue;
            node.policy.reset();
            this->ownersChanged = true;
        }
        if (isSubject && event.kind == EventKind::FreezeUpstream) {
            node.isFrozen = true;
        }
        if (isSubject && event.kind == EventKind::UnfreezeUpstream) {
            node.isFrozen = false;
        }
        if (event.kind == EventKind::RestoreNodes && !node.isAlive) {
            this->startSession(static_cast<int>(index), this->time);
            this->countAppend(this->times.recordBytes
                              * 4); // a Join record also contains addresses and peers
        }
    }
    if (event.kind == EventKind::LogDown || event.kind == EventKind::LogUp) {
        this->logUp = event.kind == EventKind::LogUp;
    }
    if (event.kind == EventKind::IsolateRegion) {
        this->isIsolated[event.subject] = true;
    }
    if (event.kind == EventKind::ReconnectRegions) {
        this->isIsolated.fill(false);
    }
    if (event.kind == EventKind::RestoreNodes && this->strategy == Strategy::Rendezvous) {
        for (Slot slot = 0; slot < hashedSlotCount; ++slot) {
            this->assign(slot, this->chooseOwner(slot, regionCount), SlotGain::Moved);
        }
    }
}

void Simulation::rebuildSlots()
{
    for (Node &node : this->nodes) {
        node.slots.clear();
    }
    for (Slot slot = 0; slot < slotCount; ++slot) {
        if (this->owners[slot] != noNode) {
            this->nodes[static_cast<std::size_t>(this->owners[slot])].slots.push_back(slot);
        }
    }
    for (BindingView &view : this->bindings) {
        const int owner = this->owners[view.dedicatedSlot];
        const int hashed = this->owners[slotOf(view.keyHash)];
        view.owner = owner == noNode ? 0 : this->nodes[static_cast<std::size_t>(owner)].session;
        view.hashedOwner =
                hashed == noNode ? 0 : this->nodes[static_cast<std::size_t>(hashed)].session;
    }
}

bool Simulation::reaches(std::uint32_t first, std::uint32_t second) const
{
    return first == second || (!this->isIsolated[first] && !this->isIsolated[second]);
}

bool Simulation::canReachLog(const Node &node) const
{
    constexpr std::uint32_t logRegion = 0;
    return this->logUp && this->reaches(node.region, logRegion);
}

} // namespace kumquat::bench
