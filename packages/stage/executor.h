// Runs requests at the upstream beside this process. Checks that this process holds the key of a
// request, limits how many requests run at a time, and reports reliably whether a request has run.
//
//   ExecuteResult result = executor.run(execute, std::move(body), caller); // in a fiber
//   executor.cancel(caller);
//
// Sections: results, hooks, Executor.
#pragma once

#include "admission/decision.h"
#include "net/http_client.h"
#include "stage/admission_gate.h"
#include "stage/crash_watch.h"
#include "stage/link.h"
#include "stage/metrics.h"
#include "stage/speed_hooks.h"
#include "stage/upstream_monitor.h"
#include "traffic/crash_guard.h"
#include "traffic/limiter.h"
#include "wire/stage.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace kumquat {

// ---- Results ----

struct ExecuteResult
{
    wire::ExecuteReply reply;
    std::string body;
    std::shared_ptr<ByteCharge> charge; // for `body`, if it is charged
    std::string_view reason;            // why the request was not sent, for the log
    std::optional<Duration> heldFor; // time left on the grant of the key when the request was sent
};

// Identifies who waits for a request: a connection between processes and a call on it, or this
// process itself (connection 0).
struct ExecuteCaller
{
    std::uint64_t connection = 0;
    std::uint64_t call = 0;

    bool operator==(const ExecuteCaller &) const = default;
    bool operator<(const ExecuteCaller &other) const
    {
        return std::tie(this->connection, this->call) < std::tie(other.connection, other.call);
    }
};

// ---- Hooks ----

struct ExecutorHooks
{
    std::function<KeyAccess(ShardKey key, Time now)> access; // held here, in handover, or elsewhere
    std::function<Duration(ShardKey key, Time now)> heldFor; // time left on the grant of the key
    std::function<bool()> hasKeys; // whether the service of the upstream is divided by key
    // Offset up to which this process has read the key tables.
    std::function<std::uint64_t()> tablesEnd;
    // False if the process exits before the deadline.
    std::function<bool(Time deadline)> acceptsRequest;
    // The next three hooks ask about the process at the other end of a connection, whose callers
    // sent the requests. callerAge returns the age of the latest information about which callers
    // are still connected; if it is not set, all callers always count as connected.
    std::function<Duration(std::uint64_t connection, Time now)> callerAge;
    // Sends a probe; noteCallersFresh is called when its reply arrives.
    std::function<void(std::uint64_t connection)> sendProbe;
    std::function<bool(std::uint64_t connection)> isSilent; // whether the process does not answer
    // What limits work at the upstream now. `execute`: the request, nullptr for any request. Not
    // set: nothing does.
    std::function<AdmissionFigures(const wire::Execute *execute, Time now)> figures;
    SpeedHooks speed; // what measures the speed of the upstream
    // A request is sent to the upstream now.
    std::function<void(const wire::Execute &execute, Time now)> sending;
    // A request has ended, whether it was sent or not.
    std::function<void(const wire::Execute &execute, const ExecuteResult &result, Time now)> ended;
    // Returns the retry time that the caller of a refused request is told. Not set: that of the
    // verdict.
    std::function<Duration(const wire::Execute &execute, const Verdict &verdict, Time now)>
            retryAfter;
    // The next two hooks tell the other processes about requests that may crash upstreams. Each may
    // be empty.
    std::function<void(const CrashReport &crash)> crashed;
    std::function<void(Fingerprint fingerprint)> suspectCleared;
};

struct ExecutorSettings
{
    std::string service;
    Address upstream;
    // Maximum wait of a request for a key that is in handover to this host. A handover waits for
    // the running work, about 300 ms.
    Duration maxPendingWait = 700ms;
    // Maximum number of requests that wait for keys; more are refused at once. Twice the size of
    // the queue in front of the upstream, which accepts them when the keys arrive.
    std::size_t maxPending = 128;
    Duration minRemaining = 5ms; // a request with less time left is not sent
    // A request is sent only if the information about its caller is at most this old. No work may
    // begin later than half a second after its caller has disconnected. Detecting the disconnect, a
    // connection to the upstream and the request itself also take part of that time.
    Duration callerAgeLimit = 300ms;
    // The limit for requests with keys, which no other host serves. Repeatable work that runs is
    // ended after the same time: by then the host of the caller has closed the silent connection.
    Duration silentLimit = LinkSettings{}.silentAfter;
    Duration probeWait = 150ms; // wait for the reply to a probe; two round trips between regions
    LimiterSettings limiter;
    // A request is refused after its third crash. A suspect that was sound would be answered when
    // it runs without other suspects, after the second one.
    CrashGuardSettings crashes{.quarantineCrashes = 3,
                               .suspectCrashes = 2,
                               .minCrashSpacing = 300ms,
                               .crashLifetime = 10min,
                               .maxFingerprints = 4096};
    // Charged for the answers of the upstream. nullptr: they have only the limits of the executor.
    ByteBudget *memory = nullptr;
    Duration crashProbeLimit = 400ms; // for the connection that shows whether the upstream listens
};

// ---- Executor ----

// Used on fibers of one thread.
class Executor
{
public:
    Executor(FiberThread &executorThread, UpstreamMonitor &upstreamMonitor, Metrics &stageMetrics,
             ExecutorSettings executorSettings, ExecutorHooks executorHooks);

    // Registers a request that has arrived and that a fiber will run soon, so that it can be
    // cancelled before that. `excessDelay`: delay in transit to this process.
    void announce(ExecuteCaller caller, Time now, Duration excessDelay = {})
    {
        this->announced[caller] = {.at = now, .excessDelay = excessDelay};
    }

