// Connections between processes. Messages have a head and a body; one TCP connection carries
// several calls at a time.
//
// ZeroMQ is not used here: its own thread costs two thread switches and four system calls per
// message, and the platform charges for each of them.
//
//   LinkPool pool(thread, "node-1", incarnation);
//   pool.setAddress("node-2", address);
//   pool.call("node-2", frame, body, 1s, [](CallOutcome outcome, LinkMessage answer) { ... });
//
//   LinkServer server(thread, "node-2", hooks);
//
// Sections: messages, Link, LinkPool, LinkServer.
#pragma once

#include "base/address.h"
#include "base/names.h"
#include "base/time.h"
#include "net/fibers.h"
#include "stage/delay_meter.h"
#include "stage/link_buffers.h"
#include "stage/link_traffic.h"
#include "wire/stage.pb.h"

#include <absl/status/status.h>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace kumquat {

// ---- Messages ----

// How a call ended.
enum class CallOutcome : std::uint8_t {
    Answered,
    NotSent, // no connection: the other process did not and will not receive the message
    Lost,    // the other process may have received the message
};

inline constexpr NameTable<CallOutcome, 3> callOutcomeNames{{{{CallOutcome::Answered, "answered"},
                                                              {CallOutcome::NotSent, "not-sent"},
                                                              {CallOutcome::Lost, "lost"}}}};

// Returns what the bytes of a message are counted as.
TrafficKind trafficKindOf(const wire::LinkFrame &head);

using LinkCallback = std::function<void(CallOutcome outcome, LinkMessage answer)>;

// ---- Link ----

// One TCP connection. Used on one thread.
class Link : public std::enable_shared_from_this<Link>
{
public:
    using Tcp = asio::ip::tcp;
    using Socket = asio::basic_stream_socket<Tcp, asio::io_context::executor_type>;

    struct Hooks
    {
        std::function<void(LinkMessage message)> received;
        std::function<void()> closed; // called once, also after close()
        // Called for each message that is queued, with its size. Not set: not called.
        std::function<void(const wire::LinkFrame &head, std::size_t bytes)> queued = {};
    };

    // `budget`: for the bytes that the connection holds; nullptr: they are not charged.
    static std::shared_ptr<Link> create(Socket socket, Hooks hooks, ByteBudget *budget = nullptr);

    // Reads messages until the connection closes.
    void start();

    // Queues a message. All messages that are queued in one turn of the thread are sent in one
    // write.
    void send(const wire::LinkFrame &head, const SharedBody &body);

    // Returns whether there is room for a request with a body of this size.
    bool hasRoomFor(std::uint64_t bytes) { return this->output.hasRoomFor(bytes, readBootTime()); }

    // Resets the connection, so that data still in transit is dropped.
    void close();

    // Shares the delay meter of other connections of the same process. On a new connection even the
    // first messages can be late, so its own measurements would lack the usual time.
    void setDelayMeter(std::shared_ptr<DelayMeter> meter) { this->delays = std::move(meter); }

    bool isOpen() const { return this->open; }
    bool hasUnsent() const { return this->open && !this->output.isEmpty(); }
    // When data other than pings was last received. Pings of the peer show only that its data
    // arrives here, not that it receives data.
    Time lastNonPingReceived() const { return this->nonPingReceivedAt; }

private:
    Link(Socket socket, Hooks hooks, ByteBudget *budget);
    void readNext();
    void deliver(LinkMessage message);
    void flush();

    Socket socket;
    Hooks hooks;
    bool open = true;
    bool isWriting = false;
    bool isFlushPosted = false;
    ByteCharge charge;
    LinkOutput output;
    LinkInput input;
    std::shared_ptr<DelayMeter> delays = std::make_shared<DelayMeter>();
    Time receivedAt{};
    Time nonPingReceivedAt{};
};

// Returns a hook for `queued` that counts the messages there. nullptr: an empty hook.
std::function<void(const wire::LinkFrame &, std::size_t)> countTraffic(LinkTraffic *traffic);

// ---- LinkPool ----

struct LinkSettings
{
    Duration connectLimit = 900ms; // about fifteen round trips between regions
    Duration retryAfter = 400ms;   // between a failed attempt to connect and the next one
    Duration pingAfter = 300ms;    // silence while calls wait, after which a ping is sent
    // After this silence the node counts as down: two pings had no reply.
    Duration downAfter = 600ms;
    // After this silence the connection counts as dead: three pings had no reply.
    Duration silentAfter = 1300ms;
};

