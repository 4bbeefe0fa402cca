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
