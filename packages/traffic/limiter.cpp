#include "traffic/limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace kumquat {
namespace {

constexpr double latencySampleWeight = 0.05; // weight of one answer in the mean service time
constexpr double baselineFallWeight = 0.3;   // weight of a window below the baseline latency
constexpr double baselineRiseWeight = 0.05;  // weight of a window above the baseline latency
constexpr std::size_t minWindowAnswers = 20; // answers needed for a stable mean
constexpr double minLimit = 1;
constexpr std::size_t maxKinds = 1024;

double toNs(Duration duration)
{
    return static_cast<double>(duration.count());
}

Duration fromNs(double ns)
{
    return Duration(static_cast<Duration::rep>(ns));
}

} // namespace

EndpointLimiter::EndpointLimiter(std::uint32_t announcedSlots, std::uint32_t announcedConnections,
                                 bool cold, Time now, LimiterSettings initial)
    : settings(initial)
    , slots(std::max(1U, announcedSlots))
    , connections(std::max(1U, announcedConnections))
    , currentLimit(std::min(this->slots, this->connections))
{
    if (cold) {
        this->startCold(now);
    }
}

void EndpointLimiter::announce(std::uint32_t newSlots, std::uint32_t newConnections, Time now)
{
    this->slots = std::max(1U, newSlots);
    this->connections = std::max(1U, newConnections);
    this->currentLimit = std::min(this->currentLimit, static_cast<double>(this->connections));
    this->dispatchWaiting(now);
}

void EndpointLimiter::capConcurrency(std::uint32_t cap, Time now)
{
    this->concurrencyCap = std::max(1U, cap);
    this->dispatchWaiting(now);
}

void EndpointLimiter::startCold(Time now)
{
    this->coldSince = now;
    this->currentLimit = std::min<double>(this->slots, this->connections);
    this->resetWindow();
    ++this->limitGeneration;
    this->baselineLatency = 0;
    this->consecutiveTimeouts = 0;
}

Admission EndpointLimiter::admit(RequestNumber request, Time deadline, Time now,
                                 RequestTraits traits)
{
    assert(!this->running.contains(request) && "use a new number for each request");
    if (deadline <= now) {
        return {.action = AdmitAction::Refuse, .error = ErrorKind::DeadlineExceeded};
    }
    this->dispatchWaiting(now);
    if (this->queue.empty() && this->hasRoom(now)) {
        this->dispatch(request, deadline, traits.kind, now);
        return {.action = AdmitAction::Dispatch};
    }
    const std::size_t ahead = this->countAhead(traits.rank);
    const Duration wait = this->expectedWait(static_cast<double>(ahead), now);
    const bool wouldBeLate = this->isLate(traits, wait, now) && ahead > 0;
    const bool isWaitTooLong = wait > this->settings.maxQueueTime || wouldBeLate;
    if (isWaitTooLong || !this->canMeet(deadline, traits.kind, ahead, now)
        || !this->makeRoom(traits.rank, now)) {
        return {.action = AdmitAction::Refuse,
                .error = ErrorKind::Overloaded,
                .retryAfter = this->noteRefusal(now)};
    }
    this->queue.insert(this->queue.begin() + static_cast<std::ptrdiff_t>(ahead),
                       {.request = request, .deadline = deadline, .traits = traits});
    return {.action = AdmitAction::Wait};
}

// Returns how many waiting requests are served before a new one of this rank.
std::size_t EndpointLimiter::countAhead(std::uint32_t rank) const
{
    const auto after =
            std::find_if(this->queue.begin(), this->queue.end(),
                         [rank](const Waiting &entry) { return entry.traits.rank > rank; });
    return static_cast<std::size_t>(after - this->queue.begin());
}

