// HTTP server over Boost.Beast. Requests that a caller sends ahead on one connection are handled
// side by side where that is allowed, and answered in their order.
//
//   HttpServer server(thread, limits, [](const HttpRequest &request) { return HttpResponse{}; });
//   absl::Status status = server.listen(address, /*shared=*/true);
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

struct HttpServerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    int maxConnections = 10'000; // further ones are closed at once
    Duration idleLimit = 75s;    // between requests
    int maxPipelined = 8; // requests of one connection without an answer; further ones are not read
    std::uint64_t maxPipelinedBytes = 1024ULL * 1024; // of these requests and their answers
    Duration messageLimit = 10s; // for one whole request to arrive, or answer to leave
    WakeOrder newRequestOrder = WakeOrder::InTurn; // fibers that take connections and requests
};

// What the handler of a request and the connection of its caller tell each other.
class CallerWatch
{
public:
    CallerWatch() = default;
    virtual ~CallerWatch() = default;

    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

    // Calls the hook at most once, until the handler returns, when the caller has closed the
    // connection.
    virtual void onDisconnected(std::function<void()> hook) = 0;

    // Lets requests behind this one run beside it, if they may overlap as well.
    virtual void allowOverlap() = 0;
};

struct HttpServerHooks
{
    std::function<HttpResponse(const HttpRequest &)> handle; // runs in a fiber, may wait
    // Takes the place of `handle` if set.
    std::function<HttpResponse(HttpRequest &, CallerWatch &)> handleWatched;
    std::function<HttpResponse(ErrorKind)> refuse; // answer to a request that is not HTTP
    std::function<bool()> isClosing;               // true: close after this answer
    // Whether a request that was sent ahead may run beside those before it; not set: none may.
    std::function<bool(const HttpRequest &)> mayOverlap;
};

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    static std::shared_ptr<HttpServer> create(FiberThread &thread, HttpServerLimits limits,
                                              HttpServerHooks hooks);

    // Listens and accepts. With `shared`, several servers may listen on the same port and the
    // kernel spreads connections over them. Error: SettingsInvalid if the address cannot be bound.
    absl::Status listen(const Address &address, bool shared);

    // Replaces the limits; requests that are being read keep the old ones. A longer idle time holds
    // for connections that are idle already, as their callers count on it. Call on the thread.
    void setLimits(HttpServerLimits newLimits);

    // Closes the listening socket; open connections go on. Callable from any thread.
    void stopAccepting();

    // Number of open connections.
    int connectionCount() const;

    // Number of requests that were read and whose answers have not been written whole.
    int unansweredCount() const;

    ~HttpServer();

private:
    struct Listener;
    struct State; // that connections share

    HttpServer(FiberThread &thread, HttpServerLimits limits, HttpServerHooks hooks);
    void acceptNext(const std::shared_ptr<Listener> &opened);

    FiberThread &thread;
    HttpServerLimits limits;
    HttpServerHooks hooks;
    std::unique_ptr<State> state;
    std::shared_ptr<Listener> listener;
};

} // namespace kumquat
