// Tests that a process answers at the timeout of a route although it has been held up. The times
// count from when the caller sends a request.
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>

using namespace kumquat;

namespace {

constexpr std::chrono::milliseconds routeTimeout{1500};
constexpr Duration allowedDelay = 500ms; // of an answer after the timeout of its route
constexpr Duration heldUpTime = 1s;
constexpr std::chrono::milliseconds workTime{5000}; // longer than the timeout
constexpr std::chrono::milliseconds callerTimeout{4500};
constexpr int statusTimeout = 504;
constexpr int maxRounds = 400;
constexpr Duration roundPause = 50ms;

struct Held
{
    int status = 0; // 0: no answer
    Duration elapsed{};
};

Held sendOne(const Address &address, const std::string &id)
{
    HttpClient client(address);
    const Time started = readBootTime();
    const HttpExchange exchange = client.send(
            makeCallerRequest({.id = id, .key = std::nullopt, .timeout = callerTimeout}),
            callerTimeout);
    const int status = exchange.result == ExchangeResult::Answered ? exchange.answer.status : 0;
    return {.status = status, .elapsed = readBootTime() - started};
}

} // namespace

// Guards against a request that lies unread while its process is held up and then gets the whole
// timeout of its route once more.
TEST_CASE("a request that lay unread is answered at its route's timeout", "[platform][held]")
{
    PlatformCluster cluster({.hosts = 1,
                             .workTime = workTime,
                             .hasKeys = false,
                             .timeoutMs = static_cast<int>(routeTimeout.count())});
    PlatformHost &host = cluster.host(0);
    int status = 0;
    for (int round = 0; round < maxRounds && status != statusTimeout; ++round) {
        status = sendOne(host.callers, "early-" + std::to_string(round)).status;
        std::this_thread::sleep_for(roundPause);
    }
    REQUIRE(status == statusTimeout); // the host serves requests
    host.process->signal(SIGSTOP);
    auto held = std::async(std::launch::async, [&] { return sendOne(host.callers, "held"); });
    std::this_thread::sleep_for(heldUpTime);
    host.process->signal(SIGCONT);
    const Held result = held.get();
    CHECK(result.status == statusTimeout);
    CHECK(result.elapsed < routeTimeout + allowedDelay);
}
