// Forwards requests to the owner's process and matches the answers.
//
//   RoutedAnswer answer = forwarder.forward(io, driver.route(service, keyHash), request,
//   logOffset);
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
    // `incarnation` is random and new at each start of the process: an answer to an earlier
    // incarnation matches no forward of this one. `replyAddress` is the own mesh address.
    Forwarder(Mesh &mesh, std::uint64_t incarnation, std::string replyAddress);

    // Sends a request to the owner and waits for the answer, in the calling fiber.
    // Error: OwnerLost if no answer came before the deadline.
    RoutedAnswer forward(asio::io_context &io, const RouteAnswer &target,
                         const RoutedRequest &request, std::uint64_t logOffset);

    // Ends all waits for a session that was fenced: its process is lost or has stopped serving, and
    // waiting on would only delay the answer or the retry. Any thread.
    void abandon(SessionId session);

    // Takes an answer; one without a waiting request is dropped and counted. Any thread.
    void complete(const wire::ForwardReply &reply);

    std::uint64_t unmatchedReplies() const { return this->unmatched.load(); }

private:
    struct Pending
    {
        explicit Pending(asio::io_context &io)
            : event(io)
        {}
        FiberEvent event;
        SessionId session = 0; // of the owner
        RoutedAnswer answer;
    };

    Mesh &mesh;
    std::uint64_t incarnation;
    std::string replyAddress;
    std::atomic<std::uint64_t> lastNumber{0};
    std::atomic<std::uint64_t> unmatched{0};
    std::mutex mutex; // guards pending; a leaf lock
    std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> pending; // by number
};

// Converts between a routed request or answer and its message. The deadline travels as time left.
wire::Forward toForward(const RoutedRequest &request, Time now);
RoutedRequest fromForward(const wire::Forward &forward, Time now);
wire::ForwardReply toForwardReply(const RoutedAnswer &answer);
RoutedAnswer fromForwardReply(const wire::ForwardReply &reply);

} // namespace kumquat
