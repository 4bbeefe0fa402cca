// Connections between processes: messages with a head and a body, several calls at a time on one
// TCP connection.
//
// ZeroMQ is not used here: its own thread costs two thread switches and four system calls for each
// message, and the platform charges every one of them.
//
//   LinkPool pool(thread, "node-1", incarnation);
//   pool.setAddress("node-2", address);
//   pool.call("node-2", frame, body, 1s, [](CallOutcome end, LinkMessage answer) { ... });
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
#include "wire/stage.pb.h"

#include <absl/status/status.h>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/ip/tcp.hpp>

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

struct LinkMessage
{
    wire::LinkFrame head;
    std::string body;
    Time receivedAt{};
    // On the way, beyond the shortest time of late from that process; also by this process's own
    // late reading.
    Duration excessDelay{};
};

// How a call ended.
enum class CallOutcome : std::uint8_t {
    Answered,
    NotSent, // no connection: the other process did not get the message and never will
    Lost,    // the other process may have got it
};

inline constexpr NameTable<CallOutcome, 3> callOutcomeNames{{{{CallOutcome::Answered, "answered"},
                                                      {CallOutcome::NotSent, "not-sent"},
                                                      {CallOutcome::Lost, "lost"}}}};

using LinkCallback = std::function<void(CallOutcome end, LinkMessage answer)>;

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
        std::function<void()> closed; // once, also after close()
    };

    static std::shared_ptr<Link> create(Socket socket, Hooks hooks);

    // Reads messages until the connection closes.
    void start();

    // Queues a message; all that are queued in one turn of the thread leave in one write.
    void send(const wire::LinkFrame &head, std::string_view body);

    // Resets the connection, so that what is still on its way is dropped.
    void close();

    // Measures delays together with other connections of the same process: those of a new one can
    // be late from the first message on.
    void shareDelays(std::shared_ptr<DelayMeter> meter) { this->delays = std::move(meter); }

    bool isOpen() const { return this->open; }
    bool hasUnsent() const { return this->open && (this->isWriting || !this->queued.empty()); }
    // Of bytes other than pings: those tell only that the way from there is open.
    Time lastReceived() const { return this->answeredAt; }
    Time lastSent() const { return this->sentAt; }

private:
    Link(Socket socket, Hooks hooks);
    void readNext();
    bool takeMessages();
    void flush();

    Socket socket;
    Hooks hooks;
    bool open = true;
    bool isWriting = false;
    bool isFlushPosted = false;
    std::string queued;
    std::string writing;
    std::string input;
    std::size_t inputUsed = 0; // bytes of `input` that hold data
    std::shared_ptr<DelayMeter> delays = std::make_shared<DelayMeter>();
    Time receivedAt{};
    Time answeredAt{};
    Time sentAt{};
};

// ---- LinkPool ----

struct LinkSettings
{
    Duration connectLimit = 900ms; // some fifteen round trips between regions
    Duration retryAfter = 400ms;   // after a failed connection
    Duration pingAfter = 300ms;    // of silence while calls wait
    Duration downAfter = 600ms;    // of silence; two pings were not answered
    Duration silentAfter = 1300ms; // then the connection counts as dead; three pings were lost
};

// What becomes of a call that was sent when its peer falls silent.
enum class SilencePolicy : std::uint8_t {
    UntilSilent, // it is given up: the work may be repeated elsewhere
    UntilLimit,  // its connection is kept: a peer that was paused or slow still answers it
};

inline constexpr NameTable<SilencePolicy, 2> silencePolicyNames{
        {{{SilencePolicy::UntilSilent, "until-silent"}, {SilencePolicy::UntilLimit, "until-limit"}}}};

// Connections to other processes, one for each, made when first needed. Used on one thread.
class LinkPool
{
public:
    LinkPool(FiberThread &poolThread, std::string ownNode, std::uint64_t ownIncarnation,
             LinkSettings linkSettings = {});

    // Takes the address of a node; another one than before closes the connection.
    void setAddress(const std::string &node, const Address &address);

    // Sends a message and calls back once, at the latest after `limit` (then with Lost). Returns
    // the number of the call, for cancel.
    std::uint64_t call(const std::string &node, wire::LinkFrame head, std::string_view body,
                       Duration limit, LinkCallback answer,
                       SilencePolicy silencePolicy = SilencePolicy::UntilSilent);

    // Tells the other process that nobody waits for a call any more, and forgets it.
    void cancel(const std::string &node, std::uint64_t call);

    // Says whether a message would wait in vain: the last attempt to connect failed, or calls have
    // waited for an answer for a while.
    bool isDown(const std::string &node, Time now) const;

