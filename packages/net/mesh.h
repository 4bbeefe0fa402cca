// Messages between kumquatstage processes. Each process has one ZeroMQ ROUTER socket. A request is
// sent on a connection that this process opens to the destination. A reply is sent on the
// connection on which the destination's requests arrive, so that it also carries their TCP
// acknowledgement.
//
//   Mesh mesh(controlThread, {.receive = [](wire::MeshMessage &&message) { ... }});
//   absl::Status status = mesh.bind(address, "node-1");
//   mesh.send("127.0.0.1:7001", message);
#pragma once

#include "base/address.h"
#include "net/fibers.h"
#include "wire/mesh.pb.h"

#include <absl/status/status.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace kumquat {

struct MeshHooks
{
    // Receives a message whose `from` is the sender's node name. Runs on the mesh's thread.
    std::function<void(wire::MeshMessage &&message)> receive;
};

// Counters since the start of the process.
struct MeshCounters
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> sentBytes{0}; // payload, without ZeroMQ and TCP framing
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> receivedBytes{0};
    std::atomic<std::uint64_t> dropped{0}; // queue full, or sending failed
    std::atomic<std::uint64_t> invalid{0}; // not a MeshMessage, or the sender is not a Mesh
};

class Mesh
{
public:
    Mesh(FiberThread &thread, MeshHooks hooks);
    ~Mesh();

    // Binds the socket. `node` is the name by which the other processes know this one. Error:
    // SettingsInvalid.
    absl::Status bind(const Address &address, std::string_view node = {});

    // Sends a message without waiting. The message is lost if the destination stays unreachable for
    // long. `from` need not be set, because each connection transmits the node name once. Callable
    // from any thread.
    void send(const std::string &meshAddress, const wire::MeshMessage &message);

    const MeshCounters &counters() const { return this->statistics; }

private:
    struct Sockets;
    struct Outgoing
    {
        std::string address;
        std::string bytes;
        bool isReply = false;
    };

    void waitForInput();
    void receiveAll();
    void receiveMessage(std::string_view route);
    void sendQueued();
    bool sendMessage(const Outgoing &outgoing, Time now);

    FiberThread &thread;
    MeshHooks hooks;
    MeshCounters statistics;
    std::unique_ptr<Sockets> sockets;
    std::mutex queueMutex; // guards queue and sendScheduled
    std::deque<Outgoing> queue;
    bool sendScheduled = false;
};

} // namespace kumquat
