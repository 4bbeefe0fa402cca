#include "net/http_client.h"

#include "base/errors.h"
#include "net/http_stream.h"

#include <boost/beast/core/error.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace kumquat {
namespace {

constexpr std::size_t maxReadAhead = 1024UL * 1024; // bytes before the parser takes them

// Part of the server's keep-alive time after which a connection is not used again: the server may
// close it while the next request is on its way.
constexpr double keepAliveShare = 0.7;

constexpr int firstFinalStatus = 200;

// Late and interim answers that are skipped before the connection counts as broken.
constexpr int mostSkipped = 3;

// Returns the time for which the server keeps an idle connection, or the longest one if it does not
// say. Zero if the field has a fraction or cannot be read.
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
    constexpr std::int64_t longest = 3600;
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, longest));
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

    // Says whether the server has closed the idle connection or sent something unasked. Without
    // this check a request on a closed connection would be reported as one that may have run.
    bool isStale()
    {
        char byte = 0;
        const ssize_t count =
                recv(this->stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::shared_ptr<HttpStream> stream;
    bool isUsed = false; // it has carried a call
    std::chrono::steady_clock::time_point idleSince;
    Duration keepAlive = Duration::max(); // the server closes an idle connection after it
};

void HttpCallHandle::cancel()
{
    this->cancelled = true;
    if (const auto open = this->stream.lock()) {
        open->close();
    }
}

HttpClient::HttpClient(asio::io_context &context, Address address, HttpClientLimits clientLimits)
    : io(context)
    , server(std::move(address))
    , host(this->server.toString())
    , limits(clientLimits)
    , budget(std::make_unique<BodyBudget>(clientLimits.maxBufferedBytes))
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
    return this->callChosen([&request] { return &request; }, options, extra);
}

absl::StatusOr<HttpResponse> HttpClient::callWith(const RequestMaker &make,
                                                  const HttpCallOptions &options)
{
    std::optional<HttpRequest> request;
    const RequestChoice choose = [&]() -> const HttpRequest * {
        request = make();
        return request ? &*request : nullptr;
    };
    return this->callChosen(choose, options, {});
}

absl::StatusOr<HttpResponse> HttpClient::callChosen(const RequestChoice &choose,
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
    const auto left = deadline - std::chrono::steady_clock::now();
    if (left <= Duration::zero() || handle->isCancelled()) {
        return makeError(ErrorKind::UpstreamUnreachable, "connecting took too long");
    }
    const HttpRequest *request = choose();
    if (request == nullptr) {
        this->keep(std::move(connection));
        return makeError(ErrorKind::UpstreamUnreachable, "withdrawn before it was sent");
    }
    handle->stream = connection->stream;
    this->busy.insert(connection.get());
    bool mayKeep = false;
    auto answer = this->exchange(*connection, *request, extra, options, left, mayKeep);
    this->busy.erase(connection.get());
    if (mayKeep) {
        this->keep(std::move(connection));
    }
    return answer;
}

void HttpClient::keep(ConnectionPtr connection)
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
            return nullptr; // the others were idle for longer still
        }
        ConnectionPtr connection = std::move(this->idle.back());
        this->idle.pop_back();
        const bool isKept = connection->keepAlive == Duration::max()
                            || now - connection->idleSince < connection->keepAlive * keepAliveShare;
        if (isKept && !connection->isStale()) {
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
    // A connection is closed when a call on it is given up, or idle. Its end as a reset takes back
    // what the server has not got: a late order or request must not be carried out.
    ErrorCode ignored;
    connection->stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    return connection;
}

absl::StatusOr<HttpResponse> HttpClient::exchange(Connection &connection,
                                                  const HttpRequest &request,
                                                  const std::vector<HttpField> &extra,
                                                  const HttpCallOptions &options, Duration limit,
                                                  bool &mayKeep)
{
    HttpStream &stream = *connection.stream;
    stream.expireAfter(limit);
    stream.output.clear();
    appendRequest(stream.output, request, extra, this->host);
    if (const ErrorCode error = stream.write(stream.output)) {
        return failureAfterSend(error);
    }
    for (int skipped = 0; skipped <= mostSkipped; ++skipped) {
        HttpResponseParser parser(this->budget.get());
        parser.header_limit(this->limits.maxHeadBytes);
        parser.body_limit(this->limits.maxBodyBytes);
        parser.skip(request.method == "HEAD");
        if (const ErrorCode error = stream.read(parser)) {
            return failureAfterSend(error);
        }
        const bool isInterim = parser.message.status < firstFinalStatus;
        if (isInterim
            || (options.matchesRequest && !options.matchesRequest(parser.message, !connection.isUsed))) {
            continue;
        }
        if (parser.need_eof() && !options.mayEndWithConnection) {
            return makeError(ErrorKind::UpstreamLost,
                             "the answer has neither a length nor chunks, so it may be cut short");
        }
        stream.expireNever();
        connection.isUsed = true;
        connection.keepAlive = keepAliveTime(parser.message);
        mayKeep = parser.keep_alive() && stream.buffered() == 0 && skipped == 0
                  && (!options.keepsConnection || options.keepsConnection(parser.message));
        std::erase_if(parser.message.fields,
                      [](const HttpField &field) { return isConnectionField(field.name); });
        return std::move(parser.message);
    }
    return makeError(ErrorKind::UpstreamLost, "only answers to other requests came");
}

} // namespace kumquat
