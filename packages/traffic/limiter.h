// Limits how many requests run at one upstream endpoint at a time, and queues or refuses the others
// (design page, section 4.4).
//
//   Admission admission = limiter.admit(request, deadline, now);
//   if (admission.action == AdmitAction::Refuse) { ... answer admission.error ... }
//   if (admission.action == AdmitAction::Dispatch) { ... send it, then: }
//   limiter.finish(request, CallEnd::Answered, now);
//   LimiterOutput out = limiter.takeOutput(); // dispatch out.dispatch, answer out.dropped
#pragma once

#include "base/errors.h"
#include "base/names.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquat {

using RequestNumber = std::uint64_t; // chosen by the caller of the limiter, unique while in use

enum class AdmitAction : std::uint8_t { Dispatch, Wait, Refuse };

struct Admission
{
    AdmitAction action = AdmitAction::Dispatch;
    ErrorKind error = ErrorKind::None; // Overloaded or DeadlineExceeded if refused
    // If refused: expected time until the endpoint has capacity for the waiting requests and the
    // recently refused ones.
    Duration retryAfter{};
};

// Properties of a request that affect its place in the queue, besides its deadline.
struct RequestTraits
{
    std::uint32_t rank = 0; // lower ranks are served first; equal ranks in order of arrival
    // Time until which the answer has its full value. A request that is expected to miss it waits
    // only if no other request is served before it, and is dropped if another waiting request can
    // still meet its own objective.
    Time objective = Time::max();
    // Kind of work, such as the route; 0: unknown. The latency of each kind is measured separately.
    std::uint64_t kind = 0;
};

// How a dispatched request ended, as seen by the process that dispatched it.
enum class CallEnd : std::uint8_t {
    Answered,  // a complete answer that is not a refusal
    Refused,   // 503 with Retry-After
    TimedOut,  // no complete answer by the deadline
    Lost,      // the connection broke or could not be established
    Cancelled, // by the caller or at the end of the lease; tells nothing about the endpoint
};

inline constexpr NameTable<CallEnd, 5> callEndNames{{{{CallEnd::Answered, "answered"},
                                                      {CallEnd::Refused, "refused"},
                                                      {CallEnd::TimedOut, "timed-out"},
                                                      {CallEnd::Lost, "lost"},
                                                      {CallEnd::Cancelled, "cancelled"}}}};

// A waiting request that was removed from the queue without being dispatched.
struct DroppedRequest
{
    RequestNumber request = 0;
    ErrorKind error = ErrorKind::Overloaded; // Overloaded or DeadlineExceeded
    Duration retryAfter{};
};

struct LimiterOutput
{
    std::vector<RequestNumber> dispatch; // in the order of the queue; each needs a call of finish
    std::vector<DroppedRequest> dropped; // these need no call of finish
};

struct LimiterSettings
{
    std::size_t maxWaiting = 256; // requests in the queue
    // Longest expected wait. A longer queue delays all answers without more throughput.
    Duration maxQueueTime = 30ms;
    double coldLimit = 3;   // limit of a cold upstream at the start of the ramp
    Duration coldRamp = 2s; // time in which the cold limit grows to the announced slots
    // The limit is multiplied by this factor after high latency or a lost connection, at most once
    // per round trip.
    double decrease = 0.8;
    double refusalDecrease = 0.9; // factor after a refusal, at most once per round trip
    double timeoutDecrease = 0.5; // factor after a timeout, at most once per round trip
    // Consecutive timeouts without any answer after which the endpoint counts as silent.
    std::size_t silentTimeouts = 3;
    // A silent endpoint gets one request at a time, and at most one per interval.
    Duration probeInterval = 50ms;
    double minLimitShare = 0; // share of the announced slots below which the limit never falls
    double increase = 1; // added to the limit for each full window of answers with normal latency
    // Ratio of latency to the baseline above which the endpoint counts as overloaded.
    double tolerance = 2;
    Duration initialServiceTime = 5ms; // assumed before the first answer
    // Time that must remain before the deadline of a waiting request: the mean service time plus
    // this many mean deviations. 4 deviations cover about 99 % of the answers, 1 covers four in
    // five.
    double serviceTimeDeviations = 4;
    // Time constant with which the count of recent refusals decays. Callers refused within this
    // time are expected to return.
    Duration refusalDecayTime = 1s;
    Duration maxRetryAfter = 2s; // largest retryAfter; callers wait no longer than some seconds
};

// Not thread-safe. Each upstream has its own limiter.
class EndpointLimiter
{
public:
    // Uses the slots and connections that the upstream announced. `cold`: the upstream has just
    // started.
    EndpointLimiter(std::uint32_t slots, std::uint32_t connections, bool cold, Time now,
                    LimiterSettings settings = {});

