// Messages between kumquatstage processes: a ZeroMQ PULL socket receives, one PUSH socket per
// destination sends. Both directions between two processes are separate connections, so an answer
// is addressed like any other message.
//
//   Mesh mesh(controlThread, {.receive = [](wire::MeshMessage &&message) { ... }});
//   absl::Status status = mesh.bind(address);
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

namespace kumquat {

struct MeshHooks
{
    std::function<void(wire::MeshMessage &&message)> receive; // on the mesh's thread
};

// Counters since the start.
struct MeshCounters
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> sentBytes{0}; // payload, without ZeroMQ and TCP framing
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> receivedBytes{0};
    std::atomic<std::uint64_t> dropped{0}; // the destination's queue was full
    std::atomic<std::uint64_t> invalid{0}; // not a MeshMessage
};

class Mesh
{
public:
    Mesh(FiberThread &thread, MeshHooks hooks);
    ~Mesh();

    // Binds the receiving socket. Error: SettingsInvalid.
    absl::Status bind(const Address &address);

    // Sends a message without waiting; it is lost if the destination cannot be reached for long.
    // Callable from any thread.
    void send(const std::string &meshAddress, const wire::MeshMessage &message);

    const MeshCounters &counters() const { return this->statistics; }

private:
    struct Sockets;
    struct Outgoing
    {
        std::string address;
        std::string bytes;
    };

    void waitForInput();
    void receiveAll();
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
