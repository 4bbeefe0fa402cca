// Runs requests at the upstream beside this process: checks that it holds the key, limits how many
// run at a time, and says truly whether a request has run.
//
//   ExecuteResult result = executor.run(execute, std::move(body), caller); // in a fiber
//   executor.cancel(caller);
//
// Sections: results, hooks, Executor.
#pragma once

#include "net/http_client.h"
#include "stage/link.h"
#include "stage/metrics.h"
#include "stage/upstream_monitor.h"
#include "stage/work_gate.h"
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
    std::string_view reason;         // why it was not sent, for the log
    std::optional<Duration> heldFor; // what was left of the grant of its key when it was sent
};

// Who waits for a request: a connection between processes and a call on it, or this process itself
// (connection 0).
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
    std::function<KeyAccess(ShardKey key, Time now)> access; // of a key
    std::function<Duration(ShardKey key, Time now)> heldFor; // how long the key's grant lasts
    std::function<bool()> hasKeys;                   // the upstream's service is divided by key
    std::function<std::uint64_t()> tablesEnd;        // up to where this process has read the tables
    std::function<bool(Time deadline)> takesRequest; // false if the process exits before
    // Of the processes that sent the requests, by connection; not set: all are always known.
    // For how long nothing is known of the callers there.
    std::function<Duration(std::uint64_t connection, Time now)> newsAge;
    std::function<void(std::uint64_t connection)> sendQuestion; // noteNews follows an answer
    std::function<bool(std::uint64_t connection)> isSilent;     // it does not answer
};

struct ExecutorSettings
{
    std::string service;
    Address upstream;
    // Requests for keys that are on their way to this host wait so long; a handover takes the time
    // of the work that runs, some 300 ms.
    Duration longestPending = 700ms;
    // More of them are refused at once: twice what the queue in front of the upstream takes then.
    std::size_t mostPending = 128;
    Duration leastRemaining = 5ms; // with less left a request is not sent
    // A request is sent only while this process has heard of all callers that left longer ago: no
    // work may begin half a second after its caller has left, and noticing that, a connection to
    // the upstream and the request itself take time as well.
    Duration newsLimit = 300ms;
    // The same for requests with keys: no other host serves them. Work that may be repeated is
    // ended after it, as the host of its caller has given up a connection that is silent so long.
    Duration silentLimit = LinkSettings{}.silentAfter;
    Duration newsWait = 150ms; // for an answer, two round trips between regions
    LimiterSettings limiter;
};

// ---- Executor ----

// Used on fibers of one thread.
class Executor
{
public:
    Executor(FiberThread &executorThread, UpstreamMonitor &upstreamMonitor, Metrics &stageMetrics,
             ExecutorSettings executorSettings, ExecutorHooks executorHooks);

    // Tells of a request that came now and that a fiber will run soon, so that it can be cancelled
    // before. `delayed`: on its way to this process.
    void announce(ExecuteCaller caller, Time now, Duration delayed = {})
    {
        this->announced[caller] = {.at = now, .delayed = delayed};
    }

    // Runs one request in the calling fiber and returns how it ended.
    ExecuteResult run(const wire::Execute &execute, std::string body, ExecuteCaller caller);

    // Returns the answer to a request that this process does not take.
    wire::ExecuteReply refuse(const wire::Execute &execute, const WorkRefusal &refusal,
                              std::string_view reason) const;

    // Gives up a request whose caller has gone: it is not sent any more, and one that may be
    // repeated is broken off at the upstream.
    void cancel(ExecuteCaller caller);
    void cancelAll(std::uint64_t connection);

    // Ends all requests now, before this process exits: one that was sent counts as lost.
    void breakOff();

    // Wakes the requests that wait for news of the callers of a connection.
    void noteNews(std::uint64_t connection);

    // Wakes the requests that wait for one of these keys if it is held, or elsewhere, by now.
    void noteAccessChanged(const KeySpan &span);

    // Takes the slots of a new life of the upstream.
    void noteUpstream(Time now);

    // Drops requests that wait in vain and looks after the callers of all; call every 50 ms.
    void advance(Time now);

    wire::UpstreamLoad load(const std::string &node, Time now) const;

    // Returns the requests for each key since the last call.
    std::map<ShardKey, std::uint32_t> takeKeyCounts();

    std::size_t count() const { return this->running.size(); }

    // Number of requests that wait for their key or for a slot.
    std::size_t waitingCount() const;

private:
    // A request whose fiber has not run yet.
    struct Announced
    {
        Time at{};
        Duration delayed{};
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
        bool awaitsNews = false;
        bool isDropped = false;    // by the limiter
        bool isDispatched = false; // by the limiter
        Duration retryAfter{};
        std::string_view refusal; // why the limiter did not let it through
        Fingerprint fingerprint = 0;
        Duration delayed{};                // on its way to this process
        Duration waited{};                 // for its fiber to run first
        std::unique_ptr<FiberEvent> event; // a new one for each wait
        std::shared_ptr<HttpCallHandle> call;
        Duration newsLimit{}; // age of news with which it is sent
    };
    using RunPtr = std::shared_ptr<Run>;

    ExecuteResult refuseSilent() const;
    ExecuteResult makeResult(wire::ExecuteOutcome outcome, Duration retryAfter = {},
                             std::string_view reason = {}) const;
    void addLoad(wire::ExecuteReply &reply, Time now) const;
    bool waitForKey(const wire::Execute &execute, const RunPtr &run, Time deadline);
    void forgetWait(ShardKey key, const RunPtr &run);
    Duration newsAge(const Run &run, Time now) const;
    bool waitForNews(Run &run, Time deadline);
    void askForNews(Time now);
    bool waitForSlot(const wire::Execute &execute, const RunPtr &run, std::uint64_t number,
                     Time deadline, Duration &retryAfter);
    ExecuteResult runNow(const wire::Execute &execute, std::string body, const RunPtr &run,
                         std::uint64_t number, Time deadline);
    ExecuteResult send(const wire::Execute &execute, std::string body, Run &run, Time deadline,
                       CallEnd &end);
    std::optional<ExecuteResult> judgeBeforeSend(const wire::Execute &execute, const Run &run,
                                                 Time deadline, Time now) const;
    ExecuteResult judge(const wire::Execute &execute, absl::StatusOr<HttpResponse> answer,
                        const Run &run, CallEnd &end);
    void dispatchNext();
    void cancelRun(Run &run);
    void wake(Run &run, WakeOrder order) const;
    void wait(Run &run, Duration limit);
    void noteCrash(Time now);
    void log(const wire::Execute &execute, const ExecuteResult &result, const Run &run,
             Duration elapsed) const;

    FiberThread &thread;
    UpstreamMonitor &monitor;
    Metrics &metrics;
    ExecutorSettings settings;
    ExecutorHooks hooks;
    HttpClient client;
    EndpointLimiter limiter;
    CrashGuard guard;
    UpstreamInstance limitedLife; // for which the limiter was made
    std::uint64_t lastNumber = 0;
    std::unordered_map<std::uint64_t, RunPtr> running; // by number
    std::map<ExecuteCaller, Announced> announced;
    std::multimap<ShardKey, RunPtr> waitingForKey; // until they are woken
    std::map<ShardKey, std::uint32_t> keyCounts;
    double serviceSeconds = 0; // mean time of one request at the upstream
};

} // namespace kumquat
