// Request rates of the slots that a session owns.
//
// Sections: OwnSlot, SlotRates.
#pragma once

#include "base/hash.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace kumquat {

// A slot that the session owns. Requests and seconds decay exponentially; the rate is their
// quotient.
struct OwnSlot
{
    Slot slot = 0;
    Time countedUntil{}; // time up to which requests are counted
    Time movableFrom{};  // the slot does not move again before this time
    Time pendingUntil{}; // until then a decision about the slot may still appear in the log
    double requests = 0; // decayed number of requests
    double seconds = 0;  // decayed time of observation
};

// A slot and its estimated rate. Used to choose the slots to move.
struct SlotRate
{
    Slot slot = 0;
    double rate = 0; // requests/s
};

// Whether slots that have moved recently may move again.
enum class RecentlyMoved : std::uint8_t { Exclude, Include };

// The owned slots with their rates, ordered by slot.
class SlotRates
{
public:
    // Load that each slot counts for even without requests, so that slots are distributed evenly
    // among sessions in an idle service.
    static constexpr double baseRate = 1e-4; // requests/s

    explicit SlotRates(Duration rateWindow)
        : window(rateWindow)
    {}

    // Adds a slot. Does nothing if the slot is already owned.
    void gain(Slot slot, Time now, Time movableFrom);

    // Removes a slot. While damping is on, the requests of the slot above its estimate stay in the
    // load until they have decayed: slots with high counts move first, and the part of a count that
    // is due to chance does not move with the slot.
    void lose(Slot slot);

    // Adds the requests per slot (indexed by slot) that were counted up to `now`.
    void add(const std::vector<std::uint32_t> &requests, Time now);

    // Moves part of the rate of one owned slot to another one. Used when a key is bound to a
    // dedicated slot.
    void shift(Slot from, Slot to, double rate);

    // Sets the damping of the differences between slots. Each slot counts for `share` (0 to 1, 0
    // turns damping off) of `rate` (requests/s) in addition to its own requests.
    void setDamping(double share, double rate);

    // Marks slots as pending until a time. A decision about a pending slot is not in the log yet,
    // and the slot counts as no longer owned.
    void setPending(const std::vector<Slot> &slots, Time until);

    // Returns requests/s of the slots that are not pending.
    double load(Time now) const;

    // Returns whether the load is an assumption, because no slot has been observed long enough.
    bool isLoadAssumed() const { return this->observedSlots == 0 && !this->owned.empty(); }

    // Sets the requests/s that each slot counts for while no slot has been observed long enough.
    void setAssumedRate(double rate);

    // Returns the requests/s of one slot, 0 if it is not owned.
    double rateOf(Slot slot) const;

    // Returns the slots that may move now, highest rate first. Estimates are shrunk toward the
    // average rate, because the highest of many small counts are high by chance.
    std::vector<SlotRate> movable(Time now, RecentlyMoved recentlyMoved) const;

    const std::vector<OwnSlot> &slots() const { return this->owned; }

    const OwnSlot *find(Slot slot) const;

private:
    OwnSlot *findOwn(Slot slot);

    void updateAverage();

    // Returns the estimated requests/s of a slot, shrunk toward the average if it has few requests.
    double estimate(const OwnSlot &entry) const;

    Duration window;
    double damping = 0;            // 0 to 1
    double dampingRate = 0;        // requests/s that damping adds to each slot
    OwnSlot excess;                // requests of lost slots above their estimates
    std::vector<OwnSlot> owned;    // ascending by slot
    std::size_t observedSlots = 0; // slots that have been observed long enough
    double averageRate = baseRate; // mean requests/s of the slots observed long enough
};

} // namespace kumquat
