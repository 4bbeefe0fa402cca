// Request rates of the slots that a session owns.
//
// Sections: OwnSlot, SlotRates.
#pragma once

#include "base/hash.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace kumquat {

// One owned slot. Requests and seconds decay exponentially; their quotient is the rate.
struct OwnSlot
{
    Slot slot = 0;
    Time countedUntil{}; // the counts cover the time up to here
    Time movableFrom{};  // not moved before this time
    Time pendingUntil{}; // a decision about the slot is on its way to the log until then
    double requests = 0; // decayed count
    double seconds = 0;  // decayed time of observation
};

// A slot and its estimated rate, for the choice of slots to move.
struct SlotRate
{
    Slot slot = 0;
    double rate = 0; // requests/s
};

// Whether slots that came by a move a short time ago may move on.
enum class RecentlyMoved : std::uint8_t { Exclude, Include };

// Owned slots with their rates, ordered by slot.
class SlotRates
{
public:
    // Every slot counts as a little load, so that slots spread evenly even without any request.
    static constexpr double baseRate = 1e-4; // requests/s

    explicit SlotRates(Duration rateWindow)
        : window(rateWindow)
    {}

    // Adds a slot; a slot that is already owned is left as it is.
    void gain(Slot slot, Time now, Time movableFrom);

    // Removes a slot. While damped, the requests above its estimate stay in the load until they
    // have decayed: slots with high counts are chosen first, and what chance added does not go with
    // them.
    void lose(Slot slot);

    // Adds requests per slot (indexed by slot) that were counted up to `now`.
    void add(const std::vector<std::uint32_t> &requests, Time now);

    // Gives part of the rate of one owned slot to another: a bound key takes its requests along.
    void shift(Slot from, Slot to, double rate);

    // Damps the differences between slots: `share` is 0 (none) to 1, and each slot counts for this
    // share of `rate` (requests/s) in addition to its own requests.
    void setDamping(double share, double rate);

    // Marks slots as decided about until a time; they count as gone.
    void setPending(const std::vector<Slot> &slots, Time until);

    // Returns requests/s of the slots that are not pending.
    double load(Time now) const;

    // Returns whether the load is a guess, because no slot has been observedSlots long enough.
    bool isLoadAssumed() const { return this->observedSlots == 0 && !this->owned.empty(); }

    // Sets the requests/s that a slot counts for while no slot has been observedSlots long enough.
    void setAssumedRate(double rate);

    // Returns requests/s of one slot, 0 if it is not owned.
    double rateOf(Slot slot) const;

    // Returns the slots that may move now, highest rate first. Rates are shrunk to the averageRate,
    // because the highest of many short counts are high by chance.
    std::vector<SlotRate> movable(Time now, RecentlyMoved recentlyMoved) const;

    const std::vector<OwnSlot> &slots() const { return this->owned; }

    const OwnSlot *find(Slot slot) const;

private:
    OwnSlot *findOwn(Slot slot);

    void updateAverage();

    // Returns the requests/s of a slot, shrunk to the averageRate if it has few requests.
    double estimate(const OwnSlot &entry) const;

    Duration window;
    double damping = 0;            // 0 to 1
    double dampingRate = 0;        // requests/s of each slot, by damping
    OwnSlot excess;                // requests of lost slots above their estimates
    std::vector<OwnSlot> owned;    // ascending by slot
    std::size_t observedSlots = 0; // slots that were observedSlots long enough
    double averageRate = baseRate; // requests/s of the slots that were observedSlots long enough
};

} // namespace kumquat
