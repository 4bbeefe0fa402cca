// Compact encoding of the slots of a Move: runs of consecutive slots, grouped by epoch.
#pragma once

#include "ownership/cluster_state.h"

#include <optional>
#include <vector>

namespace kumquat::wire {
class Move;
} // namespace kumquat::wire

namespace kumquat {

struct SlotEpoch
{
    Slot slot = 0;
    Epoch epoch = 0;
    bool operator==(const SlotEpoch &) const = default;
};

// Replaces the slots of a Move. `slots` must not have a slot twice.
//
//   setSlots(move, {{7, epoch}, {8, epoch}});
//   std::optional<std::vector<SlotEpoch>> slots = readSlots(move, layout.count());
void setSlots(wire::Move &move, std::vector<SlotEpoch> slots);

// Returns the slots of a Move in ascending order. Returns nothing if a slot is not below `limit`,
// if there are more than `limit` slots, or if the length of a run is missing. Time and memory are
// bounded by the size of the record and `limit`.
std::optional<std::vector<SlotEpoch>> readSlots(const wire::Move &move, Slot limit);

} // namespace kumquat
