// Sections: 1 endpoint, 2 callers and the owner's process, 3 figures.
#include "traffic/limits_model.h"

#include "traffic/breaker.h"
#include "traffic/limiter.h"
#include "traffic/limits_plan.h"
#include "traffic/retry.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace kumquat {
namespace {

// ---- 1 endpoint -------------------------------------------------------------------------------

struct Request
{
    Time arrived{};
    Time deadline{};
    int attempts = 0;
    int callerAttempts = 1;
    bool dispatched = false;
    bool mayHaveRun = false;
    bool ended = false;
    bool answeredInTime = false;
    Time endedAt{};
};

using CallNumber = std::uint64_t; // identifies one attempt

struct Call
{
    std::size_t request = 0;
    Time deadline{};
    bool atEndpoint = false;
    bool working = false;
    Duration work{};
    double nominalSeconds = 0; // duration of the work without slowdown
};

class LimitModel
{
public:
    LimitModel(LimitScenario chosen, LimitVariant chosenVariant, std::uint64_t seed);

    LimitFigures run();

private:
    using Action = std::function<void()>;

    struct Event
    {
        Time due{};
        std::uint64_t order = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return this->due != other.due ? this->due > other.due : this->order > other.order;
        }
    };

    void schedule(Time due, Action action);
    bool isDisturbed() const
    {
        return this->now >= disturbanceStart && this->now < this->disturbanceEnd;
    }
    bool isFrozen() const { return this->scenario == LimitScenario::Frozen && this->isDisturbed(); }
    bool isDown() const
    {
        return this->isDisturbed() && this->now < disturbanceStart + this->plan.outage;
    }
    double slowdown() const;

    void reachEndpoint(CallNumber number);
    void startWork();
    void finishWork(CallNumber number);
    void leaveEndpoint(CallNumber number);
    void crash();

    void arrive();
    void attempt(std::size_t index);
    void admit(CallNumber number);
    void dispatch(CallNumber number);
    void expire(CallNumber number);
    void endCall(CallNumber number, CallEnd end, ErrorKind error);
    void refuse(std::size_t index);
    void retryOrRefuse(std::size_t index, ErrorKind error);
    void scheduleAttempt(std::size_t index, Duration delay);
    void endRequest(std::size_t index, bool answered);
    void applyLimiterOutput();
    void dispatchFixedQueue();

    LimitFigures collect() const;
    double achievableSeconds() const;
    double findRecovery() const;

    LimitScenario scenario;
    LimitVariant variant;
    ScenarioPlan plan;
    Time disturbanceEnd;
    Time now{};
    std::mt19937_64 random;
    std::priority_queue<Event> events;
    std::uint64_t lastOrder = 0;
    std::vector<Request> requests;
    std::unordered_map<CallNumber, Call> calls;
    CallNumber lastCall = 0;
    std::deque<CallNumber> endpointQueue;
    std::size_t busyWorkers = 0;
    std::set<CallNumber> atEndpoint;
    EndpointLimiter limiter;
    Breaker breaker;
    RetryBudget budget;
    std::optional<Time> nextAdvance;
    std::deque<CallNumber> fixedWaiting;
    std::size_t fixedRunning = 0;
    double usefulSeconds = 0;
    std::uint64_t retries = 0;
    std::uint64_t unsafeRetries = 0;
};

LimitModel::LimitModel(LimitScenario chosen, LimitVariant chosenVariant, std::uint64_t seed)
    : scenario(chosen)
    , variant(chosenVariant)
    , plan(planOf(chosen))
    , disturbanceEnd(disturbanceStart + this->plan.length)
    , random(seed)
    , limiter(workerCount, connectionCount, false, Time{})
{}

void LimitModel::schedule(Time due, Action action)
{
    this->events.push({.due = due, .order = ++this->lastOrder, .action = std::move(action)});
}

double LimitModel::slowdown() const
{
    if (this->scenario == LimitScenario::MisleadingHealth && this->isDisturbed()) {
        return 3;
    }
    if (this->scenario == LimitScenario::ColdStart && this->now >= this->disturbanceEnd) {
        return coldSlowdown(this->now - this->disturbanceEnd, this->busyWorkers);
    }
    return 1;
}

void LimitModel::reachEndpoint(CallNumber number)
{
    const bool isShedding = this->scenario == LimitScenario::Sheds && this->isDisturbed()
                            && this->atEndpoint.size() >= workerCount / 2;
    if (this->isDown() || isShedding) {
        const CallEnd callEnd = isShedding ? CallEnd::Refused : CallEnd::Lost;
        const ErrorKind error =
                isShedding ? ErrorKind::UpstreamRefused : ErrorKind::UpstreamUnreachable;
        this->schedule(this->now + refusalLatency,
                       [this, number, callEnd, error] { this->endCall(number, callEnd, error); });
        return;
    }
    std::lognormal_distribution<double> service(std::log(medianServiceSeconds), serviceSigma);
    this->calls.at(number).nominalSeconds = service(this->random);
    this->calls.at(number).atEndpoint = true;
    this->atEndpoint.insert(number);
    this->endpointQueue.push_back(number);
    this->startWork();
}

