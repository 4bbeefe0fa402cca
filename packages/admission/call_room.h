// Learns which calls the runs of a route make, and holds further requests of that route back while
// these calls are refused. A run whose call is refused has used its slot for nothing.
//
//   const Duration wait = room.wait(&request, route, now); // 0: the request may run
//   room.noteRunStarted(&request, route, now);
//   room.noteCall(callRoute, now); room.noteCallEnded(callRoute, CallResult::Refused, now);
//   room.noteRunEnded(&request, true, now);
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace kumquat {

enum class CallResult : std::uint8_t {
    Accepted,
    Refused, // also not answered in time: there was no room for it
    Unknown, // ended otherwise, says nothing about room
};

inline constexpr NameTable<CallResult, 3> callResultNames{{{{CallResult::Accepted, "accepted"},
                                                            {CallResult::Refused, "refused"},
                                                            {CallResult::Unknown, "unknown"}}}};

// What is lost if a run fails because its call is refused.
enum class RunCost : std::uint8_t {
    Slot,    // the slot that another request needs, or a request that cannot be sent again
    Nothing, // the upstream has a free slot, and the caller may send the request again
};

inline constexpr NameTable<RunCost, 2> runCostNames{
        {{{RunCost::Slot, "slot"}, {RunCost::Nothing, "nothing"}}}};

struct CallRoomSettings
{
    // Requests are held back only for calls that are made by at least this share of the runs, as
    // learned from at least so many runs.
    double minCallsPerRun = 0.2;
    double minRuns = 8;
    double learnedRuns = 64; // runs over which the calls per run are averaged
    // Added to the known calls per run when a call is attributed. A larger number keeps the calls
    // of one route spread over all of them if many requests run: at 0.05, a route without calls
    // kept 0.38 per run after a minute of 15 running requests each.
    double unknownCallsPerRun = 0.002;
    // Requests are held back if at least so many calls were refused within the window, and no more
    // than this share was accepted.
    std::uint32_t minRefused = 4;
    double maxAcceptedShare = 0.8;
    // Share of calls that is to be accepted while requests are held back. A higher one leaves room
    // unused, a lower one wastes runs.
    double targetShare = 0.85;
    // From this share on, more and more requests are let through, up to `maxGain` x the present
    // ones when all calls are accepted.
    double freeShare = 0.9;
    double maxGain = 5;
    // Change of the share that is let through, per bucket of the window. Results arrive later than
    // the requests that cause them, so faster changes would overshoot.
    double maxFall = 0.6;
    double maxRise = 1.8;
    double minLetThrough = 0.02;
    // A run that costs nothing is worth trying if at least this share of the calls is accepted.
    // Below it, callers would mostly wait for a failure.
    double minFreeShare = 0.3;
    // At least one request per interval finds out whether calls are accepted again.
    Duration probeInterval = 250ms;
    Duration retryAfter = 250ms; // shortest retry time: the half of the window
    // An upstream may still make calls this long after a run that ended without an answer.
    Duration lateCalls = 2s;
    Duration answeredCalls = 20ms; // the same after a run that was answered
    // A call may be read this much later than it was sent, so its deadline seems to be later.
    Duration deadlineSlack = 50ms;
    std::size_t maxRoutes = 256; // of which calls are learned; others are not held back
    std::size_t maxCallRoutes = 64;
};

// Not thread-safe.
class CallRoom
{
public:
    using RunId = const void *; // an address that is unique while the request is in the process

    explicit CallRoom(CallRoomSettings roomSettings = {})
        : settings(roomSettings)
    {}

    // Returns 0 if a request of this route may run, else the time until it may be tried again. The
    // answer 0 holds until noteRunEnded.
    Duration wait(RunId run, std::uint64_t route, Time now, RunCost cost = RunCost::Slot);

    // Returns the mean time between requests of the route that are let through now.
    Duration passInterval(std::uint64_t route) const;

    // The request is sent to the upstream, which stops its work at `deadline`.
    void noteRunStarted(RunId run, std::uint64_t route, Time deadline = Time::max());
    // The request has ended. Needed for each request that `wait` was asked for.
    void noteRunEnded(RunId run, bool isAnswered, Time now);

    // The upstream makes a call.
    void noteCall(std::uint64_t callRoute);
    void noteCallEnded(std::uint64_t callRoute, CallResult result, Time now);

    // Returns whether a request with this deadline may be a call of a run. A call ends with the run
    // that makes it, so it has no later deadline.
    bool mayBeCall(Time deadline, Time now) const;

    // Forgets what was learned, for a new instance of the upstream.
    void reset();

    // Returns the calls per run of a route.
    double callsPerRun(std::uint64_t route, std::uint64_t callRoute) const;

    // Returns the share of requests that is let through because of these calls.
    double letThrough(std::uint64_t callRoute) const;

private:
    static constexpr std::size_t bucketCount = 5;
    static constexpr Duration bucketTime = 100ms;

    // Results of calls within one bucket of the window.
    struct Bucket
    {
        std::int64_t number = -1; // time divided by bucketTime
        std::uint32_t accepted = 0;
        std::uint32_t refused = 0;
        double demand = 0; // calls that all requests together would have made
    };

    // Sums over the window.
    struct Results
    {
        double accepted = 0;
        double refused = 0;
        double demand = 0;
    };

    struct CallState
    {
        std::array<Bucket, bucketCount> buckets;
        double letThrough = 1;
        std::int64_t updatedBucket = 0;
        Time refusedAt{};
    };

    struct RouteState
    {
        double runs = 0; // decaying count
        std::uint32_t running = 0;
        std::unordered_map<std::uint64_t, double> calls; // decaying counts by call route
        double credit = 0;                               // of requests that are let through
        Time passedAt{};
        Duration passInterval{};
    };

    struct Run
    {
        std::uint64_t route = 0;
        Time deadline{};
    };

    double rateOf(const RouteState &state, std::uint64_t callRoute) const;
    double letThrough(const RouteState &state, Time now);
    double acceptedShare(const RouteState &state, Time now) const;
    bool isUsual(const RouteState &state, std::uint64_t callRoute) const;
    static Results resultsOf(const CallState &call, Time now);
    void update(CallState &call, Time now);
    double nextShare(const CallState &call, Time now) const;

    CallRoomSettings settings;
    std::unordered_map<std::uint64_t, RouteState> routes;
    std::unordered_map<std::uint64_t, CallState> calls;
    std::unordered_map<RunId, Run> runs; // at the upstream
    std::unordered_set<RunId> passed; // requests that were let through while others are held back
    // Runs that have ended may still make calls until `lateUntil`, with deadlines up to
    // `lateDeadline`.
    Time lateUntil{};
    Time lateDeadline{};
};

} // namespace kumquat
