// One connection between processes.
#include "stage/link.h"

#include "base/containment.h"
#include "base/log.h"

#include <boost/asio/post.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace kumquat {
namespace {

// A connection with more unsent data is closed, as its peer does not read.
constexpr std::size_t maxQueuedBytes = 96UL << 20U;
// Limit while the budget has no room. Answers of completed runs are sent even then.
constexpr std::size_t maxQueuedWithoutRoom = 8UL << 20U;
constexpr int unacknowledgedMs = 3000; // unacknowledged data closes the connection after this time

void setOptions(Link::Socket &socket)
{
    ErrorCode ignored;
    socket.set_option(Link::Tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const unsigned limit = unacknowledgedMs;
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

} // namespace

TrafficKind trafficKindOf(const wire::LinkFrame &head)
{
    switch (head.content_case()) {
    case wire::LinkFrame::kExecute:
        return TrafficKind::Requests;
    case wire::LinkFrame::kExecuteReply:
        return TrafficKind::PeerAnswers;
    case wire::LinkFrame::kStateReply:
        return TrafficKind::State;
    default:
        return TrafficKind::Control;
    }
}

std::function<void(const wire::LinkFrame &, std::size_t)> countTraffic(LinkTraffic *traffic)
{
    if (traffic == nullptr) {
        return {};
    }
    return [traffic](const wire::LinkFrame &head, std::size_t bytes) {
        traffic->note(trafficKindOf(head), bytes);
    };
}

std::shared_ptr<Link> Link::create(Socket socket, Hooks hooks, ByteBudget *budget)
{
    return std::shared_ptr<Link>(new Link(std::move(socket), std::move(hooks), budget));
}

Link::Link(Socket linkSocket, Hooks linkHooks, ByteBudget *budget)
    : socket(std::move(linkSocket))
    , hooks(std::move(linkHooks))
    , charge(budget)
    , output(this->charge)
    , input(budget)
    , receivedAt(readBootTime())
    , nonPingReceivedAt(this->receivedAt)
{
    setOptions(this->socket);
}

void Link::start()
{
    this->readNext();
}

void Link::readNext()
{
    this->socket.async_read_some(this->input.nextBuffer(), [self = this->shared_from_this()](
                                                                   const ErrorCode &error,
                                                                   std::size_t count) {
        if (error || !self->open) {
            self->close();
            return;
        }
        self->receivedAt = readBootTime();
        const LinkInput::Hooks inputHooks{
                .received = [&self](LinkMessage message) { self->deliver(std::move(message)); },
                .isOpen = [&self] { return self->open; }};
        bool isReadable = false;
        const bool isTaken = runContained(ContainedWork::Message, [&] {
            isReadable = self->input.take(count, self->receivedAt, inputHooks);
        });
        if (!isTaken || !isReadable) {
            logWarning(LogPart::Mesh, isTaken ? "connection sent something that is no message"
                                              : "connection closed because a message failed");
            self->close();
            return;
        }
        if (self->input.isInMessage()) {
            self->nonPingReceivedAt = self->receivedAt;
        }
        if (self->open) {
            self->readNext();
        }
    });
}

void Link::deliver(LinkMessage message)
{
    message.receivedAt = this->receivedAt;
    message.excessDelay = this->delays->measureExcess(
            this->receivedAt - Duration(message.head.sent_ns()), this->receivedAt);
    if (!message.head.has_ping()) {
        this->nonPingReceivedAt = this->receivedAt;
    }
    this->hooks.received(std::move(message));
}

void Link::send(const wire::LinkFrame &head, const SharedBody &body)
{
    if (!this->open) {
        return;
    }
    const std::uint64_t unsent = this->output.bytes() + body.size();
    if (unsent > maxQueuedBytes
        || (unsent > maxQueuedWithoutRoom && !this->hasRoomFor(body.size()))) {
        logWarning(LogPart::Mesh, "connection closed because its peer reads nothing");
        this->close();
        return;
    }
    const std::uint64_t before = this->output.bytes();
    this->output.add(head, body, readBootTime());
    if (this->hooks.queued) {
        this->hooks.queued(head, this->output.bytes() - before);
    }
    if (!this->isWriting && !this->isFlushPosted) {
        this->isFlushPosted = true;
        asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            self->isFlushPosted = false;
            self->flush();
        });
    }
}

void Link::flush()
{
    if (!this->open || this->isWriting || this->output.isEmpty()) {
        return;
    }
    this->isWriting = true;
    this->charge.allowEviction([this] { this->close(); }, readBootTime());
    this->socket.async_write_some(
            this->output.nextBuffers(),
            [self = this->shared_from_this()](const ErrorCode &error, std::size_t count) {
                self->isWriting = false;
                self->charge.forbidEviction();
                if (error) {
                    self->close();
                    return;
                }
                self->output.consume(count, readBootTime());
                self->flush();
            });
}

void Link::close()
{
    if (!this->open) {
        return;
    }
    this->open = false;
    ErrorCode ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
    // Posted, so that the hook does not run inside a call from the owner of the connection.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->hooks.closed();
        self->hooks = {};
    });
}

} // namespace kumquat