void LimitModel::startWork()
{
    while (!this->isFrozen() && this->busyWorkers < workerCount && !this->endpointQueue.empty()) {
        const CallNumber number = this->endpointQueue.front();
        this->endpointQueue.pop_front();
        const auto call = this->calls.find(number);
        if (call == this->calls.end()) {
            continue;
        }
        ++this->busyWorkers;
        call->second.working = true;
        call->second.work = fromSeconds(call->second.nominalSeconds * this->slowdown());
        this->schedule(this->now + call->second.work, [this, number] { this->finishWork(number); });
    }
}

void LimitModel::finishWork(CallNumber number)
{
    if (this->isFrozen()) {
        this->schedule(this->disturbanceEnd, [this, number] { this->finishWork(number); });
        return;
    }
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
        return; // cancelled; its worker has been freed already
    }
    const Call call = found->second;
    const Request &request = this->requests[call.request];
    const bool isMeasured =
            this->now >= disturbanceStart && this->now < this->disturbanceEnd + this->plan.cold;
    if (!request.ended && this->now <= request.deadline && isMeasured) {
        this->usefulSeconds += call.nominalSeconds;
    }
    this->endCall(number, CallEnd::Answered, ErrorKind::None);
    this->startWork();
}

// Frees the worker of a call. A frozen endpoint notices a cancellation only when it resumes.
void LimitModel::leaveEndpoint(CallNumber number)
{
    const Call call = this->calls.at(number);
    this->calls.erase(number);
    this->atEndpoint.erase(number);
    if (!call.working) {
        return;
    }
    if (this->isFrozen()) {
        this->schedule(this->disturbanceEnd, [this] {
            --this->busyWorkers;
            this->startWork();
        });
        return;
    }
    --this->busyWorkers;
    this->startWork();
}

void LimitModel::crash()
{
    const std::set<CallNumber> lost = this->atEndpoint;
    this->endpointQueue.clear();
    for (const CallNumber number : lost) {
        this->endCall(number, CallEnd::Lost, ErrorKind::UpstreamLost);
    }
}

// ---- 2 callers and the owner's process --------------------------------------------------------

void LimitModel::arrive()
{
    const double load = this->isDisturbed() ? this->plan.disturbedLoad : this->plan.load;
    std::exponential_distribution<double> gap(load * workerCount / meanServiceSeconds());
    this->schedule(this->now + fromSeconds(gap(this->random)), [this] { this->arrive(); });
    const int kind = static_cast<int>(this->random() % 10);
    const Duration timeout = kind < 3 ? 30ms : kind < 8 ? 100ms : 400ms;
    this->requests.push_back({.arrived = this->now, .deadline = this->now + timeout});
    this->budget.noteFirstAttempt(this->now);
    this->attempt(this->requests.size() - 1);
}

void LimitModel::attempt(std::size_t index)
{
    Request &request = this->requests[index];
    if (request.ended) {
        return;
    }
    ++request.attempts;
    if (request.attempts > 1) {
        ++this->retries;
        this->unsafeRetries += request.mayHaveRun ? 1 : 0;
    }
    const CallNumber number = ++this->lastCall;
    const bool isUnlimited = this->variant == LimitVariant::None;
    const Time deadline =
            isUnlimited ? this->now + (request.deadline - request.arrived) : request.deadline;
    this->calls[number] = {.request = index, .deadline = deadline};
    this->admit(number);
}

void LimitModel::admit(CallNumber number)
{
    const Call call = this->calls.at(number);
    if (this->variant == LimitVariant::None) {
        this->dispatch(number);
        return;
    }
    if (this->variant == LimitVariant::FixedLimit) {
        if (this->fixedWaiting.size() >= maxFixedQueue) {
            this->calls.erase(number);
            this->refuse(call.request);
            return;
        }
        this->fixedWaiting.push_back(number);
        this->dispatchFixedQueue();
        return;
    }
    const Admission admission = this->limiter.admit(number, call.deadline, this->now);
    if (admission.action == AdmitAction::Dispatch) {
        this->dispatch(number);
    } else if (admission.action == AdmitAction::Refuse) {
        this->calls.erase(number);
        this->refuse(call.request);
    }
    this->applyLimiterOutput();
}

