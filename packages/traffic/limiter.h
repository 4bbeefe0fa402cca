// Limits what one upstream endpoint runs at a time and what waits for it (design page,
// section 4.4).
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

using RequestNumber = std::uint64_t; // chosen by the user of the limiter, unique while in use

enum class AdmitAction : std::uint8_t { Dispatch, Wait, Refuse };

struct Admission
{
    AdmitAction action = AdmitAction::Dispatch;
    ErrorKind error = ErrorKind::None; // Overloaded or DeadlineExceeded if refused
    // If refused: when those that wait, and those that were refused before, could have run.
    Duration retryAfter{};
};

// What a request asks for besides its deadline.
struct RequestTraits
{
    std::uint32_t rank = 0; // a lower one goes first; among equals the first that came does
    // Up to it the answer is worth most: a request that can't meet it waits only where no other one
    // goes before it, and gives way to those that can.
    Time objective = Time::max();
    std::uint64_t kind = 0; // of work, as its route; 0: not told. Kinds are measured apart
};

// How a dispatched request ended, as seen by the process that dispatched it.
enum class CallEnd : std::uint8_t {
    Answered,  // a whole answer that is no refusal
    Refused,   // 503 with Retry-After
    TimedOut,  // no whole answer by the deadline
    Lost,      // the connection broke or could not be made
    Cancelled, // by the caller or by the end of the lease; says nothing about the endpoint
};

inline constexpr NameTable<CallEnd, 5> callEndNames{{{{CallEnd::Answered, "answered"},
                                                      {CallEnd::Refused, "refused"},
                                                      {CallEnd::TimedOut, "timed-out"},
                                                      {CallEnd::Lost, "lost"},
                                                      {CallEnd::Cancelled, "cancelled"}}}};

// A waiting request that is not dispatched.
struct DroppedRequest
{
    RequestNumber request = 0;
    ErrorKind error = ErrorKind::Overloaded; // Overloaded or DeadlineExceeded
    Duration retryAfter{};
};

struct LimiterOutput
{
    std::vector<RequestNumber> dispatch; // in the order of the queue; call finish for each
    std::vector<DroppedRequest> dropped; // no finish
};

struct LimiterSettings
{
    std::size_t maxWaiting = 256; // most requests that wait
    Duration maxQueueTime = 30ms; // longest expected wait; more delays all answers and adds no work
    double coldLimit = 3;         // first limit of a cold upstream
    Duration coldRamp = 2s;       // time in which the cold limit grows to the announced slots
    double decrease = 0.8;        // factor on latency or a lost connection, once a round trip
    double refusalDecrease = 0.9; // factor on a refusal, at most once a round trip
    double timeoutDecrease = 0.5; // factor on a timeout, at most once a round trip
    std::size_t silentTimeouts = 3; // timeouts in a row without any answer that mean silence
    Duration probeInterval = 50ms; // in silence one request at a time, and at most one in this time
    double minLimitShare = 0;      // of the announced slots, below which the limit never falls
    double increase = 1;           // added to the limit for each full window of good answers
    double tolerance = 2;          // latency over the usual one that counts as overload
    Duration initialServiceTime = 5ms; // assumed before the first answer
    // Mean deviations over the mean service time that a waiting request must have left: 4 cover
    // about 99 % of the answers, 1 four in five.
    double serviceTimeDeviations = 4;
    Duration refusalDecayTime = 1s; // refused callers of this time are expected back
    Duration maxRetryAfter = 2s;    // told to them; their patience is some seconds
};

// Not thread-safe. No two upstreams share one.
class EndpointLimiter
{
public:
    // Takes what the upstream announced. `cold`: it has just started.
    EndpointLimiter(std::uint32_t slots, std::uint32_t connections, bool cold, Time now,
                    LimiterSettings settings = {});

    // Notes a repeated announcement. Never raises the limit by itself, but bounds it.
    void announce(std::uint32_t slots, std::uint32_t connections, Time now);

    // Starts the cold ramp again, after the upstream restarted.
    void startCold(Time now);

    // Decides about a new request. After Wait the request appears in a later output.
    Admission admit(RequestNumber request, Time deadline, Time now, RequestTraits traits = {});

    // Ends a dispatched request and lets waiting ones follow.
    void finish(RequestNumber request, CallEnd end, Time now);

    // Removes a waiting request whose caller has gone. Returns false if it is not waiting.
    bool cancelWaiting(RequestNumber request, Time now);

    // Drops waiting requests that cannot meet their deadline. Call at nextDue.
    void advance(Time now);
    std::optional<Time> nextDue() const;

    // Returns and clears the output. Call after each other call.
    LimiterOutput takeOutput();

    std::size_t inFlight() const { return this->running.size(); }
    std::size_t waiting() const { return this->queue.size(); }
    double limit() const { return this->currentLimit; }

    // Returns in flight over limit, 0 to 1, for LoadReply.
    double utilisation() const;

    // Returns the time that one request at the endpoint is likely to take, for a kind of work or
    // for all together.
    Duration serviceTime(std::uint64_t kind = 0) const;

private:
    struct Running
    {
        Time started{};
        Time deadline{};
        std::uint64_t generation = 0; // decreases so far when it was dispatched
        bool atLimit = false;         // the limit was fully used when it was dispatched
        std::uint64_t kind = 0;
    };

    struct Waiting
    {
        RequestNumber request = 0;
        Time deadline{};
        RequestTraits traits;
    };

    // Of the latest answers, in nanoseconds.
    struct Latency
    {
        double mean = 0;      // 0: not known
        double deviation = 0; // mean distance to the mean

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
    void startWindow();
    void raise();
    void lower(const Running &call, double factor);

    LimiterSettings settings;
    std::uint32_t slots;
    std::uint32_t connections;
    double currentLimit;
    std::optional<Time> coldSince;
    std::uint64_t limitGeneration = 0; // decreases so far
    double baselineLatency = 0;        // ns, of windows without overload; 0: not known
    Latency overallLatency;            // of all kinds together
    std::unordered_map<std::uint64_t, Latency> latencyOf; // by kind
    double windowSum = 0;                                 // ns, of the answers in the window
    std::size_t windowCount = 0;                          // answers in the window
    bool windowAtLimit = false; // some were dispatched with the limit fully used
    std::size_t consecutiveTimeouts =
            0;                 // without an answer since the timed out request was dispatched
    double recentRefusals = 0; // of late, fading with time
    Time lastRefusal{};
    Time lastDispatch{};
    Time lastResponse{}; // of the last answer or refusal
    std::unordered_map<RequestNumber, Running> running;
    std::deque<Waiting> queue; // by rank, then in order of arrival
    LimiterOutput output;
};

} // namespace kumquat
