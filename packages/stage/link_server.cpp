// Connections that other processes open to this one.
#include "stage/link.h"

#include "base/errors.h"
#include "base/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace kumquat {

LinkServer::LinkServer(FiberThread &serverThread, std::string ownNode, Hooks serverHooks)
    : thread(serverThread)
    , node(std::move(ownNode))
    , hooks(std::move(serverHooks))
    , acceptor(serverThread.io())
{}

absl::Status LinkServer::listen(const Address &address)
{
    ErrorCode error;
    const Link::Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    this->acceptor.open(endpoint.protocol(), error);
    this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    this->acceptor.bind(endpoint, error);
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return makeError(
                ErrorKind::SettingsInvalid,
                absl::StrCat("cannot listen on ", address.toString(), ": ", error.message()));
    }
    this->thread.post([this] { this->acceptNext(); });
    return absl::OkStatus();
}

std::size_t LinkServer::unsentCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->links.begin(), this->links.end(), [](const auto &entry) {
                return entry.second != nullptr && entry.second->hasUnsent();
            }));
}

void LinkServer::ping(std::uint64_t connection)
{
    const auto found = this->links.find(connection);
    if (found == this->links.end() || found->second == nullptr) {
        return;
    }
    wire::LinkFrame frame;
    frame.set_sent_ns(readBootTime().count());
    frame.mutable_ping();
    found->second->send(frame, {});
}

void LinkServer::acceptNext()
{
    this->acceptor.async_accept([this](const ErrorCode &error, Link::Socket socket) {
        if (!error) {
            this->serve(std::move(socket));
        }
        this->acceptNext();
    });
}

void LinkServer::applyHello(LinkPeer &peer, const wire::LinkHello &hello)
{
    peer.node = hello.node();
    peer.answersPings = hello.answers_pings();
    auto &[incarnation, meter] = this->delays[hello.node()];
    if (!meter || incarnation != hello.incarnation()) {
        incarnation = hello.incarnation();
        meter = std::make_shared<DelayMeter>();
    }
    this->links[peer.number]->setDelayMeter(meter);
}

void LinkServer::serve(Link::Socket socket)
{
    const auto peer = std::make_shared<LinkPeer>(LinkPeer{.number = ++this->lastNumber});
    const std::uint64_t number = peer->number;
    const auto received = [this, peer, number](LinkMessage message) {
        const std::weak_ptr<Link> weak = this->links[number];
        if (message.head.has_hello() && message.head.hello().receiver() != this->node) {
            logInfo(LogPart::Mesh, "connection closed because it was meant for another host",
                    {{"from", message.head.hello().node()},
                     {"receiver", message.head.hello().receiver()}});
            this->links[number]->close();
            return;
        }
        if (message.head.has_hello()) {
            this->applyHello(*peer, message.head.hello());
        } else if (this->hooks.messageSeen) {
            this->hooks.messageSeen(*peer, message.receivedAt - message.excessDelay);
        }
        const std::uint64_t call = message.head.call();
        const LinkReply reply = [weak, call](wire::LinkFrame head, const SharedBody &body) {
            const std::shared_ptr<Link> link = weak.lock();
            if (link) {
                head.set_call(call);
                head.set_sent_ns(readBootTime().count());
                link->send(head, body);
            }
        };
        if (message.head.has_ping()) {
            wire::LinkFrame pong;
            pong.mutable_pong();
            reply(pong, {});
        } else if (!message.head.has_hello() && !message.head.has_pong()) {
            this->hooks.received(*peer, std::move(message), reply);
        }
    };
    const auto closed = [this, peer, number] {
        this->links.erase(number);
        this->hooks.closed(*peer);
    };
    const std::shared_ptr<Link> link = Link::create(
            std::move(socket),
            {.received = received, .closed = closed, .queued = countTraffic(this->traffic)},
            this->budget);
    this->links[number] = link;
    link->start();
}

} // namespace kumquat
