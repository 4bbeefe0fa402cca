// Sections: runs, learning, trials, results.
#include "admission/speed_meter.h"

#include "base/durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t maxRoutes = 1024;
constexpr std::size_t firstSamples = 5;     // of a route, which only set its usual time
constexpr std::size_t averagedSamples = 50; // of a route, which count equally
constexpr double latestWeight = 0.2;        // of one run in the latest slowness
constexpr Duration slowerDecay = 60s;       // of the usual time of a route that has become slower
constexpr Duration routeDecay = 20s;        // of the usual time of a route
constexpr Duration usualDecay = 30s;        // of the usual service time
constexpr double maxSlowness = 3; // logarithm; a single run counts at most 20 times its usual time
constexpr double levelWeight = 0.02; // of one run in the mean of its level; averages 50 runs
constexpr Duration levelDecay = 1s;
constexpr Duration levelMaxAge = 30s;
constexpr std::size_t minLevelRuns = 30; // before a level suggests anything
constexpr std::size_t minTopRuns = 12;   // before the level that the upstream works at is known
constexpr Duration topMaxAge = 1s;       // of the level that the upstream works at
constexpr double maxLowerShare = 0.75;   // closer limits cannot be told apart in a short trial
// Limit that is tried where nothing is known about lower ones. Throughput that grows up to the
// present limit differs clearly at this distance, and contention often begins at half of the slots.
constexpr double blindLowerShare = 0.5;
constexpr double runWeight = 0.05;       // of one run in the mean of recent runs
constexpr double speedWeight = 0.05;     // of one run in the recent speed
constexpr Duration speedDecay = 250ms;   // of the recent speed, which changes many times a second
constexpr std::size_t minSpeedRuns = 40; // before the recent speed shows a change
constexpr double raiseFactor = 1.5;
constexpr double closeShare = 0.8;    // of the slots; a trial does not tell closer limits apart
constexpr double nearShare = 1.0 / 3; // of the gap between two limits, to count for one of them
constexpr double usualPercent = 100;

// Returns the weight of a new value in a mean that decays with time.
double decayWeight(Duration age, Duration decay)
{
    return 1 - std::exp(-toSeconds(age) / toSeconds(decay));
}

} // namespace

// ---- Runs ----

void SpeedMeter::reset(std::uint32_t announcedSlots, Time now)
{
    const std::uint32_t before = this->usable;
    *this = SpeedMeter(this->settings);
    this->slots = std::max(1U, announcedSlots);
    this->usable = before == 0 ? this->slots : before;
    this->areaAt = now;
    this->reachedAt = now;
    this->raiseInterval = this->settings.raiseInterval;
    this->lowerInterval = this->settings.lowerInterval;
    this->setUsable(this->slots, {.reason = SpeedReason::Restarted});
}

void SpeedMeter::accumulate(Time now)
{
    const double elapsed = std::max(0.0, toSeconds(now - this->areaAt));
    this->runArea += static_cast<double>(this->runs.size()) * elapsed;
    this->areaAt = std::max(this->areaAt, now);
}

void SpeedMeter::noteStarted(RunId run, std::uint64_t route, Time now)
{
    this->accumulate(now);
    this->runs[run] = {.route = route, .started = now, .area = this->runArea};
    if (this->runs.size() >= this->concurrencyLimit()) {
        this->reachedAt = now;
    }
}

void SpeedMeter::noteEnded(RunId run, CallEnd end, const std::optional<UpstreamFigures> &figures,
                           Time now)
{
    const auto found = this->runs.find(run);
    if (found == this->runs.end()) {
        return; // it started at a former instance
    }
    this->accumulate(now);
    if (this->runs.size() >= this->concurrencyLimit()) {
        this->reachedAt = now;
    }
    const Run ended = found->second;
    const bool wasIdle = now - this->endedAt >= this->settings.idleAfter;
    this->runs.erase(found);
    this->endedAt = now;
    const double seconds = toSeconds(now - ended.started);
    if (end != CallEnd::Answered || seconds <= 0) {
        return;
    }
    const double concurrency = (this->runArea - ended.area) / seconds;
    this->runSeconds += (this->runSeconds == 0 ? 1 : runWeight) * (seconds - this->runSeconds);
    const std::optional<double> slowness = this->learnRoute(ended.route, std::log(seconds), now);
    if (!slowness) {
        return;
    }
    this->latestSlowness += (wasIdle ? 1 : latestWeight) * (*slowness - this->latestSlowness);
    this->learnLevel(concurrency, *slowness, now);
    this->learnTrial(concurrency, *slowness);
    this->noteSpeed(*slowness, figures, now);
    this->judgeTrial(now);
}

