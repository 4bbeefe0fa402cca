#include "net/http_stream.h"

#include "base/text.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace kumquat {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t firstBufferBytes = 4096;
constexpr auto secondCheckDelay = std::chrono::milliseconds(2); // between the first two checks
constexpr auto laterCheckDelay = std::chrono::milliseconds(20); // between the checks after that
constexpr std::size_t maxReadBytes = 64UL * 1024;
constexpr std::size_t copiedBodyBytes = 16UL * 1024; // larger bodies are written without a copy
constexpr std::size_t keptOutputBytes = 8UL * 1024;  // between two messages

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void appendLength(std::string &text, std::size_t bytes)
{
    absl::StrAppend(&text, "Content-Length: ", bytes, "\r\n");
}

bool allowsBody(int status)
{
    constexpr int ok = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status >= ok && status != noContent && status != notModified;
}

bool hasField(const std::vector<HttpField> &fields, std::string_view name)
{
    return std::any_of(fields.begin(), fields.end(), [name](const HttpField &field) {
        return isSameFieldName(field.name, name);
    });
}

// Appends a small body. Returns a large one.
std::string_view appendBody(std::string &text, std::string_view body)
{
    if (body.size() > copiedBodyBytes) {
        return body;
    }
    text.append(body);
    return {};
}

} // namespace

// ---- Writers ----

std::string_view appendRequest(std::string &text, const HttpRequest &request,
                               const std::vector<HttpField> &extra, std::string_view host)
{
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (!hasField(request.fields, "Host")) {
        appendField(text, "Host", host);
    }
    for (const HttpField &field : request.fields) {
        if (!isConnectionField(field.name) && !hasField(extra, field.name)) {
            appendField(text, field.name, field.value);
        }
    }
    for (const HttpField &field : extra) {
        appendField(text, field.name, field.value);
    }
    const bool usuallyHasBody = request.method == "POST" || request.method == "PUT"
                                || request.method == "PATCH" || request.method == "OPTIONS";
    const std::string_view body = request.bodyView();
    if (!body.empty() || usuallyHasBody) {
        appendLength(text, body.size());
    }
    text.append("\r\n");
    return appendBody(text, body);
}

std::string_view appendResponse(std::string &text, const HttpResponse &response, int version,
                                bool keepAlive, bool isHead)
{
    const auto reason =
            http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.status)));
    absl::StrAppend(&text, version == 10 ? "HTTP/1.0 " : "HTTP/1.1 ", response.status, " ");
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const HttpField &field : response.fields) {
        appendField(text, field.name, field.value);
    }
    if (version == 10 && keepAlive) {
        appendField(text, "Connection", "keep-alive");
    } else if (version != 10 && !keepAlive) {
        appendField(text, "Connection", "close");
    }
    const bool hasBody = allowsBody(response.status);
    appendLength(text, hasBody ? response.body.size() : 0);
    text.append("\r\n");
    return hasBody && !isHead ? appendBody(text, response.body) : std::string_view();
}

// ---- HttpStream ----

std::shared_ptr<HttpStream> HttpStream::create(Socket socket, std::size_t maxBuffer)
{
    return std::shared_ptr<HttpStream>(new HttpStream(std::move(socket), maxBuffer));
}

HttpStream::HttpStream(Socket socket, std::size_t maxBuffer)
    : connection(std::move(socket))
    , timer(this->connection.get_executor())
    , buffer(maxBuffer)
{
    this->buffer.reserve(std::min(firstBufferBytes, maxBuffer));
    if (this->connection.is_open()) {
        this->setOptions();
    }
}

void HttpStream::setOptions()
{
    ErrorCode ignored;
    this->connection.set_option(Tcp::no_delay(true), ignored);
    // write() needs a non-blocking socket. Setting it is a system call, so do it once per
    // connection.
    this->connection.non_blocking(true, ignored);
}

void HttpStream::expireAt(Clock::time_point time)
{
    this->deadline = time;
    if (this->deadline < this->timerExpiry) {
        this->arm();
    }
}

void HttpStream::expireNever()
{
    this->deadline = Clock::time_point::max();
}

void HttpStream::arm()
{
    this->armAt(this->deadline);
}

void HttpStream::armAt(Clock::time_point time)
{
    this->timerExpiry = time;
    this->timer.expires_at(time);
    this->timer.async_wait([weak = this->weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onTimer();
        }
    });
}

// When the thread got no processor time for a while, the expiry of the timer and the completion of
// the operation may be found at the same time. The deadline therefore counts as missed only if the
// operation is still pending at a second check. After a completed operation, its fiber sets a
// new deadline. The fiber may have to wait for the thread, so the checks go on until then.
void HttpStream::onTimer()
{
    const bool isSecondCheck = this->timerExpiry > this->deadline;
    this->timerExpiry = Clock::time_point::max();
    if (this->deadline <= Clock::now() && isSecondCheck && this->isPending) {
        this->expired = true;
        this->close();
    } else if (this->deadline <= Clock::now()) {
        this->armAt(Clock::now() + (isSecondCheck ? laterCheckDelay : secondCheckDelay));
    } else if (this->deadline != Clock::time_point::max()) {
        this->arm();
    }
}

