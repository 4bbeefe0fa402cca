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

LinkChannel channelOf(const wire::LinkFrame &head)
{
    return head.has_execute() && head.execute().large_answer() ? LinkChannel::LargeAnswers
                                                               : LinkChannel::Main;
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
    for (Connection &connection : peer.connections) {
        ++connection.attempt;
        connection.isConnecting = false;
        connection.failedAt.reset();
        closeSilentLinks(connection, false);
        if (connection.link) {
            connection.link->close();
        }
    }
}

std::uint64_t LinkPool::call(const std::string &name, wire::LinkFrame head, const SharedBody &body,
                             Duration limit, LinkCallback answer, SilencePolicy silencePolicy)
{
    const Time now = readBootTime();
    const std::uint64_t number = ++this->lastCall;
    const LinkChannel channel = channelOf(head);
    const auto found = this->peers.find(name);
    if (found == this->peers.end()
        || !this->mayCall(found->second.on(channel), head, body.size(), now)) {
        if (channel != LinkChannel::Main) {
            this->reconnect(name, channel, now);
        }
        this->thread.post([answer = std::move(answer)] { answer(CallOutcome::NotSent, {}); });
        return number;
    }
    Connection &connection = found->second.on(channel);
    head.set_call(number);
    head.set_sent_ns(now.count());
    connection.waitingSince = connection.calls.empty() ? now : connection.waitingSince;
    Call &call = connection.calls[number];
    call = {.answer = std::move(answer),
            .due = now + limit,
            .isRequest = head.has_execute(),
            .silencePolicy = silencePolicy};
    if (connection.link) {
        call.isSent = true;
        connection.link->send(head, body);
    } else {
        connection.waiting.emplace_back(std::move(head), body);
        this->connect(name, channel);
    }
    return number;
}

// Returns whether a message may be sent or wait for its connection. Callers check isDown for the
// main connection; for the other one it is checked here.
bool LinkPool::mayCall(const Connection &connection, const wire::LinkFrame &head,
                       std::size_t bodyBytes, Time now) const
{
    if (channelOf(head) != LinkChannel::Main && this->isConnectionDown(connection, now)) {
        return false;
    }
    if (!connection.link) {
        return !this->isInRetryDelay(connection, now);
    }
    // A connection that was closed in this turn has calls that end when its hook runs. A new
    // attempt to connect before that would leave it in place, and its peer would never count as
    // down.
    if (!connection.link->isOpen()) {
        return false;
    }
    return !head.has_execute() || connection.link->hasRoomFor(bodyBytes);
}

void LinkPool::cancel(const std::string &name, std::uint64_t number)
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end()) {
        return;
    }
    for (Connection &connection : found->second.connections) {
        const std::optional<CallOnLink> extracted = extractCall(connection, number);
        std::erase_if(connection.waiting,
                      [number](const auto &entry) { return entry.first.call() == number; });
        if (extracted) {
            sendCancel(extracted->link, number, extracted->call);
        }
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
    return found == this->peers.end()
           || this->isConnectionDown(found->second.on(LinkChannel::Main), now);
}

bool LinkPool::isConnectionDown(const Connection &connection, Time now) const
{
    if (!connection.link) {
        return connection.failedAt.has_value();
    }
    return !connection.calls.empty()
           && now - std::max(connection.link->lastNonPingReceived(), connection.waitingSince)
                      >= this->settings.downAfter;
}

void LinkPool::reconnect(const std::string &name)
{
    this->reconnect(name, LinkChannel::Main, readBootTime());
}

void LinkPool::reconnect(const std::string &name, LinkChannel channel, Time now)
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end()) {
        return;
    }
    const Connection &connection = found->second.on(channel);
    if (!connection.link && !this->isInRetryDelay(connection, now)) {
        this->connect(name, channel);
    }
}

// Returns whether the last attempt to connect failed less than `retryAfter` ago.
bool LinkPool::isInRetryDelay(const Connection &connection, Time now) const
{
    return connection.failedAt && now - *connection.failedAt < this->settings.retryAfter;
}

Time LinkPool::lastReceivedFrom(const std::string &name) const
{
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? Time::zero()
                                      : found->second.on(LinkChannel::Main).lastReceivedAt;
}

std::size_t LinkPool::largeAnswerLinkCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->peers.begin(), this->peers.end(), [](const auto &entry) {
                const Connection &connection = entry.second.on(LinkChannel::LargeAnswers);
                return connection.link && connection.link->isOpen();
            }));
}

LinkPool::Connection &LinkPool::connectionOf(const Attempt &attempt)
{
    return this->peers[attempt.node].on(attempt.channel);
}

