// Connections between processes, over loopback.
#include "stage/link.h"
#include "stage/tests/link_testing.h"

#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <optional>
#include <thread>
#include <utility>

namespace kumquat {
namespace {

const Address serverAddress{.ip = "127.0.0.1", .port = 28471};
const Address pausedAddress{.ip = "127.0.0.1", .port = 28474};

wire::LinkFrame makeQuery()
{
    wire::LinkFrame frame;
    frame.mutable_state_query();
    return frame;
}

// A server whose thread blocks for a while at the first message, as in a paused process, and
// replies afterwards.
struct PausedServer
{
    explicit PausedServer(Duration pause)
        : thread("link-paused")
        , server(this->thread, "paused",
                 {.received =
                          [this, pause](const LinkPeer &, const LinkMessage &,
                                        const LinkReply &reply) {
                              if (!std::exchange(this->wasPaused, true)) {
                                  std::this_thread::sleep_for(pause);
                              }
                              wire::LinkFrame frame;
                              frame.mutable_state_reply();
                              reply(frame, "body");
                          },
                  .closed = [](const LinkPeer &) {}})
    {
        REQUIRE(this->server.listen(pausedAddress).ok());
        this->thread.start();
    }

    ~PausedServer() { this->thread.stop(); }

    FiberThread thread;
    LinkServer server;
    bool wasPaused = false;
};

struct LinkFixture
{
    explicit LinkFixture(const std::string &serverNode, bool answers = true)
        : thread("link-test")
        , server(this->thread, serverNode,
                 {.received =
                          [this, answers](const LinkPeer &, const LinkMessage &,
                                          const LinkReply &reply) {
                              ++this->received;
                              wire::LinkFrame frame;
                              frame.mutable_state_reply();
                              if (answers) {
                                  reply(frame, "body");
                              }
                          },
                  .closed = [](const LinkPeer &) {}})
        , pool(this->thread, "caller", 1)
    {
        REQUIRE(this->server.listen(serverAddress).ok());
        this->thread.start();
    }

    ~LinkFixture() { this->thread.stop(); }

    std::optional<CallOutcome> call(const std::string &node, Duration limit)
    {
        const auto result = std::make_shared<CallResult>();
        this->thread.post([this, node, limit, result] {
            this->pool.setAddress(node, serverAddress);
            this->pool.call(
                    node, makeQuery(), "x", limit,
                    [result](CallOutcome outcome, const LinkMessage &) { result->set(outcome); });
        });
        return result->wait();
    }

    FiberThread thread;
    std::atomic<int> received{0};
    LinkServer server;
    LinkPool pool;
};

// Something that is no process of this system: it sends all bytes back.
class EchoPeer
{
public:
    explicit EchoPeer(const Address &address)
        : thread("link-echo")
        , acceptor(this->thread.io(),
                   Link::Tcp::endpoint(asio::ip::make_address(address.ip), address.port))
    {
        this->thread.post([this] { this->acceptNext(); });
        this->thread.start();
    }

    ~EchoPeer() { this->thread.stop(); }

    EchoPeer(const EchoPeer &) = delete;
    EchoPeer &operator=(const EchoPeer &) = delete;

private:
    struct Connection
    {
        Link::Socket socket;
        std::array<char, 4096> bytes{};
    };

    void acceptNext()
    {
        this->acceptor.async_accept([this](const ErrorCode &error, Link::Socket socket) {
            if (!error) {
                sendBack(std::make_shared<Connection>(Connection{.socket = std::move(socket)}));
            }
            this->acceptNext();
        });
    }

    static void sendBack(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(
                asio::buffer(connection->bytes),
                [connection](const ErrorCode &readError, std::size_t count) {
                    ErrorCode error = readError;
                    if (!error) {
                        asio::write(connection->socket, asio::buffer(connection->bytes, count),
                                    error);
                    }
                    if (!error) {
                        sendBack(connection);
                    }
                });
    }