// ---- Learning ----

// Returns how much slower the run was than usual for its route, nothing while that is unknown.
std::optional<double> SpeedMeter::learnRoute(std::uint64_t route, double logSeconds, Time now)
{
    if (this->routes.size() >= maxRoutes && !this->routes.contains(route)) {
        this->routes.clear(); // drops removed routes; the others are measured again
    }
    Route &known = this->routes[route];
    ++known.count;
    const double slowness = std::clamp(logSeconds - known.logSeconds, -maxSlowness, maxSlowness);
    const double weight =
            known.count <= averagedSamples
                    ? 1 / static_cast<double>(known.count)
                    : decayWeight(now - known.at, slowness > 0 ? slowerDecay : routeDecay);
    known.logSeconds += weight * (logSeconds - known.logSeconds);
    known.at = now;
    const double usual = std::exp(known.logSeconds);
    this->usualSeconds +=
            (this->usualSeconds == 0 ? 1 : decayWeight(this->settings.minTurn, usualDecay))
            * (usual - this->usualSeconds);
    return known.count > firstSamples ? std::optional(slowness) : std::nullopt;
}

double SpeedMeter::Level::throughput() const
{
    return std::log(this->concurrency) - this->slowness;
}

void SpeedMeter::learnLevel(double concurrency, double slowness, Time now)
{
    const double share = concurrency / this->slots;
    const auto index = static_cast<std::size_t>(std::max(0.0, share * levelCount - 0.5));
    Level &level = this->levels[std::min(index, levelCount - 1)];
    ++level.count;
    const double weight = std::max({levelWeight, 1 / static_cast<double>(level.count),
                                    decayWeight(now - level.at, levelDecay)});
    level.slowness += weight * (slowness - level.slowness);
    level.concurrency += weight * (concurrency - level.concurrency);
    level.at = now;
}

// Notices that the speed of the upstream has changed, so that limits are tried again at once. The
// upstream's own figure shows that first; the runs show what it does not cover, and all changes
// while there is no fresh figure.
void SpeedMeter::noteSpeed(double slowness, const std::optional<UpstreamFigures> &figures, Time now)
{
    if (this->runTrend.recent > std::log(this->settings.largeSpeedChange)) {
        this->slowAt = now;
    }
    bool hasChanged = this->runTrend.add(slowness, now, this->settings.speedChange);
    this->mayTryBlind = this->mayTryBlind || (figures && !this->hasFigures);
    this->hasFigures = this->hasFigures || figures.has_value();
    if (figures && figures->speedPercent && *figures->speedPercent > 0) {
        if (now - this->headerAt > this->settings.headerMaxAge) {
            this->headerTrend = {};
        }
        this->headerAt = now;
        const double sample = std::log(*figures->speedPercent / usualPercent);
        hasChanged = this->headerTrend.add(sample, now, this->settings.speedChange) || hasChanged;
    }
    const bool isLarge = this->runTrend.change() > std::log(this->settings.largeSpeedChange)
                         || this->headerTrend.change() > std::log(this->settings.largeSpeedChange);
    if (hasChanged && !this->trial) {
        this->runTrend.accept();
        this->headerTrend.accept();
        this->raiseInterval = this->settings.raiseInterval;
        this->nextRaiseAt = now;
        // The speed may change all the time, and trials of a lower limit cost throughput. A large
        // change is rare.
        const Duration usualPause =
                std::min(this->lowerInterval / 2, this->settings.maxChangeInterval);
        const Duration pause = isLarge ? Duration::zero() : usualPause;
        this->nextLowerAt = std::min(this->nextLowerAt, std::max(now, this->loweredAt + pause));
        this->levels = {}; // they cannot be compared with what is measured from now on
        this->mayTryBlind = true;
    }
}

double SpeedMeter::Trend::change() const
{
    return std::abs(this->recent - this->accepted);
}

bool SpeedMeter::Trend::add(double sample, Time now, double changeRatio)
{
    const double decay = std::min(speedWeight, decayWeight(now - this->at, speedDecay));
    const double weight = std::max(decay, 1 / static_cast<double>(++this->count));
    this->at = now;
    this->recent += weight * (sample - this->recent);
    if (this->count < minSpeedRuns) {
        this->accepted = this->recent;
    }
    return this->change() > std::log(changeRatio);
}

// ---- Trials ----

void SpeedMeter::Samples::add(double value)
{
    ++this->count;
    this->sum += value;
    this->squares += value * value;
}

double SpeedMeter::Samples::variance() const
{
    const double average = this->mean();
    return std::max(0.0, this->squares / static_cast<double>(this->count) - average * average);
}

