// Handles the requests of callers: finds the route and the host, forwards the request, repeats it
// where that is safe, and gives each caller one answer that says reliably whether the request ran.
//
// Sections: hooks, settings, Ingress.
#pragma once

#include "net/http_server.h"
#include "routing/configuration.h"
#include "routing/host_picker.h"
#include "stage/admission_gate.h"
#include "stage/cluster_view.h"
#include "stage/executor.h"
#include "stage/host_backoff.h"
#include "stage/link.h"
#include "stage/metrics.h"
#include "traffic/retry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// ---- Hooks ----

// Calls that a running request at the upstream beside this process makes. Each hook may be empty.
struct CallHooks
{
    // Returns whether a request from the own host is a call. `ended` follows for a call, with the
    // status of its answer.
    std::function<bool(const wire::Execute &execute, Time now)> isCall;
    std::function<void(const wire::Execute &execute, int status, Time now)> ended;
};

// Answers of other hosts, which this host sends to its callers. Each hook may be empty.
struct RelayHooks
{
    // Returns whether links limit the answers: the configuration has routes with large ones.
    std::function<bool()> isLinkLimited;
    // Returns how long an answer would wait for the link.
    std::function<Duration(const wire::Execute &execute, Time now)> wait;
    std::function<void(const wire::Execute &execute, Time now)> sending; // to the other host
    std::function<void(const wire::Execute &execute, const ExecuteResult &result, Time now)> ended;
};

struct IngressHooks
{
    // Called with the end of the key tables that another host has read, when that host did not hold
    // the key of a request.
    std::function<void(const std::string &node, std::uint64_t tablesEnd)> noteTablesEnd;
    // False if the process exits before the deadline.
    std::function<bool(Time deadline)> acceptsRequest;
    // Returns a refusal if this process is overloaded, else nothing.
    std::function<std::optional<AdmissionRefusal>(WorkKind kind)> isOverloaded;
    CallHooks calls;
    RelayHooks relays;
    // Returns the retry time that the caller of a refused request is told. Not set: that of the
    // verdict.
    std::function<Duration(const wire::Execute &execute, const Verdict &verdict, Time now)>
            retryAfter;
};

// ---- Settings ----

struct IngressSettings
{
    std::string node;
    std::string service; // service of the upstream beside this process
    std::string upstreamIp;
    std::string dataCentre;
    std::string region;
    double retryShare = 0.1; // repeated requests as a share of the requests of this process
    double retryFloor = 1;   // repeated requests per second that are always allowed
    // Time beyond the timeout of the route after which this process stops waiting for the answer of
    // another host. That host ends the request by itself at the timeout.
    Duration answerSlack = 30ms;
    Duration moveRetry = 40ms; // delay before a request follows its key to another host
    // Retry time that callers are told while an owner cannot be reached.
    Duration retryAfterLost = 500ms;
    // Maximum number of times that one request is sent again because a host did not hold its key or
    // had no upstream that could serve it (EXECUTE_MISPLACED).
    int maxMoves = 6;
};

// ---- Ingress ----

// Used on fibers of one thread.
class Ingress
{
public:
    Ingress(FiberThread &ingressThread, ClusterView &clusterView, LinkPool &linkPool,
            Executor &ownExecutor, HostPicker &hostPicker, Metrics &stageMetrics,
            IngressSettings ingressSettings, IngressHooks ingressHooks);

    // Serves one request in the calling fiber.
    HttpResponse handle(HttpRequest &request, CallerWatch &watch);

    // Returns whether a request may run in parallel with others of its connection.
    bool mayOverlap(const HttpRequest &request) const;

    // Returns whether this process knows the configuration and the evacuated data centres.
    bool mayServe() const;

    // Answers all requests now, before this process exits. A request that was sent may have run.
    void abortAll();

    // Number of requests without an answer yet.
    std::size_t count() const { return this->active.size(); }

private:
    struct Attempt; // one request of a caller

    HttpResponse serve(Attempt &attempt, const SharedBody &body);
    HttpResponse sendUntilAnswered(Attempt &attempt, const SharedBody &body);
    std::string chooseHost(Attempt &attempt);
    bool isAdmitted(Attempt &attempt, const HostInfo &host, Time now);
    HttpResponse refuseWithoutHost(Attempt &attempt);
    ExecuteResult sendTo(const std::string &node, Attempt &attempt, const SharedBody &body);
    ExecuteResult sendToPeer(const std::string &node, Attempt &attempt, const SharedBody &body);
    bool mayRepeat(Attempt &attempt, const ExecuteResult &result);
    HttpResponse answer(Attempt &attempt, ExecuteResult result);
    HttpResponse refuse(Attempt &attempt, Duration retryAfter, std::string_view reason);
    HttpResponse fail(Attempt &attempt, int status, std::string_view reason);
    void log(const Attempt &attempt, int status) const;
    RetryBudget &budget(const std::string &service);

    FiberThread &thread;
    ClusterView &view;
    LinkPool &links;
    Executor &executor;
    HostPicker &picker;
    HostBackoff hostBackoff;
    Metrics &metrics;
    IngressSettings settings;
    IngressHooks hooks;
    RouteSplitter splitter;
    std::map<std::string, RetryBudget, std::less<>> budgets; // by service
    std::uint64_t lastCall = 0;
    std::set<Attempt *> active;
};

} // namespace kumquat
