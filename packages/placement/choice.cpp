// Decisions at the end of a round of load queries. The inputs and the rounds are in policy.cpp.
#include "placement/policy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat {

namespace {

constexpr std::uint32_t maxBackoffDoublings = 3; // of queryPeriod
constexpr Duration pendingTimeout = 10s; // a decision that is not in the log by then has failed

// Costs of a move as shares of the mean load. They are weighed against the share of the mean load
// that moves away from this session.
constexpr double handoverCost = 0.01;    // requests wait during the handover of the slots
constexpr double coldCost = 0.2;         // an upstream that has just started answers slowly
constexpr double otherRegionCost = 0.02; // requests then cross a slow link with traffic charges

constexpr double fullUtilisation = 0.95; // a session above this utilisation receives no slots
constexpr double minRampUpShare = 0.2;   // share of the mean load for a session that just started

// A session counts as new if it has less than this share of the average number of slots and of the
// mean load. The load is checked because an owner of one hot key also has few slots.
constexpr double newSessionShare = 0.75;
constexpr double newSessionDonors = 4;      // expected number of donors in one step
constexpr Duration newSessionStep = 10s;    // time after which other donors are chosen
constexpr double newSessionDonation = 0.08; // share of the mean load that one donor moves
constexpr double minDonorRatio = 0.97;      // an owner below this share of the mean donates nothing

// A key is bound to a dedicated slot if it makes up at least half of the load of its slot and a
// tenth of the mean load of a session. It has cooled at a quarter of that tenth, so that a key near
// the limit is not bound and unbound repeatedly.
constexpr double bindSlotShare = 0.5;
constexpr double bindMeanShare = 0.1;
constexpr double cooledMeanShare = 0.025;
constexpr Duration cooledTime = 2min;

} // namespace

void PlacementPolicy::balance(Time now, Decisions &decisions)
{
    if (!this->logAvailable || this->mean <= 0) {
        return;
    }
    this->unbindCooledKeys(now, decisions);
    const double load = this->rates.load(now);
    if (this->isStalled(now)) {
        const bool moved = this->moveFromStalled(now, load, decisions);
        this->unresolvedRounds =
                moved ? 0 : std::min(this->unresolvedRounds + 1, maxBackoffDoublings);
        return;
    }
    if (!this->isOverloaded(load)) {
        this->unresolvedRounds = 0;
        this->moveToNewSession(now, load, decisions);
        return;
    }
    // In a small service, the restart of one session overloads all others, and the new session is
    // the only one with headroom. Because of the cost of a cold start, moveAway alone would move
    // nothing to it until it has warmed up.
    if (this->bindHotKey(now, decisions) || this->moveAway(now, load, decisions)
        || this->moveToNewSession(now, load, decisions)) {
        this->unresolvedRounds = 0;
        return;
    }
    this->unresolvedRounds = std::min(this->unresolvedRounds + 1, maxBackoffDoublings);
}

// --- hot keys ---

bool PlacementPolicy::bindHotKey(Time now, Decisions &decisions)
{
    for (const KeyRate &key : this->hotKeys) {
        const Slot hashed = slotOf(key.keyHash);
        const OwnSlot *own = this->rates.find(hashed);
        const bool isHot = key.rate >= bindMeanShare * this->mean
                           && key.rate >= bindSlotShare * this->rates.rateOf(hashed);
        const bool isBound = std::any_of(
                this->bindings.begin(), this->bindings.end(),
                [&key](const BindingView &view) { return view.keyHash == key.keyHash; });
        if (own == nullptr || own->pendingUntil > now || !isHot || isBound) {
            continue;
        }
        const bool isPending = this->lastBind && this->lastBind->keyHash == key.keyHash
                               && now < this->lastBindAt + pendingTimeout;
        const auto dedicated = this->findFreeDedicatedSlot(key.keyHash);
        if (isPending || !dedicated) {
            continue;
        }
        this->lastBind = BindKey{PlacementReason::HotKey, key.keyHash, *dedicated, key.rate};
        this->lastBindAt = now;
        decisions.emplace_back(*this->lastBind);
        return true;
    }
    return false;
}

