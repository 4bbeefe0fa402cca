#include "ownership/slot_groups.h"

#include "wire/log.pb.h"

#include <algorithm>
#include <tuple>

namespace kumquat {

namespace {

// Lowest bit of the first entry of a run: the next entry is the length of the run.
constexpr std::uint32_t lengthFollows = 1;

// Appends the slots of a group to `slots`. Returns false if the group is malformed.
bool readGroup(const wire::SlotGroup &group, Slot limit, std::vector<SlotEpoch> &slots)
{
    // Slot after the previous run; wider than Slot, so that sums do not overflow.
    std::uint64_t next = 0;
    for (int index = 0; index < group.runs_size(); ++index) {
        const std::uint32_t run = group.runs(index);
        const std::uint64_t first = next + run / 2;
        std::uint64_t length = 1;
        if ((run & lengthFollows) != 0) {
            if (++index == group.runs_size()) {
                return false;
            }
            length = std::uint64_t{group.runs(index)} + 2;
        }
        next = first + length;
        if (next > limit || slots.size() + length > limit) {
            return false;
        }
        for (std::uint64_t slot = first; slot < next; ++slot) {
            slots.push_back({static_cast<Slot>(slot), group.epoch()});
        }
    }
    return true;
}

} // namespace

void setSlots(wire::Move &move, std::vector<SlotEpoch> slots)
{
    const auto byEpoch = [](const SlotEpoch &left, const SlotEpoch &right) {
        return std::tie(left.epoch, left.slot) < std::tie(right.epoch, right.slot);
    };
    std::sort(slots.begin(), slots.end(), byEpoch);
    move.clear_groups();
    wire::SlotGroup *group = nullptr;
    Slot next = 0; // slot after the previous run of the group
    for (std::size_t from = 0; from < slots.size();) {
        const SlotEpoch &first = slots[from];
        std::uint32_t length = 1;
        while (from + length < slots.size()
               && slots[from + length] == SlotEpoch{first.slot + length, first.epoch}) {
            ++length;
        }
        if (group == nullptr || group->epoch() != first.epoch) {
            group = move.add_groups();
            group->set_epoch(first.epoch);
            next = 0;
        }
        group->add_runs((first.slot - next) * 2 + (length > 1 ? lengthFollows : 0));
        if (length > 1) {
            group->add_runs(length - 2);
        }
        next = first.slot + length;
        from += length;
    }
}

std::optional<std::vector<SlotEpoch>> readSlots(const wire::Move &move, Slot limit)
{
    std::vector<SlotEpoch> slots;
    for (const wire::SlotGroup &group : move.groups()) {
        if (!readGroup(group, limit, slots)) {
            return std::nullopt;
        }
    }
    const auto bySlot = [](const SlotEpoch &left, const SlotEpoch &right) {
        return std::tie(left.slot, left.epoch) < std::tie(right.slot, right.epoch);
    };
    std::sort(slots.begin(), slots.end(), bySlot);
    return slots;
}

} // namespace kumquat
