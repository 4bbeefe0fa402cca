// Requests and grants on a process that is short of processor time.
#include "net/tests/busy_thread.h"
#include "net/tests/faulty_server.h"
#include "stage/executor.h"
#include "stage/key_owner.h"
#include "stage/upstream_limits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <set>

namespace kumquat {
namespace {

// Half of the maximum delay of an answer.
constexpr Duration allowedDelay = 250ms;

const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: x\r\nX-Server-Seal: s\r\n"
                           "Content-Length: 4\r\n\r\nbody";

// An executor with one upstream that has keys, on a thread of the test.
class KeyedHost
{
public:
    KeyedHost(FiberThread &hostThread, const Address &upstream)
        : thread(hostThread)
        , executor(this->thread, this->monitor, this->metrics,
                   {.service = "testlog", .upstream = upstream},
                   {.access =
                            [this](ShardKey key, Time) {
                                ++this->accessChecks;
                                this->maxWaiting =
                                        std::max(this->maxWaiting, this->executor.waitingCount());
                                return this->held.contains(key) ? KeyAccess::Held
                                                                : KeyAccess::Pending;
                            },
                    .heldFor = [](ShardKey, Time) { return Duration(1s); },
                    .hasKeys = [] { return true; },
                    .tablesEnd = [] { return std::uint64_t(0); },
                    .acceptsRequest = [](Time) { return true; }})
    {
        constexpr std::uint32_t slots = 8;
        const Time now = readBootTime();
        this->monitor.applyHeartbeat({.instance = {.id = "i-1", .startedMs = 1},
                                      .service = "testlog",
                                      .address = upstream,
                                      .slots = slots,
                                      .sequence = 1},
                                     now);
        this->executor.noteUpstream(now);
    }

    // Receives a request as from another process: it arrives now, and a fiber will run it. Call on
    // the thread.
    std::future<ExecuteResult> receive(ShardKey key, Duration remaining)
    {
        wire::Execute execute;
        execute.set_id("x");
        execute.set_service("testlog");
        execute.set_method("POST");
        execute.set_target("/x");
        execute.set_has_key(true);
        execute.set_key(key);
        execute.set_remaining_ms(static_cast<std::uint32_t>(remaining / 1ms));
        const auto promise = std::make_shared<std::promise<ExecuteResult>>();
        const ExecuteCaller caller{.connection = 1, .call = ++this->calls};
        this->executor.announce(caller, readBootTime());
        this->thread.spawn(
                [this, execute, promise, caller] {
                    promise->set_value(this->executor.run(execute, "", caller));
                },
                WakeOrder::Last);
        return promise->get_future();
    }

