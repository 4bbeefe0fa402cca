// Requests on a host without recent information about their callers.
#include "net/tests/busy_thread.h"
#include "net/tests/faulty_server.h"
#include "stage/caller_freshness.h"
#include "stage/executor.h"
#include "stage/upstream_limits.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

namespace kumquat {
namespace {

const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: x\r\nX-Server-Seal: s\r\n"
                           "Content-Length: 4\r\n\r\nbody";

// An executor with one upstream without keys, on a thread of the test.
class KeylessHost
{
public:
    KeylessHost(FiberThread &hostThread, const Address &upstream)
        : thread(hostThread)
        , executor(this->thread, this->monitor, this->metrics,
                   {.service = "certdesk", .upstream = upstream},
                   {.hasKeys = [] { return false; },
                    .tablesEnd = [] { return std::uint64_t(0); },
                    .acceptsRequest = [](Time) { return true; },
                    .callerAge =
                            [this](std::uint64_t, Time) {
                                return this->ageReads-- > 0 ? this->age.load() : Duration(1s);
                            },
                    .sendProbe =
                            [this](std::uint64_t connection) {
                                ++this->probes;
                                if (this->answersProbes) {
                                    this->age = this->ageAfterProbe.load();
                                    this->executor.noteCallersFresh(connection);
                                }
                            },
                    .isSilent = [this](std::uint64_t) { return this->probes >= 3; }})
    {
        constexpr std::uint32_t slots = 8;
        const Time now = readBootTime();
        this->monitor.applyHeartbeat({.instance = {.id = "i-1", .startedMs = 1},
                                      .service = "certdesk",
                                      .address = upstream,
                                      .slots = slots,
                                      .sequence = 1},
                                     now);
        this->executor.noteUpstream(now);
    }

    // Receives a request from another process.
    std::future<ExecuteResult> receive(Duration excessDelay, bool isIdempotent = true,
                                       std::uint64_t connection = 1)
    {
        wire::Execute execute;
        execute.set_id("x");
        execute.set_service("certdesk");
        execute.set_method("GET");
        execute.set_target("/x");
        execute.set_idempotent(isIdempotent);
        execute.set_remaining_ms(2000);
        const auto promise = std::make_shared<std::promise<ExecuteResult>>();
        const ExecuteCaller caller{.connection = connection, .call = ++this->calls};
        this->thread.spawn([this, execute, promise, caller, excessDelay] {
            this->executor.announce(caller, readBootTime(), excessDelay);
            promise->set_value(this->executor.run(execute, "", caller));
        });
        return promise->get_future();
    }

    // Advances the executor regularly, as a process does, until the result is there.
    ExecuteResult finish(std::future<ExecuteResult> result)
    {
        while (result.wait_for(20ms) != std::future_status::ready) {
            this->thread.post([this] { this->executor.advance(readBootTime()); });
        }
        return result.get();
    }

    FiberThread &thread;
    UpstreamMonitor monitor{{}};
    Metrics metrics;
    std::atomic<Duration> age{Duration{}};
    std::atomic<bool> answersProbes{true};
    std::atomic<Duration> ageAfterProbe{Duration{}}; // age of the information after a probe
    std::atomic<int> ageReads{1'000'000}; // number of reads of `age`, after which the age is 1 s
    std::atomic<int> probes{0};
    std::uint64_t calls = 0;
    Executor executor;
};

// An upstream that counts requests and answers each after some time.
struct CountingUpstream
{
    explicit CountingUpstream(Duration work = {})
        : server([this, work](FaultyServer::Socket &socket, int) {
            ++this->requests;
            std::this_thread::sleep_for(work);
            return writeAll(socket, answer);
        })
    {}

    std::atomic<int> requests{0};
    FaultyServer server;
};

struct Fixture
{
    explicit Fixture(Duration work = {})
        : upstream(work)
        , thread("news")
        , host(this->thread, this->upstream.server.address())
    {
        this->thread.start();
    }

    ~Fixture() { this->thread.stop(); }

