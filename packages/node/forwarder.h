// Forwards requests to the owner's process and matches the answers to the waiting requests.
//
//   const RouteAnswer target = driver.route(service, keyHash);
//   RoutedAnswer answer = forwarder.forward(io, target, request, logOffset);
#pragma once

#include "net/fibers.h"
#include "net/mesh.h"
#include "node/request.h"
#include "ownership/engine_types.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace kumquat {

class Forwarder
{
public:
    // `incarnation` is a random number that is new at each start of the process, so that an answer
    // to an earlier incarnation matches no request of this one. `replyAddress` is the mesh address
    // of this process.
    Forwarder(Mesh &mesh, std::uint64_t incarnation, std::string replyAddress);

    // Sends a request to the owner and waits for the answer, in the calling fiber.
    // Error: OwnerLost if no answer came before the deadline.
    RoutedAnswer forward(asio::io_context &io, const RouteAnswer &target,
                         const RoutedRequest &request, std::uint64_t logOffset);

    // Ends all waits for answers from a session that was fenced. Its process is lost or has stopped
    // serving, so a longer wait would only delay the retry or the answer to the caller. Callable
    // from any thread.
    void abandon(SessionId session);

    // Passes an answer to the request that waits for it. An answer without a waiting request is
    // dropped and counted. Callable from any thread.
    void complete(const wire::ForwardReply &reply);

    std::uint64_t unmatchedReplies() const { return this->unmatched.load(); }

private:
    struct Pending
    {
        explicit Pending(asio::io_context &io)
            : event(io)
        {}
        FiberEvent event;
        SessionId session = 0; // session of the owner
        RoutedAnswer answer;
    };

    Mesh &mesh;
    std::uint64_t incarnation;
    std::string replyAddress;
    std::atomic<std::uint64_t> lastNumber{0};
    std::atomic<std::uint64_t> unmatched{0};
    std::mutex mutex; // guards pending; no other lock is taken while it is held
    std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> pending; // by number
};

// Converts between a routed request or answer and its message. The message has the remaining time
// instead of the deadline, because the clocks of two hosts differ.
wire::Forward toForward(const RoutedRequest &request, Time now);
RoutedRequest fromForward(const wire::Forward &forward, Time now);
wire::ForwardReply toForwardReply(const RoutedAnswer &answer);
RoutedAnswer fromForwardReply(const wire::ForwardReply &reply);

} // namespace kumquat
