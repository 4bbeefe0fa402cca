// What a host does that has not heard of its requests' callers for a while.
#include "net/tests/busy_thread.h"
#include "net/tests/faulty_server.h"
#include "stage/caller_news.h"
#include "stage/executor.h"
#include "stage/upstream_limits.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

namespace kumquat {
namespace {

const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: x\r\nX-Server-Seal: s\r\n"
                           "Content-Length: 4\r\n\r\nbody";

// The executor beside one upstream without keys, on a thread of the test.
class PlainHost
{
public:
    PlainHost(FiberThread &hostThread, const Address &upstream)
        : thread(hostThread)
        , executor(this->thread, this->monitor, this->metrics,
                   {.service = "certdesk", .upstream = upstream},
                   {.hasKeys = [] { return false; },
                    .tablesEnd = [] { return std::uint64_t(0); },
                    .takesRequest = [](Time) { return true; },
                    .newsAge =
                            [this](std::uint64_t, Time) {
                                return this->looks-- > 0 ? this->age.load() : Duration(1s);
                            },
                    .sendQuestion =
                            [this](std::uint64_t connection) {
                                ++this->questions;
                                if (this->answersQuestions) {
                                    this->age = this->answerAge.load();
                                    this->executor.noteNews(connection);
                                }
                            },
                    .isSilent = [this](std::uint64_t) { return this->questions >= 3; }})
    {
        constexpr std::uint32_t slots = 8;
        const Time now = readBootTime();
        this->monitor.applyHeartbeat({.instance = {.id = "i-1", .bornMs = 1},
                                      .service = "certdesk",
                                      .address = upstream,
                                      .slots = slots,
                                      .sequence = 1},
                                     now);
        this->executor.noteUpstream(now);
    }

    // Takes a request from another process.
    std::future<ExecuteResult> receive(Duration delayed, bool isIdempotent = true)
    {
        wire::Execute execute;
        execute.set_id("x");
        execute.set_service("certdesk");
        execute.set_method("GET");
        execute.set_target("/x");
        execute.set_idempotent(isIdempotent);
        execute.set_remaining_ms(2000);
        const auto promise = std::make_shared<std::promise<ExecuteResult>>();
        const ExecuteCaller caller{.connection = 1, .call = ++this->calls};
        this->thread.spawn([this, execute, promise, caller, delayed] {
            this->executor.announce(caller, readBootTime(), delayed);
            promise->set_value(this->executor.run(execute, "", caller));
        });
        return promise->get_future();
    }

    // Lets time pass as in a process, until the result is there.
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
    std::atomic<bool> answersQuestions{true};
    std::atomic<Duration> answerAge{Duration{}}; // of news in an answer
    std::atomic<int> looks{1'000'000};           // at the age; then it is 1 s
    std::atomic<int> questions{0};
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
    PlainHost host;
};

} // namespace

TEST_CASE("what is known of callers is as old as the newest message", "[caller_news]")
{
    CallerNews news;
    CHECK(news.age(1, 10s) == Duration::zero()); // can't be asked
    news.note(1, 9s);
    CHECK(news.age(1, 10s) == 1s);
    news.note(1, 8s); // came later, was sent before
    CHECK(news.age(1, 10s) == 1s);
    news.noteClosed(1);
    CHECK(news.age(1, 10s) == Duration::zero());
}

TEST_CASE("a connection is silent when it answers none of several questions", "[caller_news]")
{
    CallerNews news;
    news.note(1, 9s);
    news.advance(10s);
    CHECK(news.takeQuestion(1, 10s));
    CHECK_FALSE(news.takeQuestion(1, 10s + 50ms)); // asked just now
    CHECK(news.takeQuestion(1, 10s + 100ms));
    CHECK_FALSE(news.isSilent(1));
    CHECK(news.takeQuestion(1, 10s + 200ms));
    CHECK(news.isSilent(1));
    news.advance(14s); // this process was paused: answers may lie unread
    CHECK_FALSE(news.isSilent(1));
    CHECK_FALSE(news.takeQuestion(2, 14s));
}

// Guards against GONE: where a request is late on its way, so are the cancellation behind it and
// all other news.
TEST_CASE("a request that was held up on its way like all other messages is not sent",
          "[caller_news]")
{
    Fixture fixture;
    PlainHost &host = fixture.host;
    host.age = 800ms;
    host.answerAge = 800ms;
    const ExecuteResult late = host.finish(host.receive(800ms));
    CHECK(late.reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(late.reason == "caller-silent");
    CHECK(fixture.upstream.requests == 0);
    host.age = Duration::zero(); // messages behind it came in time, as after the loss of a packet
    CHECK(host.finish(host.receive(800ms)).reply.outcome() == wire::EXECUTE_ANSWERED);
}

// Guards against GONE: the news of the caller grew old while a connection to the upstream was made.
TEST_CASE("a request is looked at once more when it is sent", "[caller_news]")
{
    Fixture fixture;
    PlainHost &host = fixture.host;
    host.looks = 3; // before and after it has a slot, and before the connection
    CHECK(host.finish(host.receive({})).reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(fixture.upstream.requests == 0);
}

// Guards against GONE: the connection falls silent while a request waits, and with it the
// cancellation.
TEST_CASE("a request is sent only with recent news of its caller", "[caller_news]")
{
    Fixture fixture;
    PlainHost &host = fixture.host;
    host.age = 400ms;
    CHECK(host.finish(host.receive({})).reply.outcome() == wire::EXECUTE_ANSWERED);
    CHECK(host.questions == 1);
    host.age = 400ms;
    host.answersQuestions = false;
    const ExecuteResult unknown = host.finish(host.receive({}));
    CHECK(unknown.reply.outcome() == wire::EXECUTE_REFUSED);
    CHECK(unknown.reason == "caller-silent");
    CHECK(fixture.upstream.requests == 1);
}

// Guards against work for the callers of a host that is gone without a word. Work that must not run
// twice goes on: breaking it off would leave its effect unknown.
TEST_CASE("work whose caller's host has fallen silent ends if it may be repeated", "[caller_news]")
{
    constexpr Duration work = 800ms;
    Fixture fixture(work);
    PlainHost &host = fixture.host;
    host.answersQuestions = false;
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

} // namespace kumquat
