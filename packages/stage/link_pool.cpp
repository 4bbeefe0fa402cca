// Connections that this process opens to others.
#include "stage/link.h"

#include "base/log.h"

#include <algorithm>

namespace kumquat {
namespace {

// Returns whether a message answers a call.
bool isResponse(const wire::LinkFrame &head)
{
    switch (head.content_case()) {
    case wire::LinkFrame::kExecuteReply:
    case wire::LinkFrame::kVouchReply:
    case wire::LinkFrame::kReleaseReply:
    case wire::LinkFrame::kStopReply:
    case wire::LinkFrame::kLoadAck:
    case wire::LinkFrame::kStateReply:
        return true;
    default:
        return false;
    }
}

} // namespace

LinkPool::LinkPool(FiberThread &poolThread, std::string ownNode, std::uint64_t ownIncarnation,
                   LinkSettings linkSettings)
    : thread(poolThread)
    , node(std::move(ownNode))
    , incarnation(ownIncarnation)
    , settings(linkSettings)
{}

void LinkPool::setAddress(const std::string &name, const Address &address)
{
    Peer &peer = this->peers[name];
    if (peer.address == address) {
        return;
    }
    peer.address = address;
    ++peer.attempt;
    peer.isConnecting = false;
    peer.failedAt.reset();
    closeSilentLinks(peer, false);
    if (peer.link) {
        peer.link->close();
    }
}

std::uint64_t LinkPool::call(const std::string &name, wire::LinkFrame head, const SharedBody &body,
                             Duration limit, LinkCallback answer, SilencePolicy silencePolicy)
{
    const Time now = readBootTime();
    const std::uint64_t number = ++this->lastCall;
    const auto found = this->peers.find(name);
    const bool lacksRoom = found != this->peers.end() && found->second.link && head.has_execute()
                           && !found->second.link->hasRoomFor(body.size());
    if (found == this->peers.end() || lacksRoom
        || (!found->second.link && this->isInRetryDelay(found->second, now))) {
        this->thread.post([answer = std::move(answer)] { answer(CallOutcome::NotSent, {}); });
        return number;
    }
    Peer &peer = found->second;
    head.set_call(number);
    head.set_sent_ns(now.count());
    peer.waitingSince = peer.calls.empty() ? now : peer.waitingSince;
    Call &call = peer.calls[number];
    call = {.answer = std::move(answer),
            .due = now + limit,
            .isRequest = head.has_execute(),
            .silencePolicy = silencePolicy};
    if (peer.link && peer.link->isOpen()) {
        call.isSent = true;
        peer.link->send(head, body);
    } else {
        peer.waiting.emplace_back(std::move(head), body);
        this->connect(name, peer);
    }
    return number;
}

void LinkPool::cancel(const std::string &name, std::uint64_t number)
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end()) {
        return;
    }
    Peer &peer = found->second;
    const std::optional<CallOnLink> extracted = extractCall(peer, number);
    std::erase_if(peer.waiting,
                  [number](const auto &entry) { return entry.first.call() == number; });
    if (extracted) {
        sendCancel(extracted->link, number, extracted->call);
    }
}

// Sends the cancellation on the connection that carries the call: on another connection the number
// of the call has no meaning.
void LinkPool::sendCancel(const std::shared_ptr<Link> &link, std::uint64_t number, const Call &call)
{
    if (!link || !link->isOpen() || !call.isSent || !call.isRequest) {
        return;
    }
    wire::LinkFrame frame;
    frame.set_call(number);
    frame.set_sent_ns(readBootTime().count());
    frame.mutable_cancel();
    link->send(frame, {});
}

bool LinkPool::isDown(const std::string &name, Time now) const
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end()) {
        return true;
    }
    const Peer &peer = found->second;
    if (!peer.link) {
        return peer.failedAt.has_value();
    }
    return !peer.calls.empty()
           && now - std::max(peer.link->lastNonPingReceived(), peer.waitingSince)
                      >= this->settings.downAfter;
}

void LinkPool::reconnect(const std::string &name)
{
    const auto found = this->peers.find(name);
    if (found != this->peers.end() && !found->second.link
        && !this->isInRetryDelay(found->second, readBootTime())) {
        this->connect(name, found->second);
    }
}

// Returns whether the last attempt to connect failed less than `retryAfter` ago.
bool LinkPool::isInRetryDelay(const Peer &peer, Time now) const
{
    return peer.failedAt && now - *peer.failedAt < this->settings.retryAfter;
}

Time LinkPool::lastReceivedFrom(const std::string &name) const
{
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? Time::zero() : found->second.lastReceivedAt;
}

