// Inputs of the policy, rounds of load queries and the estimate of the mean load. The decisions are
// in choice.cpp.
#include "placement/policy.h"

#include "base/errors.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat {

namespace {

constexpr Duration replyTimeout = 1s;  // a round ends after this time even if replies are missing
constexpr Duration maxSampleAge = 15s; // older samples do not count for the mean
constexpr Duration hotKeyPeriod = 5s; // time over which the sketch counts keys before it is cleared
constexpr std::size_t hotKeyCapacity = 64; // keys in the sketch

// Minimum weight of the sampled loads against the means that the sessions report. A lower weight
// makes the estimate steadier, a higher one makes it follow a change of the whole service faster.
constexpr double minSampleWeight = 0.3;

// An upstream is full from this utilisation on. It may be stalled once it has been full for
// minStallTime; short bursts fill it too.
constexpr double fullShare = 0.98;
constexpr Duration minStallTime = 5s;
// An upstream is slower than another one if its utilisation is more than this multiple of the other
// one's for the same load.
constexpr double slowRatio = 1.5;
// A session is degraded if it is full while its load is below this share of the mean.
constexpr double degradedRatio = 0.5;

// A rate of a few requests/s is measured with an error of 10 % or more, which alone can make a
// session look overloaded. Below these loads each session counts as having up to dampingLoad more,
// in proportion to its slots. Without damping, sessions keep moving slots back and forth while the
// load is low.
constexpr double dampingLoad = 10;   // requests/s
constexpr double fullDampingAt = 40; // requests/s, including the damping load
constexpr double noDampingFrom = 70; // requests/s

// A change of this session's load by this share starts a new round.
constexpr double changeShare = 0.05;

absl::Status checkRange(bool isInRange, const char *rule)
{
    return isInRange ? absl::OkStatus() : makeError(ErrorKind::SettingsInvalid, rule);
}

bool isUsable(const LoadSample &sample)
{
    return std::isfinite(sample.load) && sample.load >= 0 && std::isfinite(sample.mean)
           && sample.mean >= 0;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

absl::StatusOr<PlacementPolicy> PlacementPolicy::create(const PlacementSettings &settings,
                                                        std::uint64_t session, std::string region)
{
    const absl::Status checks[] = {
            checkRange(settings.weightUnavailable >= 0 && settings.weightUnavailable <= 1,
                       "weightUnavailable must be 0 to 1"),
            checkRange(settings.queryPeriod >= 1s, "queryPeriod must be at least 1 s"),
            checkRange(settings.refreshPeriod >= settings.queryPeriod,
                       "refreshPeriod must be at least queryPeriod"),
            checkRange(settings.queryCount >= 1 && settings.queryCount <= 32,
                       "queryCount must be 1 to 32"),
            checkRange(settings.slotsPerMove >= 1, "slotsPerMove must be at least 1"),
            checkRange(settings.hysteresis >= 0s, "hysteresis must not be negative"),
            checkRange(settings.coldStart >= 0s, "coldStart must not be negative"),
            checkRange(settings.rateWindow >= 1s, "rateWindow must be at least 1 s"),
    };
    for (const absl::Status &status : checks) {
        if (!status.ok()) {
            return status;
        }
    }
    return PlacementPolicy(settings, session, std::move(region));
}

PlacementPolicy::PlacementPolicy(const PlacementSettings &chosen, std::uint64_t ownSession,
                                 std::string ownRegion)
    : settings(chosen)
    , session(ownSession)
    , region(std::move(ownRegion))
    , rates(chosen.rateWindow)
    , sketch(hotKeyCapacity)
{}

// --- inputs ---

void PlacementPolicy::setSessions(std::vector<SessionView> views)
{
    this->sessions = std::move(views);
    const auto bySession = [](const SessionView &left, const SessionView &right) {
        return left.session < right.session;
    };
    if (!std::is_sorted(this->sessions.begin(), this->sessions.end(), bySession)) {
        std::sort(this->sessions.begin(), this->sessions.end(), bySession);
    }
    this->findNewSessions();
}

void PlacementPolicy::setBindings(std::vector<BindingView> views)
{
    this->bindings = std::move(views);
}

void PlacementPolicy::gainSlot(Slot slot, SlotGain gain, Time now)
{
    const Time movableFrom = gain == SlotGain::Moved ? now + this->settings.hysteresis : now;
    this->rates.gain(slot, now, movableFrom);
    // The caller may have bound the key to another dedicated slot than the suggested one.
    if (this->lastBind && gain == SlotGain::Assigned && slot >= hashedSlotCount) {
        // Without this shift the requests of the key would count twice until the rate of the old
        // slot has decayed.
        this->rates.shift(slotOf(this->lastBind->keyHash), slot, this->lastBind->load);
        this->lastBind.reset();
    }
}

void PlacementPolicy::loseSlot(Slot slot)
{
    this->rates.lose(slot);
    this->coolSince.erase(slot);
}

void PlacementPolicy::addCounts(LoadMeter &meter, Time now)
{
    this->rates.add(meter.requests(), now);
    this->updateDamping(now);
    for (const HotKey &key : meter.hotKeys().keys()) {
        this->sketch.add(key.keyHash, key.count - key.error);
    }
    meter.clear();
    const Duration period = now - this->sketchSince;
    if (period < hotKeyPeriod) {
        return;
    }
    this->hotKeys.clear();
    for (const HotKey &key : this->sketch.keys()) {
        const auto requests = static_cast<double>(key.count - key.error);
        this->hotKeys.push_back({key.keyHash, requests / toSeconds(period)});
    }
    this->sketch.clear();
    this->sketchSince = now;
}

void PlacementPolicy::updateDamping(Time now)
{
    const double load = std::max(this->mean, this->rates.load(now));
    const double share = (noDampingFrom - load) / (noDampingFrom - fullDampingAt);
    this->rates.setDamping(std::clamp(share, 0.0, 1.0), dampingLoad / this->averageSlots());
}

void PlacementPolicy::acceptSample(const LoadSample &sample, Time now)
{
    const bool wasQueried =
            std::find(this->queriedSessions.begin(), this->queriedSessions.end(), sample.session)
            != this->queriedSessions.end();
    const SessionView *view = this->findSession(sample.session);
    // If samples were accepted without a query, one sender could fill the table.
    if (!wasQueried || view == nullptr || !isUsable(sample)) {
        return;
    }
    this->samples[sample.session] = {sample, now, view->slots};
}

LoadSample PlacementPolicy::ownSample(Time now) const
{
    // A session that does not know its load yet reports full utilisation, so that others do not
    // treat it as idle.
    const double share = this->rates.isLoadAssumed() ? 1 : this->utilisation;
    return {this->session, this->rates.load(now), this->mean, share};
}

// --- rounds ---

std::vector<PlacementDecision> PlacementPolicy::decide(Time now)
{
    Decisions decisions;
    this->dropExpired(now);
    this->noteStall(now);
    if (this->roundOpen && this->isRoundDone(now)) {
        this->closeRound(now);
        this->balance(now, decisions);
    }
    if (const auto reason = this->findQueryReason(now)) {
        decisions.emplace_back(this->openRound(*reason, now));
    }
    return decisions;
}

void PlacementPolicy::dropExpired(Time now)
{
    std::erase_if(this->samples,
                  [now](const auto &entry) { return now - entry.second.at > maxSampleAge; });
    while (!this->moves.empty() && now - this->moves.front() >= 1min) {
        this->moves.pop_front();
    }
}

bool PlacementPolicy::isRoundDone(Time now) const
{
    if (now - this->roundAt >= replyTimeout) {
        return true;
    }
    return std::all_of(this->queriedSessions.begin(), this->queriedSessions.end(),
                       [this](std::uint64_t id) {
                           const auto found = this->samples.find(id);
                           return found != this->samples.end() && found->second.at >= this->roundAt;
                       });
}

void PlacementPolicy::closeRound(Time now)
{
    this->roundOpen = false;
    this->isSlow = this->isSlowerThanOthers(now);
    const LoadSample own = this->ownSample(now);
    double loadSum = this->isDegraded(own) ? 0 : own.load;
    double known = this->isDegraded(own) ? 0 : 1;
    double meanSum = this->mean;
    int meanCount = this->mean > 0 ? 1 : 0;
    for (const auto &[id, entry] : this->samples) {
        if (!this->isDegraded(entry.sample)) {
            loadSum += entry.sample.load;
            known += 1;
        }
        if (entry.sample.mean > 0) {
            meanSum += entry.sample.mean;
            ++meanCount;
        }
    }
    if (this->samples.empty() || known < 1) {
        return;
    }
    const double sampled = loadSum / known;
    const auto others = static_cast<double>(std::max<std::size_t>(this->sessions.size(), 2) - 1);
    const double weight =
            meanCount == 0 ? 1 : std::clamp((known - 1) / others, minSampleWeight, 1.0);
    const double reported = meanCount == 0 ? 0 : meanSum / meanCount;
    this->mean = weight * sampled + (1 - weight) * reported;
    this->rates.setAssumedRate(this->mean / this->averageSlots());
}

std::optional<PlacementReason> PlacementPolicy::findQueryReason(Time now)
{
    if (this->roundOpen || now < this->nextRound || this->rates.slots().empty()
        || this->sessions.size() < 2) {
        return std::nullopt;
    }
    const double load = this->rates.load(now);
    const Duration age = now - this->roundAt;
    if (this->mean <= 0 || this->rounds == 0) {
        return PlacementReason::MeanUnknown;
    }
    const double change = std::abs(load - this->loadAtRound);
    if (change > (changeShare + this->relativeNoise(load)) * std::max(load, this->loadAtRound)) {
        this->unresolvedRounds = 0;
        return PlacementReason::LoadChanged;
    }
    if (this->isOverloaded(load)
        && age >= this->settings.queryPeriod * (1 << this->unresolvedRounds)) {
        return PlacementReason::Overload;
    }
    if (this->isFull(now) && load > stalledKeptShare * this->mean
        && age >= this->settings.queryPeriod * (1 << this->unresolvedRounds)) {
        return PlacementReason::Stalled;
    }
    if (this->chooseNewSession(now)) {
        return PlacementReason::NewSession;
    }
    if (age >= this->settings.refreshPeriod) {
        return PlacementReason::MeanUnknown;
    }
    return std::nullopt;
}

QueryLoad PlacementPolicy::openRound(PlacementReason reason, Time now)
{
    ++this->rounds;
    this->roundOpen = true;
    this->roundAt = now;
    // A new session takes part in each round, whatever the reason of the round. Under a load that
    // changes all the time, a round with the reason NewSession might never come.
    this->recipient = this->chooseNewSession(now);
    if (this->recipient) {
        this->lastTurn = this->recipient;
        this->lastTurnAt = now;
    }
    this->loadAtRound = this->rates.load(now);
    const std::uint64_t seed = hashPair(hashPair(this->settings.seed, this->session), this->rounds);
    // The jitter prevents owners that became overloaded at the same time from sending their queries
    // at the same time.
    const Duration jitter = this->settings.queryPeriod / 4 * (seed % 256) / 256;
    this->nextRound = now + this->settings.queryPeriod + jitter;

    std::vector<std::uint64_t> others;
    others.reserve(this->sessions.size());
    for (const SessionView &view : this->sessions) {
        if (view.session != this->session) {
            others.push_back(view.session);
        }
    }
    const auto count = std::min<std::size_t>(this->settings.queryCount, others.size());
    if (this->recipient) {
        const auto wanted = std::find(others.begin(), others.end(), this->recipient->session);
        std::iter_swap(others.begin(), wanted);
    }
    for (std::size_t at = this->recipient ? 1 : 0; at < count; ++at) {
        const std::size_t pick = at + hashPair(seed, at) % (others.size() - at);
        std::swap(others[at], others[pick]);
    }
    others.resize(count);
    this->queriedSessions = others;
    return {reason, std::move(others)};
}

// --- thresholds ---

const SessionView *PlacementPolicy::findSession(std::uint64_t id) const
{
    const auto at = std::lower_bound(
            this->sessions.begin(), this->sessions.end(), id,
            [](const SessionView &view, std::uint64_t value) { return view.session < value; });
    return at != this->sessions.end() && at->session == id ? &*at : nullptr;
}

double PlacementPolicy::averageSlots() const
{
    return static_cast<double>(hashedSlotCount)
           / static_cast<double>(std::max<std::size_t>(this->sessions.size(), 1));
}

// Returns the standard deviation of a measured rate, as a share of the rate. An exponential window
// averages over twice its time constant.
double PlacementPolicy::relativeNoise(double load) const
{
    const double requests = load * 2 * toSeconds(this->settings.rateWindow);
    return requests < 1 ? 0 : 1 / std::sqrt(requests);
}

// Returns the ratio of load to mean above which an owner starts to move slots.
double PlacementPolicy::enterRatio(double load) const
{
    return 1.06 + 0.06 * this->settings.weightUnavailable + this->relativeNoise(load);
}

// Returns the ratio of load to mean at which an owner stops moving slots. It is below enterRatio,
// so that small changes after a move do not start the next one.
double PlacementPolicy::exitRatio() const
{
    return 1.02 + 0.04 * this->settings.weightUnavailable;
}

void PlacementPolicy::noteStall(Time now)
{
    if (this->utilisation < fullShare) {
        this->fullSince.reset();
    } else if (!this->fullSince) {
        this->fullSince = now;
    }
}

bool PlacementPolicy::isFull(Time now) const
{
    return this->fullSince && now - *this->fullSince >= minStallTime;
}

bool PlacementPolicy::isStalled(Time now) const
{
    // An owner that is full because it is overloaded moves slots by the rule for overload.
    return this->isFull(now) && this->isSlow && !this->isOverloaded(this->rates.load(now));
}

// Returns whether the upstream of this session is full at a load that most of the others would
// serve easily. Without this check, a session slightly above the mean of a busy service would move
// all its slots away.
bool PlacementPolicy::isSlowerThanOthers(Time now) const
{
    const double load = this->rates.load(now);
    int faster = 0;
    int known = 0;
    for (const auto &[id, entry] : this->samples) {
        if (entry.at >= this->roundAt && entry.sample.load > 0) {
            const double expected = entry.sample.utilisation * load / entry.sample.load;
            faster += expected * slowRatio < this->utilisation ? 1 : 0;
            ++known;
        }
    }
    return known > 0 && 2 * faster > known;
}

// Returns whether a session is full at a low load. Its load is left out of the mean, because the
// other sessions have to carry its share.
bool PlacementPolicy::isDegraded(const LoadSample &sample) const
{
    return sample.utilisation >= fullShare && sample.load < degradedRatio * this->mean;
}

bool PlacementPolicy::isOverloaded(double load) const
{
    return this->mean > 0 && load > this->enterRatio(load) * this->mean;
}

} // namespace kumquat
