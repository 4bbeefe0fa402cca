// The part of the HTTP server and client that uses Boost.Beast: a connection with a deadline, and
// the parsers and writers of plain messages. Only the server and the client include this file.
//
//   auto stream = HttpStream::create(std::move(socket), maxBufferBytes);
//   stream->expireAfter(10s);
//   HttpRequestParser parser;
//   ErrorCode error = stream->read(parser);
//
// Sections: parsers, writers, HttpStream.
#pragma once

#include "net/byte_budget.h"
#include "net/fibers.h"
#include "net/http.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kumquat {

// ---- Parsers ----

// Limits the total size of the bodies that several parsers hold at the same time.
class BodyBudget
{
public:
    explicit BodyBudget(std::uint64_t maxBytes)
        : available(maxBytes)
    {}

    // Reserves bytes. Returns false, and reserves nothing, if fewer are available.
    bool tryReserve(std::uint64_t bytes)
    {
        const bool isAvailable = bytes <= this->available;
        this->available -= isAvailable ? bytes : 0;
        return isAvailable;
    }

    void release(std::uint64_t bytes) { this->available += bytes; }

private:
    std::uint64_t available;
};

// Parses into a plain message. Beast's own message container needs an allocation for each field and
// an additional copy.
template <bool IsRequest, typename Message>
class HttpParser : public boost::beast::http::basic_parser<IsRequest>
{
public:
    // `sharedBudget`: nullptr if the parser's own limit is enough. It must outlive the parser.
    // `messageCharge`: charged for the fields and the body; nullptr if they are not charged.
    explicit HttpParser(BodyBudget *sharedBudget = nullptr,
                        std::shared_ptr<ByteCharge> messageCharge = nullptr)
        : charge(std::move(messageCharge))
        , bodyBudget(sharedBudget)
    {
        this->eager(true);
    }

    ~HttpParser() override
    {
        if (this->bodyBudget != nullptr) {
            this->bodyBudget->release(this->reserved);
        }
    }

    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    Message message;
    int version = 11; // HTTP version times ten
    std::shared_ptr<ByteCharge> charge;
    std::uint64_t maxBodyBytes = 0; // also set as body_limit; needed only with a charge
    bool lacksRoom = false;         // the charge had no room for the message
    bool mustKeep = false;          // the message is charged even if there is no room

    // Returns the number of bytes of the body that are known of, received or announced.
    std::uint64_t knownBodyBytes() const
    {
        return std::max<std::uint64_t>(this->announcedBytes, this->message.body.size());
    }

    // Counts bytes behind the head that the parser has consumed. Returns false if too few of them
    // belong to the body.
    bool noteBodyInput(std::size_t bytes)
    {
        this->bodyInput += bytes;
        const std::uint64_t body = this->message.body.size();
        return this->bodyInput <= maxFramingBytes + this->chunks * framingBytesPerChunk + 2 * body;
    }

    // Returns whether the head announced the length of the body.
    bool isAnnounced() const { return this->announcedBytes > 0; }

private:
    using Text = boost::beast::string_view;

    void on_field_impl(boost::beast::http::field /*name*/, Text name, Text value,
                       ErrorCode &error) override
    {
        if (this->is_header_done()) {
            return; // a field of a trailer
        }
        this->headBytes += fieldBytes + name.size() + value.size();
        const bool isCharged = this->charge == nullptr || this->headBytes <= this->charge->bytes();
        if (!isCharged && !this->chargeBody(headStepBytes, error)) {
            return;
        }
        this->message.fields.push_back({std::string(name), std::string(value)});
    }

    void on_header_impl(ErrorCode &error) override
    {
        this->announcedBytes = this->content_length().value_or(0);
        if (this->mustKeep) {
            // The length of an answer may be beyond the body limit. The body is charged as it
            // arrives: a server that announces long bodies and sends nothing would otherwise use up
            // the budget.
            this->announcedBytes = std::min(this->announcedBytes, this->maxBodyBytes);
            this->chargeBody(0, error);
            return;
        }
        // The whole length at once, so that a body without room is refused before it is sent. The
        // parser has checked the length against the body limit.
        this->chargeBody(this->announcedBytes, error);
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length,
                           ErrorCode & /*error*/) override
    {
        if (this->charge != nullptr && length) {
            this->message.body.reserve(this->announcedBytes); // uses no memory before they arrive
            return;
        }
        // The length has been checked against the body limit, but the sender may not send that
        // much. A buffer larger than this grows only with the bytes that arrive.
        constexpr std::uint64_t maxReserve = 64ULL * 1024;
        this->message.body.reserve(std::min(length.value_or(0), maxReserve));
    }

