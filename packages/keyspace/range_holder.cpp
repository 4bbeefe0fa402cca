#include "keyspace/range_holder.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

// How long the handover of a released range is kept. Successors ask for it during a takeover, which
// is shorter; later it is useless.
constexpr Duration handoverRetention = 10s;

// Maximum time that the sender of an order waits for its answer.
constexpr Duration answerTimeout = 1s;

// Returns the parts of `span` that no range with the same fence covers.
template <typename Ranges>
std::vector<KeySpan> uncoveredParts(KeySpan span, std::uint64_t fence, const Ranges &ranges)
{
    std::vector<KeySpan> parts{span};
    for (const auto &entry : ranges) {
        if (entry.range.fence != fence) {
            continue;
        }
        const KeySpan cover = entry.range.span;
        std::vector<KeySpan> rest;
        for (const KeySpan &part : parts) {
            if (!part.overlaps(cover)) {
                rest.push_back(part);
                continue;
            }
            if (part.first < cover.first) {
                rest.push_back({.first = part.first, .last = cover.first - 1});
            }
            if (part.last > cover.last) {
                rest.push_back({.first = cover.last + 1, .last = part.last});
            }
        }
        parts = std::move(rest);
    }
    return parts;
}

} // namespace

std::optional<HoldOrder> orderToSend(const HoldOrder &order, Duration minHold, Time now)
{
    HoldOrder sent = order;
    if (order.kind == HoldOrderKind::Grant) {
        sent.hold -= now - order.decidedAt;
        if (sent.hold < minHold) {
            return std::nullopt;
        }
    }
    return sent;
}

RangeHolder::RangeHolder(HolderSettings holderSettings, Time started)
    : settings(holderSettings)
    , startedAt(started)
{}

Duration RangeHolder::withClockDrift(Duration hold) const
{
    return std::chrono::duration_cast<Duration>(hold * (1 + this->settings.clockDrift));
}

// ---- Table ----

void RangeHolder::assign(const KeyTable &table, std::uint64_t newSession, Time now)
{
    const std::vector<Owned> before = std::exchange(this->owned, {});
    for (const KeyRange &range : table.ranges) {
        if (newSession != 0 && range.owner == newSession) {
            this->owned.push_back(this->inheritState(range, before));
        }
    }
    this->stopLostRanges(before, now);
}

// Returns the state of a range in the new table. A part of a former range inherits the state of the
// whole.
RangeHolder::Owned RangeHolder::inheritState(const KeyRange &range,
                                             const std::vector<Owned> &before) const
{
    for (const Owned &old : before) {
        if (old.range.fence == range.fence && old.range.span.contains(range.span)) {
            Owned kept = old;
            kept.range.span = range.span;
            return kept;
        }
    }
    return {.range = range, .mayHoldUntil = this->earlierGrantsEnd()};
}

// Returns the time at which all grants of an earlier process of this host have expired.
Time RangeHolder::earlierGrantsEnd() const
{
    return this->startedAt + this->withClockDrift(this->settings.maxHold);
}

void RangeHolder::stopLostRanges(const std::vector<Owned> &before, Time now)
{
    for (const Owned &old : before) {
        for (const KeySpan &lost : uncoveredParts(old.range.span, old.range.fence, this->owned)) {
            this->addStopping(lost, old.range.fence, old.mayHoldUntil, now);
        }
    }
}

void RangeHolder::addStopping(const KeySpan &span, std::uint64_t fence, Time mayHoldUntil, Time now)
{
    Stopping added{
            .span = span, .fence = fence, .mayHoldUntil = mayHoldUntil, .stoppingSince = now};
    for (const PendingGrant &grant : this->grants) {
        if (grant.fence == fence && grant.span.overlaps(span)) {
            const Time end = grant.isAnswerLost
                                     ? grant.until
                                     : now + answerTimeout + this->withClockDrift(grant.hold);
            added.mayHoldUntil = std::max(added.mayHoldUntil, end);
        }
    }
    added.hasUnansweredGrant = this->mayBeGrantedLate(span, fence, now);
    this->stopping.push_back(added);
}

bool RangeHolder::isBeingGranted(const KeySpan &span, std::uint64_t fence) const
{
    return std::any_of(this->grants.begin(), this->grants.end(), [&](const PendingGrant &grant) {
        return grant.fence == fence && grant.span.overlaps(span) && !grant.isAnswerLost;
    });
}

bool RangeHolder::mayBeGrantedLate(const KeySpan &span, std::uint64_t fence, Time now) const
{
    if (now < this->earlierGrantsEnd()) {
        return true;
    }
    return std::any_of(this->grants.begin(), this->grants.end(), [&](const PendingGrant &grant) {
        return grant.fence == fence && grant.span.overlaps(span)
               && (!grant.isAnswerLost || grant.until > now);
    });
}

