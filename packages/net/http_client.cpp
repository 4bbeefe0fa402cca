#include "net/http_client.h"

#include "base/errors.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace kumquat {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

http::request<http::string_body> toMessage(const HttpRequest &request, const Address &server)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const HttpField &field : request.fields) {
        if (!isConnectionField(field.name)) {
            message.insert(field.name, field.value);
        }
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, server.toString());
    }
    message.body() = request.body;
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(http::response<http::string_body> &&message)
{
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        const std::string name(field.name_string());
        if (!isConnectionField(name)) {
            response.fields.push_back({name, std::string(field.value())});
        }
    }
    response.body = std::move(message.body());
    return response;
}

absl::Status failureAfterSend(const ErrorCode &error)
{
    if (error == beast::error::timeout) {
        return makeError(ErrorKind::UpstreamTimeout, "no complete answer in time");
    }
    return makeError(ErrorKind::UpstreamLost, error.message());
}

} // namespace

struct HttpClient::Connection
{
    explicit Connection(asio::io_context &io)
        : stream(io)
    {}

    // Says whether the server has closed the idle connection or sent something unasked.
    bool isStale()
    {
        char byte = 0;
        const ssize_t count =
                recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

HttpClient::HttpClient(asio::io_context &context, Address address, HttpClientLimits clientLimits)
    : io(context)
    , server(std::move(address))
    , limits(clientLimits)
{}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResponse> HttpClient::call(const HttpRequest &request, Duration limit)
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
    auto answer = this->exchange(*connection, request, left, mayKeep);
    this->busy.erase(connection.get());
    if (mayKeep && static_cast<int>(this->idle.size()) < this->limits.maxIdle) {
        this->idle.push_back(std::move(connection));
    }
    return answer;
}

void HttpClient::cancelAll()
{
    for (Connection *connection : this->busy) {
        connection->stream.close();
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
    connection->stream.expires_after(limit);
    const Tcp::endpoint endpoint(asio::ip::make_address(this->server.ip), this->server.port);
    const OperationResult connected = awaitOperation(
            [&](auto done) { connection->stream.async_connect(endpoint, std::move(done)); });
    if (connected.error) {
        return makeError(ErrorKind::UpstreamUnreachable,
                         absl::StrCat("cannot connect to ", this->server.toString(), ": ",
                                      connected.error.message()));
    }
    ErrorCode ignored;
    connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
    return connection;
}

absl::StatusOr<HttpResponse> HttpClient::exchange(Connection &connection,
                                                  const HttpRequest &request, Duration limit,
                                                  bool &mayKeep)
{
    auto message = toMessage(request, this->server);
    connection.stream.expires_after(limit);
    const OperationResult written = awaitOperation(
            [&](auto done) { http::async_write(connection.stream, message, std::move(done)); });
    if (written.error) {
        return failureAfterSend(written.error);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(this->limits.maxBodyBytes);
    if (request.method == "HEAD") {
        parser.skip(true);
    }
    const OperationResult read = awaitOperation([&](auto done) {
        http::async_read(connection.stream, connection.buffer, parser, std::move(done));
    });
    if (read.error) {
        return failureAfterSend(read.error);
    }
    mayKeep = parser.get().keep_alive() && connection.buffer.size() == 0;
    if (!parser.get().has_content_length() && !parser.get().chunked() && !parser.is_done()) {
        return makeError(ErrorKind::UpstreamLost, "the answer has no end");
    }
    connection.stream.expires_never();
    return toResponse(parser.release());
}

} // namespace kumquat
