// The connection between two processes that is kept for large responses, over loopback.
#include "stage/caller_freshness.h"
#include "stage/tests/link_testing.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kumquat {
namespace {

const Address serverAddress{.ip = "127.0.0.1", .port = 28481};
const Address relayAddress{.ip = "127.0.0.1", .port = 28482};
constexpr std::size_t largeBytes = 90'000; // an image of the large deployments
const std::string peerNode = "images";

wire::LinkFrame makeQuery()
{
    wire::LinkFrame frame;
    frame.mutable_state_query();
    return frame;
}

wire::LinkFrame makeRequest(bool isLarge)
{
    wire::LinkFrame frame;
    frame.mutable_execute()->set_large_answer(isLarge);
    return frame;
}

// Waits until the condition holds, at most 5 s.
bool waitFor(const std::function<bool()> &condition)
{
    const Time end = readBootTime() + 5s;
    while (!condition() && readBootTime() < end) {
        std::this_thread::sleep_for(2ms);
    }
    return condition();
}

// Passes bytes between callers and a server. Bytes from the server pass only after release(), and
// then share a slow link: in each turn, every connection passes a small part.
class SlowLink
{
public:
    SlowLink()
        : thread("link-slow")
        , acceptor(this->thread.io(),
                   Link::Tcp::endpoint(asio::ip::make_address(relayAddress.ip), relayAddress.port))
        , timer(this->thread.io())
    {
        this->thread.post([this] {
            this->acceptNext();
            this->passTurn();
        });
        this->thread.start();
    }

    ~SlowLink() { this->thread.stop(); }

    SlowLink(const SlowLink &) = delete;
    SlowLink &operator=(const SlowLink &) = delete;

    void release()
    {
        this->thread.post([this] { this->isReleased = true; });
    }

    // Passes no more bytes of the server on this connection, counted from 0 as they were opened.
    void hold(std::size_t connection)
    {
        this->thread.post([this, connection] { this->pairs.at(connection)->isHeld = true; });
    }

    void cut(std::size_t connection)
    {
        this->thread.post([this, connection] { close(*this->pairs.at(connection)); });
    }

    std::size_t connectionCount()
    {
        return runOn(this->thread, [this] { return this->pairs.size(); });
    }

private:
    static constexpr std::size_t turnBytes = 500; // with one connection 4 Mbit/s
    static constexpr Duration turnTime = 1ms;

    struct Pair
    {
        Link::Socket caller;
        Link::Socket server;
        bool isHeld = false;
        std::array<char, 8192> bytes{}; // from the caller
    };

    static void close(Pair &pair)
    {
        ErrorCode ignored;
        pair.caller.close(ignored);
        pair.server.close(ignored);
    }

    void acceptNext()
    {
        this->acceptor.async_accept([this](const ErrorCode &error, Link::Socket caller) {
            if (!error) {
                Link::Socket server(this->thread.io());
                server.connect({asio::ip::make_address(serverAddress.ip), serverAddress.port});
                this->pairs.push_back(std::make_shared<Pair>(
                        Pair{.caller = std::move(caller), .server = std::move(server)}));
                passRequests(this->pairs.back());
            }
            this->acceptNext();
        });
    }

    static void passRequests(const std::shared_ptr<Pair> &pair)
    {
        pair->caller.async_read_some(
                asio::buffer(pair->bytes), [pair](const ErrorCode &readError, std::size_t count) {
                    ErrorCode error = readError;
                    if (!error) {
                        asio::write(pair->server, asio::buffer(pair->bytes, count), error);
                    }
                    if (error) {
                        close(*pair);
                        return;
                    }
                    passRequests(pair);
                });
    }

