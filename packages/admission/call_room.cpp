#include "admission/call_room.h"

#include "base/durations.h"

#include <algorithm>

namespace kumquat {

// ---- Requests ----

Duration CallRoom::wait(RunId run, std::uint64_t route, Time now, RunCost cost)
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end() || this->passed.contains(run)) {
        return Duration::zero();
    }
    RouteState &state = found->second;
    const double share = this->letThrough(state, now);
    if (share >= 1) {
        state.credit = 0;
        state.passInterval = Duration::zero();
        return Duration::zero();
    }
    if (cost == RunCost::Nothing
        && this->acceptedShare(state, now) >= this->settings.minFreeShare) {
        this->passed.insert(run);
        return Duration::zero();
    }
    state.credit += share;
    const Duration sincePass = now - state.passedAt;
    if (state.credit < 1 && sincePass < this->settings.probeInterval) {
        return this->settings.retryAfter;
    }
    constexpr double intervalWeight = 0.2;
    const double seconds = toSeconds(std::min(sincePass, this->settings.probeInterval));
    const double mean = toSeconds(state.passInterval);
    state.passInterval =
            fromSeconds(mean == 0 ? seconds : mean + intervalWeight * (seconds - mean));
    state.credit = std::max(0.0, state.credit - 1);
    state.passedAt = now;
    this->passed.insert(run);
    return Duration::zero();
}

Duration CallRoom::passInterval(std::uint64_t route) const
{
    const auto found = this->routes.find(route);
    return found != this->routes.end() ? found->second.passInterval : Duration::zero();
}

// Returns the share of the requests of a route that its calls leave room for.
double CallRoom::letThrough(const RouteState &state, Time now)
{
    double share = 1;
    if (state.runs < this->settings.minRuns) {
        return share;
    }
    for (const auto &[callRoute, count] : state.calls) {
        const auto found = this->calls.find(callRoute);
        if (found != this->calls.end() && this->isUsual(state, callRoute)) {
            this->update(found->second, now);
            share = std::min(share, found->second.letThrough);
        }
    }
    return share;
}

// Returns the share of the calls that were accepted lately, of the calls that are refused most.
double CallRoom::acceptedShare(const RouteState &state, Time now) const
{
    double share = 1;
    for (const auto &[callRoute, count] : state.calls) {
        const auto found = this->calls.find(callRoute);
        if (found != this->calls.end() && this->isUsual(state, callRoute)) {
            const Results results = resultsOf(found->second, now);
            const double total = results.accepted + results.refused;
            share = total > 0 ? std::min(share, results.accepted / total) : share;
        }
    }
    return share;
}

// Returns whether enough runs of a route make a call that its refusals concern the route.
bool CallRoom::isUsual(const RouteState &state, std::uint64_t callRoute) const
{
    return this->rateOf(state, callRoute) >= this->settings.minCallsPerRun;
}

// ---- Runs ----

void CallRoom::noteRunStarted(RunId run, std::uint64_t route, Time deadline)
{
    const bool isKnown = this->routes.contains(route);
    if (!isKnown && this->routes.size() >= this->settings.maxRoutes) {
        return;
    }
    if (this->runs.try_emplace(run, Run{.route = route, .deadline = deadline}).second) {
        ++this->routes[route].running;
    }
}

void CallRoom::noteRunEnded(RunId run, bool isAnswered, Time now)
{
    this->passed.erase(run);
    const auto found = this->runs.find(run);
    if (found == this->runs.end()) {
        return;
    }
    const Run ended = found->second;
    this->runs.erase(found);
    RouteState &state = this->routes[ended.route];
    --state.running;
    const double kept = 1 - 1 / this->settings.learnedRuns;
    state.runs = state.runs * kept + 1;
    for (auto &[callRoute, count] : state.calls) {
        count *= kept;
    }
    const Duration late = isAnswered ? this->settings.answeredCalls : this->settings.lateCalls;
    this->lateDeadline =
            now < this->lateUntil ? std::max(this->lateDeadline, ended.deadline) : ended.deadline;
    this->lateUntil = std::max(this->lateUntil, now + late);
}

bool CallRoom::mayBeCall(Time deadline, Time now) const
{
    const auto covers = [&](Time runDeadline) {
        return runDeadline == Time::max() || deadline <= runDeadline + this->settings.deadlineSlack;
    };
    return (now < this->lateUntil && covers(this->lateDeadline))
           || std::any_of(this->runs.begin(), this->runs.end(),
                          [&](const auto &entry) { return covers(entry.second.deadline); });
}

