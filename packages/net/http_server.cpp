#include "net/http_server.h"

#include "base/log.h"
#include "base/text.h"
#include "net/http_stream.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/beast/http/error.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

namespace kumquat {
namespace {

namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

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
    {}
    asio::basic_socket_acceptor<Tcp, HttpStream::Executor> acceptor;
};

namespace {

// Watches the socket of a connection while its request is handled.
class SocketWatch : public CallerWatch
{
public:
    explicit SocketWatch(HttpStream &watched)
        : stream(watched)
        , state(std::make_shared<State>())
    {}

    ~SocketWatch() override
    {
        if (this->state->hook) {
            this->state->hook = nullptr;
            ErrorCode ignored;
            this->stream.socket().cancel(ignored);
        }
    }

    void onGone(std::function<void()> hook) override
    {
        this->state->hook = std::move(hook);
        this->stream.socket().async_wait(
                Tcp::socket::wait_read,
                [watched = this->state,
                 open = this->stream.shared_from_this()](const ErrorCode &error) {
                    if (watched->hook && (error || isClosed(*open))) {
                        std::exchange(watched->hook, nullptr)();
                    }
                });
    }

private:
    struct State
    {
        std::function<void()> hook;
    };

    static bool isClosed(HttpStream &stream)
    {
        char byte = 0;
        const ssize_t count =
                recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    HttpStream &stream;
    std::shared_ptr<State> state;
};

using IdleConnections = std::map<HttpStream *, std::chrono::steady_clock::time_point>;

// Serves one connection until it closes.
class Connection
{
public:
    Connection(HttpStream::Socket socket, const HttpServerLimits &serverLimits,
               const HttpServerHooks &serverHooks, IdleConnections &idleConnections,
               std::atomic<int> &unansweredRequests)
        : stream(
                HttpStream::create(std::move(socket), serverLimits.maxHeaderBytes + readChunkBytes))
        , limits(serverLimits)
        , hooks(serverHooks)
        , idle(idleConnections)
        , unanswered(unansweredRequests)
    {}

    void serve()
    {
        while (this->serveOne()) {
        }
        ErrorCode ignored;
        this->stream->socket().shutdown(Tcp::socket::shutdown_both, ignored);
    }

private:
    static constexpr std::size_t readChunkBytes = 64UL * 1024;

    bool serveOne()
    {
        HttpRequestParser parser;
        parser.header_limit(this->limits.maxHeaderBytes);
        parser.body_limit(this->limits.maxBodyBytes);
        if (const ErrorCode error = this->read(parser)) {
            if (isProtocolError(error)) {
                this->write(this->hooks.refuse(kindOfReadError(error)), parser, false);
                this->drainInput();
            }
            return false;
        }
        const bool keepAlive = parser.keep_alive();
        ++this->unanswered;
        const HttpResponse response = this->handle(parser.message);
        const bool keepOpen = keepAlive && !this->hooks.isClosing();
        const bool isWritten = this->write(response, parser, keepOpen);
        --this->unanswered;
        return isWritten && keepOpen;
    }

    HttpResponse handle(HttpRequest &request)
    {
        if (!this->hooks.handleWatched) {
            return this->hooks.handle(request);
        }
        SocketWatch watch(*this->stream);
        return this->hooks.handleWatched(request, watch);
    }

    ErrorCode read(HttpRequestParser &parser)
    {
        if (this->stream->buffered() == 0) {
            this->stream->expireAfter(this->limits.idleLimit);
            this->idle[this->stream.get()] = std::chrono::steady_clock::now();
            const ErrorCode error = this->stream->readMore();
            this->idle.erase(this->stream.get());
            if (error) {
                return error;
            }
        }
        this->stream->expireAfter(this->limits.messageLimit);
        const ErrorCode error = this->stream->read(parser);
        this->stream->expireNever();
        return error;
    }

    bool write(const HttpResponse &response, const HttpRequestParser &parser, bool keepAlive)
    {
        std::string &output = this->stream->output;
        output.clear();
        appendResponse(output, response, parser.version, keepAlive,
                       parser.message.method == "HEAD");
        this->stream->expireAfter(this->limits.messageLimit);
        return !this->stream->write(output);
    }

    // Reads what the caller still sends, so that closing does not reset the connection before the
    // caller has read the refusal.
    void drainInput()
    {
        ErrorCode ignored;
        this->stream->socket().shutdown(Tcp::socket::shutdown_send, ignored);
        this->stream->expireAfter(1s);
        std::size_t total = this->stream->dropBuffered();
        while (total < 2 * this->limits.maxBodyBytes && !this->stream->readMore()) {
            total += this->stream->dropBuffered();
        }
    }

    std::shared_ptr<HttpStream> stream;
    const HttpServerLimits &limits;
    const HttpServerHooks &hooks;
    IdleConnections &idle;
    std::atomic<int> &unanswered;
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

void HttpServer::setLimits(HttpServerLimits newLimits)
{
    const Duration before = std::exchange(this->limits, newLimits).idleLimit;
    if (newLimits.idleLimit <= before) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    for (const auto &[stream, since] : this->idleSince) {
        stream->expireAfter(since + newLimits.idleLimit - now);
    }
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
    opened->acceptor.async_accept([self = this->shared_from_this(),
                                   opened](const ErrorCode &error, HttpStream::Socket accepted) {
        if (!opened->acceptor.is_open()) {
            return;
        }
        if (!error && self->connections.load() < self->limits.maxConnections) {
            auto socket = std::make_shared<HttpStream::Socket>(std::move(accepted));
            ++self->connections;
            self->thread.spawn([self, socket] {
                Connection(std::move(*socket), self->limits, self->hooks, self->idleSince,
                           self->unanswered)
                        .serve();
                --self->connections;
            });
        }
        self->acceptNext(opened);
    });
}

} // namespace kumquat