    void passTurn()
    {
        std::array<char, turnBytes> part{};
        for (const std::shared_ptr<Pair> &pair : this->pairs) {
            ErrorCode error;
            const std::size_t count = std::min(part.size(), pair->server.available(error));
            if (error || count == 0 || !this->isReleased || pair->isHeld) {
                continue;
            }
            const std::size_t bytes =
                    pair->server.read_some(asio::buffer(part.data(), count), error);
            asio::write(pair->caller, asio::buffer(part.data(), bytes), error);
        }
        this->timer.expires_after(turnTime);
        this->timer.async_wait([this](const ErrorCode &error) {
            if (!error) {
                this->passTurn();
            }
        });
    }

    FiberThread thread;
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type> acceptor;
    asio::steady_timer timer;
    bool isReleased = false;
    std::vector<std::shared_ptr<Pair>> pairs;
};

// A process that answers requests for large responses with `largeBytes` bytes and others with a
// few.
class Server
{
public:
    Server()
        : thread("link-server")
        , server(this->thread, peerNode,
                 {.received = [this](const LinkPeer &peer, LinkMessage message,
                                     const LinkReply &reply) { this->take(peer, message, reply); },
                  .closed =
                          [this](const LinkPeer &peer) {
                              this->closed.push_back(peer.number);
                              this->freshness.noteClosed(peer.number);
                          },
                  .messageSeen =
                          [this](const LinkPeer &peer, Time sentAt) {
                              ++this->seen[peer.number];
                              this->freshness.note(peer.number, sentAt);
                          }})
    {
        REQUIRE(this->server.listen(serverAddress).ok());
        this->thread.start();
    }

    ~Server() { this->thread.stop(); }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    struct Work
    {
        std::uint64_t connection = 0;
        wire::LinkFrame head;
        std::string body;
        LinkReply reply;
    };

    static void answer(const Work &work)
    {
        wire::LinkFrame frame;
        if (work.head.has_execute()) {
            frame.mutable_execute_reply();
        } else {
            frame.mutable_state_reply();
        }
        work.reply(frame, std::string(work.head.execute().large_answer() ? largeBytes : 10, 'x'));
    }

    std::size_t workCount()
    {
        return runOn(this->thread, [this] { return this->work.size(); });
    }

    FiberThread thread;
    // All of these are used on the thread.
    bool answers = true;
    std::vector<Work> work;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> cancelled; // connections and calls
    std::vector<std::uint64_t> closed;
    std::map<std::uint64_t, int> seen; // messages by connection
    CallerFreshness freshness;
    std::function<void(const Work &work)> answered;
    LinkServer server;

private:
    void take(const LinkPeer &peer, LinkMessage &message, const LinkReply &reply)
    {
        if (message.head.has_cancel()) {
            this->cancelled.emplace_back(peer.number, message.head.call());
            return;
        }
        this->work.push_back({.connection = peer.number,
                              .head = message.head,
                              .body = std::move(message.body),
                              .reply = reply});
        if (this->answers) {
            answer(this->work.back());
            // Posted, so that the response is written before.
            this->thread.post([this, work = this->work.back()] {
                if (this->answered) {
                    this->answered(work);
                }
            });
        }
    }
};

// A process that calls the server, directly or over the slow link.
class Caller
{
public:
    explicit Caller(const Address &address, LinkSettings settings = {})
        : thread("link-caller")
        , pool(this->thread, "caller", 1, settings)
    {
        this->thread.post([this, address] { this->pool.setAddress(peerNode, address); });
        this->thread.start();
    }

    ~Caller() { this->thread.stop(); }

    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    std::uint64_t call(const wire::LinkFrame &head, const std::shared_ptr<CallResult> &result,
                       const std::string &body = "x")
    {
        return runOn(this->thread, [&] {
            return this->pool.call(peerNode, head, body, 5s,
                                   [this, head, result](CallOutcome outcome, const LinkMessage &) {
                                       this->ended.push_back(head);
                                       result->set(outcome);
                                   });
        });
    }

    void advance()
    {
        runOn(this->thread, [this] {
            this->pool.advance(readBootTime());
            return true;
        });
    }