void RangeHolder::noteUpstreamEnded(Time now)
{
    for (const Owned &entry : std::exchange(this->owned, {})) {
        this->addStopping(entry.range.span, entry.range.fence, entry.mayHoldUntil, now);
    }
}

// ---- Orders ----

std::vector<HoldOrder> RangeHolder::takeOrders(Time now)
{
    std::vector<HoldOrder> orders;
    this->removeExpired(now);
    for (Stopping &entry : this->stopping) {
        this->orderRelease(entry, now, orders);
    }
    for (Owned &entry : this->owned) {
        this->orderGrant(entry, now, orders);
    }
    return orders;
}

// Returns the longest hold that ends before the lease even with the allowed clock drift.
Duration RangeHolder::maxHoldNow(Time now) const
{
    const Duration left =
            this->leaseUntil == Time::max() ? this->settings.maxHold : this->leaseUntil - now;
    const auto byLease =
            std::chrono::duration_cast<Duration>(left / (1 + 2 * this->settings.clockDrift));
    return std::min(this->settings.maxHold, byLease);
}

void RangeHolder::orderGrant(Owned &entry, Time now, std::vector<HoldOrder> &orders)
{
    if (!entry.isSettled() || entry.order != 0 || now < entry.nextGrant) {
        return;
    }
    const Duration hold = this->maxHoldNow(now);
    if (hold < this->settings.minHold) {
        return;
    }
    const std::uint64_t number = ++this->lastOrder;
    entry.order = number;
    entry.nextGrant = now + this->settings.renewEvery;
    this->grants.push_back({.number = number,
                            .span = entry.range.span,
                            .fence = entry.range.fence,
                            .hold = hold,
                            .sentAt = now});
    orders.push_back({.kind = HoldOrderKind::Grant,
                      .number = number,
                      .span = entry.range.span,
                      .fence = entry.range.fence,
                      .hold = hold,
                      .handover = entry.handover,
                      .decidedAt = now});
}

void RangeHolder::orderRelease(Stopping &entry, Time now, std::vector<HoldOrder> &orders)
{
    if (entry.isReleased || entry.order != 0 || now < entry.nextRelease
        || now >= entry.mayHoldUntil) {
        return;
    }
    entry.order = ++this->lastOrder;
    entry.sentDuringGrant = this->isBeingGranted(entry.span, entry.fence);
    orders.push_back({.kind = HoldOrderKind::Release,
                      .number = entry.order,
                      .span = entry.span,
                      .fence = entry.fence,
                      .decidedAt = now});
}

bool RangeHolder::noteGrant(std::uint64_t number, GrantOutcome outcome, Time now)
{
    const auto found =
            std::find_if(this->grants.begin(), this->grants.end(),
                         [number](const PendingGrant &grant) { return grant.number == number; });
    if (found == this->grants.end()) {
        return false;
    }
    bool hasNewKeys = false;
    const PendingGrant grant = *found;
    const Time holdEnd = now + this->withClockDrift(grant.hold);
    if (outcome == GrantOutcome::Unknown) {
        found->isAnswerLost = true;
        found->until = holdEnd;
    } else {
        this->grants.erase(found);
    }
    const bool mayBeHeld = outcome == GrantOutcome::Accepted || outcome == GrantOutcome::Unknown;
    for (Owned &entry : this->owned) {
        if (entry.range.fence != grant.fence || !grant.span.contains(entry.range.span)) {
            continue;
        }
        entry.order = entry.order == number ? 0 : entry.order;
        if (mayBeHeld) {
            entry.mayHoldUntil = std::max(entry.mayHoldUntil, holdEnd);
        }
        if (outcome == GrantOutcome::Accepted) {
            hasNewKeys = hasNewKeys || entry.servesUntil <= now;
            entry.servesUntil = std::max(entry.servesUntil, grant.sentAt + grant.hold);
            entry.handover.clear();
        } else {
            entry.nextGrant = std::min(entry.nextGrant, now + this->settings.retryAfter);
        }
        if (outcome == GrantOutcome::FencedOff) {
            entry.servesUntil = Time::zero();
            entry.nextGrant = now + this->settings.renewEvery;
        }
    }
    for (Stopping &entry : this->stopping) {
        if (entry.fence == grant.fence && entry.span.overlaps(grant.span)) {
            if (mayBeHeld) {
                entry.mayHoldUntil = std::max(entry.mayHoldUntil, holdEnd);
                entry.isReleased = false; // the grant may have arrived after the release
            }
            entry.hasUnansweredGrant = this->mayBeGrantedLate(entry.span, entry.fence, now);
        }
    }
    return hasNewKeys;
}