ErrorCode HttpStream::resultOf(const ErrorCode &error) const
{
    return error && this->expired ? ErrorCode(beast::error::timeout) : error;
}

ErrorCode HttpStream::connect(const Tcp::endpoint &endpoint)
{
    const OperationResult result = awaitOperation(
            [&](auto done) { this->connection.async_connect(endpoint, std::move(done)); },
            {.isPending = &this->isPending});
    if (!result.error) {
        this->setOptions();
    }
    return this->resultOf(result.error);
}

ErrorCode HttpStream::readMore(WakeOrder order)
{
    const std::size_t size = beast::read_size(this->buffer, maxReadBytes);
    if (size == 0) {
        return http::error::buffer_overflow;
    }
    const std::size_t needed = this->buffer.size() + size;
    // The buffer at least doubles when it grows.
    const std::size_t capacity = needed > this->buffer.capacity()
                                         ? std::max(needed, 2 * this->buffer.size())
                                         : this->buffer.capacity();
    if (!this->resizeBuffer(capacity)) {
        return asio::error::no_memory;
    }
    const OperationResult result = awaitOperation(
            [&](auto done) {
                this->connection.async_read_some(this->buffer.prepare(size), std::move(done));
            },
            {.order = order == WakeOrder::InTurn ? nullptr : &order,
             .isPending = &this->isPending});
    this->readAt = wokenAt();
    this->buffer.commit(result.bytes);
    this->noteMoved(result.bytes);
    return this->resultOf(result.error);
}

template <bool IsRequest, typename Message>
ErrorCode HttpStream::read(HttpParser<IsRequest, Message> &parser,
                           const std::function<void()> &beforeWait)
{
    while (true) {
        ErrorCode error;
        std::size_t used = 0;
        if (this->buffer.size() > 0) {
            const bool isBehindHead = parser.is_header_done();
            used = parser.put(this->buffer.data(), error);
            this->buffer.consume(used);
            if (isBehindHead && !parser.noteBodyInput(used)) {
                return http::error::bad_chunk_extension;
            }
        }
        if (parser.is_done()) {
            return {};
        }
        if (error && error != http::error::need_more) {
            return error;
        }
        if (!error && used > 0 && this->buffer.size() > 0) {
            continue;
        }
        if (beforeWait) {
            beforeWait();
        }
        error = this->readMore();
        if (error == asio::error::eof && parser.got_some()) {
            // Reports a truncated message as partial_message. A message without a length is
            // complete.
            parser.put_eof(error);
            return error;
        }
        if (error) {
            return error == asio::error::eof ? http::error::end_of_stream : error;
        }
    }
}

template ErrorCode HttpStream::read(HttpParser<true, HttpRequest> &parser,
                                    const std::function<void()> &beforeWait);
template ErrorCode HttpStream::read(HttpParser<false, HttpResponse> &parser,
                                    const std::function<void()> &beforeWait);

ErrorCode HttpStream::write(std::string_view data, std::string_view body)
{
    while (!data.empty() || !body.empty()) {
        const std::array<asio::const_buffer, 2> parts{asio::buffer(data.data(), data.size()),
                                                      asio::buffer(body.data(), body.size())};
        ErrorCode error;
        std::size_t sent = this->connection.write_some(parts, error);
        if (error == asio::error::would_block) {
            const OperationResult result = awaitOperation(
                    [&](auto done) { this->connection.async_write_some(parts, std::move(done)); },
                    {.isPending = &this->isPending});
            error = result.error;
            sent = result.bytes;
        }
        if (error) {
            return this->resultOf(error);
        }
        this->noteMoved(sent);
        this->written += sent;
        const std::size_t sentData = std::min(sent, data.size());
        data.remove_prefix(sentData);
        body.remove_prefix(sent - sentData);
    }
    return {};
}

void HttpStream::noteMoved(std::size_t bytes)
{
    if (this->charge != nullptr) {
        this->charge->noteProgress(bytes, readBootTime());
    }
}

// Charges the buffer for this capacity. Returns false if there is no room.
bool HttpStream::resizeBuffer(std::size_t capacity)
{
    const std::size_t bytes = capacity - std::min(capacity, firstBufferBytes);
    if (this->charge == nullptr || bytes == this->chargedBuffer) {
        return true;
    }
    // Less than was charged is left after an eviction.
    const std::uint64_t all = this->charge->bytes();
    const std::uint64_t others = all - std::min<std::uint64_t>(all, this->chargedBuffer);
    if (!this->charge->tryResize(others + bytes, readBootTime())) {
        return false;
    }
    this->chargedBuffer = bytes;
    return true;
}

void HttpStream::releaseMemory()
{
    if (this->output.capacity() > keptOutputBytes) {
        this->output = std::string();
    }
    if (this->buffer.size() == 0 && this->buffer.capacity() > firstBufferBytes) {
        this->buffer.shrink_to_fit();
        this->buffer.reserve(firstBufferBytes);
        this->resizeBuffer(firstBufferBytes);
    }
}

std::size_t HttpStream::dropBuffered()
{
    const std::size_t bytes = this->buffer.size();
    this->buffer.consume(bytes);
    return bytes;
}

void HttpStream::close()
{
    ErrorCode ignored;
    this->connection.close(ignored);
}

} // namespace kumquat
