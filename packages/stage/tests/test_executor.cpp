// Requests and orders at an upstream that violates the protocol: the process must not draw wrong
// conclusions from its answers.
#include "net/tests/faulty_server.h"
#include "stage/executor.h"
#include "stage/key_owner.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <stdexcept>
#include <thread>
#include <utility>

namespace kumquat {
namespace {

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n";

// An executor with one upstream that has no keys.
class TestHost
{
public:
    using Figures = std::function<AdmissionFigures(const wire::Execute *execute, Time now)>;

    explicit TestHost(const Address &upstream, const Figures &figures = nullptr,
                      std::uint32_t slots = 9, SpeedHooks speed = {})
        : thread("executor-test")
        , executor(this->thread, this->monitor, this->metrics,
                   {.service = "certdesk", .upstream = upstream},
                   {.access = [](ShardKey, Time) { return KeyAccess::Held; },
                    .heldFor = [](ShardKey, Time) { return Duration::zero(); },
                    .hasKeys = [] { return false; },
                    .tablesEnd = [] { return std::uint64_t(0); },
                    .acceptsRequest = [](Time) { return true; },
                    .figures = figures,
                    .speed = std::move(speed)})
    {
        const Time now = readBootTime();
        this->monitor.applyHeartbeat({.instance = {.id = "i-1", .startedMs = 1},
                                      .service = "certdesk",
                                      .address = upstream,
                                      .slots = slots,
                                      .sequence = 1},
                                     now);
        this->executor.noteUpstream(now);
        this->thread.start();
    }

    ~TestHost() { this->thread.stop(); }

    ExecuteResult run(const std::string &id) { return this->start(id).get(); }

    std::future<ExecuteResult> start(const std::string &id)
    {
        return this->start(id, {.call = ++this->calls});
    }

    std::future<ExecuteResult> start(const std::string &id, ExecuteCaller caller)
    {
        wire::Execute execute;
        execute.set_id(id);
        execute.set_service("certdesk");
        execute.set_method("POST");
        execute.set_target("/x");
        execute.set_remaining_ms(500);
        for (const std::string &region : this->allowedRegions) {
            execute.add_regions(region);
        }
        const auto promise = std::make_shared<std::promise<ExecuteResult>>();
        this->thread.spawn([this, execute, promise, caller] {
            promise->set_value(this->executor.run(execute, "", caller));
        });
        return promise->get_future();
    }

    // Reads a request and its cancellation together, as a delayed process does.
    ExecuteResult runCancelled(const std::string &id)
    {
        std::future<ExecuteResult> result;
        const auto promise = std::make_shared<std::promise<void>>();
        this->thread.post([&] {
            const ExecuteCaller caller{.connection = 1, .call = 1};
            this->executor.announce(caller, readBootTime());
            result = this->start(id, caller);
            this->executor.cancel(caller);
            promise->set_value();
        });
        promise->get_future().wait();
        return result.get();
    }