std::uint32_t SpeedMeter::minimum() const
{
    const auto share = static_cast<std::uint32_t>(std::ceil(this->slots * this->settings.minShare));
    return std::min(this->slots, std::max(share, this->settings.minSlots));
}

// Returns a lower limit that may give as much throughput as the level that the upstream works at,
// by the curve measured so far.
std::optional<std::uint32_t> SpeedMeter::suggestLower(Time now) const
{
    const Level *top = nullptr;
    for (const Level &level : this->levels) {
        const bool isKnown = level.count >= minTopRuns && now - level.at < topMaxAge;
        top = isKnown ? &level : top;
    }
    if (top == nullptr) {
        return std::nullopt;
    }
    const Level *best = nullptr;
    for (const Level &level : this->levels) {
        const bool isKnown = level.count >= minLevelRuns && now - level.at < levelMaxAge;
        const bool isLower = level.concurrency <= maxLowerShare * top->concurrency;
        if (isKnown && isLower && level.throughput() >= top->throughput()
            && (best == nullptr || level.throughput() > best->throughput())) {
            best = &level;
        }
    }
    if (best == nullptr && !(this->mayTryBlind && this->isLowUnknown(*top, now))) {
        return std::nullopt;
    }
    const double concurrency = best != nullptr ? best->concurrency : this->usable * blindLowerShare;
    const auto limit = static_cast<std::uint32_t>(std::lround(concurrency));
    const std::uint32_t lower = std::max(limit, this->minimum());
    const bool isApart = lower <= maxLowerShare * this->usable;
    return isApart ? std::optional(lower) : std::nullopt;
}

// Returns whether nothing is known about limits clearly below the level that the upstream works at,
// as after a start under full load.
bool SpeedMeter::isLowUnknown(const Level &top, Time now) const
{
    return std::none_of(this->levels.begin(), this->levels.end(), [&](const Level &level) {
        return level.count >= minLevelRuns && now - level.at < levelMaxAge
               && level.concurrency <= maxLowerShare * top.concurrency;
    });
}

// Returns the next limit above the usable slots; all slots if it would come close to them.
std::uint32_t SpeedMeter::nextHigher() const
{
    const double further = std::ceil(this->usable * raiseFactor);
    return further > this->slots * closeShare ? this->slots : static_cast<std::uint32_t>(further);
}

void SpeedMeter::beginTrial(std::uint32_t lower, std::uint32_t upper, bool mayRaise, Time now)
{
    this->trial = Trial{.lower = lower,
                        .upper = upper,
                        .mayRaise = mayRaise,
                        .isUpper = mayRaise,
                        .startedAt = now,
                        .turnStartedAt = now};
}

void SpeedMeter::maybeBeginTrial(Time now)
{
    const bool isReached = now - this->reachedAt < this->turnLength();
    if (!isReached) {
        return;
    }
    if (this->usable < this->slots && now >= this->nextRaiseAt) {
        const std::uint32_t upper = this->isNextTrialFull ? this->slots : this->nextHigher();
        this->isNextTrialFull = !this->isNextTrialFull;
        this->beginTrial(this->usable, upper, true, now);
        return;
    }
    const std::optional<std::uint32_t> lower =
            now >= this->nextLowerAt ? this->suggestLower(now) : std::nullopt;
    if (lower) {
        this->beginTrial(*lower, this->usable, false, now);
    }
}

// Raises a limit that the load does not reach. Other hosts send an upstream less than its usable
// slots, so a limit that is too low might never be reached again.
void SpeedMeter::raiseUnused(Time now)
{
    if (this->usable >= this->slots || now - this->reachedAt < this->settings.unusedAfter) {
        return;
    }
    const Duration age = now - this->reachedAt;
    this->reachedAt = now - this->settings.unusedAfter / 2;
    this->setUsable(this->nextHigher(), {.reason = SpeedReason::NotReached, .age = age});
}

Duration SpeedMeter::turnLength() const
{
    return std::clamp(fromSeconds(this->runSeconds * this->settings.runsPerTurn),
                      this->settings.minTurn, this->settings.maxTurn);
}

void SpeedMeter::advance(Time now)
{
    if (this->slots == 0) {
        return;
    }
    if (!this->trial) {
        this->raiseUnused(now);
        this->maybeBeginTrial(now);
        return;
    }
    if (now - this->trial->turnStartedAt >= this->turnLength()) {
        ++this->trial->turns;
        this->trial->isUpper = !this->trial->isUpper;
        this->trial->turnStartedAt = now;
    }
    this->judgeTrial(now);
}