void LimitModel::dispatch(CallNumber number)
{
    const bool isRejected =
            this->variant == LimitVariant::LimiterBreaker && !this->breaker.allow(this->now);
    if (isRejected) {
        const std::size_t index = this->calls.at(number).request;
        this->calls.erase(number);
        this->limiter.finish(number, CallEnd::Cancelled, this->now);
        this->refuse(index);
        return;
    }
    this->requests[this->calls.at(number).request].dispatched = true;
    this->schedule(this->calls.at(number).deadline, [this, number] { this->expire(number); });
    this->reachEndpoint(number);
}

// Ends a call at its deadline. Without limits the endpoint continues to work on it.
void LimitModel::expire(CallNumber number)
{
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
        return;
    }
    if (this->variant == LimitVariant::None) {
        this->requests[found->second.request].mayHaveRun = true;
        this->scheduleAttempt(found->second.request, 0ms);
        return;
    }
    this->endCall(number, CallEnd::TimedOut, ErrorKind::UpstreamTimeout);
}

void LimitModel::endCall(CallNumber number, CallEnd callEnd, ErrorKind error)
{
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
        return;
    }
    const std::size_t index = found->second.request;
    this->leaveEndpoint(number);
    if (this->variant == LimitVariant::LimiterBreaker) {
        this->breaker.noteOutcome(callEnd == CallEnd::Answered, this->now);
    }
    if (this->variant == LimitVariant::Limiter || this->variant == LimitVariant::LimiterBreaker) {
        this->limiter.finish(number, callEnd, this->now);
    }
    if (this->variant == LimitVariant::FixedLimit) {
        --this->fixedRunning;
    }
    if (callEnd == CallEnd::Answered) {
        this->endRequest(index, true);
    } else {
        this->requests[index].mayHaveRun =
                this->requests[index].mayHaveRun || errorInfo(error).outcome == Outcome::Unknown;
        this->retryOrRefuse(index, error);
    }
    this->dispatchFixedQueue();
    this->applyLimiterOutput();
}

// Ends an attempt with a not-run answer. The caller retries while its deadline allows it.
void LimitModel::refuse(std::size_t index)
{
    Request &request = this->requests[index];
    const double jitter = 0.5 + static_cast<double>(this->random() % 1000) / 1000;
    const Duration backoff =
            fromSeconds(toSeconds(callerBackoff) * request.callerAttempts * jitter);
    if (request.callerAttempts > maxCallerRetries || this->now + backoff >= request.deadline) {
        this->endRequest(index, false);
        return;
    }
    ++request.callerAttempts;
    this->scheduleAttempt(index, backoff);
}

void LimitModel::retryOrRefuse(std::size_t index, ErrorKind error)
{
    const Request &request = this->requests[index];
    if (this->variant == LimitVariant::None) {
        this->scheduleAttempt(index, 0ms);
        return;
    }
    const RetryContext context{.error = error,
                               .idempotent = false,
                               .attempts = request.attempts,
                               .remaining = request.deadline - this->now,
                               .needed = processBackoff + this->limiter.serviceTime()};
    const RetryDecision decision = decideRetry(context, this->budget, this->now);
    if (decision == RetryDecision::Retry) {
        this->scheduleAttempt(index, processBackoff);
    } else if (errorInfo(error).outcome == Outcome::NotRun) {
        this->refuse(index);
    } else {
        this->endRequest(index, false);
    }
}

void LimitModel::scheduleAttempt(std::size_t index, Duration delay)
{
    if (this->variant == LimitVariant::None
        && this->requests[index].attempts >= maxUnlimitedAttempts) {
        this->endRequest(index, false);
        return;
    }
    this->schedule(this->now + delay, [this, index] { this->attempt(index); });
}

void LimitModel::endRequest(std::size_t index, bool answered)
{
    Request &request = this->requests[index];
    if (request.ended) {
        return;
    }
    request.ended = true;
    request.endedAt = this->now;
    request.answeredInTime = answered && this->now <= request.deadline;
}

void LimitModel::applyLimiterOutput()
{
    LimiterOutput out = this->limiter.takeOutput();
    for (const RequestNumber number : out.dispatch) {
        this->dispatch(number);
    }
    for (const DroppedRequest &dropped : out.dropped) {
        const std::size_t index = this->calls.at(dropped.request).request;
        this->calls.erase(dropped.request);
        this->refuse(index);
    }
    const std::optional<Time> due = this->limiter.nextDue();
    if (!due || (this->nextAdvance && *this->nextAdvance <= *due)) {
        return;
    }
    this->nextAdvance = std::max(*due, this->now);
    this->schedule(*this->nextAdvance, [this] {
        this->nextAdvance.reset();
        this->limiter.advance(this->now);
        this->applyLimiterOutput();
    });
}