    std::vector<std::string> allowedRegions; // of the requests that start next

private:
    FiberThread thread;
    UpstreamMonitor monitor{{}};
    Metrics metrics;
    Executor executor;
    std::uint64_t calls = 0;
};

// Sends the orders to the upstream one after the other and returns the answers.
std::vector<absl::StatusOr<HttpResponse>> sendOrders(const Address &upstream,
                                                     const std::vector<HoldOrderKind> &kinds)
{
    FiberThread thread("orders-test");
    HttpClient client(thread.io(), upstream, {});
    thread.start();
    std::vector<absl::StatusOr<HttpResponse>> answers;
    for (const HoldOrderKind kind : kinds) {
        const auto promise = std::make_shared<std::promise<absl::StatusOr<HttpResponse>>>();
        thread.spawn([&client, promise, kind] {
            promise->set_value(client.call({}, orderOptions(kind, nullptr)));
        });
        answers.push_back(promise->get_future().get());
    }
    thread.stop();
    return answers;
}

std::string answerTo(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: s\r\n"
           + "Content-Length: 4\r\n\r\nbody";
}

} // namespace

// Load: an upstream that reports its load, first with an answer of its own, then with one that
// something else produced. Guards against figures and times that are not those of the upstream.
TEST_CASE("each run is reported with the figures of its answer", "[executor]")
{
    FaultyServer upstream([](FaultyServer::Socket &socket, int request) {
        const std::string seal = request == 1 ? "X-Server-Seal: s\r\n" : "";
        return writeAll(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\n" + seal
                                        + "X-Server-Load: 3,1,9,140\r\nContent-Length: 0\r\n\r\n");
    });
    std::vector<RunEnd> ends;
    int started = 0;
    std::uint32_t announced = 0;
    TestHost host(upstream.address(), nullptr, 9,
                  {.instanceChanged = [&](std::uint32_t slots, Time) { announced = slots; },
                   .started = [&](const wire::Execute &, Time) { ++started; },
                   .ended = [&](const wire::Execute &, const RunEnd &end,
                                Time) { ends.push_back(end); }});
    CHECK(announced == 9);
    CHECK(host.run("q").reply.outcome() == wire::EXECUTE_ANSWERED);
    CHECK(host.run("q").reply.outcome() == wire::EXECUTE_LOST);
    CHECK(started == 2);
    REQUIRE(ends.size() == 2);
    CHECK(ends[0].end == CallEnd::Answered);
    REQUIRE(ends[0].figures.has_value());
    CHECK(ends[0].figures->speedPercent == 140U);
    CHECK(ends[1].end == CallEnd::Lost);
    CHECK_FALSE(ends[1].figures.has_value());
}

// Guards against a refusal that the upstream writes twice: a later request that runs would be
// reported as not run and sent to a second upstream.
TEST_CASE("a repeated refusal is not attributed to a later request", "[executor]")
{
    // The refusal names the request that is sent second, another request, or none.
    for (const std::string &name :
         std::vector<std::string>{"X-Attempt-Id: second\r\n", "X-Attempt-Id: first\r\n", ""}) {
        INFO(name);
        const std::string bytes = refusal + name + "\r\n";
        std::atomic<int> requests{0};
        FaultyServer upstream([&](FaultyServer::Socket &socket, int request) {
            if (++requests == 1) {
                return writeAll(socket, bytes);
            }
            const std::string answer = answerTo("second");
            return writeAll(socket, request > 1 ? bytes + answer : answer);
        });
        TestHost host(upstream.address());
        const bool isSameId = name.find("second") != std::string::npos;
        host.run(isSameId ? "second" : "first");
        CHECK(host.run("second").reply.outcome() == wire::EXECUTE_ANSWERED);
    }
}

// Guards against a refusal on this connection that belongs to a request on another connection.
TEST_CASE("a refusal without an id is believed on a new connection only", "[executor]")
{
    std::atomic<bool> refusesFirst{false};
    FaultyServer upstream([&](FaultyServer::Socket &socket, int request) {
        const std::string answer = answerTo("x");
        return writeAll(socket, refusesFirst || request > 1 ? refusal + "\r\n" + answer : answer);
    });
    TestHost host(upstream.address());
    CHECK(host.run("x").reply.outcome() == wire::EXECUTE_ANSWERED);
    CHECK(host.run("x").reply.outcome() == wire::EXECUTE_ANSWERED);
    refusesFirst = true;
    TestHost other(upstream.address());
    CHECK(other.run("x").reply.outcome() == wire::EXECUTE_REJECTED);
}

// Guards against requests that reach an upstream long after their callers have disconnected: a
// process that was delayed finds a request and its cancellation in one read.
TEST_CASE("a request that is cancelled before its fiber runs is not sent", "[executor]")
{
    std::atomic<int> requests{0};
    FaultyServer upstream([&](FaultyServer::Socket &socket, int) {
        ++requests;
        return writeAll(socket, answerTo("x"));
    });
    TestHost host(upstream.address());
    CHECK(host.runCancelled("x").reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(requests == 0);
    CHECK(host.run("x").reply.outcome() == wire::EXECUTE_ANSWERED);
}

// Guards against connections that become silent for good: each of them would use up the whole time
// of a request.
TEST_CASE("no earlier connection is used after a request has timed out", "[executor]")
{
    std::atomic<bool> isStalled{false};
    std::atomic<int> waiting{0};
    FaultyServer upstream([&](FaultyServer::Socket &socket, int request) {
        if (isStalled && request > 1) {
            return true; // no answer
        }
        // The first two requests need two connections.
        ++waiting;
        while (waiting < 2) {
            std::this_thread::sleep_for(1ms);
        }
        return writeAll(socket, answerTo("x"));
    });
    TestHost host(upstream.address());
    auto first = host.start("x");
    auto second = host.start("x");
    REQUIRE(first.get().reply.outcome() == wire::EXECUTE_ANSWERED);
    REQUIRE(second.get().reply.outcome() == wire::EXECUTE_ANSWERED);
    isStalled = true;
    CHECK(host.run("x").reply.outcome() == wire::EXECUTE_TIMED_OUT);
    CHECK(host.run("x").reply.outcome() == wire::EXECUTE_ANSWERED);
}

// Guards against an answer to an order that the upstream writes twice: keys would count as released
// while work runs on them, or as not held while they are held.
TEST_CASE("a repeated answer is not attributed to the next order", "[key_owner]")
{
    const std::string end = "Content-Length: 0\r\n\r\n";
    const std::string accepted = "HTTP/1.1 200 OK\r\n" + end;
    const std::string fenced = "HTTP/1.1 409 Conflict\r\n" + end;
    const std::string released = "HTTP/1.1 200 OK\r\nX-Duty-Handover: new\r\n" + end;
    const std::string formerRelease = "HTTP/1.1 200 OK\r\nX-Duty-Handover: old\r\n" + end;
    struct Case
    {
        std::vector<HoldOrderKind> orders;
        std::string first;
        std::string second;
    };
    const auto grant = HoldOrderKind::Grant;
    const auto release = HoldOrderKind::Release;
    for (const Case &each : std::vector<Case>{{{grant, release}, accepted, released},
                                              {{release, release}, formerRelease, released},
                                              {{grant, grant}, fenced, accepted}}) {
        std::atomic<int> orders{0};
        FaultyServer upstream([&](FaultyServer::Socket &socket, int order) {
            if (++orders == 1) {
                return writeAll(socket, each.first);
            }
            return writeAll(socket, order > 1 ? each.first + each.second : each.second);
        });
        const auto answers = sendOrders(upstream.address(), each.orders);
        REQUIRE(answers.back().ok());
        INFO(each.first);
        CHECK(answers.back()->status == 200);
        const bool isRelease = each.orders.back() == release;
        CHECK(answers.back()->field("X-Duty-Handover") == (isRelease ? "new" : ""));
    }
}

// Load: requests that wait for a slot when their data centre is evacuated. Guards against requests
// that reach the upstream although the hosts of their callers could not know of the evacuation.
TEST_CASE("a request that waits when its data centre is evacuated is not sent", "[executor]")
{
    std::atomic<bool> isEvacuated{false};
    std::atomic<int> requests{0};
    FaultyServer upstream([&](FaultyServer::Socket &socket, int) {
        ++requests;
        isEvacuated = true; // while the first request runs
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return writeAll(socket, answerTo("first"));
    });
    TestHost host(
            upstream.address(),
            [&](const wire::Execute *, Time) {
                return AdmissionFigures{.isEvacuated = isEvacuated};
            },
            1);
    std::future<ExecuteResult> first = host.start("first");
    std::future<ExecuteResult> second = host.start("second");
    CHECK(first.get().reply.outcome() == wire::EXECUTE_ANSWERED); // it ran, so it is answered
    const wire::ExecuteReply refused = second.get().reply;
    CHECK(refused.outcome() == wire::EXECUTE_REFUSED);
    CHECK(refused.reason() == static_cast<std::uint32_t>(AdmissionReason::Evacuated));
    CHECK(refused.retry_after_ms() > 0);
    CHECK(requests == 1);
}

// Guards against a request that runs outside its regions because the host of its caller knows an
// older record of this host.
TEST_CASE("the host of an upstream refuses requests of routes for other regions", "[executor]")
{
    std::atomic<int> requests{0};
    FaultyServer upstream([&](FaultyServer::Socket &socket, int) {
        ++requests;
        return writeAll(socket, answerTo("near"));
    });
    TestHost host(upstream.address(),
                  [](const wire::Execute *, Time) { return AdmissionFigures{.region = "north"}; });
    host.allowedRegions = {"south", "west"};
    const wire::ExecuteReply refused = host.run("far").reply;
    CHECK(refused.outcome() == wire::EXECUTE_REFUSED);
    CHECK(refused.reason() == static_cast<std::uint32_t>(AdmissionReason::RegionNotAllowed));
    CHECK(requests == 0);
    host.allowedRegions = {"south", "north"};
    CHECK(host.run("near").reply.outcome() == wire::EXECUTE_ANSWERED);
    CHECK(requests == 1);
}

// Guards against an exception that ends the process, or that leaves the slot of its request taken:
// with one slot, no later request would run.
TEST_CASE("an exception costs its request and frees its slot", "[executor]")
{
    FaultyServer upstream([](FaultyServer::Socket &socket, int) {
        return writeAll(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: y\r\nX-Server-Seal: s\r\n"
                                "Content-Length: 0\r\n\r\n");
    });
    bool mustThrow = true;
    const SpeedHooks speed{.started = [&](const wire::Execute &, Time) {
        if (std::exchange(mustThrow, false)) {
            throw std::runtime_error("not accepted");
        }
    }};
    TestHost host(upstream.address(), nullptr, 1, speed);
    const ExecuteResult failed = host.run("x");
    CHECK((failed.reply.outcome() == wire::EXECUTE_LOST
           || failed.reply.outcome() == wire::EXECUTE_NOT_SENT));
    CHECK(host.run("y").reply.outcome() == wire::EXECUTE_ANSWERED);
}

} // namespace kumquat
