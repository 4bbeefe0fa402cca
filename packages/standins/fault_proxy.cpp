// Sections: ProxyThread, pumps, State, FaultProxy.
#include "standins/fault_proxy.h"

#include "base/errors.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>

#include <sys/socket.h>

#include <array>
#include <set>

namespace kumquat {
namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::size_t chunkBytes = 16UL * 1024;
constexpr Duration silenceCheckInterval = 20ms; // between two checks whether a silence has ended

Tcp::endpoint toEndpoint(const Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

// ---- ProxyThread ----

ProxyThread::ProxyThread()
    : work(boost::asio::make_work_guard(this->context))
    , thread([this] { this->context.run(); })
{}

ProxyThread::~ProxyThread()
{
    this->context.stop();
    this->thread.join();
}

void ProxyThread::post(std::function<void()> function)
{
    boost::asio::post(this->context, std::move(function));
}

// ---- Pumps ----

class FaultProxy::State : public std::enable_shared_from_this<FaultProxy::State>
{
public:
    enum class Direction : std::uint8_t { ToTarget, ToCaller };

    // A caller's connection and the matching connection to the target.
    struct Pair
    {
        explicit Pair(asio::io_context &io)
            : caller(io)
            , target(io)
        {}

        Tcp::socket caller;
        Tcp::socket target;
        int endedDirections = 0;
        bool isStalled = false; // delivers nothing any more, not even the end of the stream
    };
    using PairPtr = std::shared_ptr<Pair>;

    // Forwards one direction of a pair: reads a chunk, waits as the link condition requires,
    // writes.
    struct Pump : std::enable_shared_from_this<Pump>
    {
        Pump(std::shared_ptr<State> pumpState, PairPtr pumpPair, Direction pumpDirection)
            : state(std::move(pumpState))
            , pair(std::move(pumpPair))
            , direction(pumpDirection)
            , timer(this->state->thread.io())
        {}

        void read()
        {
            Tcp::socket &from = this->direction == Direction::ToTarget ? this->pair->caller
                                                                       : this->pair->target;
            from.async_read_some(
                    asio::buffer(this->bytes),
                    [self = this->shared_from_this()](const ErrorCode &error, std::size_t count) {
                        if (error) {
                            self->endDirection(error);
                        } else if (self->pair->isStalled) {
                            self->read();
                        } else {
                            self->forward(count, self->state->delay());
                        }
                    });
        }

        void forward(std::size_t count, Duration delay)
        {
            if (this->wasReset()) {
                this->endDirection(asio::error::connection_reset);
                return;
            }
            const bool isSilent = this->state->isSilent(this->direction);
            const Duration wait = isSilent ? silenceCheckInterval : delay;
            if (wait == Duration::zero()) {
                this->write(count);
                return;
            }
            this->timer.expires_after(wait);
            this->timer.async_wait([self = this->shared_from_this(), count](const ErrorCode &) {
                self->forward(count, Duration::zero());
            });
        }

        // Returns whether the sender has reset its connection. Bytes that are held back are then
        // lost, as on a real link.
        bool wasReset()
        {
            Tcp::socket &from = this->direction == Direction::ToTarget ? this->pair->caller
                                                                       : this->pair->target;
            int error = 0;
            socklen_t length = sizeof(error);
            return !from.is_open()
                   || getsockopt(from.native_handle(), SOL_SOCKET, SO_ERROR, &error, &length) != 0
                   || error != 0;
        }

        void write(std::size_t count)
        {
            Tcp::socket &to = this->direction == Direction::ToTarget ? this->pair->target
                                                                     : this->pair->caller;
            asio::async_write(to, asio::buffer(this->bytes, count),
                              [self = this->shared_from_this()](const ErrorCode &error,
                                                                std::size_t /*bytes*/) {
                                  if (error) {
                                      self->endDirection(error);
                                      return;
                                  }
                                  self->read();
                              });
        }

        // Forwards the end of stream of one direction. Any other error resets both connections.
        void endDirection(const ErrorCode &error)
        {
            Tcp::socket &to = this->direction == Direction::ToTarget ? this->pair->target
                                                                     : this->pair->caller;
            ErrorCode ignored;
            ++this->pair->endedDirections;
            if (this->pair->isStalled && this->pair->endedDirections < 2) {
                return;
            }
            if (error == asio::error::eof && this->pair->endedDirections < 2) {
                to.shutdown(Tcp::socket::shutdown_send, ignored);
                return;
            }
            this->state->close(this->pair, error != asio::error::eof);
        }

        std::shared_ptr<State> state;
        PairPtr pair;
        Direction direction;
        asio::steady_timer timer;
        std::array<char, chunkBytes> bytes{};
    };

    // ---- State ----

    State(ProxyThread &stateThread, const Address &stateTarget)
        : thread(stateThread)
        , target(toEndpoint(stateTarget))
        , acceptor(stateThread.io())
    {}

    absl::Status listen(const Address &address)
    {
        ErrorCode error;
        const Tcp::endpoint endpoint = toEndpoint(address);
        this->acceptor.open(endpoint.protocol(), error);
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
        this->acceptor.bind(endpoint, error);
        if (!error) {
            this->acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        return error ? makeError(
                       ErrorKind::SettingsInvalid,
                       absl::StrCat("cannot listen on ", address.toString(), ": ", error.message()))
                     : absl::OkStatus();
    }

    void accept()
    {
        auto pair = std::make_shared<Pair>(this->thread.io());
        this->acceptor.async_accept(
                pair->caller, [self = this->shared_from_this(), pair](const ErrorCode &error) {
                    if (self->isStopped) {
                        return;
                    }
                    if (!error) {
                        self->pairs.insert(pair);
                        self->connect(pair);
                    }
                    self->accept();
                });
    }

    void connect(const PairPtr &pair)
    {
        if (this->condition.fault == LinkFault::SilentBothWays) {
            auto timer =
                    std::make_shared<asio::steady_timer>(this->thread.io(), silenceCheckInterval);
            timer->async_wait([self = this->shared_from_this(), pair, timer](const ErrorCode &) {
                self->connect(pair);
            });
            return;
        }
        pair->target.async_connect(
                this->target, [self = this->shared_from_this(), pair](const ErrorCode &error) {
                    if (error) {
                        self->close(pair, true);
                        return;
                    }
                    std::make_shared<Pump>(self, pair, Direction::ToTarget)->read();
                    std::make_shared<Pump>(self, pair, Direction::ToCaller)->read();
                });
    }

    bool isSilent(Direction direction) const
    {
        const LinkFault silent = direction == Direction::ToTarget ? LinkFault::SilentToTarget
                                                                  : LinkFault::SilentFromTarget;
        return this->condition.fault == silent
               || this->condition.fault == LinkFault::SilentBothWays;
    }

    Duration delay() const
    {
        return this->condition.fault == LinkFault::Delayed ? this->condition.delay
                                                           : Duration::zero();
    }

    void apply(const LinkCondition &newCondition)
    {
        this->condition = newCondition;
        if (newCondition.fault == LinkFault::Reset) {
            this->closeAll();
        }
        if (newCondition.fault == LinkFault::Stalled) {
            for (const PairPtr &pair : this->pairs) {
                pair->isStalled = true;
            }
        }
    }

    void stop()
    {
        this->isStopped = true;
        ErrorCode ignored;
        this->acceptor.close(ignored);
        this->closeAll();
    }

    void close(const PairPtr &pair, bool isReset)
    {
        ErrorCode ignored;
        for (Tcp::socket *socket : {&pair->caller, &pair->target}) {
            if (isReset) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
        this->pairs.erase(pair);
    }

    void closeAll()
    {
        for (const PairPtr &pair : std::set<PairPtr>(this->pairs)) {
            this->close(pair, true);
        }
    }

    ProxyThread &thread;
    Tcp::endpoint target;
    Tcp::acceptor acceptor;
    LinkCondition condition;
    std::set<PairPtr> pairs;
    bool isStopped = false;
};

// ---- FaultProxy ----

FaultProxy::FaultProxy(std::shared_ptr<State> proxyState)
    : state(std::move(proxyState))
{}

FaultProxy::~FaultProxy()
{
    this->state->thread.post([state = this->state] { state->stop(); });
}

absl::StatusOr<std::unique_ptr<FaultProxy>>
FaultProxy::create(ProxyThread &thread, const Address &listen, const Address &target)
{
    auto state = std::make_shared<State>(thread, target);
    const absl::Status status = state->listen(listen);
    if (!status.ok()) {
        return status;
    }
    thread.post([state] { state->accept(); });
    return std::unique_ptr<FaultProxy>(new FaultProxy(std::move(state)));
}

void FaultProxy::set(const LinkCondition &condition)
{
    this->state->thread.post([state = this->state, condition] { state->apply(condition); });
}

} // namespace kumquat
