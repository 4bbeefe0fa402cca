// Connections between processes, over loopback.
#include "stage/link.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace kumquat {
namespace {

const Address serverAddress{.ip = "127.0.0.1", .port = 28471};

wire::LinkFrame makeQuery()
{
    wire::LinkFrame frame;
    frame.mutable_state_query();
    return frame;
}

// Hands the end of one call to the test's thread.
class CallResult
{
public:
    void set(LinkEnd value)
    {
        const std::lock_guard lock(this->mutex);
        this->end = value;
        this->changed.notify_all();
    }

    std::optional<LinkEnd> wait()
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, 5s, [this] { return this->end.has_value(); });
        return this->end;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<LinkEnd> end;
};

struct Pair
{
    explicit Pair(const std::string &serverNode, bool answers = true)
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

    ~Pair() { this->thread.stop(); }

    std::optional<LinkEnd> call(const std::string &node, Duration limit)
    {
        const auto result = std::make_shared<CallResult>();
        this->thread.post([this, node, limit, result] {
            this->pool.setAddress(node, serverAddress);
            this->pool.call(node, makeQuery(), "x", limit,
                            [result](LinkEnd end, const LinkMessage &) { result->set(end); });
        });
        return result->wait();
    }

    FiberThread thread;
    std::atomic<int> received{0};
    LinkServer server;
    LinkPool pool;
};

} // namespace

TEST_CASE("a call is answered by the host that it names", "[link]")
{
    Pair pair("right");
    CHECK(pair.call("right", 2s) == LinkEnd::Answered);
    CHECK(pair.received == 1);
}

// Found by the first score of the first site: the address of a machine that had gone belonged to a
// new one, which answered the reports that were meant for the old one, so nobody wrote key tables.
TEST_CASE("a host takes no messages that are meant for another one", "[link]")
{
    Pair pair("new");
    CHECK(pair.call("old", 2s) == LinkEnd::Lost);
    CHECK(pair.received == 0);
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
                  [result](LinkEnd end, const LinkMessage &) { result->set(end); });
    });
    CHECK(result->wait() == LinkEnd::NotSent);
    thread.stop();
}

} // namespace kumquat