void LinkPool::connect(const std::string &name, LinkChannel channel)
{
    Peer &peer = this->peers[name];
    Connection &connection = peer.on(channel);
    if (connection.isConnecting) {
        return;
    }
    connection.isConnecting = true;
    connection.connectDue = readBootTime() + this->settings.connectLimit;
    const Attempt attempt{.node = name, .channel = channel, .number = ++connection.attempt};
    auto socket = std::make_shared<Link::Socket>(this->thread.io());
    const Link::Tcp::endpoint endpoint(asio::ip::make_address(peer.address.ip), peer.address.port);
    socket->async_connect(endpoint, [this, attempt, socket](const ErrorCode &error) {
        this->onConnected(attempt, error, socket);
    });
}

void LinkPool::onConnected(const Attempt &attempt, const ErrorCode &error,
                           const std::shared_ptr<Link::Socket> &socket)
{
    Connection &connection = this->connectionOf(attempt);
    if (connection.attempt != attempt.number || !connection.isConnecting) {
        return;
    }
    connection.isConnecting = false;
    if (error) {
        connection.failedAt = readBootTime();
        endAllCalls(connection);
        return;
    }
    connection.failedAt.reset();
    connection.connectedAt = readBootTime();
    const std::shared_ptr<Link> link =
            Link::create(std::move(*socket),
                         {.received =
                                  [this, attempt](LinkMessage message) {
                                      this->onMessage(attempt, std::move(message));
                                  },
                          .closed = [this, attempt] { this->onClosed(attempt); },
                          .queued = countTraffic(this->traffic)},
                         this->budget);
    connection.link = link;
    link->start();
    wire::LinkFrame hello;
    hello.set_sent_ns(readBootTime().count());
    hello.mutable_hello()->set_node(this->node);
    hello.mutable_hello()->set_incarnation(this->incarnation);
    hello.mutable_hello()->set_receiver(attempt.node);
    hello.mutable_hello()->set_answers_pings(true);
    link->send(hello, {});
    for (auto &[head, body] : std::exchange(connection.waiting, {})) {
        const auto call = connection.calls.find(head.call());
        if (call != connection.calls.end()) {
            call->second.isSent = true;
            head.set_sent_ns(readBootTime().count());
            link->send(head, body);
        }
    }
}

void LinkPool::onClosed(const Attempt &attempt)
{
    Connection &connection = this->connectionOf(attempt);
    if (connection.attempt != attempt.number) {
        endSilentCalls(connection, attempt.number);
        return;
    }
    if (connection.lastReceivedAt < connection.connectedAt) {
        // A node that never answered is not retried at once.
        connection.failedAt = readBootTime();
    }
    connection.link = nullptr;
    endAllCalls(connection);
}

void LinkPool::onMessage(const Attempt &attempt, LinkMessage message)
{
    Connection &connection = this->connectionOf(attempt);
    const auto silent = connection.silentLinks.find(attempt.number);
    const std::shared_ptr<Link> link =
            silent != connection.silentLinks.end() ? silent->second.link : connection.link;
    if (message.head.has_ping()) {
        wire::LinkFrame pong;
        pong.mutable_pong();
        this->sendInTurn(link, std::move(pong));
        return;
    }
    if (!message.head.has_pong() && !isResponse(message.head)) {
        // Whatever listens there is no host: an echo server, for example, would count as alive, and
        // each call to it as answered.
        logWarning(LogPart::Mesh, "connection closed because its peer sent no response",
                   {{"node", attempt.node},
                    {"channel", std::string(linkChannelNames.nameOf(attempt.channel))},
                    {"type", std::to_string(message.head.content_case())}});
        link->close();
        return;
    }
    connection.lastReceivedAt = readBootTime();
    if (message.head.has_pong()) {
        return;
    }
    const std::optional<CallOnLink> extracted = extractCall(connection, message.head.call());
    if (extracted) { // otherwise this is the answer to a call that has already ended
        extracted->call.answer(CallOutcome::Answered, std::move(message));
    }
}

// The message is posted behind the handlers that are due. Cancellations for callers that have
// disconnected by now are then sent before it.
void LinkPool::sendInTurn(const std::shared_ptr<Link> &link, wire::LinkFrame frame)
{
    this->thread.post([link, frame = std::move(frame)]() mutable {
        if (link) {
            frame.set_sent_ns(readBootTime().count());
            link->send(frame, {});
        }
    });
}

void LinkPool::endAllCalls(Connection &connection)
{
    connection.waiting.clear();
    for (auto &[number, call] : std::exchange(connection.calls, {})) {
        call.answer(call.isSent ? CallOutcome::Lost : CallOutcome::NotSent, {});
    }
}