std::optional<Slot> PlacementPolicy::findFreeDedicatedSlot(std::uint64_t keyHash) const
{
    // Owners start their search at different slots, because only the first Bind of a slot takes
    // effect.
    const auto first = static_cast<Slot>(hashPair(keyHash, this->session) % dedicatedSlotCount);
    for (Slot step = 0; step < dedicatedSlotCount; ++step) {
        const Slot slot = hashedSlotCount + (first + step) % dedicatedSlotCount;
        const bool isUsed =
                std::any_of(this->bindings.begin(), this->bindings.end(),
                            [slot](const BindingView &view) { return view.dedicatedSlot == slot; });
        if (!isUsed) {
            return slot;
        }
    }
    return std::nullopt;
}

void PlacementPolicy::unbindCooledKeys(Time now, Decisions &decisions)
{
    for (const BindingView &view : this->bindings) {
        const OwnSlot *own = this->rates.find(view.dedicatedSlot);
        if (view.owner != this->session || own == nullptr) {
            continue;
        }
        const double rate = this->rates.rateOf(view.dedicatedSlot);
        if (rate >= cooledMeanShare * this->mean) {
            this->coolSince.erase(view.dedicatedSlot);
            continue;
        }
        const Time since = this->coolSince.try_emplace(view.dedicatedSlot, now).first->second;
        if (now - since < cooledTime || own->pendingUntil > now) {
            continue;
        }
        if (view.hashedOwner == this->session) {
            this->rates.setPending({view.dedicatedSlot}, now + pendingTimeout);
            decisions.emplace_back(
                    UnbindKey{PlacementReason::KeyCooled, view.dedicatedSlot, view.keyHash});
            continue;
        }
        this->returnCooledKey(view, now, decisions);
    }
}

void PlacementPolicy::returnCooledKey(const BindingView &view, Time now, Decisions &decisions)
{
    const auto found = this->samples.find(view.hashedOwner);
    const SessionView *target = this->findSession(view.hashedOwner);
    const OwnSlot *own = this->rates.find(view.dedicatedSlot);
    const bool isFresh = found != this->samples.end() && found->second.at >= this->roundAt;
    if (!isFresh || target == nullptr || own->movableFrom > now
        || this->moves.size() >= this->settings.movesPerMinute) {
        return;
    }
    const double rate = this->rates.rateOf(view.dedicatedSlot);
    const double load = this->rates.load(now);
    if (this->expectedLoad(found->second, *target) + rate > load - rate) {
        return;
    }
    this->rates.setPending({view.dedicatedSlot}, now + pendingTimeout);
    this->moves.push_back(now);
    decisions.emplace_back(
            MoveSlots{PlacementReason::KeyCooled, view.hashedOwner, {view.dedicatedSlot}, rate});
}

// --- moves ---

bool PlacementPolicy::moveAway(Time now, double load, Decisions &decisions)
{
    const auto target = this->findTarget(now, load, load - this->exitRatio() * this->mean);
    return target && this->move(PlacementReason::Overload, *target, now, decisions);
}

// A stalled upstream does not answer, so its slots move even to sessions with a higher load.
bool PlacementPolicy::moveFromStalled(Time now, double load, Decisions &decisions)
{
    const auto target = this->findTarget(now, load, load - stalledKeptShare * this->mean);
    return target && this->move(PlacementReason::Stalled, *target, now, decisions);
}

