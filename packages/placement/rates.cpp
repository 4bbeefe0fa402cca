#include "placement/rates.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

// A slot that has been observed for less time than this counts with the average rate.
constexpr double minObservedSeconds = 1.0;

// Weight of the average rate in the estimate of one slot, in requests. Among thousands of slots
// with a few requests each, the highest counts are mostly due to chance.
constexpr double priorRequests = 4.0;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool isBeforeSlot(const OwnSlot &entry, Slot slot)
{
    return entry.slot < slot;
}

} // namespace

void SlotRates::gain(Slot slot, Time now, Time movableFrom)
{
    const auto at = std::lower_bound(this->owned.begin(), this->owned.end(), slot, isBeforeSlot);
    if (at != this->owned.end() && at->slot == slot) {
        return;
    }
    OwnSlot entry;
    entry.slot = slot;
    entry.countedUntil = now;
    entry.movableFrom = movableFrom;
    this->owned.insert(at, entry);
}

void SlotRates::lose(Slot slot)
{
    const auto at = std::lower_bound(this->owned.begin(), this->owned.end(), slot, isBeforeSlot);
    if (at == this->owned.end() || at->slot != slot) {
        return;
    }
    if (this->damping > 0 && at->seconds >= minObservedSeconds) {
        const double expected = (this->estimate(*at) - this->dampingRate) * at->seconds;
        this->excess.requests += this->damping * std::max(0.0, at->requests - expected);
        this->excess.seconds = std::max(this->excess.seconds, at->seconds);
    }
    this->owned.erase(at);
}

void SlotRates::add(const std::vector<std::uint32_t> &requests, Time now)
{
    Duration lastStep = Duration::zero();
    double decay = 1;
    const auto decayAndAdd = [&](OwnSlot &entry, std::uint32_t count) {
        const Duration step = std::max(now - entry.countedUntil, Duration::zero());
        if (step != lastStep) {
            decay = std::exp(-toSeconds(step) / toSeconds(this->window));
            lastStep = step;
        }
        entry.requests = entry.requests * decay + count;
        entry.seconds = entry.seconds * decay + toSeconds(step);
        entry.countedUntil += step;
    };
    decayAndAdd(this->excess, 0);
    for (OwnSlot &entry : this->owned) {
        decayAndAdd(entry, requests[entry.slot]);
    }
    this->updateAverage();
}

void SlotRates::setDamping(double share, double rate)
{
    this->damping = share;
    this->dampingRate = share * rate;
    this->updateAverage();
}

void SlotRates::shift(Slot from, Slot to, double rate)
{
    OwnSlot *source = this->findOwn(from);
    OwnSlot *destination = this->findOwn(to);
    if (source == nullptr || destination == nullptr || source->seconds <= 0) {
        return;
    }
    const double requests = std::min(rate * source->seconds, source->requests);
    source->requests -= requests;
    destination->requests = requests;
    destination->seconds = source->seconds;
}

void SlotRates::setPending(const std::vector<Slot> &slots, Time until)
{
    for (const Slot slot : slots) {
        if (OwnSlot *entry = this->findOwn(slot)) {
            entry->pendingUntil = until;
        }
    }
}

void SlotRates::setAssumedRate(double rate)
{
    if (this->observedSlots == 0) {
        this->averageRate = rate;
    }
}

double SlotRates::load(Time now) const
{
    const double base = SlotRates::baseRate + this->dampingRate;
    double sum = 0;
    for (const OwnSlot &entry : this->owned) {
        if (entry.pendingUntil > now) {
            continue;
        }
        sum += entry.seconds < minObservedSeconds ? this->averageRate
                                                  : entry.requests / entry.seconds + base;
    }
    const bool isKnown = this->excess.seconds >= minObservedSeconds;
    return isKnown ? sum + this->excess.requests / this->excess.seconds : sum;
}

double SlotRates::rateOf(Slot slot) const
{
    const OwnSlot *entry = this->find(slot);
    return entry == nullptr || entry->seconds <= 0 ? 0 : entry->requests / entry->seconds;
}

std::vector<SlotRate> SlotRates::movable(Time now, RecentlyMoved recentlyMoved) const
{
    std::vector<SlotRate> result;
    for (const OwnSlot &entry : this->owned) {
        const bool isExcluded = entry.movableFrom > now && recentlyMoved == RecentlyMoved::Exclude;
        if (entry.pendingUntil > now || isExcluded || entry.seconds < minObservedSeconds) {
            continue;
        }
        result.push_back({entry.slot, this->estimate(entry)});
    }
    std::sort(result.begin(), result.end(), [](const SlotRate &left, const SlotRate &right) {
        return left.rate != right.rate ? left.rate > right.rate : left.slot < right.slot;
    });
    return result;
}

double SlotRates::estimate(const OwnSlot &entry) const
{
    const double prior = this->averageRate - this->dampingRate;
    const double shrunk =
            (entry.requests + priorRequests) / (entry.seconds + priorRequests / prior);
    // Rates span several powers of ten. Shrinking the estimate of a slot with many requests would
    // send far more load to its target than planned. Two standard deviations below the count is a
    // safe lower bound.
    const double lowerBound = (entry.requests - 2 * std::sqrt(entry.requests)) / entry.seconds;
    return std::max(shrunk, lowerBound) + this->dampingRate;
}

const OwnSlot *SlotRates::find(Slot slot) const
{
    const auto at = std::lower_bound(this->owned.begin(), this->owned.end(), slot, isBeforeSlot);
    return at != this->owned.end() && at->slot == slot ? &*at : nullptr;
}

OwnSlot *SlotRates::findOwn(Slot slot)
{
    const auto at = std::lower_bound(this->owned.begin(), this->owned.end(), slot, isBeforeSlot);
    return at != this->owned.end() && at->slot == slot ? &*at : nullptr;
}

void SlotRates::updateAverage()
{
    double sum = 0;
    this->observedSlots = 0;
    for (const OwnSlot &entry : this->owned) {
        if (entry.seconds >= minObservedSeconds) {
            sum += entry.requests / entry.seconds;
            ++this->observedSlots;
        }
    }
    if (this->observedSlots > 0) {
        this->averageRate = sum / static_cast<double>(this->observedSlots) + SlotRates::baseRate
                            + this->dampingRate;
    }
}

} // namespace kumquat
