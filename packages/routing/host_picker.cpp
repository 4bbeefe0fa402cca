#include "routing/host_picker.h"

#include "base/durations.h"

#include <algorithm>
#include <cmath>

namespace kumquat {
namespace {

// Cost, in seconds, that is added for a host to avoid. It exceeds any expected time, so such a host
// is the last choice.
constexpr double avoidPenalty = 10;

} // namespace

HostPicker::HostPicker(HostPickerSettings pickerSettings)
    : settings(pickerSettings)
{}

void HostPicker::noteLoad(const std::string &node, const HostLoad &load, Time now)
{
    HostState &state = this->states[node];
    state.load = load;
    state.reportedAt = now;
}

const HostLoad *HostPicker::recentLoad(const std::string &node, Time now) const
{
    const auto found = this->states.find(node);
    const bool isRecent = found != this->states.end()
                          && now - found->second.reportedAt < this->settings.loadReportMaxAge;
    return isRecent ? &found->second.load : nullptr;
}

void HostPicker::noteSent(const std::string &node)
{
    ++this->states[node].sent;
}

void HostPicker::noteEnd(const std::string &node, CallEnd end, Time now)
{
    HostState &state = this->states[node];
    state.sent -= std::min(1U, state.sent);
    if (end != CallEnd::Cancelled) {
        const double failed = end == CallEnd::Answered ? 0 : 1;
        const double share = this->failedShare(state, now);
        state.failedShare = share + this->settings.failureWeight * (failed - share);
        state.endedAt = now;
    }
    switch (end) {
    case CallEnd::Answered:
        state.failures = 0;
        break;
    case CallEnd::Lost:
    case CallEnd::TimedOut: {
        constexpr std::uint32_t maxDoublings = 4;
        const auto factor = 1 << std::min(state.failures, maxDoublings);
        ++state.failures;
        state.avoidUntil =
                now + std::min(this->settings.maxAvoid, this->settings.avoidAfterFailure * factor);
        break;
    }
    case CallEnd::Refused:
    case CallEnd::Cancelled:
        break;
    }
}

// Returns the service time to assume for hosts that were never measured: that of the fastest
// candidate, so that a new host is tried.
double HostPicker::fastestServiceSeconds(const std::vector<HostCandidate> &candidates) const
{
    double fastest = 0;
    for (const HostCandidate &candidate : candidates) {
        const auto found = this->states.find(candidate.node);
        const double service = found == this->states.end() ? 0 : found->second.load.serviceSeconds;
        const bool isFaster = service > 0 && (fastest == 0 || service < fastest);
        fastest = isFaster ? service : fastest;
    }
    return fastest > 0 ? fastest : this->settings.assumedServiceSeconds;
}

double HostPicker::failedShare(const HostState &state, Time now) const
{
    const double age = toSeconds(now - state.endedAt) / toSeconds(this->settings.failureDecayTime);
    return state.failedShare * std::exp(-age);
}

double HostPicker::meanServiceSeconds(const std::vector<HostCandidate> &candidates) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const HostCandidate &candidate : candidates) {
        const auto found = this->states.find(candidate.node);
        const double service = found == this->states.end() ? 0 : found->second.load.serviceSeconds;
        sum += service;
        count += service > 0 ? 1 : 0;
    }
    return count > 0 ? sum / static_cast<double>(count) : 0;
}

void HostPicker::noteAnswered(std::uint64_t route, Duration elapsed)
{
    constexpr std::size_t maxRoutes = 1024;
    constexpr double weight = 0.05; // of one answer in the mean
    if (this->answerSeconds.size() >= maxRoutes && !this->answerSeconds.contains(route)) {
        return;
    }
    const auto [entry, isFirst] = this->answerSeconds.try_emplace(route, toSeconds(elapsed));
    entry->second += isFirst ? 0 : weight * (toSeconds(elapsed) - entry->second);
}

HostPicker::CostInputs HostPicker::costInputs(const std::vector<HostCandidate> &candidates,
                                              const PlacedWork &work) const
{
    CostInputs inputs{.assumedService = this->fastestServiceSeconds(candidates),
                      .staysNear = work.staysNear};
    const auto answered = this->answerSeconds.find(work.route);
    const double mean = this->meanServiceSeconds(candidates);
    if (work.staysNear && answered != this->answerSeconds.end() && mean > 0) {
        inputs.ownShare = std::min(1.0, answered->second / mean);
    }
    return inputs;
}

double HostPicker::cost(const HostCandidate &candidate, const CostInputs &inputs, Time now) const
{
    double distance = 0;
    if (candidate.distance == HostDistance::SameRegion) {
        distance = toSeconds(this->settings.otherDataCentreCost);
    } else if (candidate.distance == HostDistance::OtherRegion) {
        distance = toSeconds(this->settings.otherRegionCost);
    }
    const auto found = this->states.find(candidate.node);
    if (found == this->states.end()) {
        return distance + inputs.assumedService * inputs.ownShare;
    }
    const HostState &state = found->second;
    const bool isFresh = now - state.reportedAt < this->settings.loadReportMaxAge;
    const double service =
            state.load.serviceSeconds > 0 ? state.load.serviceSeconds : inputs.assumedService;
    const std::uint32_t inFlight = std::max(isFresh ? state.load.inFlight : 0, state.sent);
    const std::uint32_t usable =
            state.load.usableSlots > 0 ? state.load.usableSlots : state.load.slots;
    const double slots = std::max(1U, usable);
    // A request starts at once if a slot is free; otherwise it waits for other requests.
    // A call waits only for the next free slot.
    const double ahead = std::max(0.0, inFlight + 1 - slots);
    const double waiting = (inputs.staysNear ? std::min(1.0, ahead) : ahead) / slots;
    const double share = inFlight / slots; // distributes requests while slots are free
    const double avoid = now < state.avoidUntil ? avoidPenalty : 0;
    const double unusable = isFresh && !state.load.isUsable ? avoidPenalty : 0;
    const double failing = this->failedShare(state, now) * toSeconds(this->settings.failureCost);
    const double limited = isFresh ? toSeconds(state.load.coldWait + state.load.linkWait) : 0;
    return distance + service * (inputs.ownShare * (1 + share / 2) + waiting) + failing + avoid
           + unusable + limited;
}

std::optional<std::string> HostPicker::pick(const std::vector<HostCandidate> &candidates, Time now,
                                            const PlacedWork &work)
{
    const auto isNear = [](const HostCandidate &candidate) {
        return candidate.distance != HostDistance::OtherRegion;
    };
    const bool keepsRegion =
            work.hasLargeAnswer && std::any_of(candidates.begin(), candidates.end(), isNear);
    const CostInputs inputs = this->costInputs(candidates, work);
    ++this->rotation;
    const HostCandidate *best = nullptr;
    double bestCost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const HostCandidate &candidate = candidates[(i + this->rotation) % candidates.size()];
        if (!candidate.isAdmitted || (keepsRegion && !isNear(candidate))) {
            continue;
        }
        const double cost = this->cost(candidate, inputs, now);
        if (best == nullptr || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    return best != nullptr ? std::optional(best->node) : std::nullopt;
}

} // namespace kumquat
