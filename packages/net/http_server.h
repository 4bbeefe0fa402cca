// HTTP server over Boost.Beast: one fiber per connection.
//
//   HttpServer server(thread, limits, [](const HttpRequest &request) { return HttpResponse{}; });
//   absl::Status status = server.listen(address, /*shared=*/true);
#pragma once

#include "base/address.h"
#include "base/errors.h"
#include "net/fibers.h"
#include "net/http.h"

#include <absl/status/status.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace kumquat {

struct HttpServerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    int maxConnections = 10'000; // further ones are closed at once
    Duration idleLimit = 75s;    // between requests
    Duration messageLimit = 10s; // for one whole request to arrive, or answer to leave
};

// Tells the handler of a request when its caller closes the connection.
class CallerWatch
{
public:
    virtual ~CallerWatch() = default;

    // Calls the hook at most once, until the handler returns.
    virtual void onGone(std::function<void()> hook) = 0;
};

struct HttpServerHooks
{
    std::function<HttpResponse(const HttpRequest &)> handle; // runs in a fiber, may wait
    // Takes the place of `handle` if set.
    std::function<HttpResponse(HttpRequest &, CallerWatch &)> handleWatched;
    std::function<HttpResponse(ErrorKind)> refuse; // answer to a request that is not HTTP
    std::function<bool()> isClosing;               // true: close after this answer
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
    int connectionCount() const { return this->connections.load(); }

    // Number of requests that were read and whose answers have not been written whole.
    int unansweredCount() const { return this->unanswered.load(); }

private:
    struct Listener;

    HttpServer(FiberThread &thread, HttpServerLimits limits, HttpServerHooks hooks);
    void acceptNext(const std::shared_ptr<Listener> &opened);

    FiberThread &thread;
    HttpServerLimits limits;
    HttpServerHooks hooks;
    std::map<class HttpStream *, std::chrono::steady_clock::time_point> idleSince; // connections
    std::shared_ptr<Listener> listener;
    std::atomic<int> connections{0};
    std::atomic<int> unanswered{0};
};

} // namespace kumquat
