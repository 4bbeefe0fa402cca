// Messages between kumquatstage processes over one ZeroMQ ROUTER socket a process. A request goes
// out on the connection to its destination. A reply goes back on the connection that the
// destination's requests come in on, so that it also carries their TCP acknowledgement.
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
    // Takes a message whose `from` is the sender's node name; on the mesh's thread.
    std::function<void(wire::MeshMessage &&message)> receive;
};

// Counters since the start.
struct MeshCounters
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> sentBytes{0}; // payload, without ZeroMQ and TCP framing
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> receivedBytes{0};
    std::atomic<std::uint64_t> dropped{0}; // the destination's queue was full
    std::atomic<std::uint64_t> invalid{0}; // not a MeshMessage, or from no mesh
};

class Mesh
{
public:
    Mesh(FiberThread &thread, MeshHooks hooks);
    ~Mesh();

    // Binds the socket and names this process to all others. Error: SettingsInvalid.
    absl::Status bind(const Address &address, std::string_view node = {});

    // Sends a message without waiting; it is lost if the destination cannot be reached for long.
    // `from` need not be set: each connection carries it once. Callable from any thread.
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
    void receiveOne(std::string_view route);
    void sendQueued();
    bool sendOne(const Outgoing &outgoing, Time now);

    FiberThread &thread;
    MeshHooks hooks;
    MeshCounters statistics;
    std::unique_ptr<Sockets> sockets;
    std::mutex queueMutex; // guards queue and sendScheduled
    std::deque<Outgoing> queue;
    bool sendScheduled = false;
};

} // namespace kumquat
