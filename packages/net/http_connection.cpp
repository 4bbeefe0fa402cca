// Sections: exchange, reading, handling, writing.
#include "net/http_connection.h"

#include <boost/beast/http/error.hpp>

#include <poll.h>

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::size_t readChunkBytes = 64UL * 1024;
constexpr Duration drainLimit = 1s;

// A first request that came within this time of its connection counts from when it was read.
constexpr Duration unwatchedLimit = 50ms;

// Between two looks whether the caller is there while bytes of it lie unread.
constexpr Duration unreadLook = 100ms;

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

// A read error that is answered, in contrast to a closed or broken connection.
bool isProtocolError(const ErrorCode &error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
           && error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

// ---- Exchange ----

struct HttpConnection::Exchange : CallerWatch
{
    explicit Exchange(HttpConnection &served)
        : connection(served)
    {}

    void onDisconnected(std::function<void()> newHook) override
    {
        if (this->connection.isGone) {
            newHook();
        } else {
            this->goneHook = std::move(newHook);
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
    int version = 11; // of HTTP, times ten
    bool isHead = false;
    bool keepAlive = false;
    bool mayOverlap = false; // known for requests that were sent ahead or are being handled
    bool isStarted = false;
    bool isDone = false;
    std::uint64_t bytes = 0;
    std::function<void()> goneHook;
    std::shared_ptr<FiberEvent> turn; // its fiber waits until it may start
};

HttpConnection::HttpConnection(FiberThread &connectionThread, HttpStream::Socket socket,
                               const HttpServerLimits &serverLimits,
                               const HttpServerHooks &serverHooks, IdleConnections &idleConnections,
                               HttpServerCounts &serverCounts)
    : thread(connectionThread)
    , stream(HttpStream::create(std::move(socket), serverLimits.maxHeaderBytes + readChunkBytes))
    , limits(serverLimits)
    , hooks(serverHooks)
    , idle(idleConnections)
    , counts(serverCounts)
    , unreadTimer(connectionThread.io())
{
    ++this->counts.connections;
}

HttpConnection::~HttpConnection()
{
    this->idle.erase(this->stream.get());
    this->stream->close();
    --this->counts.connections;
}

// ---- Reading ----

void HttpConnection::serveAs(std::uint64_t ownReader)
{
    while (const ExchangePtr exchange = this->readNext(ownReader)) {
        const bool isLast = !exchange->keepAlive;
        if (!isLast && this->stream->buffered() > 0 && this->hasRoom()) {
            this->passOnReading();
        }
        this->process(exchange);
        if (ownReader != this->reader) {
            return;
        }
        if (isLast) {
            break;
        }
    }
    if (ownReader == this->reader && this->isFinished) {
        this->drainInput();
    }
}

// Returns the next request, or nothing if there is none or another fiber reads.
HttpConnection::ExchangePtr HttpConnection::readNext(std::uint64_t ownReader)
{
    if (ownReader != this->reader) {
        return nullptr;
    }
    this->isReading = true;
    ExchangePtr exchange = this->readExchange();
    this->isReading = false;
    return exchange;
}

HttpConnection::ExchangePtr HttpConnection::readExchange()
{
    this->waitForRoom();
    if (this->isFinished || this->isGone) {
        return nullptr;
    }
    HttpRequestParser parser;
    parser.header_limit(this->limits.maxHeaderBytes);
    parser.body_limit(this->limits.maxBodyBytes);
    Arrival arrival;
    const ErrorCode error = this->readMessage(parser, arrival);
    if (this->isFinished) {
        return nullptr; // a closing answer was written meanwhile: this request counts as not read
    }
    if (error && !isProtocolError(error)) {
        this->noteGone();
        return nullptr;
    }
    auto exchange = std::make_shared<Exchange>(*this);
    exchange->version = parser.version;
    exchange->isHead = parser.message.method == "HEAD";
    if (error) {
        exchange->response = this->hooks.refuse(kindOfReadError(error));
        exchange->isDone = true;
    } else {
        exchange->keepAlive = parser.keep_alive();
        exchange->request = std::move(parser.message);
        exchange->request.receivedAt = arrival.at;
        exchange->request.waitTime = arrival.waited;
        exchange->request.readTime = readBootTime() - arrival.at;
        exchange->bytes = exchange->request.body.size() + exchange->request.target.size();
        const bool isAhead = !this->pending.empty();
        exchange->mayOverlap =
                isAhead && this->hooks.mayOverlap && this->hooks.mayOverlap(exchange->request);
    }
    this->pending.push_back(exchange);
    this->pendingBytes += exchange->bytes;
    ++this->counts.unanswered;
    return exchange;
}

ErrorCode HttpConnection::readMessage(HttpRequestParser &parser, Arrival &arrival)
{
    const bool cameBefore = this->cameBeforeReader();
    if (this->stream->buffered() == 0) {
        if (const ErrorCode error = this->awaitBytes()) {
            return error;
        }
    }
    arrival.at = cameBefore ? this->acceptedAt : this->stream->lastReadAt();
    arrival.waited = readBootTime() - arrival.at;
    this->setReadDue(Clock::now() + this->limits.messageLimit);
    const ErrorCode error = this->stream->read(parser);
    this->setReadDue(Clock::time_point::max());
    return error;
}

ErrorCode HttpConnection::awaitBytes()
{
    this->isAwaiting = true;
    if (this->pending.empty()) {
        this->noteIdle();
    }
    const ErrorCode error = this->stream->readMore(this->limits.newRequestOrder);
    this->idle.erase(this->stream.get());
    this->isAwaiting = false;
    return error;
}

void HttpConnection::setReadDue(Clock::time_point due)
{
    this->readDue = due;
    this->stream->expireAt(due);
}

bool HttpConnection::hasRoom() const
{
    return this->pending.size() < static_cast<std::size_t>(this->limits.maxPipelined)
           && this->pendingBytes <= this->limits.maxPipelinedBytes;
}

void HttpConnection::waitForRoom()
{
    while (!this->hasRoom() && !this->isFinished && !this->isGone) {
        this->room = std::make_shared<FiberEvent>(this->thread.io());
        const bool hasRoomNow = this->room->waitFor(unreadLook);
        if (!hasRoomNow && this->isClosedByCaller()) {
            this->noteGone();
        }
    }
}

// Lets another fiber read, as the one that reads now handles a request.
void HttpConnection::passOnReading()
{
    ++this->reader;
    this->isReading = true;
    this->thread.spawn(
            [self = this->shared_from_this(), number = this->reader] { self->serveAs(number); },
            this->limits.newRequestOrder);
}

void HttpConnection::watchWhileHandling()
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
        return; // the reader sees it
    }
    if (error || this->isClosedByCaller()) {
        this->noteGone();
    } else if (this->hasRoom() && this->pending.back()->keepAlive) {
        this->passOnReading();
    } else {
        this->lookAgainSoon();
    }
}

// The bytes that lie unread would end a wait for more of them at once.
void HttpConnection::lookAgainSoon()
{
    this->isWatching = true;
    this->unreadTimer.expires_after(unreadLook);
    this->unreadTimer.async_wait(
            [self = this->shared_from_this()](const ErrorCode &) { self->onReadable({}); });
}

// Says whether the first request came while the connection waited for its fiber. Nothing tells
// when, so its time counts from the accepting of the connection.
bool HttpConnection::cameBeforeReader()
{
    if (std::exchange(this->hasRead, true) || readBootTime() - this->acceptedAt < unwatchedLimit) {
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
    if (count > 0) { // the close may be behind these bytes
        pollfd state{.fd = handle, .events = POLLRDHUP, .revents = 0};
        return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpConnection::noteGone()
{
    this->isGone = true;
    const std::deque<ExchangePtr> waiting = this->pending;
    for (const ExchangePtr &exchange : waiting) {
        if (exchange->goneHook) {
            std::exchange(exchange->goneHook, nullptr)();
        }
    }
    this->wakeWaiting();
}

// Reads what the caller still sends, so that closing does not reset the connection before the
// caller has read the last answer.
void HttpConnection::drainInput()
{
    this->setReadDue(Clock::now() + drainLimit);
    std::uint64_t total = this->stream->dropBuffered();
    while (total < 2 * this->limits.maxBodyBytes && !this->stream->readMore()) {
        total += this->stream->dropBuffered();
    }
}

// ---- Handling ----

void HttpConnection::process(const ExchangePtr &exchange)
{
    if (!exchange->isDone && !this->waitForTurn(*exchange)) {
        this->forget(exchange);
    } else if (!exchange->isDone) {
        exchange->isStarted = true;
        if (!this->isReading && this->hooks.handleWatched) {
            // Nothing tells how long the request lay unread, and the close came behind it.
            if (this->isClosedByCaller()) {
                this->noteGone();
            }
            this->watchWhileHandling();
        }
        exchange->response = this->handle(*exchange);
        exchange->goneHook = nullptr;
        exchange->isDone = true;
        exchange->bytes += exchange->response.body.size();
        this->pendingBytes += exchange->response.body.size();
    }
    this->flush();
}

// Returns false if the connection ends before the request may start.
bool HttpConnection::waitForTurn(Exchange &exchange)
{
    while (!this->isFinished && !this->isGone && !this->isTurnOf(exchange)) {
        exchange.turn = std::make_shared<FiberEvent>(this->thread.io());
        exchange.turn->waitFor(this->limits.messageLimit);
    }
    return !this->isFinished && !this->isGone;
}

// Says whether a request may start beside those before it. None does so while the server stops:
// the answer before it closes the connection, and it counts as not read.
bool HttpConnection::isTurnOf(const Exchange &exchange) const
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

// Takes a request that was not handled out of those that wait for answers.
void HttpConnection::forget(const ExchangePtr &exchange)
{
    if (std::erase(this->pending, exchange) > 0) {
        this->pendingBytes -= exchange->bytes;
        --this->counts.unanswered;
    }
}

HttpResponse HttpConnection::handle(Exchange &exchange)
{
    return this->hooks.handleWatched ? this->hooks.handleWatched(exchange.request, exchange)
                                     : this->hooks.handle(exchange.request);
}

void HttpConnection::wakeWaiting()
{
    for (const ExchangePtr &exchange : this->pending) {
        if (exchange->turn) {
            exchange->turn->notify();
        }
    }
    if (this->room) {
        this->room->notify();
    }
}

// ---- Writing ----

// Writes the answers that are next; one fiber at a time.
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
        this->pendingBytes -= exchange->bytes;
        --this->counts.unanswered;
        if (!isOpen) {
            this->drop();
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
    appendResponse(output, exchange.response, exchange.version, keepsOpen, exchange.isHead);
    this->stream->expireAfter(this->limits.messageLimit);
    const bool isWritten = !this->stream->write(output);
    this->stream->expireAt(this->readDue);
    return isWritten;
}

// A connection stays open for answers to requests that have started.
bool HttpConnection::keepsOpen(const Exchange &exchange) const
{
    const bool hasStarted = std::any_of(
            this->pending.begin() + 1, this->pending.end(),
            [](const ExchangePtr &behind) { return behind->isStarted || behind->isDone; });
    return exchange.keepAlive && (hasStarted || !this->hooks.isClosing());
}

void HttpConnection::noteIdle()
{
    const auto now = Clock::now();
    this->setReadDue(now + this->limits.idleLimit);
    this->idle[this->stream.get()] = now;
}

// Ends the connection after its last answer. What was read behind it counts as not read.
void HttpConnection::drop()
{
    this->isFinished = true;
    this->unreadTimer.cancel();
    this->counts.unanswered -= static_cast<int>(this->pending.size());
    const std::deque<ExchangePtr> dropped = std::exchange(this->pending, {});
    for (const ExchangePtr &exchange : dropped) {
        if (exchange->goneHook) {
            std::exchange(exchange->goneHook, nullptr)();
        }
        if (exchange->turn) {
            exchange->turn->notify();
        }
    }
    ErrorCode ignored;
    this->stream->socket().shutdown(Tcp::socket::shutdown_send, ignored);
    this->setReadDue(Clock::now() + drainLimit);
}

} // namespace kumquat