void RangeHolder::noteRelease(std::uint64_t number, bool isAnswered, const std::string &handover,
                              Time now)
{
    const auto found =
            std::find_if(this->stopping.begin(), this->stopping.end(),
                         [number](const Stopping &entry) { return entry.order == number; });
    if (found == this->stopping.end()) {
        return;
    }
    found->order = 0;
    found->nextRelease = now + this->settings.retryAfter;
    if (!isAnswered) {
        return;
    }
    found->handover = handover.empty() ? found->handover : handover;
    if (found->sentDuringGrant) {
        // The upstream may have accepted the grant after the release, so only a second release
        // proves that it does not hold the keys.
        found->nextRelease = now;
        return;
    }
    found->isReleased = true;
}

void RangeHolder::notePredecessorStopped(const FormerOwner &predecessor, const KeySpan &span,
                                         const std::string &handover)
{
    for (Owned &entry : this->owned) {
        if (!span.contains(entry.range.span)) {
            continue;
        }
        auto &waitingFor = entry.range.predecessors;
        const auto removed = std::erase(waitingFor, predecessor);
        if (removed > 0 && !handover.empty()) {
            entry.handover = handover;
        }
    }
}

// ---- Queries ----

KeyAccess RangeHolder::access(ShardKey key, Time now) const
{
    for (const Owned &entry : this->owned) {
        if (entry.range.span.contains(key)) {
            const bool held =
                    entry.isSettled() && now >= entry.servesFrom && now < entry.servesUntil;
            return held ? KeyAccess::Held : KeyAccess::Pending;
        }
    }
    return KeyAccess::Elsewhere;
}

Duration RangeHolder::remainingHold(ShardKey key, Time now) const
{
    for (const Owned &entry : this->owned) {
        if (entry.range.span.contains(key) && entry.isSettled()) {
            return std::max(entry.servesUntil - now, Duration::zero());
        }
    }
    return Duration::zero();
}

std::vector<MissingProof> RangeHolder::missingProofs() const
{
    std::vector<MissingProof> missing;
    for (const Owned &entry : this->owned) {
        for (const FormerOwner &predecessor : entry.range.predecessors) {
            missing.push_back({.predecessor = predecessor, .span = entry.range.span});
        }
    }
    return missing;
}

std::vector<std::uint64_t> RangeHolder::unsettledFences() const
{
    std::vector<std::uint64_t> fences;
    for (const Owned &entry : this->owned) {
        if (!entry.isSettled()
            && std::find(fences.begin(), fences.end(), entry.range.fence) == fences.end()) {
            fences.push_back(entry.range.fence);
        }
    }
    return fences;
}

StopAnswer RangeHolder::answerStop(const KeySpan &span, std::uint64_t fence, Time now)
{
    // The host may own the keys again under another fence; such grants do not matter here.
    const bool stillOwned =
            std::any_of(this->owned.begin(), this->owned.end(), [&](const Owned &entry) {
                return entry.range.fence == fence && entry.range.span.overlaps(span);
            });
    if (stillOwned) {
        return {};
    }
    StopAnswer answer{.stopped = true};
    std::uint32_t covered = 0;
    for (const Stopping &entry : this->stopping) {
        if (entry.fence != fence || !entry.span.overlaps(span)) {
            continue;
        }
        covered +=
                std::min(entry.span.last, span.last) - std::max(entry.span.first, span.first) + 1;
        answer.stopped = answer.stopped && entry.isStopped(now);
        answer.handover = entry.handover.empty() ? answer.handover : entry.handover;
    }
    if (covered < span.size()) {
        // An earlier process of this host may have granted the other keys.
        this->addStopping(span, fence, this->earlierGrantsEnd(), now);
        answer.stopped = answer.stopped && this->stopping.back().isStopped(now);
    }
    return answer.stopped ? answer : StopAnswer{};
}

bool RangeHolder::holdsNothing(Time now) const
{
    const bool ownedHoldNothing =
            std::all_of(this->owned.begin(), this->owned.end(),
                        [now](const Owned &entry) { return now >= entry.mayHoldUntil; });
    return now >= this->earlierGrantsEnd() && ownedHoldNothing
           && std::all_of(this->stopping.begin(), this->stopping.end(),
                          [now](const Stopping &entry) { return entry.isStopped(now); });
}

void RangeHolder::removeExpired(Time now)
{
    std::erase_if(this->grants, [now](const PendingGrant &grant) {
        return grant.isAnswerLost && now >= grant.until;
    });
    for (Stopping &entry : this->stopping) {
        entry.hasUnansweredGrant = entry.hasUnansweredGrant && now < entry.mayHoldUntil;
    }
    std::erase_if(this->stopping, [now](const Stopping &entry) {
        return entry.isStopped(now) && now > entry.stoppingSince + handoverRetention;
    });
}

} // namespace kumquat