// What happens to a call that was sent when its peer becomes silent.
enum class SilencePolicy : std::uint8_t {
    UntilSilent, // the call ends as Lost: the work may be repeated elsewhere
    UntilLimit,  // the connection is kept: a paused or slow peer still answers
};

inline constexpr NameTable<SilencePolicy, 2> silencePolicyNames{
        {{{SilencePolicy::UntilSilent, "until-silent"},
          {SilencePolicy::UntilLimit, "until-limit"}}}};

// Messages are sent whole, so a short response waits for the large ones that were sent before it on
// its connection. Requests of routes with large responses therefore have a connection of their own.
enum class LinkChannel : std::uint8_t {
    Main,
    LargeAnswers, // for requests with `large_answer`, and their responses
};

inline constexpr NameTable<LinkChannel, 2> linkChannelNames{
        {{{LinkChannel::Main, "main"}, {LinkChannel::LargeAnswers, "large-answers"}}}};

// Connections to other processes: at most two per process, each opened when first needed. A
// connection whose peer sends anything but pings, pongs and responses is closed. Silence, pings and
// cancellations belong to one connection: when it fails, only its own calls end. Used on one
// thread.
class LinkPool
{
public:
    LinkPool(FiberThread &poolThread, std::string ownNode, std::uint64_t ownIncarnation,
             LinkSettings linkSettings = {});

    // Charges the bytes of later connections to a budget, which must outlive the pool.
    void setBudget(ByteBudget *byteBudget) { this->budget = byteBudget; }

    // Counts the bytes of later connections. It must outlive the pool.
    void setTraffic(LinkTraffic *linkTraffic) { this->traffic = linkTraffic; }

    // Sets the address of a node. A changed address closes its connections.
    void setAddress(const std::string &node, const Address &address);

    // Sends a message and calls `answer` once, at the latest after `limit` (then with Lost).
    // Returns the number of the call, for cancel. A request with `large_answer` ends as NotSent at
    // once while its connection is down in the sense of isDown.
    std::uint64_t call(const std::string &node, wire::LinkFrame head, const SharedBody &body,
                       Duration limit, LinkCallback answer,
                       SilencePolicy silencePolicy = SilencePolicy::UntilSilent);

    // Tells the other process that nobody waits for the call any more, and drops the call.
    void cancel(const std::string &node, std::uint64_t call);

    // Returns whether a message to the node would probably not be answered: its address is unknown,
    // the last attempt to connect failed, or calls have waited for an answer for `downAfter`. Only
    // the main connection counts.
    bool isDown(const std::string &node, Time now) const;

    // Tries to open the main connection to a node again, at most once per `retryAfter`.
    void reconnect(const std::string &node);

    // Closes dead connections and ends overdue calls. Call every 100 ms.
    void advance(Time now);

    // Returns when anything but a ping was last received from a node on the main connection, zero
    // if never.
    Time lastReceivedFrom(const std::string &node) const;

    // Returns the number of open connections for large responses.
    std::size_t largeAnswerLinkCount() const;

private:
    struct Call
    {
        LinkCallback answer;
        Time due{};
        bool isSent = false;
        bool isRequest = false; // a request, for which a cancellation is sent if it is dropped
        SilencePolicy silencePolicy = SilencePolicy::UntilSilent;
    };
    using Calls = std::unordered_map<std::uint64_t, Call>; // by number

    // A connection to a silent peer that is kept for the answers to these calls.
    struct SilentLink
    {
        std::shared_ptr<Link> link;
        Calls calls;
    };

    // A call that was removed from its table, and the connection that it was sent on.
    struct CallOnLink
    {
        std::shared_ptr<Link> link;
        Call call;
    };

    // One of the connections to a peer, and the calls that use it.
    struct Connection
    {
        std::shared_ptr<Link> link;
        bool isConnecting = false;
        // Number of the latest attempt to connect; results of older attempts are ignored.
        std::uint64_t attempt = 0;
        Time connectDue{};
        // Time of the last failed attempt since the last connection.
        std::optional<Time> failedAt;
        Time connectedAt{};
        Time lastReceivedAt{};
        Time waitingSince{}; // start of the present wait for answers; reset after a pause
        Time pingedAt{};
        Calls calls;
        std::map<std::uint64_t, SilentLink> silentLinks; // by number of the attempt to connect
        // Messages to send once connected.
        std::vector<std::pair<wire::LinkFrame, SharedBody>> waiting;
    };