// Makes room in the queue for a request of this rank. If the queue is full, drops its last request,
// provided that its rank is higher. Returns false if there is no room.
bool EndpointLimiter::makeRoom(std::uint32_t rank, Time now)
{
    if (this->queue.size() < this->settings.maxWaiting) {
        return true;
    }
    if (this->queue.empty() || this->queue.back().traits.rank <= rank) {
        return false;
    }
    const Waiting last = this->queue.back();
    this->queue.pop_back();
    this->drop(last, now);
    return true;
}

void EndpointLimiter::finish(RequestNumber request, CallEnd end, Time now)
{
    const auto found = this->running.find(request);
    if (found == this->running.end()) {
        return;
    }
    const Running call = found->second;
    this->running.erase(found);
    switch (end) {
    case CallEnd::Answered:
        this->lastResponse = now;
        this->consecutiveTimeouts = 0;
        this->recordLatency(call.kind, now - call.started);
        this->evaluateAnswer(call, now - call.started);
        break;
    case CallEnd::Refused:
        this->lastResponse = now;
        this->consecutiveTimeouts = 0;
        this->lowerLimit(call, this->settings.refusalDecrease);
        break;
    case CallEnd::Lost:
        this->lowerLimit(call, this->settings.decrease);
        break;
    case CallEnd::TimedOut:
        this->consecutiveTimeouts += this->lastResponse <= call.started ? 1 : 0;
        this->lowerLimit(call, this->settings.timeoutDecrease);
        break;
    case CallEnd::Cancelled:
        break;
    }
    this->dispatchWaiting(now);
}

bool EndpointLimiter::cancelWaiting(RequestNumber request, Time now)
{
    const auto found = std::find_if(this->queue.begin(), this->queue.end(),
                                    [&](const Waiting &entry) { return entry.request == request; });
    if (found == this->queue.end()) {
        return false;
    }
    this->queue.erase(found);
    this->dispatchWaiting(now);
    return true;
}

void EndpointLimiter::advance(Time now)
{
    this->dropUnmeetable(now);
    this->dispatchWaiting(now);
}

std::optional<Time> EndpointLimiter::nextDue() const
{
    std::optional<Time> next;
    for (const Waiting &entry : this->queue) {
        const Time due =
                entry.deadline - std::min(this->serviceTime(entry.traits.kind), entry.deadline);
        next = next ? std::min(*next, due) : due;
    }
    if (next && this->isSilent() && this->running.empty()) {
        next = std::min(*next, this->lastDispatch + this->settings.probeInterval);
    }
    return next;
}

LimiterOutput EndpointLimiter::takeOutput()
{
    return std::exchange(this->output, {});
}

double EndpointLimiter::utilisation() const
{
    return std::min(1.0, static_cast<double>(this->running.size()) / this->currentLimit);
}

Duration EndpointLimiter::serviceTime(std::uint64_t kind) const
{
    const auto found = this->latencyOf.find(kind);
    const bool isKnown = found != this->latencyOf.end();
    const Latency known = isKnown ? found->second : Latency{};
    const Latency expected = kind == 0 ? this->overallLatency : known;
    if (expected.mean == 0) {
        return this->settings.initialServiceTime;
    }
    return fromNs(expected.mean + this->settings.serviceTimeDeviations * expected.deviation);
}

double EndpointLimiter::effectiveLimit(Time now) const
{
    const double limit = std::min<double>(this->currentLimit, this->concurrencyCap);
    if (!this->coldSince) {
        return limit;
    }
    const double progress = toNs(now - *this->coldSince) / toNs(this->settings.coldRamp);
    const double initialLimit =
            std::min(this->settings.coldLimit, static_cast<double>(this->slots));
    // Rounding down would leave half a request unused on average during the whole ramp.
    return std::min(limit, std::round(initialLimit + (this->slots - initialLimit) * progress));
}

bool EndpointLimiter::hasRoom(Time now) const
{
    if (this->isSilent()) {
        return this->running.empty() && now - this->lastDispatch >= this->settings.probeInterval;
    }
    return static_cast<double>(this->running.size() + 1) <= this->effectiveLimit(now);
}

