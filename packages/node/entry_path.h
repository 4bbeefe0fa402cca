// The entry side of a request: match a rule, find the key's owner, serve or forward, answer.
#pragma once

#include "net/fibers.h"
#include "net/http.h"
#include "node/forwarder.h"
#include "node/owner_path.h"
#include "node/ownership_driver.h"
#include "report/collector.h"
#include "rules/rules.h"
#include "traffic/retry.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace kumquat {

class EntryPath
{
public:
    EntryPath(OwnershipDriver &driver, OwnerPath &owner, Forwarder &forwarder,
              std::function<void(const RequestSample &request, Time now)> report);

    // Answers a caller's request, in a fiber of the worker.
    HttpResponse handle(std::size_t worker, asio::io_context &io, const HttpRequest &request);

    // Serves a request that another process forwarded, in a fiber of the worker.
    RoutedAnswer handleForward(std::size_t worker, asio::io_context &io,
                               const wire::Forward &forward);

    // Answers what could not be read as a request.
    HttpResponse refuse(ErrorKind kind);

    // Requests of callers that have not been answered yet.
    int openRequests() const { return this->open.load(); }

private:
    RoutedAnswer route(std::size_t worker, asio::io_context &io, const RoutedRequest &request);
    RoutedAnswer attempt(std::size_t worker, asio::io_context &io, const RoutedRequest &request);
    // Makes another attempt after a refusal. A refusing process that has read more of the log names
    // the owner, which is asked without a wait for the own log: it may be unreachable from here.
    RoutedAnswer retry(std::size_t worker, asio::io_context &io, const RoutedRequest &request,
                       const RoutedAnswer &refusal);
    OwnerHint findOwnerHint(const RoutedRequest &request, ErrorKind refusal) const;
    bool mayRetry(const RoutedRequest &request, const RoutedAnswer &answer, int attempts);
    void waitForLog(asio::io_context &io, Offset offset, Duration limit);

    OwnershipDriver &driver;
    OwnerPath &owner;
    Forwarder &forwarder;
    std::function<void(const RequestSample &request, Time now)> report;
    std::atomic<int> open{0};
    std::mutex budgetMutex; // guards retryBudget; a leaf lock
    RetryBudget retryBudget;
};

// Returns the answer to a caller for an error.
HttpResponse makeErrorResponse(ErrorKind kind, std::string_view message);

} // namespace kumquat