    // Runs one request in the calling fiber and returns how it ended.
    ExecuteResult run(const wire::Execute &execute, SharedBody body, ExecuteCaller caller);

    // Returns the answer to a request that this process does not accept.
    wire::ExecuteReply refuse(const wire::Execute &execute, const AdmissionRefusal &refusal,
                              std::string_view reason) const;

    // Cancels a request whose caller has disconnected. If it was not sent yet it is not sent any
    // more; one that was sent is aborted at the upstream if it may be repeated.
    void cancel(ExecuteCaller caller);
    void cancelAll(std::uint64_t connection);

    // Ends all requests now, before this process exits. A request that was sent counts as lost.
    void abortAll();

    // Wakes the requests that wait for newer information about the callers of a connection.
    void noteCallersFresh(std::uint64_t connection);

    // Wakes the requests that wait for one of these keys if the key is now held here or elsewhere.
    void noteAccessChanged(const KeySpan &span);

    // Requests that may crash upstreams. Every process refuses a request that crashed upstreams of
    // any hosts.
    CrashGuard &crashGuard() { return this->guard; }

    // Applies the slots of a new instance of the upstream.
    void noteUpstream(Time now);

    // Drops requests that cannot be served in time and probes the callers of all requests. Call
    // every 50 ms.
    void advance(Time now);

    wire::UpstreamLoad load(const std::string &node, Time now) const;

    // Returns the number of requests for each key since the last call.
    std::map<ShardKey, std::uint32_t> takeKeyCounts();

    std::size_t count() const { return this->running.size(); }

    // Number of requests that wait for their key or for a slot.
    std::size_t waitingCount() const;

private:
    // A request whose fiber has not run yet.
    struct Announced
    {
        Time at{};
        Duration excessDelay{};
        bool isCancelled = false;
    };

    // One request in this process.
    struct Run
    {
        explicit Run(asio::io_context &io)
            : event(std::make_unique<FiberEvent>(io))
        {}

        ExecuteCaller caller;
        bool isIdempotent = false;
        bool isCancelled = false;
        bool isSent = false;
        bool awaitsFreshCaller = false;
        bool isDropped = false;    // by the limiter
        bool isDispatched = false; // by the limiter
        Duration retryAfter{};
        std::string_view refusal; // why the limiter refused the request
        Fingerprint fingerprint = 0;
        Duration excessDelay{};            // in transit to this process
        Duration waited{};                 // until its fiber ran
        std::unique_ptr<FiberEvent> event; // a new one for each wait
        std::shared_ptr<HttpCallHandle> call;
        // Maximum age of the information about the caller when the request is sent.
        Duration callerAgeLimit{};
    };
    using RunPtr = std::shared_ptr<Run>;

    ExecuteResult refuseStaleCaller() const;
    ExecuteResult makeResult(wire::ExecuteOutcome outcome, Duration retryAfter = {},
                             std::string_view reason = {}) const;
    void addLoad(wire::ExecuteReply &reply, Time now) const;
    bool waitForKey(const wire::Execute &execute, const RunPtr &run, Time deadline);
    void removeWaiter(ShardKey key, const RunPtr &run);
    Duration callerAge(const Run &run, Time now) const;
    bool waitForFreshCaller(Run &run, Time deadline);
    void probeCallers(Time now);
    bool waitForSlot(const wire::Execute &execute, const RunPtr &run, std::uint64_t number,
                     Time deadline, Duration &retryAfter);
    ExecuteResult runNow(const wire::Execute &execute, SharedBody body, const RunPtr &run,
                         std::uint64_t number, Time deadline);
    ExecuteResult send(const wire::Execute &execute, SharedBody body, Run &run, Time deadline,
                       CallEnd &end);
    std::optional<ExecuteResult> checkAdmission(const wire::Execute &execute, Time deadline,
                                                Time now) const;
    std::optional<ExecuteResult> checkBeforeSend(const wire::Execute &execute, const Run &run,
                                                 Time deadline, Time now) const;
    ExecuteResult classifyAnswer(const wire::Execute &execute, absl::StatusOr<HttpResponse> answer,
                                 const Run &run, CallEnd &end);
    void noteRunEnded(const wire::Execute &execute, const RunEnd &end, Time now);
    void applyConcurrencyLimit(Time now);
    void dispatchNext();
    void cancelRun(Run &run);
    void wake(Run &run, WakeOrder order) const;
    void wait(Run &run, Duration limit);
    void watchCrashes(Time now);
    void probeUpstream();
    void log(const wire::Execute &execute, const ExecuteResult &result, const Run &run,
             Duration elapsed) const;

    FiberThread &thread;
    UpstreamMonitor &monitor;
    Metrics &metrics;
    ExecutorSettings settings;
    ExecutorHooks hooks;
    HttpClient client;
    EndpointLimiter limiter;
    CrashWatch crashWatch;
    CrashGuard guard;
    UpstreamInstance limitedInstance; // instance that the limiter was made for
    std::uint64_t lastNumber = 0;
    std::unordered_map<std::uint64_t, RunPtr> running; // by number
    std::map<ExecuteCaller, Announced> announced;
    std::multimap<ShardKey, RunPtr> waitingForKey; // entries are removed when the request is woken
    std::map<ShardKey, std::uint32_t> keyCounts;
    double serviceSeconds = 0; // mean time of one request at the upstream
};

} // namespace kumquat
