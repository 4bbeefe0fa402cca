#include "net/mesh.h"

#include "base/errors.h"
#include "base/log.h"
#include "base/text.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <absl/strings/str_cat.h>

#include <optional>
#include <random>
#include <unordered_map>

namespace kumquat {
namespace {

constexpr int queuedMessages = 4'000;             // per destination; further messages are dropped
constexpr std::int64_t maxMessageBytes = 4 << 20; // a larger frame closes its connection
// A connection whose data is not acknowledged within this time is opened again. ZeroMQ's heartbeats
// would also detect a vanished host, but they cost 33 KB/s at 550 processes, while all control
// messages together need 4 KB/s.
constexpr int unacknowledgedMs = 3'000;
constexpr int maxSockets = 4'096; // 550 processes need nearly ZeroMQ's default of 1,023
// Hosts are replaced daily, and their addresses are not used again.
constexpr Duration idleRouteLimit = 5min;
constexpr int reconnectMs = 20;
constexpr int maxReconnectMs = 500;

// Returns whether a message is a reply. Losing a reply when its connection closes is harmless,
// because the request is repeated or has a deadline.
bool isReply(const wire::MeshMessage &message)
{
    switch (message.body_case()) {
    case wire::MeshMessage::kGrant:
    case wire::MeshMessage::kReleaseReply:
    case wire::MeshMessage::kJournalAck:
    case wire::MeshMessage::kJournalReply:
    case wire::MeshMessage::kHandoverAck:
    case wire::MeshMessage::kForwardReply:
    case wire::MeshMessage::kLoadReply:
        return true;
    default:
        return false;
    }
}

// Identity that a process sends once per connection: "<random number> <mesh address> <node>". The
// messages themselves therefore need no bytes for the address and the node.
struct Identity
{
    std::string_view address;
    std::string_view node;

    static std::optional<Identity> parse(std::string_view text)
    {
        const std::size_t first = text.find(' ');
        const std::size_t second = text.find(' ', first + 1);
        if (first == std::string_view::npos || second == std::string_view::npos) {
            return std::nullopt;
        }
        return Identity{text.substr(first + 1, second - first - 1), text.substr(second + 1)};
    }
};

} // namespace

struct Mesh::Sockets
{
    // Connection to another process, opened by either side.
    struct Route
    {
        std::string id; // ZeroMQ routing id of the connection
        Time lastUsed{};
    };
    using Routes = std::unordered_map<std::string, Route>; // indexed by mesh address

    explicit Sockets(asio::io_context &io)
        : context(1, maxSockets)
        , socket(this->context, zmq::socket_type::router)
        , ready(io)
    {
        this->socket.set(zmq::sockopt::linger, 0);
        this->socket.set(zmq::sockopt::ipv6, true);
        this->socket.set(zmq::sockopt::sndhwm, queuedMessages);
        this->socket.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
        this->socket.set(zmq::sockopt::reconnect_ivl, reconnectMs);
        this->socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMs);
        this->socket.set(zmq::sockopt::tcp_maxrt, unacknowledgedMs);
        // Report a full queue or a closed connection instead of dropping the message silently.
        this->socket.set(zmq::sockopt::router_mandatory, true);
        // A reopened connection replaces the previous one, which may not be closed yet.
        this->socket.set(zmq::sockopt::router_handover, true);
    }

    // Returns a random id that no other process can guess. ZeroMQ aborts this process if an
    // outgoing connection gets the id of an existing one, and it replaces an incoming connection
    // by a later one with the same identity.
    std::string makeRandomId()
    {
        const std::uint64_t number = std::uint64_t{this->random()} << 32 | this->random();
        return absl::StrCat(absl::Hex(number, absl::kZeroPad16));
    }

    // Sets the identity for the connections that are opened next.
    void setIdentity()
    {
        this->socket.set(zmq::sockopt::routing_id,
                         absl::StrCat(this->makeRandomId(), this->identitySuffix));
    }

    const std::string &routeTo(const std::string &address, Time now)
    {
        const auto found = this->outgoing.find(address);
        if (found != this->outgoing.end()) {
            found->second.lastUsed = now;
            return found->second.id;
        }
        this->closeIdleRoutes(now);
        Route route{this->makeRandomId(), now};
        this->setIdentity();
        this->socket.set(zmq::sockopt::connect_routing_id, route.id);
        this->socket.connect("tcp://" + address);
        return this->outgoing.emplace(address, std::move(route)).first->second.id;
    }

    void closeIdleRoutes(Time now)
    {
        const auto isIdle = [now](const auto &entry) {
            return now - entry.second.lastUsed > idleRouteLimit;
        };
        std::erase_if(this->incoming, isIdle);
        std::erase_if(this->outgoing, [&](const auto &entry) {
            if (isIdle(entry)) {
                this->disconnect(entry.first);
            }
            return isIdle(entry);
        });
    }

    void disconnect(const std::string &address)
    {
        try {
            this->socket.disconnect("tcp://" + address);
        } catch (const zmq::error_t &error) {
            logWarning(LogPart::Mesh, "cannot close an idle connection",
                       {{"address", address}, {"reason", error.what()}});
        }
    }

    // Records the connection on which replies to a process are sent. The next message from the
    // same address may change it, so a restarted process gets no replies on the connection of
    // its earlier incarnation.
    void noteIncoming(std::string_view address, std::string_view id, Time now)
    {
        this->lookupKey.assign(address);
        Route &route = this->incoming[this->lookupKey];
        route.lastUsed = now;
        if (route.id != id) {
            route.id.assign(id);
        }
    }

