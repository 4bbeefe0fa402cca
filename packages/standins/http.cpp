// Sections: fields and queries, server, client.
#include "standins/http.h"

#include "base/text.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <condition_variable>
#include <mutex>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>

namespace kumquat {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::uint64_t bodyLimit = 64ULL << 20U; // bytes; the largest bodies are ledgers

// Returns whether an idle connection can no longer be used: the peer has closed it, or it holds
// unexpected input.
bool isClosed(int descriptor)
{
    pollfd entry{descriptor, POLLRDHUP, 0};
    return poll(&entry, 1, 0) != 0;
}

template <typename Fields>
HttpFields copyFields(const Fields &source)
{
    HttpFields fields;
    for (const auto &field : source) {
        fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return fields;
}

} // namespace

// --- fields and queries

std::optional<std::string> findField(const HttpFields &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (absl::EqualsIgnoreCase(toAbsl(field.name), toAbsl(name))) {
            return field.value;
        }
    }
    return std::nullopt;
}

std::string HttpRequest::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    std::size_t start = this->target.find('?');
    while (start != std::string::npos) {
        const std::size_t next = this->target.find('&', start + 1);
        const std::string pair = this->target.substr(start + 1, next - start - 1);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string::npos ? "" : pair.substr(equals + 1);
        }
        start = next;
    }
    return std::nullopt;
}

std::int64_t HttpRequest::queryInt(std::string_view name, std::int64_t fallback) const
{
    std::int64_t value = 0;
    const auto text = this->query(name);
    return text && absl::SimpleAtoi(*text, &value) ? value : fallback;
}

// --- server

struct HttpServer::State
{
    asio::io_context context;
    Tcp::acceptor acceptor{context};
    HttpHandler handler;
    std::uint16_t port = 0;
    std::thread acceptThread;
    std::mutex mutex; // guards the members below
    std::condition_variable isIdle;
    std::set<int> descriptors;
    bool isStopping = false;

    // Reads one request, or returns nothing when the connection has ended.
    static std::optional<HttpRequest> readRequest(Tcp::socket &socket, beast::flat_buffer &buffer);

    // Writes an answer. Returns whether the connection can serve further requests.
    static bool writeAnswer(Tcp::socket &socket, const HttpAnswer &answer);

    // Writes `bytes` until the connection ends.
    static void writeEndless(Tcp::socket &socket, EndlessBytes &bytes);

    void serveConnection(Tcp::socket socket);
    void acceptConnections(const std::shared_ptr<State> &self);
    bool addDescriptor(int descriptor);
    void removeDescriptor(int descriptor);
};

std::optional<HttpRequest> HttpServer::State::readRequest(Tcp::socket &socket,
                                                          beast::flat_buffer &buffer)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(bodyLimit);
    Error error;
    http::read(socket, buffer, parser, error);
    if (error) {
        return std::nullopt;
    }
    auto message = parser.release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = copyFields(message);
    request.body = std::move(message.body());
    request.isCallerDisconnected = [descriptor = socket.native_handle()] {
        return isClosed(descriptor);
    };
    return request;
}

bool HttpServer::State::writeAnswer(Tcp::socket &socket, const HttpAnswer &answer)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(answer.status));
    for (const HttpField &field : answer.fields) {
        message.set(field.name, field.value);
    }
    message.body() = answer.body;
    message.prepare_payload();
    if (answer.isTruncated) {
        message.body().resize(answer.body.size() / 2); // Content-Length keeps the full size
    }
    Error error;
    http::write(socket, message, error);
    return !error && !answer.isTruncated;
}

void HttpServer::State::writeEndless(Tcp::socket &socket, EndlessBytes &bytes)
{
    ++bytes.started;
    const int open = ++bytes.open;
    int maxSeen = bytes.maxOpen;
    while (maxSeen < open && !bytes.maxOpen.compare_exchange_weak(maxSeen, open)) {
    }
    Error error;
    bytes.written += asio::write(socket, asio::buffer(bytes.prefix), error);
    while (!error) {
        bytes.written += asio::write(socket, asio::buffer(bytes.repeatedPart), error);
    }
    --bytes.open;
}

void HttpServer::State::serveConnection(Tcp::socket socket)
{
    const int descriptor = socket.native_handle();
    Error ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    beast::flat_buffer buffer;
    while (const auto request = readRequest(socket, buffer)) {
        const HttpAnswer answer = this->handler(*request);
        if (answer.endless) {
            writeEndless(socket, *answer.endless);
            break;
        }
        if (answer.isLost || !writeAnswer(socket, answer)) {
            break;
        }
    }
    socket.shutdown(Tcp::socket::shutdown_both, ignored);
    // Removes the descriptor before it is closed, because the system may reuse its number for a new
    // connection.
    this->removeDescriptor(descriptor);
}