    std::size_t on_body_impl(Text part, ErrorCode &error) override
    {
        return this->append(part, error);
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/,
                              ErrorCode & /*error*/) override
    {
        ++this->chunks;
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, Text part, ErrorCode &error) override
    {
        return this->append(part, error);
    }

    void on_finish_impl(ErrorCode & /*error*/) override {}

    std::size_t append(Text part, ErrorCode &error)
    {
        if (this->bodyBudget != nullptr && !this->bodyBudget->tryReserve(part.size())) {
            error = boost::beast::http::error::body_limit;
            return 0;
        }
        this->reserved += part.size();
        if (!this->reserveFor(part.size(), error)) {
            return 0;
        }
        this->message.body.append(part.data(), part.size());
        return part.size();
    }

    // Charges a body of this size. Returns false, with an error, if there is no room.
    bool chargeBody(std::uint64_t bytes, ErrorCode &error)
    {
        if (this->charge != nullptr && this->mustKeep) {
            this->charge->resize(this->headBytes + bytes, readBootTime());
            return true;
        }
        const bool fits = this->charge == nullptr
                          || this->charge->tryResize(this->headBytes + bytes, readBootTime());
        if (!fits) {
            this->lacksRoom = true;
            error = boost::beast::http::error::body_limit;
        }
        return fits;
    }

    // Makes room for a further part of a body whose length is unknown. A long body gets its
    // largest size at once, as growing by copies would need up to twice the memory; pages that no
    // bytes have reached use none.
    bool reserveFor(std::size_t partBytes, ErrorCode &error)
    {
        std::string &body = this->message.body;
        const std::size_t needed = body.size() + partBytes;
        if (this->charge == nullptr) {
            return true;
        }
        this->charge->noteProgress(partBytes, readBootTime());
        if (this->headBytes + needed <= this->charge->bytes()) {
            return true;
        }
        constexpr std::size_t copiedBytes = 256UL * 1024; // bodies up to this size grow by copies
        constexpr std::size_t stepBytes = 64UL * 1024;
        const bool hasLength = this->isAnnounced(); // the body has its final capacity
        const bool isLong = needed > copiedBytes || hasLength;
        const std::size_t steps = (needed / stepBytes + 1) * stepBytes;
        const std::size_t bytes = hasLength ? std::min<std::size_t>(steps, this->announcedBytes)
                                  : isLong  ? steps
                                            : std::max(needed, 2 * body.capacity());
        if (!this->chargeBody(bytes, error)) {
            return false;
        }
        if (needed > body.capacity()) {
            body.reserve(isLong ? std::max<std::size_t>(needed, this->maxBodyBytes) : bytes);
        }
        return true;
    }

    // Chunk sizes, extensions and trailers may have as many bytes as the body and these. No known
    // client sends extensions or long trailers.
    static constexpr std::uint64_t maxFramingBytes = 16UL * 1024;
    static constexpr std::uint64_t framingBytesPerChunk = 16;

    // Objects of one field, twice because the vector grows by doubling.
    static constexpr std::uint64_t fieldBytes = 2 * sizeof(HttpField);
    static constexpr std::uint64_t headStepBytes = 4096; // fields are charged in steps

    std::uint64_t bodyInput = 0; // bytes behind the head, with framing
    std::uint64_t chunks = 0;
    std::uint64_t headBytes = 0;      // of the fields
    std::uint64_t announcedBytes = 0; // 0: none
    BodyBudget *bodyBudget;
    std::uint64_t reserved = 0; // bytes reserved from the budget
};

class HttpRequestParser final : public HttpParser<true, HttpRequest>
{
public:
    using HttpParser::HttpParser;

private:
    void on_request_impl(boost::beast::http::verb /*method*/, boost::beast::string_view method,
                         boost::beast::string_view target, int httpVersion,
                         ErrorCode & /*error*/) override
    {
        this->message.method = std::string(method);
        this->message.target = std::string(target);
        this->version = httpVersion;
    }

    void on_response_impl(int /*status*/, boost::beast::string_view /*reason*/, int /*version*/,
                          ErrorCode & /*error*/) override
    {}
};