    bool isDown()
    {
        return runOn(this->thread, [this] { return this->pool.isDown(peerNode, readBootTime()); });
    }

    FiberThread thread;
    std::vector<wire::LinkFrame> ended; // in the order in which calls ended; used on the thread
    LinkPool pool;
};

std::shared_ptr<CallResult> makeResult()
{
    return std::make_shared<CallResult>();
}

// Opens the connection for large responses as the second one, and holds it.
void openAndHold(Caller &caller, SlowLink &link)
{
    const auto served = makeResult();
    caller.call(makeRequest(true), served);
    REQUIRE(served->wait() == CallOutcome::Answered);
    REQUIRE(link.connectionCount() == 2);
    link.hold(1);
}

} // namespace

// Load: six responses of 90,000 bytes on their way to a process that reads slowly, and a call with
// a deadline of 500 ms. Guards against short calls that wait until large responses are read.
TEST_CASE("a short call beside large responses to a slow reader is answered before them", "[link]")
{
    constexpr std::size_t largeCount = 6;
    Server server;
    SlowLink link;
    server.answered = [&link](const Server::Work &work) {
        if (work.head.has_state_query()) {
            link.release(); // all responses are now sent by the server and unread
        }
    };
    Caller caller(relayAddress);
    std::vector<std::shared_ptr<CallResult>> large;
    for (std::size_t i = 0; i < largeCount; ++i) {
        large.push_back(makeResult());
        caller.call(makeRequest(true), large.back());
    }
    REQUIRE(waitFor([&] { return server.workCount() == largeCount; }));
    const auto small = makeResult();
    caller.call(makeQuery(), small);
    CHECK(small->wait() == CallOutcome::Answered);
    for (const auto &result : large) {
        CHECK(result->wait() == CallOutcome::Answered);
    }
    const auto ended = runOn(caller.thread, [&] { return caller.ended; });
    REQUIRE(ended.size() == largeCount + 1);
    CHECK(ended.front().has_state_query());
    CHECK(link.connectionCount() == 2);
}

