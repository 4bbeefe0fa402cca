#include "net/http_client.h"

#include "base/errors.h"
#include "net/http_stream.h"

#include <boost/beast/core/error.hpp>

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace kumquat {
namespace {

constexpr std::size_t maxReadAhead = 1024UL * 1024; // bytes buffered ahead of the parser

// A connection is not reused after this share of the server's keep-alive time, because the server
// may close it while the next request is in transit.
constexpr double usableKeepAliveShare = 0.7;

constexpr int firstFinalStatus = 200;

// The statuses that HTTP defines. The parser accepts any three digits.
constexpr int firstStatus = 100;
constexpr int lastStatus = 599;

// An answer beyond this size waits for room. Smaller ones need less room than their request did.
constexpr std::uint64_t largeAnswerBytes = 64ULL * 1024;

constexpr Duration roomCheckInterval = 10ms; // between two checks for room

// Number of late and interim answers that are skipped before the connection counts as broken.
constexpr int maxSkippedAnswers = 3;

// Returns how long the server keeps an idle connection open, or Duration::max() if it does not say.
// Zero if the number cannot be parsed or is a fraction below 1.
Duration keepAliveTime(const HttpResponse &response)
{
    const std::string_view field = response.field("Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const std::size_t at = field.find(name);
    if (at == std::string_view::npos) {
        return Duration::max();
    }
    std::int64_t seconds = 0;
    const std::string_view digits = field.substr(at + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    constexpr std::int64_t maxSeconds = 3600;
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, maxSeconds));
}

absl::Status failureAfterSend(const ErrorCode &error)
{
    if (error == boost::beast::error::timeout) {
        return makeError(ErrorKind::UpstreamTimeout, "no complete answer in time");
    }
    return makeError(ErrorKind::UpstreamLost, error.message());
}

} // namespace

struct HttpClient::Connection
{
    explicit Connection(asio::io_context &io)
        : stream(HttpStream::create(HttpStream::Socket(io), maxReadAhead))
    {}

    // Returns whether the server has closed the idle connection or sent unsolicited data. Without
    // this check a request on a closed connection would be reported as one that may have run.
    bool isStale()
    {
        char byte = 0;
        const ssize_t count =
                recv(this->stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::shared_ptr<HttpStream> stream;
    bool isUsed = false; // has carried a call before
    std::chrono::steady_clock::time_point idleSince;
    Duration keepAlive = Duration::max(); // after this idle time the server closes the connection
};

void HttpCallHandle::cancel()
{
    this->cancelled = true;
    if (const auto openStream = this->stream.lock()) {
        openStream->close();
    }
}

HttpClient::HttpClient(asio::io_context &context, Address address, HttpClientLimits clientLimits,
                       ByteBudget *byteBudget)
    : io(context)
    , server(std::move(address))
    , host(this->server.toString())
    , limits(clientLimits)
    , budget(byteBudget)
    , bodyBudget(std::make_unique<BodyBudget>(clientLimits.maxBufferedBytes))
{}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResponse> HttpClient::call(const HttpRequest &request, Duration limit,
                                              const std::vector<HttpField> &extra)
{
    return this->call(request, HttpCallOptions{.limit = limit}, extra);
}

absl::StatusOr<HttpResponse> HttpClient::call(const HttpRequest &request,
                                              const HttpCallOptions &options,
                                              const std::vector<HttpField> &extra)
{
    return this->callWithSource([&request] { return &request; }, options, extra);
}

absl::StatusOr<HttpResponse> HttpClient::callWith(const RequestMaker &make,
                                                  const HttpCallOptions &options)
{
    std::optional<HttpRequest> request;
    const RequestSource nextRequest = [&]() -> const HttpRequest * {
        request = make();
        return request ? &*request : nullptr;
    };
    return this->callWithSource(nextRequest, options, {});
}

absl::StatusOr<HttpResponse> HttpClient::callWithSource(const RequestSource &nextRequest,
                                                        const HttpCallOptions &options,
                                                        const std::vector<HttpField> &extra)
{
    const auto deadline = std::chrono::steady_clock::now() + options.limit;
    const auto handle = options.handle ? options.handle : std::make_shared<HttpCallHandle>();
    ConnectionPtr connection = this->takeIdle(options.maxIdle);
    if (!connection) {
        auto connected = this->connect(std::min(options.limit, this->limits.connectLimit), *handle);
        if (!connected.ok()) {
            return connected.status();
        }
        connection = *std::move(connected);
    }
    const auto remaining = deadline - std::chrono::steady_clock::now();
    if (remaining <= Duration::zero() || handle->isCancelled()) {
        return makeError(ErrorKind::UpstreamUnreachable,
                         "the call was cancelled or timed out before the request was sent");
    }
    const HttpRequest *request = nextRequest();
    if (request == nullptr) {
        this->returnToPool(std::move(connection));
        return makeError(ErrorKind::UpstreamUnreachable,
                         "the request was cancelled before it was sent");
    }
    handle->stream = connection->stream;
    this->busy.insert(connection.get());
    const absl::Cleanup noLongerBusy = [&] { this->busy.erase(connection.get()); };
    bool mayReuse = false;
    auto answer = this->exchange(*connection, *request, extra, options, remaining, mayReuse);
    if (mayReuse) {
        this->returnToPool(connection);
    }
    return answer;
}

void HttpClient::returnToPool(ConnectionPtr connection)
{
    if (static_cast<int>(this->idle.size()) < this->limits.maxIdle) {
        connection->stream->expireNever();
        connection->idleSince = std::chrono::steady_clock::now();
        this->idle.push_back(std::move(connection));
    }
}

void HttpClient::cancelAll()
{
    for (Connection *connection : this->busy) {
        connection->stream->close();
    }
    this->idle.clear();
}

HttpClient::ConnectionPtr HttpClient::takeIdle(Duration maxIdle)
{
    const auto now = std::chrono::steady_clock::now();
    while (!this->idle.empty()) {
        if (now - this->idle.back()->idleSince > maxIdle) {
            return nullptr; // the remaining ones have been idle even longer
        }
        ConnectionPtr connection = std::move(this->idle.back());
        this->idle.pop_back();
        const bool isWithinKeepAlive =
                connection->keepAlive == Duration::max()
                || now - connection->idleSince < connection->keepAlive * usableKeepAliveShare;
        if (isWithinKeepAlive && !connection->isStale()) {
            return connection;
        }
    }
    return nullptr;
}

absl::StatusOr<HttpClient::ConnectionPtr> HttpClient::connect(Duration limit,
                                                              HttpCallHandle &handle)
{
    auto connection = std::make_shared<Connection>(this->io);
    handle.stream = connection->stream;
    connection->stream->expireAfter(limit);
    const ErrorCode error = connection->stream->connect(
            {asio::ip::make_address(this->server.ip), this->server.port});
    handle.refused = error == asio::error::connection_refused;
    if (error) {
        return makeError(
                ErrorKind::UpstreamUnreachable,
                absl::StrCat("cannot connect to ", this->server.toString(), ": ", error.message()));
    }
    // A connection is closed when it is idle or when its call is abandoned. Closing it with a reset
    // discards data that the server has not received yet: a request that arrives after its call
    // was abandoned must not be executed.
    ErrorCode ignored;
    connection->stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    return connection;
}

absl::StatusOr<HttpResponse> HttpClient::exchange(Connection &connection,
                                                  const HttpRequest &request,
                                                  const std::vector<HttpField> &extra,
                                                  const HttpCallOptions &options, Duration limit,
                                                  bool &mayReuse)
{
    HttpStream &stream = *connection.stream;
    const Time deadline = readBootTime() + limit;
    bool mayWait = this->budget != nullptr; // once for all answers
    stream.expireAfter(limit);
    stream.output.clear();
    const std::string_view body = appendRequest(stream.output, request, extra, this->host);
    const ErrorCode writeError = stream.write(stream.output, body);
    stream.releaseMemory();
    if (writeError) {
        return failureAfterSend(writeError);
    }
    for (int skipped = 0; skipped <= maxSkippedAnswers; ++skipped) {
        HttpResponseParser parser(
                this->bodyBudget.get(),
                this->budget != nullptr ? std::make_shared<ByteCharge>(this->budget) : nullptr);
        parser.mustKeep = true; // the request has run
        parser.maxBodyBytes = this->limits.maxBodyBytes;
        parser.header_limit(this->limits.maxHeadBytes);
        parser.body_limit(this->limits.maxBodyBytes);
        parser.skip(request.method == "HEAD");
        const auto beforeWait = [&] {
            if (mayWait && parser.knownBodyBytes() > largeAnswerBytes) {
                mayWait = false;
                this->waitForRoom(stream, *parser.charge, parser.knownBodyBytes(),
                                  std::min(this->limits.roomWait, (deadline - readBootTime()) / 2));
            }
        };
        if (const ErrorCode error = stream.read(parser, std::ref(beforeWait))) {
            return failureAfterSend(error);
        }
        const int status = parser.message.status;
        if (status < firstStatus || status > lastStatus) {
            return makeError(ErrorKind::UpstreamLost,
                             absl::StrCat("the answer has the impossible status ", status));
        }
        const bool isInterim = status < firstFinalStatus;
        if (isInterim
            || (options.matchesRequest
                && !options.matchesRequest(parser.message, !connection.isUsed))) {
            continue;
        }
        if (parser.need_eof() && !options.mayEndWithConnection) {
            return makeError(
                    ErrorKind::UpstreamLost,
                    "the answer has neither a length nor chunked encoding, so it may be truncated");
        }
        stream.expireNever();
        connection.isUsed = true;
        connection.keepAlive = keepAliveTime(parser.message);
        mayReuse = parser.keep_alive() && stream.buffered() == 0 && skipped == 0
                   && (!options.keepsConnection || options.keepsConnection(parser.message));
        std::erase_if(parser.message.fields,
                      [](const HttpField &field) { return isConnectionField(field.name); });
        if (parser.charge) {
            parser.charge->resize(parser.message.body.size(), readBootTime());
        }
        parser.message.charge = std::move(parser.charge);
        return std::move(parser.message);
    }
    return makeError(ErrorKind::UpstreamLost, "only answers to other requests came");
}

// Waits until the budget has room for an answer of which few bytes have been read. Stalled holders
// give way meanwhile. The rest of the answer stays with the server, so that many answers that
// arrive faster than callers read them don't exceed the budget.
void HttpClient::waitForRoom(const HttpStream &stream, ByteCharge &charge, std::uint64_t bytes,
                             Duration limit)
{
    const Time end = readBootTime() + limit;
    const std::uint64_t needed = std::max(bytes, charge.bytes() + 1); // the charge may not fit
    while (!charge.canHold(needed, readBootTime()) && readBootTime() < end && stream.isOpen()) {
        sleepFor(this->io, roomCheckInterval);
    }
}

} // namespace kumquat