void LinkPool::connect(const std::string &name, Peer &peer)
{
    if (peer.isConnecting) {
        return;
    }
    peer.isConnecting = true;
    peer.connectDue = readBootTime() + this->settings.connectLimit;
    const std::uint64_t attempt = ++peer.attempt;
    auto socket = std::make_shared<Link::Socket>(this->thread.io());
    const Link::Tcp::endpoint endpoint(asio::ip::make_address(peer.address.ip), peer.address.port);
    socket->async_connect(endpoint, [this, name, attempt, socket](const ErrorCode &error) {
        this->onConnected(name, attempt, error, socket);
    });
}

void LinkPool::onConnected(const std::string &name, std::uint64_t attempt, const ErrorCode &error,
                           const std::shared_ptr<Link::Socket> &socket)
{
    Peer &peer = this->peers[name];
    if (peer.attempt != attempt || !peer.isConnecting) {
        return;
    }
    peer.isConnecting = false;
    if (error) {
        peer.failedAt = readBootTime();
        this->endAllCalls(peer);
        return;
    }
    peer.failedAt.reset();
    peer.connectedAt = readBootTime();
    const std::shared_ptr<Link> link =
            Link::create(std::move(*socket),
                         {.received =
                                  [this, name, attempt](LinkMessage message) {
                                      this->onMessage(name, attempt, std::move(message));
                                  },
                          .closed = [this, name, attempt] { this->onClosed(name, attempt); }},
                         this->budget);
    peer.link = link;
    link->start();
    wire::LinkFrame hello;
    hello.set_sent_ns(readBootTime().count());
    hello.mutable_hello()->set_node(this->node);
    hello.mutable_hello()->set_incarnation(this->incarnation);
    hello.mutable_hello()->set_receiver(name);
    hello.mutable_hello()->set_answers_pings(true);
    link->send(hello, {});
    for (auto &[head, body] : std::exchange(peer.waiting, {})) {
        const auto call = peer.calls.find(head.call());
        if (call != peer.calls.end()) {
            call->second.isSent = true;
            head.set_sent_ns(readBootTime().count());
            link->send(head, body);
        }
    }
}

void LinkPool::onClosed(const std::string &name, std::uint64_t attempt)
{
    Peer &peer = this->peers[name];
    if (peer.attempt != attempt) {
        endSilentCalls(peer, attempt);
        return;
    }
    if (peer.lastReceivedAt < peer.connectedAt) {
        peer.failedAt = readBootTime(); // a node that never answered is not retried at once
    }
    peer.link = nullptr;
    this->endAllCalls(peer);
}

void LinkPool::onMessage(const std::string &name, std::uint64_t attempt, LinkMessage message)
{
    Peer &peer = this->peers[name];
    const auto silent = peer.silentLinks.find(attempt);
    const std::shared_ptr<Link> link =
            silent != peer.silentLinks.end() ? silent->second.link : peer.link;
    if (message.head.has_ping()) {
        this->answerPing(link);
        return;
    }
    if (!message.head.has_pong() && !isResponse(message.head)) {
        // Whatever listens there is no host: an echo server, for example, would count as alive, and
        // each call to it as answered.
        logWarning(LogPart::Mesh, "connection closed because its peer sent no response",
                   {{"node", name}, {"type", std::to_string(message.head.content_case())}});
        link->close();
        return;
    }
    peer.lastReceivedAt = readBootTime();
    if (message.head.has_pong()) {
        return;
    }
    const std::optional<CallOnLink> extracted = extractCall(peer, message.head.call());
    if (extracted) { // otherwise this is the answer to a call that has already ended
        extracted->call.answer(CallOutcome::Answered, std::move(message));
    }
}

// The reply is posted behind the handlers that are due. Cancellations for callers that have
// disconnected by now are then sent before it.
void LinkPool::answerPing(const std::shared_ptr<Link> &link)
{
    this->thread.post([link] {
        if (link) {
            wire::LinkFrame pong;
            pong.set_sent_ns(readBootTime().count());
            pong.mutable_pong();
            link->send(pong, {});
        }
    });
}

void LinkPool::endAllCalls(Peer &peer)
{
    peer.waiting.clear();
    for (auto &[number, call] : std::exchange(peer.calls, {})) {
        call.answer(call.isSent ? CallOutcome::Lost : CallOutcome::NotSent, {});
    }
}