    // Runs a function on the thread and waits for it.
    template <typename Function>
    void onThread(Function function)
    {
        std::promise<void> done;
        this->thread.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    FiberThread &thread;
    UpstreamMonitor monitor{{}};
    Metrics metrics;
    std::set<ShardKey> held; // changed only on the thread
    std::atomic<int> accessChecks{0};
    std::size_t maxWaiting = 0; // highest number of requests that waited at the same time
    std::uint64_t calls = 0;
    Executor executor;
};

// Waits for the future and returns the time that this took.
Duration timeUntil(std::future<ExecuteResult> &result)
{
    const Time started = readBootTime();
    result.wait();
    return readBootTime() - started;
}

} // namespace

// Guards against requests that reach their upstream seconds after their callers have disconnected:
// the remaining time of a request was counted only from when its fiber ran.
TEST_CASE("the time of a request counts while it waits for its fiber", "[late_work]")
{
    std::atomic<int> requests{0};
    FaultyServer upstream([&](FaultyServer::Socket &socket, int) {
        ++requests;
        return writeAll(socket, answer);
    });
    FiberThread thread("late-work");
    KeyedHost host(thread, upstream.address());
    thread.start();
    host.onThread([&] { host.held.insert(7); });
    std::future<ExecuteResult> result;
    host.onThread([&] {
        result = host.receive(7, 100ms);
        std::this_thread::sleep_for(200ms); // work before the fiber takes longer than 100 ms
    });
    CHECK(result.get().reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(requests == 0);
    thread.stop();
}

// Guards against late timeouts of requests that wait for a key: a fiber that ran after all others
// checked them, up to 12 s late.
TEST_CASE("a wait for a key ends on time on a busy thread", "[late_work]")
{
    FaultyServer upstream([](FaultyServer::Socket &, int) { return true; });
    BusyThread busy;
    KeyedHost host(busy.thread, upstream.address());
    const Time started = readBootTime();
    std::future<ExecuteResult> result;
    host.onThread([&] { result = host.receive(7, 400ms); });
    CHECK(result.get().reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(readBootTime() - started < 400ms + allowedDelay);
}

// Guards against requests that are sent to upstreams after their callers have disconnected: a
// request that must not run twice counted as sent while its connection was opened, and could not be
// cancelled.
TEST_CASE("a request whose caller disconnects while a connection is made is not sent",
          "[late_work]")
{
    std::atomic<int> requests{0};
    FaultyServer upstream([&](FaultyServer::Socket &socket, int) {
        ++requests;
        return writeAll(socket, answer);
    });
    FiberThread thread("late-work");
    KeyedHost host(thread, upstream.address());
    thread.start();
    std::future<ExecuteResult> result;
    const auto disconnects = std::make_shared<std::promise<void>>();
    host.onThread([&] {
        host.held.insert(7);
        result = host.receive(7, 500ms);
        // Runs after the fiber of the request, which waits for its connection at that time.
        thread.spawn(
                [&host, disconnects] {
                    host.executor.cancel({.connection = 1, .call = 1});
                    disconnects->set_value();
                },
                WakeOrder::Last);
    });
    disconnects->get_future().wait();
    CHECK(result.get().reply.outcome() == wire::EXECUTE_REFUSED);
    std::this_thread::sleep_for(50ms);
    CHECK(requests == 0);
    thread.stop();
}

// Guards against two upstreams that hold the same key: a host that had just recovered from a stall
// sent a grant that it had decided on seconds before, when another upstream had the keys by then.
TEST_CASE("a grant that waited for the thread is not sent after the right to give it has ended",
          "[late_work]")
{
    std::atomic<int> orders{0};
    FaultyServer upstream([&](FaultyServer::Socket &socket, int) {
        ++orders;
        return writeAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    FiberThread thread("late-work");
    HttpClient client(thread.io(), upstream.address(), {});
    thread.start();
    const auto sendAfter = [&](Duration wait) {
        const auto result = std::make_shared<std::promise<OrderResult>>();
        thread.post([&, wait, result] {
            const HoldOrder order{.number = 1, .hold = 500ms, .decidedAt = readBootTime()};
            thread.spawn([&, order, result] {
                result->set_value(sendOrderTo(client, order, std::make_shared<HttpCallHandle>()));
            });
            std::this_thread::sleep_for(wait); // simulates work that runs before the fiber
        });
        return result->get_future().get();
    };
    CHECK(sendAfter(0ms).answer.ok());
    CHECK(orders == 1);
    CHECK(sendAfter(600ms).isWithdrawn);
    CHECK(orders == 1);
    thread.stop();
}

// Guards against work that grows with the product of grants and waiting requests: each grant of a
// host, renewed every 400 ms, woke all waiting requests, even those for other keys.
TEST_CASE("a grant wakes only the requests that wait for its keys", "[late_work]")
{
    constexpr int waiting = 100;
    constexpr int grants = 50;
    FaultyServer upstream(
            [](FaultyServer::Socket &socket, int) { return writeAll(socket, answer); });
    FiberThread thread("late-work");
    KeyedHost host(thread, upstream.address());
    thread.start();
    std::vector<std::future<ExecuteResult>> results;
    host.onThread([&] {
        for (int key = 0; key < waiting; ++key) {
            results.push_back(host.receive(static_cast<ShardKey>(key), 600ms));
        }
    });
    waitUntil([&] { return host.accessChecks == waiting; });
    for (int i = 0; i < grants; ++i) {
        host.onThread([&] { host.executor.noteAccessChanged({.first = 200, .last = 299}); });
    }
    CHECK(host.accessChecks == waiting);
    host.onThread([&] {
        host.held.insert(7);
        host.executor.noteAccessChanged({.first = 7, .last = 7});
    });
    CHECK(results[7].get().reply.outcome() == wire::EXECUTE_ANSWERED);
    for (std::size_t key = 0; key < waiting; ++key) {
        if (key != 7) {
            CHECK(results[key].get().reply.outcome() == wire::EXECUTE_REFUSED);
        }
    }
    thread.stop();
}

// Guards against an unbounded number of requests that wait for their keys: a process exceeded its
// memory limit, and most requests could not be served when the keys arrived.
TEST_CASE("the number of requests that wait for keys is bounded", "[late_work]")
{
    constexpr std::size_t sent = 1000;
    FaultyServer upstream([](FaultyServer::Socket &, int) { return true; });
    FiberThread thread("late-work");
    KeyedHost host(thread, upstream.address());
    thread.start();
    std::vector<std::future<ExecuteResult>> results;
    host.onThread([&] {
        for (std::size_t i = 0; i < sent; ++i) {
            results.push_back(host.receive(7, 600ms));
        }
    });
    for (std::future<ExecuteResult> &result : results) {
        const wire::ExecuteReply reply = result.get().reply;
        CHECK(reply.outcome() == wire::EXECUTE_REFUSED);
        CHECK(reply.retry_after_ms() > 0);
    }
    // Twice the number that may wait for a slot, plus the request that checks its key now.
    CHECK(host.maxWaiting <= 2 * upstreamLimiter.maxWaiting + 1);
    thread.stop();
}

} // namespace kumquat
