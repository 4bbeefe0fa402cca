// Takes requests of callers: finds the route and the host, passes the request on, repeats it where
// that is safe, and gives each caller one true answer.
//
// Sections: hooks, settings, Ingress.
#pragma once

#include "net/http_server.h"
#include "routing/configuration.h"
#include "routing/host_picker.h"
#include "stage/host_backoff.h"
#include "stage/cluster_view.h"
#include "stage/executor.h"
#include "stage/link.h"
#include "stage/metrics.h"
#include "stage/admission_gate.h"
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

struct IngressHooks
{
    std::function<void(const std::string &node, std::uint64_t tablesEnd)> noteTablesEnd;
    std::function<bool(Time deadline)> acceptsRequest; // false if the process exits before
    // Returns nothing unless this process is behind.
    std::function<std::optional<AdmissionRefusal>(WorkKind kind)> isOverloaded;
};

// ---- Settings ----

struct IngressSettings
{
    std::string node;
    std::string service; // of the upstream beside this process
    std::string dataCentre;
    std::string region;
    double retryShare = 0.1; // of the requests of this process
    double retryFloor = 1;   // repeats a second that are always allowed
    // Time after the route's timeout at which the answer of another host is no longer waited for;
    // the host gives up by itself at the timeout.
    Duration answerSlack = 30ms;
    Duration moveRetry = 40ms;       // before a request follows its key to another host
    Duration retryAfterLost = 500ms; // told to callers while an owner can't be reached
    int mostMoves = 6;               // of one request from host to host, none of which ran it
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

    // Says whether a request may run beside others of its connection.
    bool mayOverlap(const HttpRequest &request) const;

    // Answers all requests now, before this process exits: one that was sent may have run.
    void abortAll();

    // Number of requests that have no answer yet.
    std::size_t count() const { return this->active.size(); }

private:
    struct Attempt; // one request of a caller

    HttpResponse serve(Attempt &attempt, std::string &body);
    HttpResponse serveFrom(Attempt &attempt, std::string &body);
    std::string chooseHost(const Attempt &attempt);
    ExecuteResult sendTo(const std::string &node, Attempt &attempt, const std::string &body);
    ExecuteResult sendAway(const std::string &node, Attempt &attempt, const std::string &body);
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
