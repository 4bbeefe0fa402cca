#include "node/placement_driver.h"

#include "base/log.h"
#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace kumquat {
namespace {

// Returns how this process got a slot. If the previous owner's session has not ended, the slot came
// by a planned move; otherwise it was assigned after that session ended.
SlotGain gainOf(const ClusterState &cluster, const SlotState &slot)
{
    if (slot.predecessors.empty()) {
        return SlotGain::Assigned;
    }
    const Session *previous = cluster.findSession(slot.predecessors.back().session);
    return previous != nullptr && !previous->ended ? SlotGain::Moved : SlotGain::Assigned;
}

SessionId ownerOf(const ServiceState &service, Slot slot)
{
    return service.slots[slot].owner;
}

} // namespace

PlacementDriver::PlacementDriver(OwnershipDriver &ownershipDriver,
                                 PlacementDriverSettings driverSettings,
                                 PlacementDriverHooks driverHooks)
    : driver(ownershipDriver)
    , settings(std::move(driverSettings))
    , hooks(std::move(driverHooks))
{}

void PlacementDriver::count(Slot slot, std::uint64_t keyHash)
{
    const std::lock_guard lock(this->meterMutex);
    this->meter.count(slot, keyHash);
}

// ---- State from the log ----

PlacementDriver::View PlacementDriver::readView(Time now)
{
    return this->driver.withEngine([&](const OwnershipEngine &engine) {
        View view;
        const ClusterState &cluster = engine.cluster();
        view.session = engine.ownSession().session;
        const Session *own = cluster.findSession(view.session);
        const ServiceState *state = own == nullptr ? nullptr : cluster.findService(own->service);
        if (state == nullptr || own->service.empty() || engine.isDraining()) {
            view.session = 0;
            return view;
        }
        view.service = own->service;
        for (const Session *member : cluster.members()) {
            if (member->service == view.service) {
                const Time since = this->firstSeen.emplace(member->id, now).first->second;
                view.sessions.push_back({member->id, member->region, since, member->slots});
            }
        }
        for (const Binding &binding : state->bindings) {
            view.bindings.push_back({binding.keyHash, binding.slot, ownerOf(*state, binding.slot),
                                     ownerOf(*state, slotOf(binding.keyHash))});
        }
        for (Slot slot = 0; slot < state->slots.size(); ++slot) {
            const bool isUnused =
                    slot >= hashedSlotCount
                    && std::none_of(state->bindings.begin(), state->bindings.end(),
                                    [slot](const Binding &b) { return b.slot == slot; });
            if (ownerOf(*state, slot) == view.session && !isUnused) {
                view.own.emplace_back(slot, gainOf(cluster, state->slots[slot]));
            }
        }
        return view;
    });
}

void PlacementDriver::updateSlots(const View &view, Time now)
{
    std::vector<Slot> owned;
    for (const auto &[slot, gain] : view.own) {
        owned.push_back(slot);
        if (!std::binary_search(this->ownSlots.begin(), this->ownSlots.end(), slot)) {
            this->policy->gainSlot(slot, gain, now);
        }
    }
    for (const Slot slot : this->ownSlots) {
        if (!std::binary_search(owned.begin(), owned.end(), slot)) {
            this->policy->loseSlot(slot);
        }
    }
    this->ownSlots = std::move(owned);
}

void PlacementDriver::advance(Time now)
{
    const View view = this->readView(now);
    if (view.session != this->policySession) {
        this->policySession = view.session;
        this->service = view.service;
        this->ownSlots.clear();
        this->policy.reset();
        PlacementSettings placement;
        placement.weightUnavailable = this->settings.weightUnavailable;
        placement.seed = this->settings.seed;
        auto created = PlacementPolicy::create(placement, view.session, this->settings.region);
        if (view.session != 0 && created.ok()) {
            this->policy = *std::move(created);
        }
    }
    if (!this->policy) {
        return;
    }
    this->bindings = view.bindings;
    this->policy->setSessions(view.sessions);
    this->policy->setBindings(view.bindings);
    this->updateSlots(view, now);
    this->policy->setLogAvailable(this->driver.isLogAnswering());
    this->policy->setUtilisation(this->hooks.readUtilisation());
    {
        const std::lock_guard lock(this->meterMutex);
        this->policy->addCounts(this->meter, now);
    }
    for (const PlacementDecision &decision : this->policy->decide(now)) {
        this->carryOut(decision);
    }
}

// ---- Decisions ----

void PlacementDriver::carryOut(const PlacementDecision &decision)
{
    if (const auto *query = std::get_if<QueryLoad>(&decision)) {
        this->sendLoadQueries(*query);
    } else if (const auto *move = std::get_if<MoveSlots>(&decision)) {
        this->requestMove(*move);
    } else if (const auto *bind = std::get_if<BindKey>(&decision)) {
        logInfo(LogPart::Placement, "binding a hot key to a dedicated slot",
                {{"slot", absl::StrCat(bind->dedicatedSlot)}, {"load", absl::StrCat(bind->load)}});
        this->driver.requestBind(bind->keyHash);
    } else if (const auto *unbind = std::get_if<UnbindKey>(&decision)) {
        this->requestUnbind(*unbind);
    }
}

void PlacementDriver::sendLoadQueries(const QueryLoad &decision)
{
    for (const SessionId session : decision.sessions) {
        const std::string node = this->driver.nodeOf(session);
        wire::MeshMessage message;
        message.mutable_load_query()->set_service(this->service);
        this->hooks.send(node, std::move(message));
    }
}

void PlacementDriver::requestMove(const MoveSlots &decision)
{
    logInfo(LogPart::Placement, "moving slots",
            {{"reason", std::string(placementReasonNames.nameOf(decision.reason))},
             {"slots", absl::StrCat(decision.slots.size())},
             {"load", absl::StrCat(decision.load)},
             {"target", this->driver.nodeOf(decision.target)}});
    this->driver.requestMove(decision.slots, decision.target);
}

void PlacementDriver::requestUnbind(const UnbindKey &decision)
{
    for (const BindingView &binding : this->bindings) {
        if (binding.dedicatedSlot == decision.dedicatedSlot) {
            logInfo(LogPart::Placement, "releasing a dedicated slot",
                    {{"slot", absl::StrCat(decision.dedicatedSlot)}});
            this->driver.requestUnbind(binding.keyHash);
        }
    }
}

// ---- Load messages ----

bool PlacementDriver::receive(const wire::MeshMessage &message, Time now)
{
    if (message.has_load_query()) {
        if (this->policy && this->policy->answersQueries()
            && message.load_query().service() == this->service) {
            const LoadSample sample = this->policy->ownSample(now);
            wire::MeshMessage reply;
            wire::LoadReply *load = reply.mutable_load_reply();
            load->set_service(this->service);
            load->set_session(sample.session);
            load->set_load(sample.load);
            load->set_mean(sample.mean);
            load->set_utilisation(sample.utilisation);
            this->hooks.send(message.from(), std::move(reply));
        }
        return true;
    }
    if (message.has_load_reply()) {
        const wire::LoadReply &load = message.load_reply();
        if (this->policy && load.service() == this->service) {
            this->policy->acceptSample(
                    {load.session(), load.load(), load.mean(), load.utilisation()}, now);
        }
        return true;
    }
    return false;
}

double PlacementDriver::load(Time now) const
{
    return this->policy ? this->policy->ownSample(now).load : 0;
}

} // namespace kumquat
