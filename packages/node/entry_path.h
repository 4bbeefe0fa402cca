// Handles a request in the process that received it from the caller: matches a rule, finds the
// owner of the key, serves the request or forwards it to the owner, and answers the caller.
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

    // Returns the answer to input that could not be parsed as a request.
    HttpResponse refuse(ErrorKind kind);

    // Returns the number of callers' requests that have not been answered yet.
    int openRequests() const { return this->open.load(); }

private:
    RoutedAnswer route(std::size_t worker, asio::io_context &io, const RoutedRequest &request);
    RoutedAnswer attempt(std::size_t worker, asio::io_context &io, const RoutedRequest &request);
    // Makes another attempt after a refusal. If the refusing process has read more of the log, it
    // may name the owner. The request is then forwarded to that owner without waiting until this
    // process has read as much, because the log service may be unreachable from here.
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
    std::mutex budgetMutex; // guards retryBudget; no other lock is taken while it is held
    RetryBudget retryBudget;
};

// Returns the HTTP answer to a caller for an error.
HttpResponse makeErrorResponse(ErrorKind kind, std::string_view message);

} // namespace kumquat