double CallRoom::rateOf(const RouteState &state, std::uint64_t callRoute) const
{
    const auto found = state.calls.find(callRoute);
    return found != state.calls.end() && state.runs > 0 ? found->second / state.runs : 0;
}

double CallRoom::callsPerRun(std::uint64_t route, std::uint64_t callRoute) const
{
    const auto found = this->routes.find(route);
    return found != this->routes.end() ? this->rateOf(found->second, callRoute) : 0;
}

void CallRoom::reset()
{
    this->calls.clear();
    this->passed.clear();
    for (auto &[route, state] : this->routes) {
        state = {.running = state.running};
    }
}

// ---- Calls ----

// Which run makes a call is not visible, so each running route gets the part that is likely from
// what was learned so far. The parts settle as the number of running requests of each route varies.
void CallRoom::noteCall(std::uint64_t callRoute)
{
    if (!this->calls.contains(callRoute)) {
        if (this->calls.size() >= this->settings.maxCallRoutes) {
            return;
        }
        this->calls[callRoute] = {};
    }
    const auto weightOf = [&](const RouteState &state) {
        return state.running * (this->rateOf(state, callRoute) + this->settings.unknownCallsPerRun);
    };
    double sum = 0;
    for (const auto &[route, state] : this->routes) {
        sum += weightOf(state);
    }
    if (sum == 0) {
        return;
    }
    std::unordered_map<std::uint64_t, double> parts;
    for (const auto &[route, state] : this->routes) {
        parts[route] = weightOf(state) / sum;
    }
    for (const auto &[route, part] : parts) {
        if (part > 0) {
            this->routes[route].calls[callRoute] += part;
        }
    }
}

void CallRoom::noteCallEnded(std::uint64_t callRoute, CallResult result, Time now)
{
    const auto found = this->calls.find(callRoute);
    if (found == this->calls.end() || result == CallResult::Unknown) {
        return;
    }
    CallState &call = found->second;
    this->update(call, now);
    const std::int64_t number = now / bucketTime;
    Bucket &bucket = call.buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number) {
        bucket = {.number = number};
    }
    const bool isRefused = result == CallResult::Refused;
    bucket.accepted += isRefused ? 0 : 1;
    bucket.refused += isRefused ? 1 : 0;
    bucket.demand += 1 / call.letThrough;
    call.refusedAt = isRefused ? now : call.refusedAt;
}

double CallRoom::letThrough(std::uint64_t callRoute) const
{
    const auto found = this->calls.find(callRoute);
    return found != this->calls.end() ? found->second.letThrough : 1;
}

void CallRoom::update(CallState &call, Time now)
{
    const std::int64_t number = now / bucketTime;
    const auto steps = std::min<std::int64_t>(number - call.updatedBucket, bucketCount);
    call.updatedBucket = number;
    for (std::int64_t step = 0; step < steps; ++step) {
        const double next = this->nextShare(call, now);
        const double lowest =
                std::max(call.letThrough * this->settings.maxFall, this->settings.minLetThrough);
        call.letThrough = std::clamp(next, lowest,
                                     std::max(lowest, call.letThrough * this->settings.maxRise));
        call.letThrough = std::min(call.letThrough, 1.0);
    }
}

// Returns the results within the window.
CallRoom::Results CallRoom::resultsOf(const CallState &call, Time now)
{
    Results results;
    for (const Bucket &bucket : call.buckets) {
        if (bucket.number > now / bucketTime - static_cast<std::int64_t>(bucketCount)) {
            results.accepted += bucket.accepted;
            results.refused += bucket.refused;
            results.demand += bucket.demand;
        }
    }
    return results;
}

// Returns the share of requests for which there is room, from the results within the window.
double CallRoom::nextShare(const CallState &call, Time now) const
{
    const Results results = resultsOf(call, now);
    const double total = results.accepted + results.refused;
    const bool isHeldBack = call.letThrough < 1;
    if (total == 0) {
        // No calls: the runs do not make them any more, or all requests are held back.
        const bool isOld = now - call.refusedAt > 4 * this->settings.probeInterval;
        return isOld ? 1 : call.letThrough;
    }
    const double share = results.accepted / total;
    if (!isHeldBack
        && (results.refused < this->settings.minRefused
            || share > this->settings.maxAcceptedShare)) {
        return 1;
    }
    const double surplus = std::max(0.0, share - this->settings.freeShare)
                           / (1 - this->settings.freeShare); // 1: all calls are accepted
    const double gain = 1 / this->settings.targetShare + surplus * this->settings.maxGain;
    return gain * results.accepted / results.demand;
}

} // namespace kumquat
