#include "net/http_server.h"

#include "base/log.h"
#include "base/text.h"
#include "net/http_connection.h"
#include "net/socket_state.h"

#include <boost/asio/basic_socket_acceptor.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

namespace kumquat {
namespace {

// Connections that are not accepted yet. The budget is not charged for what they send, so this
// times the receive buffer has to fit beside it.
constexpr int maxAcceptQueue = 1024;

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

struct HttpServer::State
{
    IdleConnections idleSince;
    HttpServerCounts counts;
};

struct HttpServer::Listener
{
    explicit Listener(asio::io_context &io)
        : acceptor(io)
    {}
    asio::basic_socket_acceptor<asio::ip::tcp, HttpStream::Executor> acceptor;
};

std::shared_ptr<HttpServer> HttpServer::create(FiberThread &thread, HttpServerLimits limits,
                                               HttpServerHooks hooks, ByteBudget *budget)
{
    return std::shared_ptr<HttpServer>(new HttpServer(thread, limits, std::move(hooks), budget));
}

HttpServer::HttpServer(FiberThread &serverThread, HttpServerLimits serverLimits,
                       HttpServerHooks serverHooks, ByteBudget *byteBudget)
    : thread(serverThread)
    , limits(serverLimits)
    , hooks(std::move(serverHooks))
    , budget(byteBudget)
    , state(std::make_unique<State>())
{
    if (!this->hooks.isClosing) {
        this->hooks.isClosing = [] { return false; };
    }
}

absl::Status HttpServer::listen(const Address &address, bool shared)
{
    auto opened = std::make_shared<Listener>(this->thread.io());
    ErrorCode error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    opened->acceptor.open(endpoint.protocol(), error);
    opened->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (shared) {
        const int on = 1;
        setsockopt(opened->acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    }
    if (this->limits.receiveBufferBytes > 0) { // accepted connections inherit it
        setReceiveBuffer(opened->acceptor.native_handle(), this->limits.receiveBufferBytes);
    }
    opened->acceptor.bind(endpoint, error);
    if (!error) {
        opened->acceptor.listen(maxAcceptQueue, error);
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
    const Duration previousLimit = std::exchange(this->limits, newLimits).idleLimit;
    if (newLimits.idleLimit <= previousLimit) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    for (const auto &[stream, since] : this->state->idleSince) {
        stream->expireAfter(since + newLimits.idleLimit - now);
    }
}

HttpServer::~HttpServer() = default;

int HttpServer::connectionCount() const
{
    return this->state->counts.connections.load();
}

int HttpServer::unansweredCount() const
{
    return this->state->counts.unanswered.load();
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
        if (!error && self->connectionCount() < self->limits.maxConnections) {
            // The deleter of each connection owns the server, so the server outlives its
            // connections.
            const auto connection = std::shared_ptr<HttpConnection>(
                    new HttpConnection(self->thread, std::move(accepted), self->limits, self->hooks,
                                       self->state->idleSince, self->state->counts, self->budget),
                    [self](HttpConnection *ended) { delete ended; });
            if (connection->chargeConnection()) { // otherwise it is closed at once
                self->thread.spawn([connection] { connection->serve(); },
                                   self->limits.newRequestOrder);
            }
        }
        self->acceptNext(opened);
    });
}

} // namespace kumquat