    struct Peer
    {
        Connection &on(LinkChannel channel)
        {
            return this->connections[static_cast<std::size_t>(channel)];
        }
        const Connection &on(LinkChannel channel) const
        {
            return this->connections[static_cast<std::size_t>(channel)];
        }

        Address address;
        std::array<Connection, linkChannelNames.entries.size()> connections; // by channel
    };

    // An attempt to connect, and the connection that it leads to.
    struct Attempt
    {
        std::string node;
        LinkChannel channel = LinkChannel::Main;
        std::uint64_t number = 0;
    };

    Connection &connectionOf(const Attempt &attempt);
    void connect(const std::string &node, LinkChannel channel);
    void reconnect(const std::string &node, LinkChannel channel, Time now);
    void onConnected(const Attempt &attempt, const ErrorCode &error,
                     const std::shared_ptr<Link::Socket> &socket);
    void onClosed(const Attempt &attempt);
    void sendInTurn(const std::shared_ptr<Link> &link, wire::LinkFrame frame);
    void onMessage(const Attempt &attempt, LinkMessage message);
    bool isConnectionDown(const Connection &connection, Time now) const;
    bool mayCall(const Connection &connection, const wire::LinkFrame &head, std::size_t bodyBytes,
                 Time now) const;
    bool isInRetryDelay(const Connection &connection, Time now) const;
    static void endAllCalls(Connection &connection);
    static void endSilentCalls(Connection &connection, std::uint64_t attempt);
    static void closeSilentLinks(Connection &connection, bool onlyUnused);
    static std::optional<CallOnLink> extractCall(Connection &connection, std::uint64_t number);
    static void sendCancel(const std::shared_ptr<Link> &link, std::uint64_t number,
                           const Call &call);
    static void endOverdueCalls(Calls &calls, const std::shared_ptr<Link> &link, Time now);
    void advanceConnection(const std::string &name, LinkChannel channel, bool wasPaused, Time now);
    void retireSilentLink(const std::string &name, LinkChannel channel, Time now);
    void checkSilence(const std::string &name, LinkChannel channel, Time now);

    FiberThread &thread;
    std::string node;
    std::uint64_t incarnation;
    LinkSettings settings;
    ByteBudget *budget = nullptr;
    LinkTraffic *traffic = nullptr;
    std::uint64_t lastCall = 0;
    Time advancedAt{};
    std::map<std::string, Peer, std::less<>> peers;
};

// ---- LinkServer ----

// Answers one message, at most once. An answer after the connection has closed is dropped.
using LinkReply = std::function<void(wire::LinkFrame head, const SharedBody &body)>;

// One connection that was opened by another process.
struct LinkPeer
{
    std::uint64_t number = 0; // number of the connection, never reused; a process may have two
    std::string node;         // empty until the hello of the peer
    // Whether the peer answers pings of this process; earlier versions do not.
    bool answersPings = false;
};

class LinkServer
{
public:
    struct Hooks
    {
        std::function<void(const LinkPeer &peer, LinkMessage message, LinkReply reply)> received;
        std::function<void(const LinkPeer &peer)> closed;
        // Called for each message but a hello, also for those that `received` does not get.
        // `sentAt`: the message's time of receipt minus its excess delay.
        std::function<void(const LinkPeer &peer, Time sentAt)> messageSeen;
    };

    LinkServer(FiberThread &serverThread, std::string ownNode, Hooks serverHooks);

    // As LinkPool::setBudget and LinkPool::setTraffic.
    void setBudget(ByteBudget *byteBudget) { this->budget = byteBudget; }
    void setTraffic(LinkTraffic *linkTraffic) { this->traffic = linkTraffic; }

    // Error: SettingsInvalid if the address cannot be bound.
    absl::Status listen(const Address &address);

    // Sends a ping to the other end of a connection.
    void ping(std::uint64_t connection);

    // Number of connections with answers that are not sent yet.
    std::size_t unsentCount() const;

private:
    void acceptNext();
    void serve(Link::Socket socket);
    void applyHello(LinkPeer &peer, const wire::LinkHello &hello);

    FiberThread &thread;
    std::string node;
    Hooks hooks;
    ByteBudget *budget = nullptr;
    LinkTraffic *traffic = nullptr;
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type> acceptor;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, std::shared_ptr<Link>> links;
    // Delay meter of each process that has connected, by node, with the incarnation that it belongs
    // to. The latest meter of a node is kept.
    std::map<std::string, std::pair<std::uint64_t, std::shared_ptr<DelayMeter>>> delays;
};

} // namespace kumquat