// Removes the call with this number from its table and returns it, if there is one.
std::optional<LinkPool::CallOnLink> LinkPool::extractCall(Peer &peer, std::uint64_t number)
{
    if (auto call = peer.calls.extract(number)) {
        return CallOnLink{.link = peer.link, .call = std::move(call.mapped())};
    }
    for (auto &[attempt, silent] : peer.silentLinks) {
        if (auto call = silent.calls.extract(number)) {
            return CallOnLink{.link = silent.link, .call = std::move(call.mapped())};
        }
    }
    return std::nullopt;
}

void LinkPool::endSilentCalls(Peer &peer, std::uint64_t attempt)
{
    const auto silent = peer.silentLinks.extract(attempt);
    if (silent.empty()) {
        return;
    }
    for (auto &[number, call] : silent.mapped().calls) {
        call.answer(CallOutcome::Lost, {});
    }
}

void LinkPool::closeSilentLinks(Peer &peer, bool onlyUnused)
{
    std::vector<std::shared_ptr<Link>> closing;
    for (const auto &[attempt, silent] : peer.silentLinks) {
        if (!onlyUnused || silent.calls.empty()) {
            closing.push_back(silent.link);
        }
    }
    for (const std::shared_ptr<Link> &link : closing) {
        link->close(); // ends its calls
    }
}

void LinkPool::endOverdueCalls(Calls &calls, const std::shared_ptr<Link> &link, Time now)
{
    std::vector<LinkCallback> overdue;
    for (auto call = calls.begin(); call != calls.end();) {
        if (now >= call->second.due) {
            sendCancel(link, call->first, call->second);
            overdue.push_back(std::move(call->second.answer));
            call = calls.erase(call);
        } else {
            ++call;
        }
    }
    for (const LinkCallback &answer : overdue) {
        answer(CallOutcome::Lost, {});
    }
}

void LinkPool::advance(Time now)
{
    // After a pause of this process the messages of other processes are still unread.
    const bool wasPaused = now - this->advancedAt > this->settings.pingAfter;
    this->advancedAt = now;
    for (auto &[name, peer] : this->peers) {
        peer.waitingSince = wasPaused ? now : peer.waitingSince;
        if (peer.isConnecting && now >= peer.connectDue) {
            peer.isConnecting = false;
            ++peer.attempt;
            peer.failedAt = now;
            this->endAllCalls(peer);
        }
        endOverdueCalls(peer.calls, peer.link, now);
        for (auto &[attempt, silent] : peer.silentLinks) {
            endOverdueCalls(silent.calls, silent.link, now);
        }
        closeSilentLinks(peer, true);
        this->checkSilence(name, peer, now);
    }
}

// Closes a silent connection, or keeps it only for the calls that wait until their limit.
void LinkPool::retireSilentLink(const std::string &name, Peer &peer, Time now)
{
    SilentLink silent{.link = peer.link};
    for (auto call = peer.calls.begin(); call != peer.calls.end();) {
        const auto next = std::next(call);
        if (call->second.isSent && call->second.silencePolicy == SilencePolicy::UntilLimit) {
            silent.calls.insert(peer.calls.extract(call));
        }
        call = next;
    }
    logWarning(LogPart::Mesh, "connection given up because its peer is silent",
               {{"node", name},
                {"ended", std::to_string(peer.calls.size())},
                {"kept", std::to_string(silent.calls.size())}});
    peer.failedAt = now;
    if (silent.calls.empty()) {
        peer.link->close();
        return;
    }
    for (const auto &[number, call] : peer.calls) {
        sendCancel(peer.link, number, call);
    }
    peer.silentLinks[peer.attempt] = std::move(silent);
    ++peer.attempt; // new calls use another connection
    peer.link = nullptr;
    this->endAllCalls(peer);
}

void LinkPool::checkSilence(const std::string &name, Peer &peer, Time now)
{
    if (!peer.link || peer.calls.empty()) {
        return;
    }
    // An idle connection is expected to be silent, so the silence counts from when a call began to
    // wait.
    const Duration silence = now - std::max(peer.link->lastNonPingReceived(), peer.waitingSince);
    if (silence >= this->settings.silentAfter) {
        this->retireSilentLink(name, peer, now);
    } else if (silence >= this->settings.pingAfter
               && now - std::max(peer.pingedAt, peer.waitingSince) >= this->settings.pingAfter) {
        // Other messages do not replace a ping: replies to the pings of the peer, and requests that
        // wait there for a long time, bring no answer.
        peer.pingedAt = now;
        wire::LinkFrame ping;
        ping.set_sent_ns(now.count());
        ping.mutable_ping();
        peer.link->send(ping, {});
    }
}

} // namespace kumquat