class HttpResponseParser final : public HttpParser<false, HttpResponse>
{
public:
    using HttpParser::HttpParser;

private:
    void on_request_impl(boost::beast::http::verb /*method*/, boost::beast::string_view /*name*/,
                         boost::beast::string_view /*target*/, int /*version*/,
                         ErrorCode & /*error*/) override
    {}

    void on_response_impl(int status, boost::beast::string_view /*reason*/, int httpVersion,
                          ErrorCode & /*error*/) override
    {
        this->message.status = status;
        this->version = httpVersion;
    }
};

// ---- Writers ----

// Appends a request with the `extra` fields to the text, as a whole, so that one write can send it.
// Fields that apply to one connection only are left out. Host and Content-Length are added. A large
// body is not copied to the text: it is returned, to be written after the text.
std::string_view appendRequest(std::string &text, const HttpRequest &request,
                               const std::vector<HttpField> &extra, std::string_view host);

// Appends an answer. The body is left out if the method or the status does not allow one. A large
// body is returned as by appendRequest.
std::string_view appendResponse(std::string &text, const HttpResponse &response, int version,
                                bool keepAlive, bool isHead);

// ---- HttpStream ----

// Connection whose operations suspend the calling fiber. If an operation is not complete at the
// deadline, the connection is closed and the operation returns beast::error::timeout.
class HttpStream : public std::enable_shared_from_this<HttpStream>
{
    using Clock = std::chrono::steady_clock;

public:
    // Asio's default executor is type-erased and costs several virtual calls for each operation.
    using Executor = asio::io_context::executor_type;
    using Tcp = asio::ip::tcp;
    using Socket = asio::basic_stream_socket<Tcp, Executor>;

    // `maxBuffer` limits the bytes that are buffered ahead of the parser.
    static std::shared_ptr<HttpStream> create(Socket socket, std::size_t maxBuffer);

    // Sets the deadline of the following operations.
    void expireAfter(Duration limit) { this->expireAt(Clock::now() + limit); }
    void expireAt(std::chrono::steady_clock::time_point time);
    void expireNever();

    ErrorCode connect(const Tcp::endpoint &endpoint);

    // Reads the rest of one message. `beforeWait`: called before each wait for more bytes; it may
    // block the fiber. Error: bad_chunk_extension also if the body is mostly framing.
    template <bool IsRequest, typename Message>
    ErrorCode read(HttpParser<IsRequest, Message> &parser,
                   const std::function<void()> &beforeWait = {});

    // Reads the available data into the buffer, or waits until some arrives.
    ErrorCode readMore(WakeOrder order = WakeOrder::InTurn);

    // Writes the data, then the body.
    ErrorCode write(std::string_view data, std::string_view body = {});
    void close();

    std::size_t buffered() const { return this->buffer.size(); }

    // Returns the time at which the last bytes were read.
    Time lastReadAt() const { return this->readAt; }

    // Returns the number of bytes that were written since the connection was made.
    std::uint64_t writtenBytes() const { return this->written; }

    // Frees memory beyond what a usual message needs. Call between messages.
    void releaseMemory();

    // Charges the read-ahead buffer beyond its first size, and notes progress. nullptr: neither.
    void setCharge(ByteCharge *bufferCharge) { this->charge = bufferCharge; }

    // Discards the buffered data and returns its size.
    std::size_t dropBuffered();

    Socket &socket() { return this->connection; }
    bool isOpen() const { return this->connection.is_open(); }

    std::string output; // the message being written; its memory is reused for later messages

private:
    using Timer = asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Executor>;

    HttpStream(Socket socket, std::size_t maxBuffer);
    void setOptions();
    void arm();
    void armAt(Clock::time_point time);
    void onTimer();
    ErrorCode resultOf(const ErrorCode &error) const;

    Socket connection;
    // Stays armed across messages, and is set again only for an earlier deadline or when it
    // expires: a timer for each message costs a system call and two locks.
    Timer timer;
    Clock::time_point deadline = Clock::time_point::max();
    Clock::time_point timerExpiry = Clock::time_point::max();
    bool resizeBuffer(std::size_t capacity);
    void noteMoved(std::size_t bytes);

    bool expired = false;
    bool isPending = false; // an operation is in progress
    Time readAt{};
    std::uint64_t written = 0;
    boost::beast::flat_buffer buffer;
    ByteCharge *charge = nullptr;
    std::size_t chargedBuffer = 0; // bytes of the buffer beyond its first size
};

} // namespace kumquat
