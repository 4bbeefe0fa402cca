// HTTP server based on Boost.Beast. Pipelined requests, which a caller sends before it has the
// answers to earlier ones, run concurrently where that is allowed and are answered in their order.
//
//   auto server = HttpServer::create(thread, limits, {.handle = handleRequest, .refuse = refuse});
//   absl::Status status = server->listen(address, /*shared=*/true);
#pragma once

#include "base/address.h"
#include "base/errors.h"
#include "net/fibers.h"
#include "net/http.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace kumquat {

class HttpStream;

struct HttpServerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    int maxConnections = 10'000; // further ones are closed at once
    // Receive buffer of a connection in the kernel, which a budget is charged for: what callers
    // send fills it while the server does not read. It grows while a longer body is received, and
    // applies from the next listen() on. 0: the default of the system, not charged.
    std::uint32_t receiveBufferBytes = 0;
    Duration idleLimit = 75s; // between two requests
    int maxPipelined = 8;     // unanswered requests of a connection; further ones are not read
    std::uint64_t maxPipelinedBytes = 1024ULL * 1024; // of requests and answers, per connection
    Duration messageLimit = 10s; // to receive a whole request, or to send a whole answer
    WakeOrder newRequestOrder = WakeOrder::InTurn; // of fibers for new connections and requests
};

// Interface between the handler of a request and the connection of its caller.
class CallerWatch
{
public:
    CallerWatch() = default;
    virtual ~CallerWatch() = default;

    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

    // Sets a hook that is called at most once, while the handler runs, when the caller has closed
    // the connection.
    virtual void onDisconnected(std::function<void()> hook) = 0;

    // Allows later pipelined requests to run concurrently with this one, if they may overlap too.
    virtual void allowOverlap() = 0;
};

struct HttpServerHooks
{
    std::function<HttpResponse(const HttpRequest &)> handle; // runs in a fiber and may block it
    // Replaces `handle` if set.
    std::function<HttpResponse(HttpRequest &, CallerWatch &)> handleWatched;
    std::function<HttpResponse(ErrorKind)> refuse; // answer to an invalid request
    // Answer to a request that the budget has no room for. Its body is missing. Not set: `refuse`
    // with Overloaded.
    std::function<HttpResponse(HttpRequest &)> refuseForMemory;
    std::function<bool()> isClosing; // if true, a connection is closed after its answer
    // Returns whether a pipelined request may run concurrently with earlier ones. Not set: none
    // may.
    std::function<bool(const HttpRequest &)> mayOverlap;
    // Called after an answer of this many bytes was written.
    std::function<void(const std::shared_ptr<HttpStream> &, std::size_t)> answerWritten;
};

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    // `budget`: charged for the bytes of connections, requests and answers. nullptr: they have
    // only the limits. It must outlive the server's thread.
    static std::shared_ptr<HttpServer> create(FiberThread &thread, HttpServerLimits limits,
                                              HttpServerHooks hooks, ByteBudget *budget = nullptr);

    // Starts to listen and to accept. With `shared`, several servers may listen on the same port,
    // and the kernel distributes connections among them. Error: SettingsInvalid if the address
    // cannot be bound.
    absl::Status listen(const Address &address, bool shared);

    // Replaces the limits. Requests that are being read keep the old limits. A longer idle limit
    // also applies to connections that are idle already, because their callers rely on it. Call
    // on the thread.
    void setLimits(HttpServerLimits newLimits);

    // Closes the listening socket. Open connections stay open. Callable from any thread.
    void stopAccepting();

    // Number of open connections.
    int connectionCount() const;

    // Number of requests that were read and whose answers are not completely written.
    int unansweredCount() const;

    ~HttpServer();

private:
    struct Listener;
    struct State; // shared by the connections

    HttpServer(FiberThread &thread, HttpServerLimits limits, HttpServerHooks hooks,
               ByteBudget *budget);
    void acceptNext(const std::shared_ptr<Listener> &opened);

    FiberThread &thread;
    HttpServerLimits limits;
    HttpServerHooks hooks;
    ByteBudget *budget;
    std::unique_ptr<State> state;
    std::shared_ptr<Listener> listener;
};

} // namespace kumquat
