// Exceptions in handlers and fibers: they cost the work that has caused them, not the process.
#include "base/containment.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>
#include <thread>

namespace kumquat {
namespace {

// A server of an ended test case still listens on its port.
const Address firstAddress{"127.0.0.1", 18'475};
const Address secondAddress{"127.0.0.1", 18'476};

template <typename Function>
auto runInFiber(FiberThread &thread, Function function)
{
    std::promise<decltype(function())> promise;
    thread.spawn([&] { promise.set_value(function()); });
    return promise.get_future().get();
}

} // namespace

// Guards against a process that ends because one fiber, handler or timer has thrown an exception.
TEST_CASE("an exception ends only its fiber or handler", "[containment]")
{
    const std::uint64_t before = containedCount();
    FiberThread thread("test");
    thread.start();
    thread.spawn([] { throw std::runtime_error("fiber"); });
    thread.post([] { throw std::runtime_error("handler"); });
    CHECK(runInFiber(thread, [] { return 7; }) == 7);
    CHECK(containedCount() == before + 2);
}

// The other requests of the connection and those of other connections are served.
TEST_CASE("an exception in a handler of requests costs this request", "[containment]")
{
    FiberThread thread("test");
    const auto handle = [](const HttpRequest &request) {
        if (request.target == "/throw") {
            throw std::runtime_error("handler");
        }
        return HttpResponse{.body = request.target};
    };
    const auto refuse = [](ErrorKind kind) {
        return HttpResponse{.status = errorInfo(kind).httpStatus};
    };
    const auto server = HttpServer::create(thread, {}, {.handle = handle, .refuse = refuse});
    REQUIRE(server->listen(firstAddress, true).ok());
    thread.start();
    HttpClient client(thread.io(), firstAddress, {});
    const auto statusOf = [&](const std::string &target) {
        return runInFiber(thread, [&] {
            const auto answer = client.call({.method = "GET", .target = target}, 2s);
            return answer.ok() ? answer->status : 0;
        });
    };
    CHECK(statusOf("/a") == 200);
    CHECK(statusOf("/throw") == 500);
    CHECK(statusOf("/a") == 200);
    CHECK(server->unansweredCount() == 0);
}

// Guards against connections that count as busy after their request could not be made.
TEST_CASE("an exception while a request is made costs this call", "[containment]")
{
    FiberThread thread("test");
    const auto server =
            HttpServer::create(thread, {},
                               {.handle = [](const HttpRequest &) { return HttpResponse{}; },
                                .refuse = [](ErrorKind) { return HttpResponse{.status = 400}; }});
    REQUIRE(server->listen(secondAddress, true).ok());
    thread.start();
    HttpClient client(thread.io(), secondAddress, {});
    const bool isDone = runInFiber(thread, [&] {
        return runContained(ContainedWork::Order, [&] {
            const auto make = []() -> std::optional<HttpRequest> {
                throw std::runtime_error("cannot be encoded");
            };
            client.callWith(make, {.limit = 1s}).status().IgnoreError();
        });
    });
    CHECK_FALSE(isDone);
    const int status = runInFiber(thread, [&] {
        client.cancelAll(); // touches the busy connections
        return client.call({.method = "GET", .target = "/"}, 2s)->status;
    });
    CHECK(status == 200);
}

} // namespace kumquat