// Load: requests for short and large responses with and without bodies. Guards against connections
// that are opened without need, and against a body that is lost on the second connection.
TEST_CASE("requests for large responses share one further connection", "[link]")
{
    Server server;
    Caller caller(serverAddress);
    const std::string upload(200'000, 'u');
    const auto send = [&](const wire::LinkFrame &head, const std::string &body) {
        const auto result = makeResult();
        caller.call(head, result, body);
        CHECK(result->wait() == CallOutcome::Answered);
    };
    send(makeQuery(), "");
    send(makeRequest(false), "x");
    CHECK(runOn(caller.thread, [&] { return caller.pool.largeAnswerLinkCount(); }) == 0);
    send(makeRequest(true), "");
    send(makeRequest(true), upload);
    send(makeRequest(false), upload);
    CHECK(runOn(caller.thread, [&] { return caller.pool.largeAnswerLinkCount(); }) == 1);
    const auto work = runOn(server.thread, [&] { return server.work; });
    REQUIRE(work.size() == 5);
    CHECK(work[1].connection == work[0].connection);
    CHECK(work[2].connection != work[0].connection);
    CHECK(work[3].connection == work[2].connection);
    CHECK(work[4].connection == work[0].connection);
    CHECK(work[3].body == upload);
    CHECK(work[4].body == upload);
}

// Load: requests with bodies while the budget is full. Guards against a second connection whose
// queue is not bounded.
TEST_CASE("a request without room is not sent on either connection", "[link]")
{
    ByteBudget budget({.capacity = 300'000, .reserve = 50'000});
    Server server;
    Caller caller(serverAddress);
    ByteCharge others(&budget);
    runOn(caller.thread, [&] {
        caller.pool.setBudget(&budget);
        return true;
    });
    for (const bool isLarge : {false, true}) {
        const auto opened = makeResult();
        caller.call(makeRequest(isLarge), opened);
        REQUIRE(opened->wait() == CallOutcome::Answered);
    }
    runOn(caller.thread, [&] {
        others.resize(290'000, readBootTime());
        return true;
    });
    for (const bool isLarge : {false, true}) {
        const auto refused = makeResult();
        caller.call(makeRequest(isLarge), refused, std::string(50'000, 'x'));
        CHECK(refused->wait() == CallOutcome::NotSent);
    }
    CHECK(server.workCount() == 2);
    runOn(caller.thread, [&] {
        others.resize(0, readBootTime());
        return true;
    });
}

// Failure: the connection for large responses is cut while short and large calls wait. Guards
// against short calls that end with it, and against a host that counts as lost.
TEST_CASE("a cut of the connection for large responses ends only its own calls", "[link]")
{
    Server server;
    SlowLink link;
    link.release();
    server.answers = false;
    Caller caller(relayAddress);
    const auto small = makeResult();
    caller.call(makeQuery(), small);
    REQUIRE(waitFor([&] { return server.workCount() == 1; }));
    const auto first = makeResult();
    const auto second = makeResult();
    caller.call(makeRequest(true), first);
    caller.call(makeRequest(true), second);
    REQUIRE(waitFor([&] { return server.workCount() == 3; }));
    REQUIRE(link.connectionCount() == 2);
    link.cut(1);
    CHECK(first->wait() == CallOutcome::Lost);
    CHECK(second->wait() == CallOutcome::Lost);
    CHECK_FALSE(small->isSet());
    CHECK_FALSE(caller.isDown());
    // The process at the other end cancels the requests of this connection only.
    CHECK(waitFor([&] {
        return runOn(server.thread,
                     [&] { return server.closed == std::vector{server.work[1].connection}; });
    }));
    runOn(server.thread, [&] {
        server.answers = true;
        Server::answer(server.work[0]);
        return true;
    });
    CHECK(small->wait() == CallOutcome::Answered);
    // A later request opens the connection again.
    CHECK(waitFor([&] {
        const auto again = makeResult();
        caller.call(makeRequest(true), again);
        return again->wait() == CallOutcome::Answered;
    }));
    CHECK(link.connectionCount() == 3);
}

// Failure: the connection for large responses is silent, the other one is not. Guards against short
// calls that end with it, and against a host that counts as down.
TEST_CASE("a silent connection for large responses ends only its own calls", "[link]")
{
    Server server;
    SlowLink link;
    link.release();
    Caller caller(relayAddress);
    const auto served = makeResult();
    caller.call(makeQuery(), served);
    REQUIRE(served->wait() == CallOutcome::Answered);
    openAndHold(caller, link);
    const auto lost = makeResult();
    caller.call(makeRequest(true), lost);
    // A pause of this process restarts the count of the silence, so no number of rounds is enough.
    const Time end = readBootTime() + 15s;
    while (!lost->isSet() && readBootTime() < end) {
        caller.advance();
        CHECK_FALSE(caller.isDown());
        const auto small = makeResult();
        caller.call(makeQuery(), small);
        CHECK(small->wait() == CallOutcome::Answered);
        std::this_thread::sleep_for(100ms);
    }
    CHECK(lost->wait() == CallOutcome::Lost);
}

// Failure: as above, before the silent connection is given up. Guards against further requests that
// wait on it, while the same requests are refused at once when the only connection is silent.
TEST_CASE("a request for a large response is not sent on a silent connection", "[link]")
{
    Server server;
    SlowLink link;
    link.release();
    const LinkSettings settings{.silentAfter = 60s}; // longer than the test
    Caller caller(relayAddress, settings);
    const auto served = makeResult();
    caller.call(makeQuery(), served);
    REQUIRE(served->wait() == CallOutcome::Answered);
    openAndHold(caller, link);
    const auto waiting = makeResult();
    caller.call(makeRequest(true), waiting);
    std::this_thread::sleep_for(settings.downAfter + 100ms);
    const auto refused = makeResult();
    caller.call(makeRequest(true), refused);
    CHECK(refused->wait() == CallOutcome::NotSent);
    CHECK_FALSE(waiting->isSet());
    CHECK_FALSE(caller.isDown());
}

// Load: requests that are given up while responses are large. Guards against work that continues,
// and against a cancellation of another request: the number of a call means nothing on the other
// connection.
TEST_CASE("a cancellation is sent on the connection that carries the call", "[link]")
{
    Server server;
    server.answers = false;
    Caller caller(serverAddress);
    for (const bool isLarge : {false, true, false, true}) {
        const auto result = makeResult();
        const std::size_t before = server.workCount();
        const std::uint64_t call = caller.call(makeRequest(isLarge), result);
        REQUIRE(waitFor([&] { return server.workCount() == before + 1; }));
        runOn(caller.thread, [&] {
            caller.pool.cancel(peerNode, call);
            return true;
        });
    }
    REQUIRE(waitFor(
            [&] { return runOn(server.thread, [&] { return server.cancelled.size() == 4; }); }));
    const auto work = runOn(server.thread, [&] { return server.work; });
    auto cancelled = runOn(server.thread, [&] { return server.cancelled; });
    std::vector<std::pair<std::uint64_t, std::uint64_t>> carried;
    for (const Server::Work &entry : work) {
        carried.emplace_back(entry.connection, entry.head.call());
    }
    CHECK(carried[0].first != carried[1].first);
    // Cancellations on different connections may arrive in another order.
    std::sort(cancelled.begin(), cancelled.end());
    std::sort(carried.begin(), carried.end());
    CHECK(cancelled == carried);
}

// Load: responses queue for longer than 300 ms, the time for which a host relies on what it knows
// of the callers. Guards against requests for large responses that are refused because the pings of
// their host queue behind these responses.
TEST_CASE("a host is told of the callers of large responses while its own pings are held up",
          "[link]")
{
    Server server;
    SlowLink link; // passes nothing to the caller
    server.answers = false;
    Caller caller(relayAddress);
    caller.call(makeRequest(true), makeResult());
    REQUIRE(waitFor([&] { return server.workCount() == 1; }));
    const std::uint64_t connection =
            runOn(server.thread, [&] { return server.work.front().connection; });
    runOn(server.thread, [&] {
        server.server.ping(connection); // is held up
        return true;
    });
    constexpr int rounds = 10;
    Time toldAt{};
    for (int i = 0; i < rounds; ++i) {
        toldAt = readBootTime();
        caller.advance();
    }
    CHECK(waitFor([&] {
        return runOn(server.thread, [&] { return server.seen[connection] > rounds; });
    }));
    CHECK(runOn(server.thread, [&] { return server.freshness.age(connection, toldAt); }) < 300ms);
}

// Guards against a host that asks one process twice, or the wrong connection: what it knows of the
// callers, and whether they answer, belongs to one of the two connections.
TEST_CASE("a host pings each connection of a process by itself", "[link]")
{
    Server server;
    server.answers = false;
    Caller caller(serverAddress);
    caller.call(makeRequest(false), makeResult());
    REQUIRE(waitFor([&] { return server.workCount() == 1; }));
    caller.call(makeRequest(true), makeResult());
    REQUIRE(waitFor([&] { return server.workCount() == 2; }));
    const auto work = runOn(server.thread, [&] { return server.work; });
    const auto seen = [&] { return runOn(server.thread, [&] { return server.seen; }); };
    const auto before = seen();
    runOn(server.thread, [&] {
        server.server.ping(work[1].connection);
        return true;
    });
    CHECK(waitFor([&] { return seen()[work[1].connection] > before.at(work[1].connection); }));
    CHECK(seen()[work[0].connection] == before.at(work[0].connection));
}

} // namespace kumquat