bool HttpServer::State::addDescriptor(int descriptor)
{
    const std::lock_guard lock(this->mutex);
    if (this->isStopping) {
        return false;
    }
    this->descriptors.insert(descriptor);
    return true;
}

void HttpServer::State::removeDescriptor(int descriptor)
{
    const std::lock_guard lock(this->mutex);
    this->descriptors.erase(descriptor);
    this->isIdle.notify_all();
}

void HttpServer::State::acceptConnections(const std::shared_ptr<State> &self)
{
    while (true) {
        Error error;
        Tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (error || !this->addDescriptor(socket.native_handle())) {
            return;
        }
        // Connection threads share ownership of the state, because they may outlive the server
        // object.
        std::thread([self, moved = std::move(socket)]() mutable {
            self->serveConnection(std::move(moved));
        }).detach();
    }
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::start(const Address &address,
                                                              HttpHandler handler)
{
    auto state = std::make_shared<State>();
    state->handler = std::move(handler);
    Error error;
    const Tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (!error) {
        state->acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        state->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        state->acceptor.bind(endpoint, error);
    }
    if (!error) {
        state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError(address.toString() + ": " + error.message());
    }
    state->port = state->acceptor.local_endpoint().port();
    state->acceptThread = std::thread([state] { state->acceptConnections(state); });
    return std::unique_ptr<HttpServer>(new HttpServer(state));
}

HttpServer::HttpServer(std::shared_ptr<State> initialState)
    : state(std::move(initialState))
{}

HttpServer::~HttpServer()
{
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->isStopping = true;
        for (const int descriptor : this->state->descriptors) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }
    shutdown(this->state->acceptor.native_handle(), SHUT_RDWR);
    this->state->acceptThread.join();
    std::unique_lock lock(this->state->mutex);
    this->state->isIdle.wait(lock, [this] { return this->state->descriptors.empty(); });
}

std::uint16_t HttpServer::port() const
{
    return this->state->port;
}

// --- client

struct HttpClient::State
{
    Address address;
    asio::io_context context;
    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;

    // Runs one asynchronous operation to completion. beast::tcp_stream applies its timeout only to
    // asynchronous operations.
    template <typename Operation>
    Error run(Operation operation)
    {
        Error result;
        operation([&result](Error error, auto &&...) { result = error; });
        this->context.restart();
        this->context.run();
        return result;
    }

    // Connects unless a usable connection is open. Returns false if connecting fails.
    bool connect(Duration timeout);
    http::request<http::string_body> makeMessage(const HttpRequest &request) const;
    HttpExchange fail(const Error &error);
};

bool HttpClient::State::connect(Duration timeout)
{
    if (this->stream && !isClosed(this->stream->socket().native_handle())) {
        this->stream->expires_after(timeout);
        return true;
    }
    this->buffer.clear();
    this->stream.emplace(this->context);
    this->stream->expires_after(timeout);
    const Tcp::endpoint endpoint(asio::ip::make_address(this->address.ip), this->address.port);
    if (this->run([&](auto done) { this->stream->async_connect(endpoint, done); })) {
        this->stream.reset();
        return false;
    }
    Error ignored;
    this->stream->socket().set_option(Tcp::no_delay(true), ignored);
    return true;
}

http::request<http::string_body> HttpClient::State::makeMessage(const HttpRequest &request) const
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, this->address.toString());
    for (const HttpField &field : request.fields) {
        message.set(field.name, field.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

HttpExchange HttpClient::State::fail(const Error &error)
{
    this->stream.reset();
    this->buffer.clear();
    const bool isTimeout = error == beast::error::timeout;
    return {isTimeout ? ExchangeResult::TimedOut : ExchangeResult::Lost, {}};
}

HttpClient::HttpClient(const Address &address)
    : state(std::make_unique<State>())
{
    this->state->address = address;
}

HttpClient::~HttpClient() = default;

HttpExchange HttpClient::send(const HttpRequest &request, Duration timeout)
{
    State &client = *this->state;
    if (!client.connect(timeout)) {
        return {ExchangeResult::NotConnected, {}};
    }
    http::request<http::string_body> message = client.makeMessage(request);
    Error error = client.run([&](auto done) { http::async_write(*client.stream, message, done); });
    if (error) {
        return client.fail(error);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(bodyLimit);
    error = client.run(
            [&](auto done) { http::async_read(*client.stream, client.buffer, parser, done); });
    if (error) {
        return client.fail(error);
    }
    auto answer = parser.release();
    HttpExchange exchange;
    exchange.result = ExchangeResult::Answered;
    exchange.answer.status = static_cast<int>(answer.result_int());
    exchange.answer.fields = copyFields(answer);
    exchange.answer.body = std::move(answer.body());
    if (!answer.keep_alive()) {
        client.stream.reset();
        client.buffer.clear();
    }
    return exchange;
}

} // namespace kumquat
