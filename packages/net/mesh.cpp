#include "net/mesh.h"

#include "base/errors.h"
#include "base/log.h"
#include "base/text.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <absl/strings/str_cat.h>

#include <unordered_map>

namespace kumquat {
namespace {

constexpr int queuedMessages = 4'000;             // per destination, before messages are dropped
constexpr std::int64_t maxMessageBytes = 4 << 20; // a larger frame closes its connection
// A connection whose data is not acknowledged for this time is made anew. ZeroMQ's heartbeats would
// find a vanished host too, but cost 33 KB/s at 550 processes, against 4 KB/s for all control.
constexpr int unacknowledgedMs = 3'000;
constexpr int maxSockets = 4'096;          // ZeroMQ's default of 1,023 is near 550 processes
constexpr Duration idleSocketLimit = 5min; // hosts are replaced daily, their addresses never return
constexpr int reconnectMs = 20;
constexpr int maxReconnectMs = 500;

} // namespace

struct Mesh::Sockets
{
    explicit Sockets(asio::io_context &io)
        : context(1, maxSockets)
        , input(this->context, zmq::socket_type::pull)
        , inputReady(io)
    {}

    zmq::socket_t &output(const std::string &address, Time now)
    {
        const auto found = this->outputs.find(address);
        if (found != this->outputs.end()) {
            found->second.lastUsed = now;
            return found->second.socket;
        }
        this->closeIdle(now);
        zmq::socket_t socket(this->context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, queuedMessages);
        socket.set(zmq::sockopt::reconnect_ivl, reconnectMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMs);
        socket.set(zmq::sockopt::tcp_maxrt, unacknowledgedMs);
        socket.set(zmq::sockopt::ipv6, true);
        socket.connect("tcp://" + address);
        const auto added = this->outputs.emplace(address, Output{std::move(socket), now});
        return added.first->second.socket;
    }

    void closeIdle(Time now)
    {
        std::erase_if(this->outputs, [now](const auto &entry) {
            return now - entry.second.lastUsed > idleSocketLimit;
        });
    }

    struct Output
    {
        zmq::socket_t socket;
        Time lastUsed{};
    };

    zmq::context_t context;
    zmq::socket_t input;
    asio::posix::stream_descriptor inputReady;
    std::unordered_map<std::string, Output> outputs; // by address
};

Mesh::Mesh(FiberThread &meshThread, MeshHooks meshHooks)
    : thread(meshThread)
    , hooks(std::move(meshHooks))
    , sockets(std::make_unique<Sockets>(meshThread.io()))
{}

Mesh::~Mesh()
{
    // The descriptor belongs to ZeroMQ, which closes it.
    this->sockets->inputReady.release();
}

absl::Status Mesh::bind(const Address &address)
{
    try {
        zmq::socket_t &input = this->sockets->input;
        input.set(zmq::sockopt::ipv6, true);
        input.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
        input.bind("tcp://" + address.toString());
        this->sockets->inputReady.assign(input.get(zmq::sockopt::fd));
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
    Outgoing outgoing{meshAddress, message.SerializeAsString()};
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
    for (Outgoing &outgoing : batch) {
        const std::size_t bytes = outgoing.bytes.size();
        if (this->sendOne(outgoing, now)) {
            ++this->statistics.sent;
            this->statistics.sentBytes += bytes;
        } else {
            ++this->statistics.dropped;
        }
    }
}

// Addresses come from other processes, so one that ZeroMQ refuses must not end this one.
bool Mesh::sendOne(const Outgoing &outgoing, Time now)
{
    try {
        zmq::socket_t &socket = this->sockets->output(outgoing.address, now);
        return socket.send(zmq::buffer(outgoing.bytes), zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t &error) {
        logWarning(LogPart::Mesh, "cannot send",
                   {{"address", outgoing.address}, {"reason", error.what()}});
        return false;
    }
}

void Mesh::waitForInput()
{
    this->sockets->inputReady.async_wait(asio::posix::stream_descriptor::wait_read,
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
    // ZMQ_FD is edge-triggered: everything that is there must be taken before the next wait.
    zmq::socket_t &input = this->sockets->input;
    while ((input.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
        zmq::message_t frame;
        if (!input.recv(frame, zmq::recv_flags::dontwait)) {
            break;
        }
        ++this->statistics.received;
        this->statistics.receivedBytes += frame.size();
        wire::MeshMessage message;
        const bool isWhole = !frame.more()
                             && message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))
                             && message.body_case() != wire::MeshMessage::BODY_NOT_SET;
        if (!isWhole) {
            ++this->statistics.invalid;
            continue;
        }
        this->hooks.receive(std::move(message));
    }
}

} // namespace kumquat