    // Returns false on EAGAIN. Throws zmq::error_t on EHOSTUNREACH and other errors.
    bool send(const std::string &routeId, const std::string &bytes)
    {
        const auto flags = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
        return this->socket.send(zmq::buffer(routeId), flags).has_value()
               && this->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
    }

    // Returns nullopt if the destination has no open connection to this process.
    std::optional<bool> sendReply(const std::string &address, const std::string &bytes)
    {
        const auto found = this->incoming.find(address);
        if (found == this->incoming.end()) {
            return std::nullopt;
        }
        try {
            return this->send(found->second.id, bytes);
        } catch (const zmq::error_t &) {
            this->incoming.erase(found);
            return std::nullopt;
        }
    }

    // Receives and drops the remaining frames of a message.
    void skipFrames(zmq::message_t &frame)
    {
        while (frame.more() && this->socket.recv(frame, zmq::recv_flags::dontwait)) {
        }
    }

    zmq::context_t context;
    zmq::socket_t socket;
    asio::posix::stream_descriptor ready;
    std::random_device random;
    std::string identitySuffix; // the part of the identity after the random number
    Routes outgoing;
    Routes incoming;
    std::string lookupKey; // for look-ups; reused to avoid allocations
};

Mesh::Mesh(FiberThread &meshThread, MeshHooks meshHooks)
    : thread(meshThread)
    , hooks(std::move(meshHooks))
    , sockets(std::make_unique<Sockets>(meshThread.io()))
{}

Mesh::~Mesh()
{
    // ZeroMQ owns the descriptor and closes it.
    this->sockets->ready.release();
}

absl::Status Mesh::bind(const Address &address, std::string_view node)
{
    try {
        this->sockets->identitySuffix =
                absl::StrCat(" ", address.toString(), " ", std::string(node));
        this->sockets->setIdentity();
        this->sockets->socket.bind("tcp://" + address.toString());
        this->sockets->ready.assign(this->sockets->socket.get(zmq::sockopt::fd));
    } catch (const std::exception &error) {
        return makeError(
                ErrorKind::SettingsInvalid,
                absl::StrCat("cannot bind mesh to ", address.toString(), ": ", error.what()));
    }
    this->thread.post([this] {
        this->receiveAll();
        this->waitForInput();
    });
    return absl::OkStatus();
}

void Mesh::send(const std::string &meshAddress, const wire::MeshMessage &message)
{
    Outgoing outgoing{meshAddress, message.SerializeAsString(), isReply(message)};
    const std::lock_guard<std::mutex> lock(this->queueMutex);
    this->queue.push_back(std::move(outgoing));
    if (!this->sendScheduled) {
        this->sendScheduled = true;
        this->thread.post([this] { this->sendQueued(); });
    }
}

void Mesh::sendQueued()
{
    std::deque<Outgoing> batch;
    {
        const std::lock_guard<std::mutex> lock(this->queueMutex);
        batch.swap(this->queue);
        this->sendScheduled = false;
    }
    const Time now = readBootTime();
    for (const Outgoing &outgoing : batch) {
        if (this->sendMessage(outgoing, now)) {
            ++this->statistics.sent;
            this->statistics.sentBytes += outgoing.bytes.size();
        } else {
            ++this->statistics.dropped;
        }
    }
    // Sending may consume the edge of ZMQ_FD that signalled input.
    this->receiveAll();
}

// Addresses come from other processes, so an address that ZeroMQ rejects must not end this process.
bool Mesh::sendMessage(const Outgoing &outgoing, Time now)
{
    try {
        std::optional<bool> isSent;
        if (outgoing.isReply) {
            isSent = this->sockets->sendReply(outgoing.address, outgoing.bytes);
        }
        return isSent ? *isSent
                      : this->sockets->send(this->sockets->routeTo(outgoing.address, now),
                                            outgoing.bytes);
    } catch (const zmq::error_t &error) {
        logWarning(LogPart::Mesh, "cannot send a message",
                   {{"address", outgoing.address}, {"reason", error.what()}});
        return false;
    }
}

void Mesh::waitForInput()
{
    this->sockets->ready.async_wait(asio::posix::stream_descriptor::wait_read,
                                    [this](const ErrorCode &error) {
                                        if (error) {
                                            return;
                                        }
                                        this->receiveAll();
                                        this->waitForInput();
                                    });
}

void Mesh::receiveAll()
{
    // ZMQ_FD is edge-triggered, so all available messages must be received before the next wait. A
    // receive that returns nothing has processed all pending ZeroMQ commands, as reading ZMQ_EVENTS
    // does.
    zmq::message_t route;
    while (this->sockets->socket.recv(route, zmq::recv_flags::dontwait)) {
        if (route.more()) {
            this->receiveMessage(route.to_string_view());
        }
    }
}

void Mesh::receiveMessage(std::string_view route)
{
    zmq::message_t frame;
    if (!this->sockets->socket.recv(frame, zmq::recv_flags::dontwait)) {
        return;
    }
    ++this->statistics.received;
    this->statistics.receivedBytes += frame.size();
    if (frame.more()) {
        ++this->statistics.invalid;
        this->sockets->skipFrames(frame);
        return;
    }
    // Null if the peer uses an old version of the protocol.
    const char *identityText = zmq_msg_gets(frame.handle(), "Identity");
    const auto sender = Identity::parse(identityText == nullptr ? "" : identityText);
    wire::MeshMessage message;
    const bool isValid = sender
                         && message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))
                         && message.body_case() != wire::MeshMessage::BODY_NOT_SET;
    if (!isValid) {
        ++this->statistics.invalid;
        return;
    }
    if (route == identityText) {
        this->sockets->noteIncoming(sender->address, route, readBootTime());
    }
    message.set_from(std::string(sender->node));
    this->hooks.receive(std::move(message));
}

} // namespace kumquat
