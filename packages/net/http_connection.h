// One connection of the HTTP server: reads requests, lets the server's hooks handle them and writes
// the answers in the order of the requests.
//
// One fiber at a time reads. It handles the request that it has read as well; when bytes of a
// further request arrive meanwhile, another fiber goes on reading in its place. So requests that
// were sent ahead run side by side, and a caller that waits for each answer costs one fiber.
//
// Only the server includes this file.
#pragma once

#include "net/http_server.h"
#include "net/http_stream.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace kumquat {

// Connections that wait for a request, with the time since when.
using IdleConnections = std::map<HttpStream *, std::chrono::steady_clock::time_point>;

// Counters of the server; a connection changes them.
struct HttpServerCounts
{
    std::atomic<int> connections{0};
    std::atomic<int> unanswered{0};
};

// Used on one thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(FiberThread &connectionThread, HttpStream::Socket socket,
                   const HttpServerLimits &serverLimits, const HttpServerHooks &serverHooks,
                   IdleConnections &idleConnections, HttpServerCounts &serverCounts);
    ~HttpConnection();

    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    // Serves the connection from the calling fiber, until it ends or another fiber reads it.
    void serve() { this->serveAs(this->reader); }

private:
    struct Exchange; // a request without a written answer
    using ExchangePtr = std::shared_ptr<Exchange>;
    using Clock = std::chrono::steady_clock;

    // Of the first bytes of a request.
    struct Arrival
    {
        Time at{};
        Duration waited{}; // from then until its reader ran
    };

    // Reading.
    void serveAs(std::uint64_t ownReader);
    ExchangePtr readNext(std::uint64_t ownReader);
    ExchangePtr readExchange();
    ErrorCode readMessage(HttpRequestParser &parser, Arrival &arrival);
    ErrorCode awaitBytes();
    void setReadDue(Clock::time_point due);
    void waitForRoom();
    bool hasRoom() const;
    void passOnReading();
    void watchWhileHandling();
    void onReadable(const ErrorCode &error);
    void lookAgainSoon();
    bool isClosedByCaller();
    bool cameBeforeReader();
    void noteGone();
    void drainInput();

    // Handling.
    void process(const ExchangePtr &exchange);
    bool waitForTurn(Exchange &exchange);
    bool isTurnOf(const Exchange &exchange) const;
    void forget(const ExchangePtr &exchange);
    HttpResponse handle(Exchange &exchange);
    void wakeWaiting();

    // Writing.
    void flush();
    bool write(Exchange &exchange, bool keepsOpen);
    bool keepsOpen(const Exchange &exchange) const;
    void noteIdle();
    void drop();

    FiberThread &thread;
    std::shared_ptr<HttpStream> stream;
    const HttpServerLimits &limits;
    const HttpServerHooks &hooks;
    IdleConnections &idle;
    HttpServerCounts &counts;
    std::deque<ExchangePtr> pending; // oldest first
    std::uint64_t pendingBytes = 0;  // of requests and of answers that can't be written yet
    Time acceptedAt = readBootTime();
    bool hasRead = false;     // a request, or waited for one
    std::uint64_t reader = 0; // which fiber reads; grows when another one takes over
    bool isReading = false;   // the reader reads, or waits to; it does not handle a request
    bool isAwaiting = false;  // the reader waits for the first bytes of a request
    Clock::time_point readDue = Clock::time_point::max(); // of what the reader does
    bool isWatching = false;                              // onReadable will be called
    bool isWriting = false;
    bool isGone = false;              // the caller has closed the connection
    bool isFinished = false;          // nothing more is written
    std::shared_ptr<FiberEvent> room; // the reader waits for an answer to be written
    asio::steady_timer unreadTimer;   // of a look at the connection while bytes lie unread
};

} // namespace kumquat
