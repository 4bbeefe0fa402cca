// Tests with real processes on hosts whose wall clock is set while they run.
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <functional>
#include <thread>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t keyStep = 509; // finds each range of keys at least once
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

bool holdsAnyKey(PlatformCluster &cluster, const PlatformHost &host)
{
    for (std::uint32_t key = 0; key <= lastKey; key += keyStep) {
        if (cluster.ledger.holds(host.endpoint->instance(), key)) {
            return true;
        }
    }
    return false;
}

bool holdsAllKeys(PlatformCluster &cluster, const PlatformHost &host)
{
    for (std::uint32_t key = 0; key <= lastKey; key += keyStep) {
        if (!cluster.ledger.holds(host.endpoint->instance(), key)) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against a restarted process that denies the grants of the one before: the wall clock was
// set back after the upstream had started, so that the upstream seemed to have started later than
// the process.
TEST_CASE("a process that restarts after its clock was set back answers for earlier grants",
          "[platform]")
{
    constexpr auto takeoverLimit = 15s;
    PlatformCluster cluster({.hosts = 2});
    PlatformHost &stepped = cluster.host(0);
    PlatformHost &other = cluster.host(1);
    REQUIRE(waitUntil([&] { return holdsAnyKey(cluster, stepped) && holdsAnyKey(cluster, other); },
                      20s));
    for (int attempt = 0; attempt < 3; ++attempt) {
        CAPTURE(attempt);
        cluster.endUpstream(other);
        REQUIRE(waitUntil([&] { return holdsAllKeys(cluster, stepped); }, takeoverLimit));
        cluster.endUpstream(stepped);
        cluster.startUpstream(stepped, 30s);
        REQUIRE(waitUntil([&] { return holdsAllKeys(cluster, stepped); }, takeoverLimit));
        cluster.startUpstream(other);
        std::this_thread::sleep_for(200ms); // the keys begin to move
        stepped.process->kill();
        std::this_thread::sleep_for(200ms);
        cluster.startProcess(stepped);
        REQUIRE(waitUntil([&] { return holdsAnyKey(cluster, other); }, takeoverLimit));
    }
    for (const std::string &line : cluster.ledger.conflicts()) {
        FAIL_CHECK(line);
    }
}
