// Requests at the upstream of a process that is short of processor time.
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

// Half of the time that an answer may be late.
constexpr Duration allowedDelay = 250ms;

const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: x\r\nX-Server-Seal: s\r\n"
                           "Content-Length: 4\r\n\r\nbody";

// The executor beside one upstream with keys, on a thread of the test.
class KeyedHost
{
public:
    KeyedHost(FiberThread &hostThread, const Address &upstream)
        : thread(hostThread)
        , executor(this->thread, this->monitor, this->metrics,
                   {.service = "testlog", .upstream = upstream},
                   {.access =
                            [this](ShardKey key, Time) {
                                ++this->looks;
                                this->mostWaiting =
                                        std::max(this->mostWaiting, this->executor.waitingCount());
                                return this->held.contains(key) ? KeyAccess::Held
                                                                : KeyAccess::Pending;
                            },
                    .heldFor = [](ShardKey, Time) { return Duration(1s); },
                    .hasKeys = [] { return true; },
                    .tablesEnd = [] { return std::uint64_t(0); },
                    .takesRequest = [](Time) { return true; }})
    {
        constexpr std::uint32_t slots = 8;
        const Time now = readBootTime();
        this->monitor.applyHeartbeat({.instance = {.id = "i-1", .bornMs = 1},
                                      .service = "testlog",
                                      .address = upstream,
                                      .slots = slots,
                                      .sequence = 1},
                                     now);
        this->executor.noteUpstream(now);
    }

    // Takes a request as from another process: it comes now, and a fiber will run it. Call on the
    // thread.
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
    std::set<ShardKey> held; // changed on the thread only
    std::atomic<int> looks{0};
    std::size_t mostWaiting = 0; // of requests, at one time
    std::uint64_t calls = 0;
    Executor executor;
};

// Calls a function until the future is there; returns the time that took.
Duration timeUntil(std::future<ExecuteResult> &result)
{
    const Time started = readBootTime();
    result.wait();
    return readBootTime() - started;
}

} // namespace

// Guards against requests that reach their upstream seconds after their callers have left: what was
// left of their time was counted from when their fiber ran.
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
        std::this_thread::sleep_for(200ms); // what is ready before its fiber takes longer
    });
    CHECK(result.get().reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(requests == 0);
    thread.stop();
}

// Guards against timeouts of requests that wait for a key: each was looked at by a fiber that ran
// after all others, up to 12 s late.
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

// Guards against requests that are sent to upstreams after their callers have left: one that must
// not run twice counted as sent while its connection was made, and could not be cancelled.
TEST_CASE("a request whose caller leaves while a connection is made is not sent", "[late_work]")
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
    const auto leaves = std::make_shared<std::promise<void>>();
    host.onThread([&] {
        host.held.insert(7);
        result = host.receive(7, 500ms);
        // Runs after the fiber of the request, which waits for its connection then.
        thread.spawn(
                [&host, leaves] {
                    host.executor.cancel({.connection = 1, .call = 1});
                    leaves->set_value();
                },
                WakeOrder::Last);
    });
    leaves->get_future().wait();
    CHECK(result.get().reply.outcome() == wire::EXECUTE_REFUSED);
    std::this_thread::sleep_for(50ms);
    CHECK(requests == 0);
    thread.stop();
}

// Guards against two upstreams that hold a key: a host whose slowness had just ended sent a grant
// that it had decided seconds before, when another upstream had the keys.
TEST_CASE("a grant that waited for the thread ends with the right to give it", "[late_work]")
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
        const auto result = std::make_shared<std::promise<OrderEnd>>();
        thread.post([&, wait, result] {
            const HoldOrder order{.number = 1, .hold = 500ms, .decidedAt = readBootTime()};
            thread.spawn([&, order, result] {
                result->set_value(sendOrderTo(client, order, std::make_shared<HttpCallHandle>()));
            });
            std::this_thread::sleep_for(wait); // what is ready before its fiber
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
// host, renewed every 400 ms, woke all requests that waited, whichever keys it was for.
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
    waitUntil([&] { return host.looks == waiting; });
    for (int i = 0; i < grants; ++i) {
        host.onThread([&] { host.executor.noteAccessChanged({.first = 200, .last = 299}); });
    }
    CHECK(host.looks == waiting);
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

// Guards against requests without end that wait for their keys: a process grew over its limit of
// memory, and most of them could not be served when the keys came.
TEST_CASE("requests for keys that are not there yet are bounded", "[late_work]")
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
    // Twice what may wait for a slot, and the one that looks.
    CHECK(host.mostWaiting <= 2 * upstreamLimiter.queue + 1);
    thread.stop();
}

} // namespace kumquat
