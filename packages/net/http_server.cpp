#include "net/http_server.h"

#include "base/log.h"
#include "base/text.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <array>

namespace kumquat {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Parser = http::request_parser<http::string_body>;

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toMessage(HttpResponse &&response, unsigned version,
                                            bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(version);
    message.result(static_cast<unsigned>(response.status));
    for (const HttpField &field : response.fields) {
        message.insert(field.name, field.value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

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

// ---- Plain messages ----

bool isSameFieldName(std::string_view first, std::string_view second)
{
    return absl::EqualsIgnoreCase(toAbsl(first), toAbsl(second));
}

static std::string_view findField(const std::vector<HttpField> &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (isSameFieldName(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

std::string_view HttpRequest::field(std::string_view name) const
{
    return findField(this->fields, name);
}

std::string_view HttpResponse::field(std::string_view name) const
{
    return findField(this->fields, name);
}

bool isConnectionField(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names{
            "connection", "content-length", "keep-alive",        "proxy-connection",
            "te",         "trailer",        "transfer-encoding", "upgrade",
            "expect"};
    for (const std::string_view known : names) {
        if (isSameFieldName(known, name)) {
            return true;
        }
    }
    return false;
}

// ---- Server ----

struct HttpServer::Listener
{
    explicit Listener(asio::io_context &io)
        : acceptor(io)
        , socket(io)
    {}
    Tcp::acceptor acceptor;
    Tcp::socket socket;
};

namespace {

// Serves one connection until it closes.
class Connection
{
public:
    Connection(Tcp::socket socket, const HttpServerLimits &serverLimits,
               const HttpServerHooks &serverHooks)
        : stream(std::move(socket))
        , limits(serverLimits)
        , hooks(serverHooks)
        , buffer(serverLimits.maxHeaderBytes + readChunkBytes)
    {}

    void serve()
    {
        while (this->serveOne()) {
        }
        ErrorCode ignored;
        this->stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    }

private:
    static constexpr std::size_t readChunkBytes = 64UL * 1024;

    bool serveOne()
    {
        Parser parser;
        parser.header_limit(this->limits.maxHeaderBytes);
        parser.body_limit(this->limits.maxBodyBytes);
        const ErrorCode error = this->read(parser);
        if (error) {
            if (isProtocolError(error)) {
                this->write(this->hooks.refuse(kindOfReadError(error)), 11, false);
                this->drainInput();
            }
            return false;
        }
        const unsigned version = parser.get().version();
        const bool keepAlive = parser.get().keep_alive();
        HttpResponse response = this->hooks.handle(toRequest(parser.release()));
        const bool keepOpen = keepAlive && !this->hooks.isClosing();
        return this->write(std::move(response), version, keepOpen) && keepOpen;
    }

    ErrorCode read(Parser &parser)
    {
        if (this->buffer.size() == 0) {
            this->stream.expires_after(this->limits.idleLimit);
            const OperationResult ready = awaitOperation([&](auto done) {
                this->stream.async_read_some(this->buffer.prepare(readChunkBytes), std::move(done));
            });
            if (ready.error) {
                return ready.error;
            }
            this->buffer.commit(ready.bytes);
        }
        this->stream.expires_after(this->limits.messageLimit);
        return awaitOperation([&](auto done) {
                   http::async_read(this->stream, this->buffer, parser, std::move(done));
               })
                .error;
    }

    bool write(HttpResponse &&response, unsigned version, bool keepAlive)
    {
        auto message = toMessage(std::move(response), version, keepAlive);
        this->stream.expires_after(this->limits.messageLimit);
        const OperationResult written = awaitOperation(
                [&](auto done) { http::async_write(this->stream, message, std::move(done)); });
        return !written.error;
    }

    // Reads what the caller still sends, so that closing does not reset the connection before the
    // caller has read the refusal.
    void drainInput()
    {
        ErrorCode ignored;
        this->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        std::array<char, 4096> scratch{};
        std::size_t total = 0;
        this->stream.expires_after(1s);
        while (total < 2 * this->limits.maxBodyBytes) {
            const OperationResult part = awaitOperation([&](auto done) {
                this->stream.async_read_some(asio::buffer(scratch), std::move(done));
            });
            if (part.error) {
                return;
            }
            total += part.bytes;
        }
    }

    beast::tcp_stream stream;
    const HttpServerLimits &limits;
    const HttpServerHooks &hooks;
    beast::flat_buffer buffer;
};

} // namespace

std::shared_ptr<HttpServer> HttpServer::create(FiberThread &thread, HttpServerLimits limits,
                                               HttpServerHooks hooks)
{
    return std::shared_ptr<HttpServer>(new HttpServer(thread, limits, std::move(hooks)));
}

HttpServer::HttpServer(FiberThread &serverThread, HttpServerLimits serverLimits,
                       HttpServerHooks serverHooks)
    : thread(serverThread)
    , limits(serverLimits)
    , hooks(std::move(serverHooks))
{
    if (!this->hooks.isClosing) {
        this->hooks.isClosing = [] { return false; };
    }
}

absl::Status HttpServer::listen(const Address &address, bool shared)
{
    auto opened = std::make_shared<Listener>(this->thread.io());
    ErrorCode error;
    const Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    opened->acceptor.open(endpoint.protocol(), error);
    opened->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (shared) {
        const int on = 1;
        setsockopt(opened->acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    }
    opened->acceptor.bind(endpoint, error);
    if (!error) {
        opened->acceptor.listen(Tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        return makeError(
                ErrorKind::SettingsInvalid,
                absl::StrCat("cannot listen on ", address.toString(), ": ", error.message()));
    }
    this->listener = opened;
    this->thread.post([self = this->shared_from_this(), opened] { self->acceptNext(opened); });
    return absl::OkStatus();
}

void HttpServer::stopAccepting()
{
    this->thread.post([self = this->shared_from_this()] {
        if (self->listener) {
            ErrorCode ignored;
            self->listener->acceptor.close(ignored);
        }
    });
}

void HttpServer::acceptNext(const std::shared_ptr<Listener> &opened)
{
    auto &acceptor = opened->acceptor;
    acceptor.async_accept(
            opened->socket, [self = this->shared_from_this(), opened](const ErrorCode &error) {
                if (!opened->acceptor.is_open()) {
                    return;
                }
                if (!error && self->connections.load() < self->limits.maxConnections) {
                    ErrorCode ignored;
                    opened->socket.set_option(Tcp::no_delay(true), ignored);
                    auto socket = std::make_shared<Tcp::socket>(std::move(opened->socket));
                    ++self->connections;
                    self->thread.spawn([self, socket] {
                        Connection(std::move(*socket), self->limits, self->hooks).serve();
                        --self->connections;
                    });
                }
                opened->socket = Tcp::socket(self->thread.io());
                self->acceptNext(opened);
            });
}

} // namespace kumquat