    FiberThread thread;
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type> acceptor;
};

wire::LinkFrame makeFrame(wire::LinkFrame::ContentCase content)
{
    wire::LinkFrame frame;
    const auto *field = wire::LinkFrame::descriptor()->FindFieldByNumber(content);
    if (field != nullptr) {
        frame.GetReflection()->MutableMessage(&frame, field);
    }
    return frame;
}

// Makes one call to a host that answers with a message of this type, and returns how it ended.
std::optional<CallOutcome> callAnsweredWith(wire::LinkFrame::ContentCase content)
{
    const Address address{.ip = "127.0.0.1", .port = 28479};
    FiberThread thread("link-test");
    LinkServer server(
            thread, "other",
            {.received = [content](const LinkPeer &, const LinkMessage &,
                                   const LinkReply &reply) { reply(makeFrame(content), {}); },
             .closed = [](const LinkPeer &) {}});
    REQUIRE(server.listen(address).ok());
    LinkPool pool(thread, "caller", 1);
    thread.start();
    CallResult result;
    thread.post([&] {
        pool.setAddress("other", address);
        pool.call("other", makeQuery(), "x", 2s,
                  [&](CallOutcome outcome, const LinkMessage &) { result.set(outcome); });
    });
    const std::optional<CallOutcome> outcome = result.wait();
    thread.stop();
    return outcome;
}

} // namespace

// Guards against aborting running work when its host is silent for a moment. A request that must
// not run twice was answered 502 after 1.3 s although its answer arrived later.
TEST_CASE("work that may not be repeated is waited for at a silent peer", "[link]")
{
    PausedServer paused(1900ms);
    FiberThread thread("link-test");
    LinkPool pool(thread, "caller", 1);
    thread.start();
    CallResult untilLimit;
    CallResult untilSilent;
    thread.post([&] {
        pool.setAddress("paused", pausedAddress);
        pool.call(
                "paused", makeQuery(), "x", 4s,
                [&](CallOutcome outcome, const LinkMessage &) { untilLimit.set(outcome); },
                SilencePolicy::UntilLimit);
        pool.call("paused", makeQuery(), "x", 4s,
                  [&](CallOutcome outcome, const LinkMessage &) { untilSilent.set(outcome); });
    });
    for (int i = 0; i < 25; ++i) {
        thread.post([&] { pool.advance(readBootTime()); });
        std::this_thread::sleep_for(100ms);
    }
    CHECK(untilSilent.wait() == CallOutcome::Lost);
    CHECK(untilLimit.wait() == CallOutcome::Answered);
    thread.stop();
}

TEST_CASE("a call is answered by the host that it names", "[link]")
{
    LinkFixture fixture("right");
    CHECK(fixture.call("right", 2s) == CallOutcome::Answered);
    CHECK(fixture.received == 1);
}

// Guards against a new host that gets the address of a removed one. It answered reports that were
// meant for the removed host, so no host wrote key tables.
TEST_CASE("a host accepts no messages that are meant for another one", "[link]")
{
    LinkFixture fixture("new");
    CHECK(fixture.call("old", 2s) == CallOutcome::Lost);
    CHECK(fixture.received == 0);
}

// Guards against callers that wait until their deadline for a host that has been removed, once per
// attempt to connect.
TEST_CASE("a host that could not be reached is known to be down", "[link]")
{
    LinkFixture fixture("other");
    const auto isDown = [&fixture] {
        std::promise<bool> result;
        fixture.thread.post([&] { result.set_value(fixture.pool.isDown("gone", readBootTime())); });
        return result.get_future().get();
    };
    CHECK(fixture.call("gone", 2s) == CallOutcome::Lost);
    CHECK(isDown());
    std::this_thread::sleep_for(600ms); // longer than the delay before the next attempt to connect
    CHECK(isDown());
}

// The connection is open, but no data arrives: a frozen process or a cut connection.
TEST_CASE("a host whose answers are overdue is known to be down", "[link]")
{
    LinkFixture fixture("mute", false);
    fixture.thread.post([&fixture] {
        fixture.pool.setAddress("mute", serverAddress);
        fixture.pool.call("mute", makeQuery(), "", 5s, [](CallOutcome, const LinkMessage &) {});
    });
    std::this_thread::sleep_for(900ms);
    std::promise<bool> result;
    fixture.thread.post([&] { result.set_value(fixture.pool.isDown("mute", readBootTime())); });
    CHECK(result.get_future().get());
}

TEST_CASE("a call to a port without a listener was not sent", "[link]")
{
    FiberThread thread("link-test");
    LinkPool pool(thread, "caller", 1);
    thread.start();
    const auto result = std::make_shared<CallResult>();
    thread.post([&] {
        pool.setAddress("gone", {.ip = "127.0.0.1", .port = 28472});
        pool.call("gone", makeQuery(), "", 2s,
                  [result](CallOutcome outcome, const LinkMessage &) { result->set(outcome); });
    });
    CHECK(result->wait() == CallOutcome::NotSent);
    thread.stop();
}

TEST_CASE("the excess delay of a message is its transit time beyond the usual one", "[link]")
{
    DelayMeter meter;
    CHECK(meter.measureExcess(-5s + 30ms, 100s) == Duration::zero()); // clocks differ by 5 s
    CHECK(meter.measureExcess(-5s + 830ms, 101s) == 800ms);
    CHECK(meter.measureExcess(-5s + 30ms, 102s) == Duration::zero());
    CHECK(meter.measureExcess(-5s + 90ms, 160s) == Duration::zero()); // former time is too old
}

// Guards against requests that are sent after their callers have disconnected. A connection that is
// opened while the network is congested has seen only its own late messages, so these did not count
// as late.
TEST_CASE("a new connection keeps the usual transit time of the former one", "[link]")
{
    std::atomic<Duration> excessDelay{Duration{}};
    FiberThread thread("link-test");
    LinkServer server(thread, "right",
                      {.received = [&](const LinkPeer &, const LinkMessage &message,
                                       const LinkReply &) { excessDelay = message.excessDelay; },
                       .closed = [](const LinkPeer &) {}});
    const Address address{.ip = "127.0.0.1", .port = 28476};
    REQUIRE(server.listen(address).ok());
    thread.start();
    std::vector<std::shared_ptr<Link>> links; // used on the thread
    const auto connect = [&](Duration late) {
        thread.post([&, late] {
            Link::Socket socket(thread.io());
            socket.connect({asio::ip::make_address(address.ip), address.port});
            links.push_back(Link::create(
                    std::move(socket), {.received = [](const LinkMessage &) {}, .closed = [] {}}));
            links.back()->start();
            wire::LinkFrame frame;
            frame.set_sent_ns((readBootTime() - late).count());
            frame.mutable_hello()->set_node("caller");
            frame.mutable_hello()->set_incarnation(1);
            frame.mutable_hello()->set_receiver("right");
            links.back()->send(frame, {});
            frame.mutable_state_query();
            links.back()->send(frame, {});
        });
        std::this_thread::sleep_for(200ms);
    };
    connect(Duration::zero());
    CHECK(excessDelay.load() < 100ms);
    connect(800ms);
    CHECK(excessDelay.load() > 700ms);
    thread.stop();
}

// Guards against further requests to a host that does not receive them: the pings that it sends
// itself are no answers.
TEST_CASE("pings of a host do not hide that it does not answer", "[link]")
{
    std::uint64_t connection = 0; // used on the thread
    FiberThread thread("link-test");
    LinkServer server(thread, "mute",
                      {.received = [&](const LinkPeer &peer, const LinkMessage &,
                                       const LinkReply &) { connection = peer.number; },
                       .closed = [](const LinkPeer &) {}});
    LinkPool pool(thread, "caller", 1);
    const Address address{.ip = "127.0.0.1", .port = 28477};
    REQUIRE(server.listen(address).ok());
    thread.start();
    thread.post([&] {
        pool.setAddress("mute", address);
        pool.call("mute", makeQuery(), "", 5s, [](CallOutcome, const LinkMessage &) {});
    });
    for (int i = 0; i < 9; ++i) {
        thread.post([&] { server.ping(connection); });
        std::this_thread::sleep_for(100ms);
    }
    std::promise<bool> result;
    thread.post([&] { result.set_value(pool.isDown("mute", readBootTime())); });
    CHECK(result.get_future().get());
    thread.stop();
}

// Guards against ending work at a host that is not silent. The host asks every 100 ms about the
// caller of a request that waits in its queue. The replies to these pings counted as messages after
// which no ping was due, so the caller's host never asked itself, and ended the call after 1.3 s.
TEST_CASE("a host that asks about its callers is asked as well", "[link]")
{
    std::uint64_t connection = 0; // used on the server's thread
    LinkReply answer;             // likewise
    FiberThread serverThread("link-queue");
    LinkServer server(
            serverThread, "busy",
            {.received =
                     [&](const LinkPeer &peer, const LinkMessage &, const LinkReply &reply) {
                         connection = peer.number;
                         answer = reply;
                     },
             .closed = [](const LinkPeer &) {}});
    const Address address{.ip = "127.0.0.1", .port = 28478};
    REQUIRE(server.listen(address).ok());
    serverThread.start();
    FiberThread thread("link-test");
    LinkPool pool(thread, "caller", 1);
    thread.start();
    CallResult result;
    thread.post([&] {
        pool.setAddress("busy", address);
        pool.call("busy", makeQuery(), "x", 6s,
                  [&](CallOutcome outcome, const LinkMessage &) { result.set(outcome); });
    });
    for (int i = 0; i < 25; ++i) {
        serverThread.post([&] { server.ping(connection); });
        thread.post([&] { pool.advance(readBootTime()); });
        std::this_thread::sleep_for(100ms);
    }
    serverThread.post([&] {
        wire::LinkFrame frame;
        frame.mutable_state_reply();
        answer(frame, "body");
    });
    CHECK(result.wait() == CallOutcome::Answered);
    thread.stop();
    serverThread.stop();
}

// Guards against treating all messages as late on a connection that stays open for hours, as the
// clocks of two hosts drift apart.
TEST_CASE("clocks that drift apart make no message late", "[link]")
{
    constexpr double drift = 50e-6; // drift of a usual quartz clock
    DelayMeter meter;
    Duration longest{};
    for (Time now = 0s; now < 24h; now += 1s) {
        const auto apart = std::chrono::duration_cast<Duration>(now * drift);
        longest = std::max(longest, meter.measureExcess(30ms + apart, now));
    }
    CHECK(longest < 5ms);
}

// Guards against work that continues after the host of its caller has ended the call. The
// cancellation was sent on a newer connection, where the number of the call meant another call or
// none.
TEST_CASE("a call that is given up is cancelled on the connection that carries it", "[link]")
{
    std::atomic<int> works{0};
    std::atomic<std::uint64_t> workConnection{0};      // connection that carried the work
    std::atomic<std::uint64_t> cancelledConnection{0}; // connection that carried the cancellation
    FiberThread serverThread("link-slow");
    LinkServer server(
            serverThread, "slow",
            {.received =
                     [&](const LinkPeer &peer, const LinkMessage &message, const LinkReply &) {
                         if (message.head.has_execute() && ++works == 1) {
                             workConnection = peer.number;
                             std::this_thread::sleep_for(1900ms); // reads no messages
                         } else if (message.head.has_cancel()) {
                             cancelledConnection = peer.number;
                         }
                     },
             .closed = [](const LinkPeer &) {}});
    const Address address{.ip = "127.0.0.1", .port = 28475};
    REQUIRE(server.listen(address).ok());
    serverThread.start();
    FiberThread thread("link-test");
    LinkPool pool(thread, "caller", 1);
    thread.start();
    CallResult untilSilent;
    thread.post([&] {
        pool.setAddress("slow", address);
        wire::LinkFrame work;
        work.mutable_execute();
        pool.call("slow", work, "x", 4s,
                  [&](CallOutcome outcome, const LinkMessage &) { untilSilent.set(outcome); });
        // This call keeps the connection open after the other call has ended.
        pool.call(
                "slow", work, "x", 4s, [](CallOutcome, const LinkMessage &) {},
                SilencePolicy::UntilLimit);
    });
    for (int i = 0; i < 25; ++i) {
        thread.post([&] { pool.advance(readBootTime()); });
        std::this_thread::sleep_for(100ms);
    }
    CHECK(untilSilent.wait() == CallOutcome::Lost);
    CHECK(works == 2);
    CHECK(cancelledConnection == workConnection);
    thread.stop();
    serverThread.stop();
}

// Guards against lost voters that are not replaced. An echo server at the address of a lost host
// counted as alive, and each call to it as answered by its own request.
TEST_CASE("a peer that sends all bytes back is down and answers nothing", "[link]")
{
    // A state reply is also sent as a call, so its echo has the type of a response.
    const auto content = GENERATE(wire::LinkFrame::kStateQuery, wire::LinkFrame::kVouch,
                                  wire::LinkFrame::kExecute, wire::LinkFrame::kStateReply);
    const Address address{.ip = "127.0.0.1", .port = 28480};
    EchoPeer peer(address);
    FiberThread thread("link-test");
    LinkPool pool(thread, "caller", 1);
    thread.start();
    CallResult result;
    thread.post([&] {
        pool.setAddress("lost", address);
        pool.call("lost", makeFrame(content), "x", 2s,
                  [&](CallOutcome outcome, const LinkMessage &) { result.set(outcome); });
    });
    CHECK(result.wait() == CallOutcome::Lost);
    CHECK(runOn(thread, [&] { return pool.lastReceivedFrom("lost"); }) == Time::zero());
    CHECK(runOn(thread, [&] { return pool.isDown("lost", readBootTime()); }));
    thread.stop();
}

// Guards against any message with the number of a call that counts as its answer.
TEST_CASE("a connection whose peer sends no response to a call is closed", "[link]")
{
    const auto content =
            GENERATE(wire::LinkFrame::CONTENT_NOT_SET, wire::LinkFrame::kHello,
                     wire::LinkFrame::kExecute, wire::LinkFrame::kCancel, wire::LinkFrame::kVouch,
                     wire::LinkFrame::kReleaseQuery, wire::LinkFrame::kStopQuery,
                     wire::LinkFrame::kLoadReport, wire::LinkFrame::kStateQuery);
    CAPTURE(content);
    CHECK(callAnsweredWith(content) == CallOutcome::Lost);
}

TEST_CASE("each type of response answers a call", "[link]")
{
    const auto content = GENERATE(wire::LinkFrame::kExecuteReply, wire::LinkFrame::kVouchReply,
                                  wire::LinkFrame::kReleaseReply, wire::LinkFrame::kStopReply,
                                  wire::LinkFrame::kLoadAck, wire::LinkFrame::kStateReply);
    CAPTURE(content);
    CHECK(callAnsweredWith(content) == CallOutcome::Answered);
}

// Guards against a lost host that counts as up for ever: a call between the close of its connection
// and the notice of it began another attempt to connect, and the closed connection was kept.
TEST_CASE("a peer counts as down after its connection was closed during a call", "[link]")
{
    const Address address{.ip = "127.0.0.1", .port = 28483};
    FiberThread serverThread("link-server");
    auto server = std::make_unique<LinkServer>(
            serverThread, "lost",
            LinkServer::Hooks{
                    .received =
                            [](const LinkPeer &, const LinkMessage &, const LinkReply &reply) {
                                wire::LinkFrame frame;
                                frame.mutable_state_reply();
                                reply(frame, {});
                            },
                    .closed = [](const LinkPeer &) {}});
    REQUIRE(server->listen(address).ok());
    serverThread.start();
    FiberThread thread("link-test");
    LinkPool pool(thread, "caller", 1);
    thread.start();
    CallResult first;
    thread.post([&] {
        pool.setAddress("lost", address);
        pool.call("lost", makeQuery(), {}, 4s,
                  [&](CallOutcome outcome, const LinkMessage &) { first.set(outcome); });
    });
    REQUIRE(first.wait() == CallOutcome::Answered);
    serverThread.stop();
    server.reset();
    CallResult closing;
    CallResult next;
    thread.post([&] {
        // More than may wait for a peer, so the connection is closed.
        pool.call("lost", makeQuery(), std::string(97UL << 20U, 'x'), 4s,
                  [&](CallOutcome outcome, const LinkMessage &) { closing.set(outcome); });
        pool.call("lost", makeQuery(), {}, 4s,
                  [&](CallOutcome outcome, const LinkMessage &) { next.set(outcome); });
    });
    CHECK(next.wait() == CallOutcome::NotSent);
    CHECK(closing.wait().has_value());
    CallResult last;
    thread.post([&] {
        pool.call("lost", makeQuery(), {}, 4s,
                  [&](CallOutcome outcome, const LinkMessage &) { last.set(outcome); });
    });
    CHECK(last.wait() == CallOutcome::NotSent);
    CHECK(runOn(thread, [&] { return pool.isDown("lost", readBootTime()); }));
    thread.stop();
}

} // namespace kumquat
