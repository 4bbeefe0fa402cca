// One connection of the HTTP server. It reads requests, calls the server's hooks to handle them and
// writes the answers in the order of the requests.
//
// One fiber at a time reads from the connection, and it also handles the request that it has read.
// When bytes of a further request arrive meanwhile, another fiber takes over the reading. Pipelined
// requests therefore run concurrently, and a caller that waits for each answer needs only one
// fiber.
//
// Only the server includes this file.
#pragma once

#include "net/http_server.h"
#include "net/http_stream.h"
#include "net/receive_buffer.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace kumquat {

// Connections that wait for a request, with the time at which each became idle.
using IdleConnections = std::map<HttpStream *, std::chrono::steady_clock::time_point>;

// Counters of the server. Connections update them.
struct HttpServerCounts
{
    std::atomic<int> connections{0};
    std::atomic<int> unanswered{0};
};

// Not thread-safe: used on the thread of the server only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(FiberThread &connectionThread, HttpStream::Socket socket,
                   const HttpServerLimits &serverLimits, const HttpServerHooks &serverHooks,
                   IdleConnections &idleConnections, HttpServerCounts &serverCounts,
                   ByteBudget *byteBudget);
    ~HttpConnection();

    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    // Charges the budget for an open connection. Returns false if there is no room.
    bool chargeConnection();

    // Serves the connection in the calling fiber until it ends or another fiber takes over reading.
    void serve() { this->serveAs(this->reader); }

private:
    struct Exchange; // a request whose answer is not yet written
    using ExchangePtr = std::shared_ptr<Exchange>;
    using Clock = std::chrono::steady_clock;

    // Arrival of the first bytes of a request.
    struct Arrival
    {
        Time at{};
        Duration unread{}; // from `at` until the bytes were read
        Duration waited{}; // from the read until the reading fiber ran
    };

    // Reading.
    void serveAs(std::uint64_t readerNumber);
    void serveExchanges(std::uint64_t readerNumber);
    ExchangePtr readNext(std::uint64_t readerNumber);
    ExchangePtr readExchange();
    ErrorCode readMessage(HttpRequestParser &parser, Arrival &arrival);
    HttpResponse refuse(HttpRequestParser &parser, const ErrorCode &error) const;
    void allowEviction(ByteCharge &allowed);
    void chargePending();
    Arrival dateArrival(bool hasArrivedBeforeReader) const;
    ErrorCode awaitBytes();
    void setReadDeadline(Clock::time_point due);
    void waitForCapacity();
    bool hasCapacity() const;
    void handOverReading();
    void watchForDisconnect();
    void onReadable(const ErrorCode &error);
    void scheduleUnreadCheck();
    bool isClosedByCaller();
    bool arrivedBeforeReader();
    void noteDisconnected();
    void drainInput();

    // Handling.
    void process(const ExchangePtr &exchange);
    bool waitForStart(Exchange &exchange);
    bool mayStart(const Exchange &exchange) const;
    void discard(const ExchangePtr &exchange);
    HttpResponse handle(Exchange &exchange);
    void wakeWaiting();

    // Writing.
    void flush();
    bool write(Exchange &exchange, bool keepsOpen);
    bool keepsOpen(const Exchange &exchange) const;
    void noteIdle();
    void finish();

    FiberThread &thread;
    std::shared_ptr<HttpStream> stream;
    const HttpServerLimits &limits;
    const HttpServerHooks &hooks;
    IdleConnections &idle;
    HttpServerCounts &counts;
    ByteBudget *budget;
    ByteCharge charge; // for the connection, its read-ahead buffer and the answers to be written
    std::uint64_t chargedAnswers = 0; // part of `charge`
    std::uint64_t answerBytes = 0;    // of answers that are not completely written
    ReceiveBuffer receiveBuffer;
    std::deque<ExchangePtr> pending; // oldest first
    std::uint64_t pendingBytes = 0;  // of requests and of answers that cannot be written yet
    Time acceptedAt = readBootTime();
    std::string callerIp;       // empty: unknown
    bool isFromOwnHost = false; // both ends have the same address
    bool hasRead = false;       // a read of the first request has started
    std::uint64_t reader = 0;   // number of the reading fiber; grows at each handover
    bool isReading = false;     // the reading fiber reads or waits for data, and handles no request
    bool isAwaiting = false;    // the reading fiber waits for the first bytes of a request
    Clock::time_point readDeadline = Clock::time_point::max(); // of the current read
    bool isWatching = false;                                   // a call of onReadable is pending
    bool isWriting = false;
    bool isDisconnected = false; // the caller has closed the connection
    bool isFinished = false;     // no further answers are written
    bool drainsInput = true; // what follows the last request is read before the connection closes
    std::shared_ptr<FiberEvent> capacityEvent; // signalled after each answer
    asio::steady_timer unreadTimer; // for periodic checks of the connection while data is unread
};

} // namespace kumquat