    // Records a repeated announcement. It never raises the limit; the announced connections cap it.
    void announce(std::uint32_t slots, std::uint32_t connections, Time now);

    // Caps the limit at a measured concurrency, until the next call.
    void capConcurrency(std::uint32_t cap, Time now);

    // Starts the cold ramp again, after the upstream restarted.
    void startCold(Time now);

    // Decides whether a new request is dispatched, waits or is refused. After Wait, a later output
    // lists the request as dispatched or dropped.
    Admission admit(RequestNumber request, Time deadline, Time now, RequestTraits traits = {});

    // Ends a dispatched request and dispatches waiting requests that now fit under the limit.
    void finish(RequestNumber request, CallEnd end, Time now);

    // Removes a waiting request whose caller has disconnected. Returns false if it is not waiting.
    bool cancelWaiting(RequestNumber request, Time now);

    // Drops waiting requests that cannot meet their deadline. Call it at nextDue.
    void advance(Time now);
    std::optional<Time> nextDue() const;

    // Returns and clears the output. Call it after each other call.
    LimiterOutput takeOutput();

    std::size_t inFlight() const { return this->running.size(); }
    std::size_t waiting() const { return this->queue.size(); }
    double limit() const { return this->currentLimit; }

    // Returns the number of requests in flight divided by the limit, from 0 to 1, for LoadReply.
    double utilisation() const;

    // Returns how long a request of this kind of work is expected to take at the endpoint,
    // including serviceTimeDeviations. Kind 0 covers all kinds together.
    Duration serviceTime(std::uint64_t kind = 0) const;

private:
    struct Running
    {
        Time started{};
        Time deadline{};
        std::uint64_t generation = 0; // limitGeneration when the request was dispatched
        bool atLimit = false;         // the limit was fully used when it was dispatched
        std::uint64_t kind = 0;
    };

    struct Waiting
    {
        RequestNumber request = 0;
        Time deadline{};
        RequestTraits traits;
    };

    // Latency of recent answers, in nanoseconds.
    struct Latency
    {
        double mean = 0;      // 0: unknown
        double deviation = 0; // mean absolute deviation from the mean

        void addSample(double sample);
    };

    std::size_t countAhead(std::uint32_t rank) const;
    bool makeRoom(std::uint32_t rank, Time now);
    double effectiveLimit(Time now) const;
    bool hasRoom(Time now) const;
    bool isSilent() const { return this->consecutiveTimeouts >= this->settings.silentTimeouts; }
    Duration expectedWait(double ahead, Time now) const;
    Duration noteRefusal(Time now);
    Duration expectedService(std::uint64_t kind, Time now) const;
    bool canMeet(Time deadline, std::uint64_t kind, std::size_t ahead, Time now) const;
    bool isLate(const RequestTraits &traits, Duration wait, Time now) const;
    bool shouldYield(const Waiting &entry, Time now) const;
    Time oldestStart() const;
    void dispatch(RequestNumber request, Time deadline, std::uint64_t kind, Time now);
    void dispatchWaiting(Time now);
    void dropUnmeetable(Time now);
    void drop(const Waiting &entry, Time now);
    void recordLatency(std::uint64_t kind, Duration latency);
    void evaluateAnswer(const Running &call, Duration latency);
    void resetWindow();
    void raiseLimit();
    void lowerLimit(const Running &call, double factor);

    LimiterSettings settings;
    std::uint32_t slots;
    std::uint32_t connections;
    double currentLimit;
    std::uint32_t concurrencyCap = UINT32_MAX;
    std::optional<Time> coldSince;
    std::uint64_t limitGeneration = 0; // number of decreases and cold starts so far
    double baselineLatency = 0;        // ns, mean latency of windows without overload; 0: unknown
    Latency overallLatency;            // of all kinds together
    std::unordered_map<std::uint64_t, Latency> latencyOf; // by kind of work
    double windowSum = 0;                                 // ns, sum of the latencies in the window
    std::size_t windowCount = 0;                          // answers in the window
    bool windowAtLimit = false; // a request of the window was dispatched with the limit fully used
    // Timeouts in a row. A timeout counts only if the endpoint answered nothing since the timed out
    // request was dispatched.
    std::size_t consecutiveTimeouts = 0;
    double recentRefusals = 0; // decays with refusalDecayTime
    Time lastRefusal{};
    Time lastDispatch{};
    Time lastResponse{}; // time of the last answer or refusal
    std::unordered_map<RequestNumber, Running> running;
    std::deque<Waiting> queue; // by rank, then in order of arrival
    LimiterOutput output;
};

} // namespace kumquat