// Counts a refusal and returns its Retry-After time. Callers that are refused within a short time
// get increasing times, at the pace at which the endpoint can run them, so that they do not all
// return at once.
Duration EndpointLimiter::noteRefusal(Time now)
{
    const double age = toNs(now - this->lastRefusal) / toNs(this->settings.refusalDecayTime);
    this->recentRefusals = this->recentRefusals * std::exp(-age) + 1;
    this->lastRefusal = now;
    const double ahead = static_cast<double>(this->queue.size()) + this->recentRefusals;
    return std::min(this->expectedWait(ahead, now), this->settings.maxRetryAfter);
}

// Returns the expected wait of a request behind `ahead` others.
Duration EndpointLimiter::expectedWait(double ahead, Time now) const
{
    const double mean = this->overallLatency.mean == 0 ? toNs(this->settings.initialServiceTime)
                                                       : this->overallLatency.mean;
    return fromNs((ahead + 1) * mean / this->effectiveLimit(now));
}

// Returns the expected service time. While requests run, this is at least the time since the last
// response or since the oldest running request started, whichever is shorter.
Duration EndpointLimiter::expectedService(std::uint64_t kind, Time now) const
{
    if (this->running.empty()) {
        return this->serviceTime(kind);
    }
    const Time lastActivity = std::max(this->lastResponse, this->oldestStart());
    return std::max(this->serviceTime(kind), now - lastActivity);
}

bool EndpointLimiter::canMeet(Time deadline, std::uint64_t kind, std::size_t ahead, Time now) const
{
    return now + this->expectedWait(static_cast<double>(ahead), now)
                   + this->expectedService(kind, now)
           <= deadline;
}

// Returns whether a request that starts after `wait` is expected to miss its objective.
bool EndpointLimiter::isLate(const RequestTraits &traits, Duration wait, Time now) const
{
    const auto found = this->latencyOf.find(traits.kind);
    const double kindMean = found != this->latencyOf.end() ? found->second.mean : 0;
    const Duration mean = fromNs(traits.kind == 0 ? this->overallLatency.mean : kindMean);
    return traits.objective != Time::max() && now + wait + mean > traits.objective;
}

// Returns whether a waiting request will miss its objective while another waiting request can still
// meet its own. Under overload, keeping such requests in the queue would make every answer late.
bool EndpointLimiter::shouldYield(const Waiting &entry, Time now) const
{
    return this->isLate(entry.traits, Duration::zero(), now)
           && std::any_of(this->queue.begin(), this->queue.end(), [&](const Waiting &other) {
                  return !this->isLate(other.traits, Duration::zero(), now);
              });
}

Time EndpointLimiter::oldestStart() const
{
    Time oldest = Time::max();
    for (const auto &[request, call] : this->running) {
        oldest = std::min(oldest, call.started);
    }
    return oldest;
}

void EndpointLimiter::dispatch(RequestNumber request, Time deadline, std::uint64_t kind, Time now)
{
    this->lastDispatch = now;
    const double countWithNext = static_cast<double>(this->running.size() + 2);
    this->running[request] = {.started = now,
                              .deadline = deadline,
                              .generation = this->limitGeneration,
                              .atLimit = countWithNext > this->currentLimit,
                              .kind = kind};
}

void EndpointLimiter::dispatchWaiting(Time now)
{
    if (this->coldSince && now - *this->coldSince >= this->settings.coldRamp) {
        this->coldSince.reset();
    }
    while (!this->queue.empty() && this->hasRoom(now)) {
        const Waiting next = this->queue.front();
        this->queue.pop_front();
        const Time end = now + this->serviceTime(next.traits.kind);
        if (end > next.deadline || this->shouldYield(next, now)) {
            this->drop(next, now);
            continue;
        }
        this->dispatch(next.request, next.deadline, next.traits.kind, now);
        this->output.dispatch.push_back(next.request);
    }
}