std::optional<PlacementPolicy::Target> PlacementPolicy::findTarget(Time now, double load,
                                                                   double excess) const
{
    // Moves away from a stalled upstream end the unavailability of its keys, so the cost of these
    // moves is ignored.
    const double weight = this->isStalled(now) ? 0 : this->settings.weightUnavailable;
    std::optional<Target> best;
    for (const auto &[id, entry] : this->samples) {
        const SessionView *view = this->findSession(id);
        if (view == nullptr || entry.at < this->roundAt
            || entry.sample.utilisation > fullUtilisation) {
            continue;
        }
        Target target;
        target.session = id;
        target.load = this->expectedLoad(entry, *view);
        target.amount = this->amountFor(entry, *view, now, load, excess);
        target.netGain =
                (1 - weight) * target.amount / this->mean - weight * this->costOf(*view, now);
        if (target.netGain > 0 && (!best || target.netGain > best->netGain)) {
            best = target;
        }
    }
    return best;
}

// Returns the requests/s that should move to a session.
double PlacementPolicy::amountFor(const ReceivedSample &entry, const SessionView &view, Time now,
                                  double load, double excess) const
{
    const double headroom = this->headroomOf(entry, view, now);
    if (this->isStalled(now)) {
        // The load of this session is divided among the others, which raises their mean.
        const auto others =
                static_cast<double>(std::max<std::size_t>(this->sessions.size(), 2) - 1);
        return std::min(excess, headroom + this->mean / others);
    }
    // At most half of the difference may move, so that the target does not end above this session.
    const double half = (load - this->expectedLoad(entry, view)) / 2;
    return std::min({excess, headroom * this->headroomShare(excess), half});
}

// Returns how many more requests/s a session may receive.
double PlacementPolicy::headroomOf(const ReceivedSample &entry, const SessionView &view,
                                   Time now) const
{
    // The limit is halfway between the exit and the enter ratio, so that the target does not become
    // overloaded.
    const double limit = (this->exitRatio() + this->enterRatio(this->mean)) / 2 * this->mean;
    return limit * this->rampUpShare(view, now) - this->expectedLoad(entry, view);
}

// Returns the share of a target's headroom that this owner may fill. Other overloaded owners see
// the same target. Each takes headroom in proportion to its excess, so that together they do not
// overload the target.
double PlacementPolicy::headroomShare(double excess) const
{
    double others = 0;
    for (const auto &[id, entry] : this->samples) {
        if (entry.at >= this->roundAt && this->isOverloaded(entry.sample.load)) {
            others += entry.sample.load - this->exitRatio() * this->mean;
        }
    }
    return excess <= 0 ? 0 : excess / (excess + others);
}

// Returns a session's last sampled load plus the estimated load of the slots that it has gained
// since.
double PlacementPolicy::expectedLoad(const ReceivedSample &entry, const SessionView &view) const
{
    const double gained = view.slots > entry.slots ? view.slots - entry.slots : 0;
    return entry.sample.load + gained * this->mean / this->averageSlots();
}

double PlacementPolicy::costOf(const SessionView &view, Time now) const
{
    const double regionCost = view.region == this->region ? 0 : otherRegionCost;
    return handoverCost + coldCost * (1 - this->rampUpShare(view, now)) + regionCost;
}

// Returns the share of the mean load that a session may take. It rises with the age of the session
// and is 1 after coldStart.
double PlacementPolicy::rampUpShare(const SessionView &view, Time now) const
{
    const Duration age = now - view.seenSince;
    if (age >= this->settings.coldStart) {
        return 1;
    }
    const double part = std::chrono::duration<double>(age) / this->settings.coldStart;
    return minRampUpShare + (1 - minRampUpShare) * std::max(part, 0.0);
}

