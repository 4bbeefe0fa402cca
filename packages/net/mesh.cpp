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
constexpr int heartbeatMs = 2'000;                // finds connections whose other end vanished
constexpr int reconnectMs = 20;
constexpr int maxReconnectMs = 500;

} // namespace

struct Mesh::Sockets
{
    explicit Sockets(asio::io_context &io)
        : context(1)
        , input(this->context, zmq::socket_type::pull)
        , inputReady(io)
    {}

    zmq::socket_t &output(const std::string &address)
    {
        const auto found = this->outputs.find(address);
        if (found != this->outputs.end()) {
            return found->second;
        }
        zmq::socket_t socket(this->context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, queuedMessages);
        socket.set(zmq::sockopt::reconnect_ivl, reconnectMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMs);
        socket.set(zmq::sockopt::ipv6, true);
        socket.connect("tcp://" + address);
        return this->outputs.emplace(address, std::move(socket)).first->second;
    }

    zmq::context_t context;
    zmq::socket_t input;
    asio::posix::stream_descriptor inputReady;
    std::unordered_map<std::string, zmq::socket_t> outputs;
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
        input.set(zmq::sockopt::heartbeat_ivl, heartbeatMs);
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
    for (Outgoing &outgoing : batch) {
        const std::size_t bytes = outgoing.bytes.size();
        zmq::socket_t &socket = this->sockets->output(outgoing.address);
        const auto sent = socket.send(zmq::buffer(outgoing.bytes), zmq::send_flags::dontwait);
        if (sent) {
            ++this->statistics.sent;
            this->statistics.sentBytes += bytes;
        } else {
            ++this->statistics.dropped;
        }
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