    // Tries to connect to a node again, at most once in `retryAfter`.
    void reconnect(const std::string &node);

    // Closes dead connections and ends overdue calls; call every 100 ms.
    void advance(Time now);

    // Returns when something was last received from a node, zero if never.
    Time lastReceivedFrom(const std::string &node) const;

private:
    struct Call
    {
        LinkCallback answer;
        Time due{};
        bool isSent = false;
        bool isWork = false; // a request, which the other process is told to end
        SilencePolicy silencePolicy = SilencePolicy::UntilSilent;
    };
    using Calls = std::unordered_map<std::uint64_t, Call>; // by number

    // A connection to a silent peer, kept for the answers to these calls.
    struct SilentLink
    {
        std::shared_ptr<Link> link;
        Calls calls;
    };

    // A call that was taken out, and the connection that carries it.
    struct CarriedCall
    {
        std::shared_ptr<Link> link;
        Call call;
    };

    struct Peer
    {
        Address address;
        std::shared_ptr<Link> link;
        bool isConnecting = false;
        std::uint64_t attempt = 0; // of connecting; an older one has no effect
        Time connectDue{};
        std::optional<Time> failedAt; // since the last connection
        Time connectedAt{};
        Time heard{};
        Time waitingSince{}; // the oldest time from which an answer is due
        Calls calls;
        std::map<std::uint64_t, SilentLink> silentLinks;              // by attempt of connecting
        std::vector<std::pair<wire::LinkFrame, std::string>> waiting; // for the connection
    };

    void connect(const std::string &node, Peer &peer);
    void onConnected(const std::string &node, std::uint64_t attempt, const ErrorCode &error,
                     const std::shared_ptr<Link::Socket> &socket);
    void onClosed(const std::string &node, std::uint64_t attempt);
    void answerPing(const std::shared_ptr<Link> &link);
    void onMessage(const std::string &node, std::uint64_t attempt, LinkMessage message);
    bool isResting(const Peer &peer, Time now) const;
    void endAll(Peer &peer);
    static void endSilent(Peer &peer, std::uint64_t attempt);
    static void closeSilentLinks(Peer &peer, bool onlyUnused);
    static std::optional<CarriedCall> extractCall(Peer &peer, std::uint64_t number);
    static void sendCancel(const std::shared_ptr<Link> &link, std::uint64_t number,
                           const Call &call);
    static void endOverdue(Calls &calls, const std::shared_ptr<Link> &link, Time now);
    void setAside(const std::string &name, Peer &peer, Time now);
    void judgeSilence(const std::string &name, Peer &peer, Time now);

    FiberThread &thread;
    std::string node;
    std::uint64_t incarnation;
    LinkSettings settings;
    std::uint64_t lastCall = 0;
    Time advancedAt{};
    std::map<std::string, Peer, std::less<>> peers;
};

// ---- LinkServer ----

// Answers one message, at most once; a late answer to a closed connection is dropped.
using LinkReply = std::function<void(wire::LinkFrame head, std::string_view body)>;

// One connection that another process made.
struct LinkPeer
{
    std::uint64_t number = 0;  // of the connection, never used again
    std::string node;          // empty before it said its name
    bool answersPings = false; // from this side; an earlier version does not
};

class LinkServer
{
public:
    struct Hooks
    {
        std::function<void(const LinkPeer &peer, LinkMessage message, LinkReply reply)> received;
        std::function<void(const LinkPeer &peer)> closed;
        // Any message came, also one that `received` does not get. `sentAt`: by the clock of this
        // process, without the usual time on the way.
        std::function<void(const LinkPeer &peer, Time sentAt)> heard;
    };

    LinkServer(FiberThread &serverThread, std::string ownNode, Hooks serverHooks);

    // Error: SettingsInvalid if the address cannot be bound.
    absl::Status listen(const Address &address);

    // Asks the other end of a connection for a sign of life.
    void ping(std::uint64_t connection);

    // Number of connections with answers that have not left yet.
    std::size_t unsentCount() const;

private:
    void acceptNext();
    void serve(Link::Socket socket);
    void takeHello(LinkPeer &peer, const wire::LinkHello &hello);

    FiberThread &thread;
    std::string node;
    Hooks hooks;
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type> acceptor;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, std::shared_ptr<Link>> links;
    // Of each process that has connected, by node and incarnation; the last one of a node stays.
    std::map<std::string, std::pair<std::uint64_t, std::shared_ptr<DelayMeter>>> delays;
};

} // namespace kumquat