// Moves slots up to the target's amount, those with the highest rate first, so that few slots move.
bool PlacementPolicy::move(PlacementReason reason, const Target &target, Time now,
                           Decisions &decisions)
{
    if (this->moves.size() >= this->settings.movesPerMinute) {
        return false;
    }
    MoveSlots chosen;
    chosen.reason = reason;
    chosen.target = target.session;
    // After a planned restart in a small service, all slots of the other sessions have just moved.
    // If recently moved slots were excluded, the restarted session would receive none.
    const RecentlyMoved recentlyMoved = this->hasJustJoined(target.session, now)
                                                ? RecentlyMoved::Include
                                                : RecentlyMoved::Exclude;
    for (const SlotRate &entry : this->rates.movable(now, recentlyMoved)) {
        if (chosen.slots.size() >= this->settings.slotsPerMove) {
            break;
        }
        if (chosen.load + entry.rate <= target.amount) {
            chosen.slots.push_back(entry.slot);
            chosen.load += entry.rate;
        }
    }
    if (chosen.slots.empty()) {
        return false;
    }
    std::sort(chosen.slots.begin(), chosen.slots.end());
    this->rates.setPending(chosen.slots, now + pendingTimeout);
    this->moves.push_back(now);
    this->samples.erase(target.session); // the sample does not include these slots
    decisions.emplace_back(std::move(chosen));
    return true;
}

// --- new sessions ---

bool PlacementPolicy::hasJustJoined(std::uint64_t id, Time now) const
{
    const SessionView *view = this->findSession(id);
    return view != nullptr && now - view->seenSince < this->settings.hysteresis;
}

void PlacementPolicy::findNewSessions()
{
    this->newSessions.clear();
    const double limit = newSessionShare * this->averageSlots();
    for (const SessionView &view : this->sessions) {
        if (view.session != this->session && view.slots < limit) {
            this->newSessions.push_back(view.session);
        }
    }
}

// Returns a new session to which this owner should move slots in this step. All owners see the new
// session in the log at the same time; the hash selects a few of them as donors.
std::optional<PlacementPolicy::NewSessionTurn> PlacementPolicy::chooseNewSession(Time now) const
{
    const auto others = static_cast<double>(std::max<std::size_t>(this->sessions.size(), 2) - 1);
    for (const std::uint64_t id : this->newSessions) {
        const Duration age = std::max<Duration>(now - this->findSession(id)->seenSince, 0s);
        const NewSessionTurn turn{id, static_cast<std::uint64_t>(age / newSessionStep)};
        const std::uint64_t hash = hashPair(hashPair(id, this->session), turn.step);
        const double fraction = static_cast<double>(hash >> 11) * 0x1p-53;
        if (fraction * others < newSessionDonors && this->isTurnDue(turn, now)) {
            return turn;
        }
    }
    return std::nullopt;
}

// A session has at most one turn in each step, because a session with a hot key has few slots while
// the key is hot and would otherwise take part in every round. Several such sessions take turns,
// but a session that has just joined does not wait for its turn.
bool PlacementPolicy::isTurnDue(const NewSessionTurn &turn, Time now) const
{
    if (!this->lastTurn) {
        return true;
    }
    if (turn.session == this->lastTurn->session) {
        return turn.step != this->lastTurn->step;
    }
    return this->hasJustJoined(turn.session, now) || now - this->lastTurnAt >= newSessionStep;
}

bool PlacementPolicy::moveToNewSession(Time now, double load, Decisions &decisions)
{
    if (!this->recipient || load < minDonorRatio * this->mean) {
        return false;
    }
    const std::uint64_t id = this->recipient->session;
    const auto found = this->samples.find(id);
    const SessionView *view = this->findSession(id);
    if (found == this->samples.end() || found->second.at < this->roundAt || view == nullptr
        || found->second.sample.load >= newSessionShare * this->mean
        || found->second.sample.utilisation > fullUtilisation) {
        return false;
    }
    Target target;
    target.session = id;
    target.load = this->expectedLoad(found->second, *view);
    target.amount = std::min({newSessionDonation * this->mean,
                              this->headroomOf(found->second, *view, now) / newSessionDonors,
                              (load - target.load) / 2});
    return this->move(PlacementReason::NewSession, target, now, decisions);
}

} // namespace kumquat
