// Tests with real processes of bytes that are not text, in what upstreams and callers send.
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <functional>
#include <thread>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t keyStep = 509;
constexpr std::uint32_t lastKey = 65'535;

bool waitUntil(const std::function<bool()> &isTrue, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!isTrue()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

int countHeldKeys(PlatformCluster &cluster, const PlatformHost &host)
{
    int count = 0;
    for (std::uint32_t key = 0; key <= lastKey; key += keyStep) {
        count += cluster.ledger.holds(host.endpoint->instance(), key) ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against a spoiled byte in the answer to a release that ends the process beside the
// upstream which gets the keys next, with all requests of its callers.
TEST_CASE("a spoiled handover ends no process and stops no move of keys", "[platform]")
{
    PlatformCluster cluster({.hosts = 2,
                             .handover = "5c0e7a21\xe9"
                                         "94b36f8"});
    PlatformHost &from = cluster.host(0);
    PlatformHost &to = cluster.host(1);
    const int keys = lastKey / keyStep + 1;
    REQUIRE(waitUntil(
            [&] { return countHeldKeys(cluster, from) > 0 && countHeldKeys(cluster, to) > 0; },
            20s));
    // To the next instance at the same host.
    for (int attempt = 0; attempt < 3; ++attempt) {
        CAPTURE(attempt);
        cluster.endUpstream(from);
        cluster.startUpstream(from);
        CHECK(waitUntil([&] { return countHeldKeys(cluster, from) > keys / 4; }, 15s));
        CHECK(from.process->isRunning());
    }
    // Back to the host that released them, after the next owner has got them only in the table.
    cluster.endUpstream(to);
    REQUIRE(waitUntil([&] { return countHeldKeys(cluster, from) == keys; }, 15s));
    cluster.startUpstream(to);
    std::this_thread::sleep_for(3s); // the keys begin to move
    cluster.endUpstream(to);
    CHECK(waitUntil([&] { return countHeldKeys(cluster, from) == keys; }, 15s));
    CHECK(from.process->isRunning());
    cluster.startUpstream(to);
    REQUIRE(waitUntil([&] { return countHeldKeys(cluster, to) > keys / 4; }, 15s));
    // To another host. A handover is kept for 10 s, so its move must end before that.
    cluster.endUpstream(to);
    REQUIRE(waitUntil([&] { return countHeldKeys(cluster, from) == keys; }, 15s));
    cluster.startUpstream(to);
    CHECK(waitUntil([&] { return countHeldKeys(cluster, to) > keys / 4; }, 8s));
    CHECK(from.process->isRunning());
    CHECK(to.process->isRunning());
    for (const std::string &line : cluster.ledger.conflicts()) {
        FAIL_CHECK(line);
    }
}

// Guards against a header value, path or answer that is not UTF-8 and closes the connection between
// two processes: its own request and those of other callers were answered with 502.
TEST_CASE("bytes that are not text pass through two processes", "[platform]")
{
    const std::string note = "S\xe9n\xe9gal";
    PlatformCluster cluster({.hosts = 2, .workTime = 300ms, .answerFields = {{"X-Note", note}}});
    REQUIRE(waitUntil(
            [&] {
                return countHeldKeys(cluster, cluster.host(0)) > 0
                       && countHeldKeys(cluster, cluster.host(1)) > 0;
            },
            20s));
    std::uint32_t key = 0; // held at the other host
    while (key < lastKey && !cluster.ledger.holds(cluster.host(1).endpoint->instance(), key)) {
        key += keyStep;
    }
    const auto send = [&](const std::string &id, const std::string &value,
                          const std::string &path) {
        HttpClient client(cluster.host(0).callers);
        HttpRequest request = makeCallerRequest({.id = id, .key = key, .isIdempotent = true});
        request.target += path;
        request.fields.push_back({"X-Note", value});
        return client.send(request, 3s);
    };
    REQUIRE(waitUntil([&] { return send("warm-up", "text", "").answer.status == 200; }, 10s));
    std::vector<std::thread> threads;
    std::vector<HttpExchange> plain(4);
    for (std::size_t i = 0; i < plain.size(); ++i) { // at work while the odd ones pass
        threads.emplace_back([&, i] { plain[i] = send("p" + std::to_string(i), "text", ""); });
    }
    std::this_thread::sleep_for(100ms);
    const HttpExchange inField = send("odd-1", note, "");
    const HttpExchange inPath = send("odd-2", "text", note);
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(inField.answer.status == 200);
    CHECK(inPath.answer.status == 200);
    CHECK(findField(inField.answer.fields, "X-Note") == note);
    for (const HttpExchange &exchange : plain) {
        CHECK(exchange.answer.status == 200);
    }
}
