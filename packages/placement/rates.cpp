#include "placement/rates.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

// A slot observed for less than this counts as an average slot.
constexpr double leastSeconds = 1.0;

// Weight of the average in the estimate of one slot, in requests. Of thousands of slots with a few
// requests each, the highest counts are mostly chance.
constexpr double priorRequests = 4.0;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool orderBySlot(const OwnSlot &entry, Slot slot)
{
    return entry.slot < slot;
}

} // namespace

void SlotRates::gain(Slot slot, Time now, Time restsUntil)
{
    const auto at = std::lower_bound(this->owned.begin(), this->owned.end(), slot, orderBySlot);
    if (at != this->owned.end() && at->slot == slot) {
        return;
    }
    OwnSlot entry;
    entry.slot = slot;
    entry.countedTo = now;
    entry.restsUntil = restsUntil;
    this->owned.insert(at, entry);
}

void SlotRates::lose(Slot slot)
{
    const auto at = std::lower_bound(this->owned.begin(), this->owned.end(), slot, orderBySlot);
    if (at == this->owned.end() || at->slot != slot) {
        return;
    }
    if (this->damping > 0 && at->seconds >= leastSeconds) {
        const double likely = (this->estimate(*at) - this->extraRate) * at->seconds;
        this->excess.requests += this->damping * std::max(0.0, at->requests - likely);
        this->excess.seconds = std::max(this->excess.seconds, at->seconds);
    }
    this->owned.erase(at);
}

void SlotRates::add(const std::vector<std::uint32_t> &requests, Time now)
{
    Duration lastStep = Duration::zero();
    double decay = 1;
    const auto extend = [&](OwnSlot &entry, std::uint32_t count) {
        const Duration step = std::max(now - entry.countedTo, Duration::zero());
        if (step != lastStep) {
            decay = std::exp(-toSeconds(step) / toSeconds(this->window));
            lastStep = step;
        }
        entry.requests = entry.requests * decay + count;
        entry.seconds = entry.seconds * decay + toSeconds(step);
        entry.countedTo += step;
    };
    extend(this->excess, 0);
    for (OwnSlot &entry : this->owned) {
        extend(entry, requests[entry.slot]);
    }
    this->updateAverage();
}

void SlotRates::setDamping(double share, double rate)
{
    this->damping = share;
    this->extraRate = share * rate;
    this->updateAverage();
}

void SlotRates::shift(Slot from, Slot to, double rate)
{
    OwnSlot *giver = this->findOwn(from);
    OwnSlot *taker = this->findOwn(to);
    if (giver == nullptr || taker == nullptr || giver->seconds <= 0) {
        return;
    }
    const double requests = std::min(rate * giver->seconds, giver->requests);
    giver->requests -= requests;
    taker->requests = requests;
    taker->seconds = giver->seconds;
}

void SlotRates::setPending(const std::vector<Slot> &slots, Time until)
{
    for (const Slot slot : slots) {
        if (OwnSlot *entry = this->findOwn(slot)) {
            entry->pendingUntil = until;
        }
    }
}

void SlotRates::setGuess(double rate)
{
    if (this->observed == 0) {
        this->average = rate;
    }
}

double SlotRates::load(Time now) const
{
    const double base = SlotRates::baseRate + this->extraRate;
    double sum = 0;
    for (const OwnSlot &entry : this->owned) {
        if (entry.pendingUntil > now) {
            continue;
        }
        sum += entry.seconds < leastSeconds ? this->average : entry.requests / entry.seconds + base;
    }
    const bool isKnown = this->excess.seconds >= leastSeconds;
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
        const bool rests = entry.restsUntil > now && recentlyMoved == RecentlyMoved::Exclude;
        if (entry.pendingUntil > now || rests || entry.seconds < leastSeconds) {
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
    const double prior = this->average - this->extraRate;
    const double drawn = (entry.requests + priorRequests) / (entry.seconds + priorRequests / prior);
    // Rates span several powers of ten, so a slot with many requests must not be drawn down: its
    // target would receive far more than planned. Two standard deviations below the count is safe.
    const double sure = (entry.requests - 2 * std::sqrt(entry.requests)) / entry.seconds;
    return std::max(drawn, sure) + this->extraRate;
}

const OwnSlot *SlotRates::find(Slot slot) const
{
    const auto at = std::lower_bound(this->owned.begin(), this->owned.end(), slot, orderBySlot);
    return at != this->owned.end() && at->slot == slot ? &*at : nullptr;
}

OwnSlot *SlotRates::findOwn(Slot slot)
{
    const auto at = std::lower_bound(this->owned.begin(), this->owned.end(), slot, orderBySlot);
    return at != this->owned.end() && at->slot == slot ? &*at : nullptr;
}

void SlotRates::updateAverage()
{
    double sum = 0;
    this->observed = 0;
    for (const OwnSlot &entry : this->owned) {
        if (entry.seconds >= leastSeconds) {
            sum += entry.requests / entry.seconds;
            ++this->observed;
        }
    }
    if (this->observed > 0) {
        this->average =
                sum / static_cast<double>(this->observed) + SlotRates::baseRate + this->extraRate;
    }
}

} // namespace kumquat