void EndpointLimiter::dropUnmeetable(Time now)
{
    std::erase_if(this->queue, [&](const Waiting &entry) {
        const bool isUnmeetable = now + this->serviceTime(entry.traits.kind) >= entry.deadline;
        if (isUnmeetable) {
            this->drop(entry, now);
        }
        return isUnmeetable;
    });
}

void EndpointLimiter::drop(const Waiting &entry, Time now)
{
    const bool isExpired = entry.deadline <= now;
    this->output.dropped.push_back(
            {.request = entry.request,
             .error = isExpired ? ErrorKind::DeadlineExceeded : ErrorKind::Overloaded,
             .retryAfter = this->noteRefusal(now)});
}

void EndpointLimiter::Latency::addSample(double sample)
{
    if (this->mean == 0) {
        this->mean = sample;
        this->deviation = sample / 2;
        return;
    }
    const double distance = std::abs(sample - this->mean);
    this->mean += latencySampleWeight * (sample - this->mean);
    this->deviation += latencySampleWeight * (distance - this->deviation);
}

void EndpointLimiter::recordLatency(std::uint64_t kind, Duration sample)
{
    this->overallLatency.addSample(toNs(sample));
    if (kind == 0) {
        return;
    }
    if (this->latencyOf.size() >= maxKinds && !this->latencyOf.contains(kind)) {
        // Drops the kinds of removed routes. The other kinds are measured again.
        this->latencyOf.clear();
    }
    this->latencyOf[kind].addSample(toNs(sample));
}

// Adds an answer to the window and adjusts the limit when the window is full. Answers to requests
// that were dispatched before the last decrease are ignored, because they tell nothing about the
// current limit.
void EndpointLimiter::evaluateAnswer(const Running &call, Duration latency)
{
    if (call.generation != this->limitGeneration) {
        return;
    }
    this->windowSum += toNs(latency);
    ++this->windowCount;
    this->windowAtLimit = this->windowAtLimit || call.atLimit;
    const auto needed =
            std::max(minWindowAnswers, static_cast<std::size_t>(2 * this->currentLimit));
    if (this->windowCount < needed) {
        return;
    }
    const double mean = this->windowSum / static_cast<double>(this->windowCount);
    const bool atLimit = this->windowAtLimit;
    this->resetWindow();
    if (this->baselineLatency == 0) {
        this->baselineLatency = mean;
    }
    const double latencyFloor = std::max(minLimit, this->slots / 2.0);
    const bool atFloor = this->currentLimit <= latencyFloor;
    if (mean < this->baselineLatency) {
        this->baselineLatency += baselineFallWeight * (mean - this->baselineLatency);
    } else if (!atLimit || atFloor) {
        this->baselineLatency += baselineRiseWeight * (mean - this->baselineLatency);
    }
    if (!atLimit) {
        return;
    }
    if (mean <= this->settings.tolerance * this->baselineLatency) {
        this->raiseLimit();
    } else if (!atFloor) {
        this->lowerLimit(call,
                         std::max(this->settings.decrease, latencyFloor / this->currentLimit));
    }
}

void EndpointLimiter::resetWindow()
{
    this->windowSum = 0;
    this->windowCount = 0;
    this->windowAtLimit = false;
}

void EndpointLimiter::raiseLimit()
{
    this->currentLimit = std::min(this->currentLimit + this->settings.increase,
                                  static_cast<double>(this->connections));
}

// Lowers the limit, at most once for all requests that were dispatched under the same generation.
void EndpointLimiter::lowerLimit(const Running &call, double factor)
{
    if (call.generation != this->limitGeneration) {
        return;
    }
    ++this->limitGeneration;
    const double minAllowed = std::max(minLimit, this->slots * this->settings.minLimitShare);
    this->currentLimit =
            std::max(std::min(minAllowed, this->currentLimit), this->currentLimit * factor);
    this->resetWindow();
}

} // namespace kumquat
