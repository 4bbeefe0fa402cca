#include "net/http_client.h"

#include "base/errors.h"
#include "net/http_stream.h"

#include <boost/beast/core/error.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace kumquat {
namespace {

constexpr std::size_t maxReadAhead = 1024UL * 1024; // bytes before the parser takes them

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
};

HttpClient::HttpClient(asio::io_context &context, Address address, HttpClientLimits clientLimits)
    : io(context)
    , server(std::move(address))
    , host(this->server.toString())
    , limits(clientLimits)
{}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResponse> HttpClient::call(const HttpRequest &request, Duration limit,
                                              const std::vector<HttpField> &extra)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    ConnectionPtr connection = this->takeIdle();
    if (!connection) {
        auto connected = this->connect(std::min(limit, this->limits.connectLimit));
        if (!connected.ok()) {
            return connected.status();
        }
        connection = *std::move(connected);
    }
    const auto left = deadline - std::chrono::steady_clock::now();
    if (left <= Duration::zero()) {
        return makeError(ErrorKind::UpstreamUnreachable, "connecting took too long");
    }
    this->busy.insert(connection.get());
    bool mayKeep = false;
    auto answer = this->exchange(*connection, request, extra, left, mayKeep);
    this->busy.erase(connection.get());
    if (mayKeep && static_cast<int>(this->idle.size()) < this->limits.maxIdle) {
        this->idle.push_back(std::move(connection));
    }
    return answer;
}

void HttpClient::cancelAll()
{
    for (Connection *connection : this->busy) {
        connection->stream->close();
    }
    this->idle.clear();
}

HttpClient::ConnectionPtr HttpClient::takeIdle()
{
    while (!this->idle.empty()) {
        ConnectionPtr connection = std::move(this->idle.back());
        this->idle.pop_back();
        if (!connection->isStale()) {
            return connection;
        }
    }
    return nullptr;
}

absl::StatusOr<HttpClient::ConnectionPtr> HttpClient::connect(Duration limit)
{
    auto connection = std::make_shared<Connection>(this->io);
    connection->stream->expireAfter(limit);
    const ErrorCode error = connection->stream->connect(
            {asio::ip::make_address(this->server.ip), this->server.port});
    if (error) {
        return makeError(
                ErrorKind::UpstreamUnreachable,
                absl::StrCat("cannot connect to ", this->server.toString(), ": ", error.message()));
    }
    return connection;
}

absl::StatusOr<HttpResponse> HttpClient::exchange(Connection &connection,
                                                  const HttpRequest &request,
                                                  const std::vector<HttpField> &extra,
                                                  Duration limit, bool &mayKeep)
{
    HttpStream &stream = *connection.stream;
    stream.expireAfter(limit);
    stream.output.clear();
    appendRequest(stream.output, request, extra, this->host);
    if (const ErrorCode error = stream.write(stream.output)) {
        return failureAfterSend(error);
    }
    HttpResponseParser parser;
    parser.body_limit(this->limits.maxBodyBytes);
    parser.skip(request.method == "HEAD");
    if (const ErrorCode error = stream.read(parser)) {
        return failureAfterSend(error);
    }
    if (parser.need_eof()) {
        return makeError(ErrorKind::UpstreamLost,
                         "the answer has neither a length nor chunks, so it may be cut short");
    }
    stream.expireNever();
    mayKeep = parser.keep_alive() && stream.buffered() == 0;
    std::erase_if(parser.message.fields,
                  [](const HttpField &field) { return isConnectionField(field.name); });
    return std::move(parser.message);
}

} // namespace kumquat