// Removes the call with this number from its table and returns it, if there is one.
std::optional<LinkPool::CallOnLink> LinkPool::extractCall(Connection &connection,
                                                          std::uint64_t number)
{
    if (auto call = connection.calls.extract(number)) {
        return CallOnLink{.link = connection.link, .call = std::move(call.mapped())};
    }
    for (auto &[attempt, silent] : connection.silentLinks) {
        if (auto call = silent.calls.extract(number)) {
            return CallOnLink{.link = silent.link, .call = std::move(call.mapped())};
        }
    }
    return std::nullopt;
}

void LinkPool::endSilentCalls(Connection &connection, std::uint64_t attempt)
{
    const auto silent = connection.silentLinks.extract(attempt);
    if (silent.empty()) {
        return;
    }
    for (auto &[number, call] : silent.mapped().calls) {
        call.answer(CallOutcome::Lost, {});
    }
}

void LinkPool::closeSilentLinks(Connection &connection, bool onlyUnused)
{
    std::vector<std::shared_ptr<Link>> closing;
    for (const auto &[attempt, silent] : connection.silentLinks) {
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
    for (const auto &[name, peer] : this->peers) {
        for (const auto &channel : linkChannelNames.entries) {
            this->advanceConnection(name, channel.value, wasPaused, now);
        }
    }
}

void LinkPool::advanceConnection(const std::string &name, LinkChannel channel, bool wasPaused,
                                 Time now)
{
    Connection &connection = this->peers[name].on(channel);
    connection.waitingSince = wasPaused ? now : connection.waitingSince;
    if (connection.isConnecting && now >= connection.connectDue) {
        connection.isConnecting = false;
        ++connection.attempt;
        connection.failedAt = now;
        endAllCalls(connection);
    }
    endOverdueCalls(connection.calls, connection.link, now);
    for (auto &[attempt, silent] : connection.silentLinks) {
        endOverdueCalls(silent.calls, silent.link, now);
    }
    closeSilentLinks(connection, true);
    if (channel == LinkChannel::LargeAnswers && connection.link && !connection.calls.empty()) {
        // The peer's own pings queue behind large responses, for longer than it relies on what it
        // knows of the callers. This connection carries few other messages that renew it.
        wire::LinkFrame ping;
        ping.mutable_ping();
        this->sendInTurn(connection.link, std::move(ping));
    }
    this->checkSilence(name, channel, now);
}

// Closes a silent connection, or keeps it only for the calls that wait until their limit.
void LinkPool::retireSilentLink(const std::string &name, LinkChannel channel, Time now)
{
    Connection &connection = this->peers[name].on(channel);
    SilentLink silent{.link = connection.link};
    for (auto call = connection.calls.begin(); call != connection.calls.end();) {
        const auto next = std::next(call);
        if (call->second.isSent && call->second.silencePolicy == SilencePolicy::UntilLimit) {
            silent.calls.insert(connection.calls.extract(call));
        }
        call = next;
    }
    logWarning(LogPart::Mesh, "connection given up because its peer is silent",
               {{"node", name},
                {"channel", std::string(linkChannelNames.nameOf(channel))},
                {"ended", std::to_string(connection.calls.size())},
                {"kept", std::to_string(silent.calls.size())}});
    connection.failedAt = now;
    if (silent.calls.empty()) {
        connection.link->close();
        return;
    }
    for (const auto &[number, call] : connection.calls) {
        sendCancel(connection.link, number, call);
    }
    connection.silentLinks[connection.attempt] = std::move(silent);
    ++connection.attempt; // new calls use another connection
    connection.link = nullptr;
    endAllCalls(connection);
}

void LinkPool::checkSilence(const std::string &name, LinkChannel channel, Time now)
{
    Connection &connection = this->peers[name].on(channel);
    if (!connection.link || connection.calls.empty()) {
        return;
    }
    // An idle connection is expected to be silent, so the silence counts from when a call began to
    // wait.
    const Duration silence =
            now - std::max(connection.link->lastNonPingReceived(), connection.waitingSince);
    if (silence >= this->settings.silentAfter) {
        this->retireSilentLink(name, channel, now);
    } else if (silence >= this->settings.pingAfter
               && now - std::max(connection.pingedAt, connection.waitingSince)
                          >= this->settings.pingAfter) {
        // Other messages do not replace a ping: replies to the pings of the peer, and requests that
        // wait there for a long time, bring no answer.
        connection.pingedAt = now;
        wire::LinkFrame ping;
        ping.set_sent_ns(now.count());
        ping.mutable_ping();
        connection.link->send(ping, {});
    }
}

} // namespace kumquat