void LimitModel::dispatchFixedQueue()
{
    const std::size_t limit = this->isDisturbed() ? this->plan.slots : workerCount;
    while (!this->fixedWaiting.empty() && this->fixedRunning < limit) {
        const CallNumber number = this->fixedWaiting.front();
        this->fixedWaiting.pop_front();
        if (this->calls.at(number).deadline <= this->now) {
            const std::size_t index = this->calls.at(number).request;
            this->calls.erase(number);
            this->endRequest(index, false);
            continue;
        }
        ++this->fixedRunning;
        this->dispatch(number);
    }
}

// ---- 3 figures --------------------------------------------------------------------------------

LimitFigures LimitModel::run()
{
    this->schedule(Time{}, [this] { this->arrive(); });
    if (this->plan.outage > 0ms) {
        this->schedule(disturbanceStart, [this] { this->crash(); });
        this->schedule(this->disturbanceEnd, [this] { this->limiter.startCold(this->now); });
    }
    for (Time due = disturbanceStart; due < this->disturbanceEnd && this->plan.slots != workerCount;
         due += 2s) {
        this->schedule(due, [this] {
            this->limiter.announce(this->plan.slots, connectionCount, this->now);
        });
    }
    this->schedule(this->disturbanceEnd, [this] {
        this->limiter.announce(workerCount, connectionCount, this->now);
        this->startWork();
    });
    while (this->now < this->disturbanceEnd + observationTime) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.due;
        event.action();
    }
    return this->collect();
}

LimitFigures LimitModel::collect() const
{
    LimitFigures figures;
    figures.scenario = this->scenario;
    figures.variant = this->variant;
    std::vector<double> latencies;
    double late = 0;
    double refused = 0;
    for (const Request &request : this->requests) {
        if (request.arrived < disturbanceStart
            || request.arrived >= this->disturbanceEnd + this->plan.cold) {
            continue;
        }
        ++figures.requests;
        if (!request.dispatched) {
            ++refused;
            continue;
        }
        if (request.ended && !request.answeredInTime && !request.mayHaveRun
            && request.endedAt < request.deadline) {
            ++refused;
            continue;
        }
        late += request.answeredInTime ? 0 : 1;
        const Time last = request.ended ? request.endedAt : this->now;
        latencies.push_back(toSeconds(last - request.arrived) * 1e3);
    }
    std::sort(latencies.begin(), latencies.end());
    if (!latencies.empty()) {
        const auto admitted = static_cast<double>(latencies.size());
        figures.p50Ms = latencies[static_cast<std::size_t>(admitted * 0.5)];
        figures.p99Ms = latencies[static_cast<std::size_t>(admitted * 0.99)];
        figures.lateShare = late / admitted;
    }
    figures.refusedShare =
            refused / static_cast<double>(std::max<std::uint64_t>(1, figures.requests));
    figures.usefulShare = this->usefulSeconds / this->achievableSeconds();
    figures.retries = this->retries;
    figures.unsafeRetries = this->unsafeRetries;
    figures.recoverySeconds = this->findRecovery();
    return figures;
}

// Returns the seconds of work that the endpoint could do in the measured time.
double LimitModel::achievableSeconds() const
{
    constexpr Duration step = 1ms;
    double achievable =
            toSeconds(this->plan.length - this->plan.outage) * workerCount * this->plan.capacity;
    for (Duration since{}; since < this->plan.cold; since += step) {
        double best = 0;
        for (std::size_t running = 1; running <= workerCount; ++running) {
            best = std::max(best, static_cast<double>(running) / coldSlowdown(since, running));
        }
        achievable += best * toSeconds(step);
    }
    return achievable;
}

double LimitModel::findRecovery() const
{
    const auto bucketCount = static_cast<std::size_t>(observationTime / bucketLength) - 2;
    std::vector<double> arrived(bucketCount);
    std::vector<double> failed(bucketCount);
    for (const Request &request : this->requests) {
        if (request.arrived < this->disturbanceEnd) {
            continue;
        }
        const auto bucket =
                static_cast<std::size_t>((request.arrived - this->disturbanceEnd) / bucketLength);
        if (bucket < bucketCount) {
            ++arrived[bucket];
            failed[bucket] += request.answeredInTime ? 0 : 1;
        }
    }
    for (std::size_t bucket = bucketCount; bucket > 0; --bucket) {
        if (failed[bucket - 1] > normalFailureShare * arrived[bucket - 1]) {
            return bucket == bucketCount ? -1
                                         : static_cast<double>(bucket) * toSeconds(bucketLength);
        }
    }
    return 0;
}

} // namespace

LimitFigures runLimitModel(LimitScenario scenario, LimitVariant variant, std::uint64_t seed)
{
    return LimitModel(scenario, variant, seed).run();
}

} // namespace kumquat
