// Requests at an upstream that breaks the protocol: what the process says of them must be true.
#include "net/tests/faulty_server.h"
#include "stage/executor.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

namespace kumquat {
namespace {

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n";

// The executor beside one upstream that has no keys.
class TestHost
{
public:
    explicit TestHost(const Address &upstream)
        : thread("executor-test")
        , executor(this->thread, this->monitor, this->metrics,
                   {.service = "certdesk", .upstream = upstream},
                   {.access = [](ShardKey, Time) { return KeyAccess::Held; },
                    .hasKeys = [] { return false; },
                    .tablesEnd = [] { return std::uint64_t(0); },
                    .takesRequest = [](Time) { return true; }})
    {
        constexpr std::uint32_t slots = 9;
        const Time now = readBootTime();
        this->monitor.applyHeartbeat({.life = {.id = "i-1", .bornMs = 1},
                                      .service = "certdesk",
                                      .address = upstream,
                                      .slots = slots,
                                      .sequence = 1},
                                     now);
        this->executor.noteUpstream(now);
        this->thread.start();
    }

    ~TestHost() { this->thread.stop(); }

    ExecuteResult run(const std::string &id)
    {
        wire::Execute execute;
        execute.set_id(id);
        execute.set_service("certdesk");
        execute.set_method("POST");
        execute.set_target("/x");
        execute.set_remaining_ms(500);
        const auto promise = std::make_shared<std::promise<ExecuteResult>>();
        this->thread.spawn([this, execute, promise] {
            promise->set_value(this->executor.run(execute, "", {.call = ++this->calls}));
        });
        return promise->get_future().get();
    }

private:
    FiberThread thread;
    UpstreamMonitor monitor{{}};
    Metrics metrics;
    Executor executor;
    std::uint64_t calls = 0;
};

std::string answerTo(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: s\r\n"
           + "Content-Length: 4\r\n\r\nbody";
}

} // namespace

// Guards against a refusal that the upstream writes once more: a later request, which runs, would
// be reported as not run and sent to a second upstream.
TEST_CASE("a refusal that is written again is not taken for a later request's", "[executor]")
{
    // The refusal names the request that is sent again, another one, or none.
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

} // namespace kumquat
