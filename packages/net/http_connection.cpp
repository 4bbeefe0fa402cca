// Sections: exchange, reading, handling, writing.
#include "net/http_connection.h"

#include "base/containment.h"
#include "net/socket_state.h"

#include <boost/beast/http/error.hpp>

#include <poll.h>

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::size_t readChunkBytes = 64UL * 1024;
constexpr Duration drainTimeout = 1s;

// Memory of an open connection: its objects, the first read buffer and the used part of the stack
// of its fiber.
constexpr std::uint64_t connectionBytes = 24UL * 1024;

// If the reading fiber starts later than this after the accept and data has already arrived, the
// first request counts as read at the accept.
constexpr Duration readerStartLimit = 50ms;

// Interval between checks for a disconnected caller while data of this caller is unread.
constexpr Duration unreadCheckInterval = 100ms;

ErrorKind kindOfReadError(const ErrorCode &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return ErrorKind::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ErrorKind::BodyTooLarge;
    }
    return ErrorKind::BadRequest;
}

// Returns whether a read error is reported to the caller. A closed or broken connection is not.
bool isProtocolError(const ErrorCode &error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
           && error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

// ---- Exchange ----

struct HttpConnection::Exchange : CallerWatch
{
    explicit Exchange(HttpConnection &parent)
        : connection(parent)
    {}

    void onDisconnected(std::function<void()> hook) override
    {
        if (this->connection.isDisconnected) {
            hook();
        } else {
            this->disconnectHook = std::move(hook);
        }
    }

    void allowOverlap() override
    {
        this->mayOverlap = true;
        this->connection.wakeWaiting();
    }

    HttpConnection &connection;
    HttpRequest request;
    HttpResponse response;
    int version = 11; // HTTP version times ten
    bool isHead = false;
    bool keepAlive = false;
    bool mayOverlap = false; // set only if pipelined or being handled
    bool isStarted = false;
    bool isDone = false;
    std::uint64_t bytes = 0;
    std::function<void()> disconnectHook;
    std::shared_ptr<FiberEvent> startEvent; // set while a fiber waits to start
};

HttpConnection::HttpConnection(FiberThread &connectionThread, HttpStream::Socket socket,
                               const HttpServerLimits &serverLimits,
                               const HttpServerHooks &serverHooks, IdleConnections &idleConnections,
                               HttpServerCounts &serverCounts, ByteBudget *byteBudget)
    : thread(connectionThread)
    , stream(HttpStream::create(std::move(socket), serverLimits.maxHeaderBytes + readChunkBytes))
    , limits(serverLimits)
    , hooks(serverHooks)
    , idle(idleConnections)
    , counts(serverCounts)
    , budget(byteBudget)
    , charge(byteBudget)
    , receiveBuffer(*this->stream, this->charge, byteBudget, serverLimits.receiveBufferBytes)
    , unreadTimer(connectionThread.io())
{
    ++this->counts.connections;
    if (this->budget != nullptr) {
        this->stream->setCharge(&this->charge);
    }
    ErrorCode remoteError;
    ErrorCode localError;
    const auto remote = this->stream->socket().remote_endpoint(remoteError);
    const auto local = this->stream->socket().local_endpoint(localError);
    if (!remoteError && !localError) {
        this->callerIp = remote.address().to_string();
        this->isFromOwnHost = remote.address() == local.address();
    }
}

HttpConnection::~HttpConnection()
{
    this->idle.erase(this->stream.get());
    this->stream->setCharge(nullptr);
    this->stream->close();
    --this->counts.connections;
}

bool HttpConnection::chargeConnection()
{
    return this->charge.tryResize(connectionBytes + maxUnreadBytes(this->limits.receiveBufferBytes),
                                  readBootTime());
}

// Lets others evict the connection while it makes no progress with what `allowed` was charged for.
void HttpConnection::allowEviction(ByteCharge &allowed)
{
    if (this->budget != nullptr) {
        allowed.allowEviction([opened = this->stream] { opened->close(); }, readBootTime());
    }
}

// Charges the answers that wait or are being written. They are kept even if there is no room,
// because their requests have run.
void HttpConnection::chargePending()
{
    // Less than was charged is left after an eviction.
    const std::uint64_t all = this->charge.bytes();
    const std::uint64_t others = all - std::min(all, this->chargedAnswers);
    this->charge.resize(others + this->answerBytes, readBootTime());
    this->chargedAnswers = this->answerBytes;
}

// ---- Reading ----

void HttpConnection::serveAs(std::uint64_t readerNumber)
{
    const bool isServed =
            runContained(ContainedWork::Connection, [&] { this->serveExchanges(readerNumber); });
    if (!isServed && !this->isFinished) {
        this->isDisconnected = true;
        this->finish();
    }
}

void HttpConnection::serveExchanges(std::uint64_t readerNumber)
{
    while (const ExchangePtr exchange = this->readNext(readerNumber)) {
        const bool isLast = !exchange->keepAlive;
        if (!isLast && this->stream->buffered() > 0 && this->hasCapacity()) {
            this->handOverReading();
        }
        this->process(exchange);
        if (readerNumber != this->reader) {
            return;
        }
        if (isLast) {
            break;
        }
    }
    if (readerNumber == this->reader && this->isFinished && this->drainsInput) {
        this->drainInput();
    }
}

// Returns the next request, or nullptr if there is none or another fiber has taken over reading.
HttpConnection::ExchangePtr HttpConnection::readNext(std::uint64_t readerNumber)
{
    if (readerNumber != this->reader) {
        return nullptr;
    }
    this->isReading = true;
    ExchangePtr exchange = this->readExchange();
    this->isReading = false;
    return exchange;
}

HttpConnection::ExchangePtr HttpConnection::readExchange()
{
    this->waitForCapacity();
    if (this->isFinished || this->isDisconnected) {
        return nullptr;
    }
    const auto messageCharge =
            this->budget != nullptr ? std::make_shared<ByteCharge>(this->budget) : nullptr;
    HttpRequestParser parser(nullptr, messageCharge);
    parser.maxBodyBytes = this->budget != nullptr
                                  ? std::min(this->limits.maxBodyBytes, this->budget->capacity())
                                  : this->limits.maxBodyBytes;
    parser.header_limit(this->limits.maxHeaderBytes);
    parser.body_limit(this->limits.maxBodyBytes);
    Arrival arrival;
    const ErrorCode error = this->readMessage(parser, arrival);
    if (this->isFinished) {
        return nullptr; // an answer closed the connection, so this request counts as not read
    }
    if (error && !isProtocolError(error)) {
        this->noteDisconnected();
        return nullptr;
    }
    auto exchange = std::make_shared<Exchange>(*this);
    exchange->version = parser.version;
    exchange->isHead = parser.message.method == "HEAD";
    if (error) {
        exchange->response = this->refuse(parser, error);
        exchange->isDone = true;
        this->drainsInput = error != http::error::bad_chunk_extension;
    } else {
        exchange->keepAlive = parser.keep_alive();
        exchange->request = std::move(parser.message);
        exchange->request.charge = messageCharge;
        exchange->request.receivedAt = arrival.at;
        exchange->request.waitTime = arrival.waited;
        exchange->request.unreadTime = arrival.unread;
        exchange->request.readTime = readBootTime() - arrival.at;
        exchange->request.callerIp = this->callerIp;
        exchange->request.isFromOwnHost = this->isFromOwnHost;
        exchange->bytes = exchange->request.body.size() + exchange->request.target.size();
        const bool isPipelined = !this->pending.empty();
        exchange->mayOverlap =
                isPipelined && this->hooks.mayOverlap && this->hooks.mayOverlap(exchange->request);
    }
    this->pending.push_back(exchange);
    this->pendingBytes += exchange->bytes;
    ++this->counts.unanswered;
    return exchange;
}

HttpResponse HttpConnection::refuse(HttpRequestParser &parser, const ErrorCode &error) const
{
    if (parser.lacksRoom && this->hooks.refuseForMemory) {
        return this->hooks.refuseForMemory(parser.message);
    }
    return this->hooks.refuse(parser.lacksRoom ? ErrorKind::Overloaded : kindOfReadError(error));
}

ErrorCode HttpConnection::readMessage(HttpRequestParser &parser, Arrival &arrival)
{
    const bool hasArrivedBefore = this->arrivedBeforeReader();
    if (this->stream->buffered() == 0) {
        if (const ErrorCode error = this->awaitBytes()) {
            return error;
        }
    }
    arrival = this->dateArrival(hasArrivedBefore);
    this->setReadDeadline(Clock::now() + this->limits.messageLimit);
    if (parser.charge) {
        this->allowEviction(*parser.charge);
    }
    const ErrorCode error = this->stream->read(parser, [&] {
        this->receiveBuffer.grow(parser.knownBodyBytes(), parser.isAnnounced());
    });
    this->receiveBuffer.reset();
    if (parser.charge) {
        parser.charge->forbidEviction();
    }
    if (!this->isWriting) {
        this->charge.forbidEviction();
    }
    this->setReadDeadline(Clock::time_point::max());
    return error;
}

// The bytes in the buffer arrived before the last read, and no later than the last bytes that the
// kernel received: a thread that is held up reads late.
HttpConnection::Arrival HttpConnection::dateArrival(bool hasArrivedBeforeReader) const
{
    const Time readAt = hasArrivedBeforeReader ? this->acceptedAt : this->stream->lastReadAt();
    const Time now = readBootTime();
    const Duration age = timeSinceLastArrival(this->stream->socket().native_handle());
    const Time arrivedAt = std::min(readAt, now - age);
    return {.at = arrivedAt, .unread = readAt - arrivedAt, .waited = now - readAt};
}

ErrorCode HttpConnection::awaitBytes()
{
    this->isAwaiting = true;
    if (this->pending.empty()) {
        this->noteIdle();
    }
    this->stream->releaseMemory();
    const ErrorCode error = this->stream->readMore(this->limits.newRequestOrder);
    this->idle.erase(this->stream.get());
    this->isAwaiting = false;
    return error;
}

void HttpConnection::setReadDeadline(Clock::time_point due)
{
    this->readDeadline = due;
    this->stream->expireAt(due);
}

bool HttpConnection::hasCapacity() const
{
    return this->pending.size() < static_cast<std::size_t>(this->limits.maxPipelined)
           && this->pendingBytes <= this->limits.maxPipelinedBytes;
}

void HttpConnection::waitForCapacity()
{
    while (!this->hasCapacity() && !this->isFinished && !this->isDisconnected) {
        this->capacityEvent = std::make_shared<FiberEvent>(this->thread.io());
        const bool hasCapacityNow = this->capacityEvent->waitFor(unreadCheckInterval);
        if (!hasCapacityNow && this->isClosedByCaller()) {
            this->noteDisconnected();
        }
    }
}

// Lets another fiber take over reading, as the current reading fiber is about to handle a request.
void HttpConnection::handOverReading()
{
    ++this->reader;
    this->isReading = true;
    this->thread.spawn(
            [self = this->shared_from_this(), number = this->reader] { self->serveAs(number); },
            this->limits.newRequestOrder);
}

void HttpConnection::watchForDisconnect()
{
    if (this->isWatching) {
        return;
    }
    this->isWatching = true;
    this->stream->socket().async_wait(
            Tcp::socket::wait_read,
            [self = this->shared_from_this()](const ErrorCode &error) { self->onReadable(error); });
}

void HttpConnection::onReadable(const ErrorCode &error)
{
    this->isWatching = false;
    if (this->isReading || this->isFinished || this->pending.empty()) {
        return; // the reading fiber detects a disconnect, or no request is pending
    }
    if (error || this->isClosedByCaller()) {
        this->noteDisconnected();
    } else if (this->hasCapacity() && this->pending.back()->keepAlive) {
        this->handOverReading();
    } else {
        this->scheduleUnreadCheck();
    }
}

// Uses a timer, because a wait for readability returns at once while data is unread.
void HttpConnection::scheduleUnreadCheck()
{
    this->isWatching = true;
    this->unreadTimer.expires_after(unreadCheckInterval);
    this->unreadTimer.async_wait(
            [self = this->shared_from_this()](const ErrorCode &) { self->onReadable({}); });
}

// Returns whether the first request arrived while the connection waited for its fiber. Its exact
// time of arrival is unknown, so its time then counts from the accept of the connection.
bool HttpConnection::arrivedBeforeReader()
{
    if (std::exchange(this->hasRead, true)
        || readBootTime() - this->acceptedAt < readerStartLimit) {
        return false;
    }
    char byte = 0;
    return recv(this->stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool HttpConnection::isClosedByCaller()
{
    const int handle = this->stream->socket().native_handle();
    char byte = 0;
    const ssize_t count = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) { // a close may follow these bytes
        pollfd state{.fd = handle, .events = POLLRDHUP, .revents = 0};
        return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpConnection::noteDisconnected()
{
    this->isDisconnected = true;
    const std::deque<ExchangePtr> waiting = this->pending;
    for (const ExchangePtr &exchange : waiting) {
        if (exchange->disconnectHook) {
            std::exchange(exchange->disconnectHook, nullptr)();
        }
    }
    this->wakeWaiting();
}

// Reads and discards what the caller still sends. Closing a socket with unread data resets the
// connection, which could destroy the last answer before the caller has read it.
void HttpConnection::drainInput()
{
    this->setReadDeadline(Clock::now() + drainTimeout);
    std::uint64_t total = this->stream->dropBuffered();
    while (total < 2 * this->limits.maxBodyBytes && !this->stream->readMore()) {
        total += this->stream->dropBuffered();
    }
}

// ---- Handling ----

void HttpConnection::process(const ExchangePtr &exchange)
{
    if (!exchange->isDone && !this->waitForStart(*exchange)) {
        this->discard(exchange);
    } else if (!exchange->isDone) {
        exchange->isStarted = true;
        if (!this->isReading && this->hooks.handleWatched) {
            // The request may have waited unread for long, and its caller may have disconnected
            // after sending it.
            if (this->isClosedByCaller()) {
                this->noteDisconnected();
            }
            this->watchForDisconnect();
        }
        exchange->response = this->handle(*exchange);
        exchange->disconnectHook = nullptr;
        exchange->isDone = true;
        exchange->request.charge = nullptr; // the handler has taken the body
        exchange->request.body = std::string();
        exchange->bytes += exchange->response.body.size();
        this->pendingBytes += exchange->response.body.size();
        this->answerBytes += exchange->response.body.size();
        this->chargePending();
    }
    this->flush();
}

// Returns false if the connection ends before the request may start.
bool HttpConnection::waitForStart(Exchange &exchange)
{
    while (!this->isFinished && !this->isDisconnected && !this->mayStart(exchange)) {
        exchange.startEvent = std::make_shared<FiberEvent>(this->thread.io());
        exchange.startEvent->waitFor(this->limits.messageLimit);
    }
    return !this->isFinished && !this->isDisconnected;
}

// Returns whether a request may run concurrently with the earlier ones. While the server shuts down
// none may: an earlier answer closes the connection, and the later request counts as not read.
bool HttpConnection::mayStart(const Exchange &exchange) const
{
    if (this->pending.front().get() == &exchange) {
        return true;
    }
    if (!exchange.mayOverlap || this->hooks.isClosing()) {
        return false;
    }
    for (const ExchangePtr &earlier : this->pending) {
        if (earlier.get() == &exchange) {
            return true;
        }
        if (!earlier->mayOverlap) {
            return false;
        }
    }
    return false;
}

// Removes a request that will not be handled from the pending ones.
void HttpConnection::discard(const ExchangePtr &exchange)
{
    if (std::erase(this->pending, exchange) > 0) {
        this->pendingBytes -= exchange->bytes;
        --this->counts.unanswered;
    }
}

HttpResponse HttpConnection::handle(Exchange &exchange)
{
    HttpResponse response;
    const bool isHandled = runContained(ContainedWork::Request, [&] {
        response = this->hooks.handleWatched ? this->hooks.handleWatched(exchange.request, exchange)
                                             : this->hooks.handle(exchange.request);
    });
    return isHandled ? std::move(response) : this->hooks.refuse(ErrorKind::Internal);
}

void HttpConnection::wakeWaiting()
{
    for (const ExchangePtr &exchange : this->pending) {
        if (exchange->startEvent) {
            exchange->startEvent->notify();
        }
    }
    if (this->capacityEvent) {
        this->capacityEvent->notify();
    }
}

// ---- Writing ----

// Writes the answers that are complete, in order. Only one fiber at a time writes.
void HttpConnection::flush()
{
    if (this->isWriting) {
        return;
    }
    this->isWriting = true;
    while (!this->pending.empty() && this->pending.front()->isDone && !this->isFinished) {
        const ExchangePtr exchange = this->pending.front();
        const bool keepsOpen = this->keepsOpen(*exchange);
        const bool isOpen = this->write(*exchange, keepsOpen) && keepsOpen;
        this->pending.pop_front();
        this->answerBytes -=
                std::min<std::uint64_t>(this->answerBytes, exchange->response.body.size());
        this->chargePending();
        this->pendingBytes -= exchange->bytes;
        --this->counts.unanswered;
        if (!isOpen) {
            this->finish();
        }
        this->wakeWaiting();
    }
    this->isWriting = false;
    if (this->pending.empty() && this->isAwaiting && !this->isFinished) {
        this->noteIdle();
    }
}

bool HttpConnection::write(Exchange &exchange, bool keepsOpen)
{
    std::string &output = this->stream->output;
    output.clear();
    const std::string_view body =
            appendResponse(output, exchange.response, exchange.version, keepsOpen, exchange.isHead);
    this->stream->expireAfter(this->limits.messageLimit);
    this->allowEviction(this->charge);
    const bool isWritten = !this->stream->write(output, body);
    this->charge.forbidEviction();
    this->stream->expireAt(this->readDeadline);
    if (isWritten && this->hooks.answerWritten) {
        this->hooks.answerWritten(this->stream, output.size() + body.size());
    }
    return isWritten;
}

// Returns whether the connection stays open. Requests that have started still get their answers.
bool HttpConnection::keepsOpen(const Exchange &exchange) const
{
    const bool hasStarted =
            std::any_of(this->pending.begin() + 1, this->pending.end(),
                        [](const ExchangePtr &later) { return later->isStarted || later->isDone; });
    return exchange.keepAlive && (hasStarted || !this->hooks.isClosing());
}

void HttpConnection::noteIdle()
{
    const auto now = Clock::now();
    this->setReadDeadline(now + this->limits.idleLimit);
    this->idle[this->stream.get()] = now;
    this->allowEviction(this->charge);
}

// Closes the sending side after the last answer. Later requests that were read count as not read.
void HttpConnection::finish()
{
    this->isFinished = true;
    this->unreadTimer.cancel();
    this->counts.unanswered -= static_cast<int>(this->pending.size());
    const std::deque<ExchangePtr> dropped = std::exchange(this->pending, {});
    for (const ExchangePtr &exchange : dropped) {
        if (exchange->disconnectHook) {
            std::exchange(exchange->disconnectHook, nullptr)();
        }
        if (exchange->startEvent) {
            exchange->startEvent->notify();
        }
    }
    this->answerBytes = 0;
    this->chargePending();
    this->allowEviction(this->charge);
    ErrorCode ignored;
    this->stream->socket().shutdown(Tcp::socket::shutdown_send, ignored);
    this->setReadDeadline(Clock::now() + drainTimeout);
}

} // namespace kumquat