// Counts a run for the limit that it ran at. Runs between both limits are left out.
void SpeedMeter::learnTrial(double concurrency, double slowness)
{
    if (!this->trial) {
        return;
    }
    const double gap = nearShare * (this->trial->upper - this->trial->lower);
    const double throughput = std::log(concurrency) - slowness;
    if (concurrency <= this->trial->lower + gap) {
        this->trial->atLower.add(throughput);
    } else if (concurrency >= this->trial->upper - gap) {
        this->trial->atUpper.add(throughput);
    }
}

void SpeedMeter::judgeTrial(Time now)
{
    if (!this->trial || this->trial->turns < this->settings.minTurns) {
        return;
    }
    const Trial &done = *this->trial;
    const bool isExpired = done.turns >= this->settings.maxTurns;
    const bool isMeasured = done.atLower.count >= this->settings.minSamples
                            && done.atUpper.count >= this->settings.minSamples;
    if (!isMeasured) {
        if (isExpired) {
            this->endTrial(this->usable, SpeedReason::NotReached, now);
        }
        return;
    }
    const double growth = done.atUpper.mean() - done.atLower.mean();
    const double error =
            this->settings.confidence
            * std::sqrt(done.atLower.variance() / static_cast<double>(done.atLower.count)
                        + done.atUpper.variance() / static_cast<double>(done.atUpper.count));
    const double enough = -std::log(this->settings.enoughShare);
    if (growth + error < enough) {
        this->endTrial(done.lower, SpeedReason::LowerIsEnough, now);
    } else if (growth - error > enough || isExpired) {
        // Undecided trials favour the higher limit: throughput may still grow up to there.
        const bool isBetter = !done.mayRaise || growth > enough;
        this->endTrial(isBetter ? done.upper : done.lower, SpeedReason::HigherIsBetter, now);
    }
}

void SpeedMeter::endTrial(std::uint32_t newUsable, SpeedReason reason, Time now)
{
    const Trial done = *std::exchange(this->trial, std::nullopt);
    const bool isMeasured = done.atLower.count > 0 && done.atUpper.count > 0;
    const double growth = isMeasured ? done.atUpper.mean() - done.atLower.mean() : 0;
    this->runTrend.recent = this->runTrend.accepted; // the turns of the trial shifted it
    if (!done.mayRaise) {
        this->loweredAt = now;
    }
    if (newUsable != this->usable) {
        this->runTrend = {};
        this->raiseInterval = this->settings.raiseInterval;
        this->lowerInterval = this->settings.lowerInterval;
        this->nextRaiseAt = newUsable > this->usable ? now : now + this->raiseInterval;
        this->nextLowerAt = now + this->lowerInterval;
        // The levels were measured before the change that the trial has shown.
        this->levels = {};
    } else if (done.mayRaise) {
        this->nextRaiseAt = now + this->raiseInterval;
        this->raiseInterval = std::min(2 * this->raiseInterval, this->settings.maxRaiseInterval);
    } else {
        this->levels = {}; // they suggested a limit that is not enough
        this->mayTryBlind = this->hasFigures;
        this->nextLowerAt = now + this->lowerInterval;
        this->lowerInterval = std::min(2 * this->lowerInterval, this->settings.maxLowerInterval);
    }
    this->setUsable(newUsable, {.reason = reason,
                                .gain = std::exp(growth),
                                .samples = done.atLower.count + done.atUpper.count,
                                .age = now - done.startedAt});
}

// ---- Results ----

void SpeedMeter::setUsable(std::uint32_t newUsable, SpeedChange newChange)
{
    newChange.before = this->usable;
    newChange.after = std::clamp(newUsable, this->minimum(), this->slots);
    this->usable = newChange.after;
    if (newChange.before != newChange.after) {
        this->change = newChange;
    }
}

std::uint32_t SpeedMeter::concurrencyLimit() const
{
    if (!this->trial) {
        return this->usable;
    }
    return this->trial->isUpper ? this->trial->upper : this->trial->lower;
}

// The measured mean covers the last runs, however old they are. After a slow time it stays high for
// dozens of runs, which a slow upstream does not get.
double SpeedMeter::reportedServiceSeconds(double measured, Time now) const
{
    const bool wasSlow = now - this->slowAt < this->settings.slowMemory;
    if (!wasSlow || this->usualSeconds <= 0) {
        return measured;
    }
    const bool isIdle = this->runs.empty() && now - this->endedAt >= this->settings.idleAfter;
    const double slowness = isIdle ? 0 : std::max(0.0, this->latestSlowness);
    return std::min(measured, this->usualSeconds * std::exp(slowness));
}

std::optional<SpeedChange> SpeedMeter::takeChange()
{
    return std::exchange(this->change, std::nullopt);
}

} // namespace kumquat