    CountingUpstream upstream;
    FiberThread thread;
    KeylessHost host;
};

} // namespace

TEST_CASE("the age of a connection is that of its newest message", "[caller_freshness]")
{
    CallerFreshness freshness;
    CHECK(freshness.age(1, 10s) == Duration::zero()); // cannot be probed
    freshness.note(1, 9s);
    CHECK(freshness.age(1, 10s) == 1s);
    freshness.note(1, 8s); // arrived later but was sent earlier
    CHECK(freshness.age(1, 10s) == 1s);
    freshness.noteClosed(1);
    CHECK(freshness.age(1, 10s) == Duration::zero());
}

TEST_CASE("a connection is silent when it answers none of several probes", "[caller_freshness]")
{
    CallerFreshness freshness;
    freshness.note(1, 9s);
    freshness.advance(10s);
    CHECK(freshness.takeProbe(1, 10s));
    CHECK_FALSE(freshness.takeProbe(1, 10s + 50ms)); // the last probe is too recent
    CHECK(freshness.takeProbe(1, 10s + 100ms));
    CHECK_FALSE(freshness.isSilent(1));
    CHECK(freshness.takeProbe(1, 10s + 200ms));
    CHECK(freshness.isSilent(1));
    freshness.advance(14s); // this process was paused: replies may still be unread
    CHECK_FALSE(freshness.isSilent(1));
    CHECK_FALSE(freshness.takeProbe(2, 14s));
}

// Guards against requests that are sent after their callers have disconnected: when a request is
// delayed in transit, the cancellation and all other messages behind it are delayed as well.
TEST_CASE("a request that was delayed in transit like all other messages is not sent",
          "[caller_freshness]")
{
    Fixture fixture;
    KeylessHost &host = fixture.host;
    host.age = 800ms;
    host.ageAfterProbe = 800ms;
    const ExecuteResult late = host.finish(host.receive(800ms));
    CHECK(late.reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(late.reason == "caller-silent");
    CHECK(fixture.upstream.requests == 0);
    host.age = Duration::zero(); // later messages were in time, as after the loss of a packet
    CHECK(host.finish(host.receive(800ms)).reply.outcome() == wire::EXECUTE_ANSWERED);
}

// Guards against requests that are sent after their callers have disconnected: the information
// about the caller became too old while a connection to the upstream was opened.
TEST_CASE("the caller age is checked again when a request is sent", "[caller_freshness]")
{
    Fixture fixture;
    KeylessHost &host = fixture.host;
    host.ageReads = 3; // without a slot, with a slot, and before the connection is opened
    CHECK(host.finish(host.receive({})).reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(fixture.upstream.requests == 0);
}

// Guards against requests that are sent after their callers have disconnected: the connection
// becomes silent while a request waits, so the cancellation does not arrive.
TEST_CASE("a request is sent only with recent information about its caller", "[caller_freshness]")
{
    Fixture fixture;
    KeylessHost &host = fixture.host;
    host.age = 400ms;
    CHECK(host.finish(host.receive({})).reply.outcome() == wire::EXECUTE_ANSWERED);
    CHECK(host.probes == 1);
    host.age = 400ms;
    host.answersProbes = false;
    const ExecuteResult unknown = host.finish(host.receive({}));
    CHECK(unknown.reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(unknown.reason == "caller-silent");
    CHECK(fixture.upstream.requests == 1);
}

// Guards against work for the callers of a host that has failed without closing its connections.
// Work that must not run twice continues: aborting it would leave its effect unknown.
TEST_CASE("work for a caller on a silent host is cancelled if it may be repeated",
          "[caller_freshness]")
{
    constexpr Duration work = 800ms;
    Fixture fixture(work);
    KeylessHost &host = fixture.host;
    host.answersProbes = false;
    for (const bool isIdempotent : {true, false}) {
        host.age = Duration::zero();
        const Time started = readBootTime();
        auto result = host.receive({}, isIdempotent);
        waitUntil([&] { return fixture.upstream.requests == (isIdempotent ? 1 : 2); });
        host.age = 1400ms;
        const ExecuteResult ended = host.finish(std::move(result));
        const bool isEarly = readBootTime() - started < work;
        CHECK(isEarly == isIdempotent);
        CHECK((ended.reply.outcome() == wire::EXECUTE_ANSWERED) == !isIdempotent);
    }
}

// Load: one process has requests on two connections, as for short and large responses, and the
// second one is cut. Guards against the end of requests whose connection is open.
TEST_CASE("the end of one connection cancels only its own requests", "[caller_freshness]")
{
    Fixture fixture(400ms);
    KeylessHost &host = fixture.host;
    std::future<ExecuteResult> kept = host.receive({}, true, 1);
    std::future<ExecuteResult> cut = host.receive({}, true, 2);
    while (fixture.upstream.requests < 2) {
        std::this_thread::sleep_for(1ms);
    }
    fixture.thread.post([&host] { host.executor.cancelAll(2); });
    CHECK(host.finish(std::move(cut)).reply.outcome() != wire::EXECUTE_ANSWERED);
    CHECK(host.finish(std::move(kept)).reply.outcome() == wire::EXECUTE_ANSWERED);
}

} // namespace kumquat
