// Lookups in the replayed state.
#include "ownership/cluster_state.h"

#include <algorithm>

namespace kumquat {

bool SlotKeys::contains(std::uint64_t keyHash) const
{
    if (this->slot >= this->layout.hashed) {
        return this->boundKey == keyHash;
    }
    return this->layout.slotOf(keyHash) == this->slot
           && std::find(this->excluded.begin(), this->excluded.end(), keyHash)
                      == this->excluded.end();
}

std::vector<Binding>::const_iterator ServiceState::lowerBinding(std::uint64_t keyHash) const
{
    return std::lower_bound(
            this->bindings.begin(), this->bindings.end(), keyHash,
            [](const Binding &binding, std::uint64_t hash) { return binding.keyHash < hash; });
}

std::optional<Slot> ServiceState::findBinding(std::uint64_t keyHash) const
{
    const auto binding = this->lowerBinding(keyHash);
    if (binding == this->bindings.end() || binding->keyHash != keyHash) {
        return std::nullopt;
    }
    return binding->slot;
}

bool ServiceState::isBound(Slot slot) const
{
    return std::any_of(this->bindings.begin(), this->bindings.end(),
                       [slot](const Binding &binding) { return binding.slot == slot; });
}

std::optional<SlotView> ClusterState::find(std::string_view service, std::uint64_t keyHash) const
{
    const ServiceState *state = this->findService(service);
    if (state == nullptr) {
        return std::nullopt;
    }
    SlotView view;
    view.slot = state->findBinding(keyHash).value_or(this->serviceLayout.slotOf(keyHash));
    view.state = &state->slots[view.slot];
    view.owner = view.state->owner == 0 ? nullptr : this->findSession(view.state->owner);
    return view;
}

const SlotState *ClusterState::findSlot(std::string_view service, Slot slot) const
{
    const ServiceState *state = this->findService(service);
    return state == nullptr || slot >= this->serviceLayout.count() ? nullptr : &state->slots[slot];
}

const ServiceState *ClusterState::findService(std::string_view service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? nullptr : &found->second;
}

const Session *ClusterState::findSession(SessionId session) const
{
    const auto found = this->sessions.find(session);
    return found == this->sessions.end() ? nullptr : &found->second;
}

const Session *ClusterState::findNode(std::string_view node) const
{
    const auto found = this->nodes.find(node);
    return found == this->nodes.end() ? nullptr : this->findSession(found->second);
}

SlotKeys ClusterState::keysOf(std::string_view service, Slot slot) const
{
    SlotKeys keys;
    keys.service = std::string(service);
    keys.layout = this->serviceLayout;
    keys.slot = slot;
    const ServiceState *state = this->findService(service);
    if (state == nullptr) {
        return keys;
    }
    for (const Binding &binding : state->bindings) {
        if (binding.slot == slot) {
            keys.boundKey = binding.keyHash;
        } else if (this->serviceLayout.slotOf(binding.keyHash) == slot) {
            keys.excluded.push_back(binding.keyHash);
        }
    }
    return keys;
}

std::optional<Slot> ClusterState::findFreeDedicatedSlot(std::string_view service) const
{
    const ServiceState *state = this->findService(service);
    if (state == nullptr) {
        return std::nullopt;
    }
    for (Slot slot = this->serviceLayout.hashed; slot < this->serviceLayout.count(); ++slot) {
        if (!state->isBound(slot)) {
            return slot;
        }
    }
    return std::nullopt;
}

std::vector<const Session *> ClusterState::members() const
{
    std::vector<const Session *> active;
    for (const auto &[id, session] : this->sessions) {
        if (!session.ended) {
            active.push_back(&session);
        }
    }
    return active;
}

const CrashState *ClusterState::findCrash(std::uint64_t fingerprint) const
{
    const auto found = this->crashes.find(fingerprint);
    return found == this->crashes.end() ? nullptr : &found->second;
}

} // namespace kumquat
