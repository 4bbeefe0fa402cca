#include "base/errors.h"
#include "net/fibers.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/mesh.h"

#include <catch2/catch.hpp>

#include <future>

using namespace kumquat;

namespace {

constexpr std::uint16_t firstPort = 18'471;
const Address serverAddress{"127.0.0.1", firstPort};
const Address meshAddress{"127.0.0.1", firstPort + 1};

HttpServerHooks echoHooks()
{
    return {.handle =
                    [](const HttpRequest &request) {
                        HttpResponse response;
                        response.body = request.method + " " + request.target + " " + request.body;
                        return response;
                    },
            .refuse =
                    [](ErrorKind kind) {
                        HttpResponse response;
                        response.status = errorInfo(kind).httpStatus;
                        return response;
                    },
            .isClosing = nullptr};
}

template <typename Function>
auto runInFiber(FiberThread &thread, Function function)
{
    // Shared, because set_value may still run when get() returns.
    auto promise = std::make_shared<std::promise<decltype(function())>>();
    auto result = promise->get_future();
    thread.spawn([promise, &function] { promise->set_value(function()); });
    return result.get();
}

} // namespace

TEST_CASE("client and server exchange whole messages and refuse oversized ones")
{
    FiberThread thread("test");
    const auto server = HttpServer::create(thread, {}, echoHooks());
    REQUIRE(server->listen(serverAddress, true).ok());
    thread.start();
    HttpClient client(thread.io(), serverAddress, {});
    const auto call = [&](HttpRequest request) {
        return runInFiber(thread, [&] { return client.call(request, 2s); });
    };
    REQUIRE(call({"POST", "/a", {}, "hello"})->body == "POST /a hello");
    REQUIRE(call({"GET", "/b", {}, ""})->body == "GET /b ");
    REQUIRE(call({"POST", "/", {}, std::string(2 << 20, 'x')})->status == 413);
    REQUIRE(call({"GET", "/", {{"Big", std::string(20 << 10, 'x')}}, ""})->status == 431);
}

TEST_CASE("a call without a listener is known not to have run")
{
    FiberThread thread("test");
    thread.start();
    HttpClient client(thread.io(), Address{"127.0.0.1", firstPort + 9}, {});
    const auto answer = runInFiber(thread, [&] { return client.call({}, 1s); });
    REQUIRE(errorKindOf(answer.status()) == ErrorKind::UpstreamUnreachable);
}

TEST_CASE("the mesh delivers messages in both directions of use")
{
    FiberThread thread("test");
    std::promise<std::string> received;
    Mesh mesh(thread, {.receive = [&](wire::MeshMessage &&message) {
                  received.set_value(message.from());
              }});
    REQUIRE(mesh.bind(meshAddress).ok());
    thread.start();
    wire::MeshMessage message;
    message.set_from("node-1");
    message.mutable_renew()->set_session(1);
    mesh.send(meshAddress.toString(), message);
    auto future = received.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    REQUIRE(future.get() == "node-1");
    thread.stop();
}

// Guards against a lost wake-up between a thread that answers and a fiber that waits.
TEST_CASE("an event wakes its fiber from another thread or times out")
{
    FiberThread thread("test");
    thread.start();
    FiberEvent event(thread.io());
    REQUIRE_FALSE(runInFiber(thread, [&] { return event.waitFor(1ms); }));
    event.notify();
    REQUIRE(runInFiber(thread, [&] { return event.waitFor(5s); }));
}

// Guards against a scheduler that polls: it took more than a core of an idle process.
TEST_CASE("an idle thread uses almost no processor time")
{
    FiberThread thread("test");
    thread.start();
    thread.spawn([&thread] {
        for (int round = 0; round < 20; ++round) {
            sleepFor(thread.io(), 10ms);
        }
    });
    const auto processorTime = [] {
        timespec value{};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
        return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
    };
    const Duration before = processorTime();
    std::this_thread::sleep_for(1s);
    REQUIRE(processorTime() - before < 13ms); // 1.3 % of a core
}
