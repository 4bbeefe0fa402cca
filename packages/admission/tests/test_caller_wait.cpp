// Tests how the time for which a caller has been waiting is estimated.
#include "admission/caller_wait.h"

#include <catch2/catch.hpp>

#include <random>

using namespace kumquat;

namespace {

constexpr std::uint64_t route = 1;

} // namespace

// Load: half of the requests are refused, and their callers come back after 200 ms to 2.2 s. Guards
// against requests that are late already and displace those that can be in time.
TEST_CASE("callers that come back have been waiting", "[caller_wait]")
{
    CallerWait wait;
    std::mt19937 random(7);
    std::uniform_int_distribution<int> late(200, 2200);
    for (int i = 0; i < 2000; ++i) {
        const bool isBack = i % 2 == 1;
        const Duration waited = std::chrono::milliseconds(isBack ? late(random) : 0);
        const Duration estimate = wait.note(route, 5000ms - waited);
        if (i >= 100) {
            CHECK(estimate >= waited - 20ms);
            CHECK(estimate <= waited + 20ms);
        }
    }
}

// Guards against callers with less time that count as callers who come back, and so would always
// be served after those with more time.
TEST_CASE("a route may have callers with different times", "[caller_wait]")
{
    CallerWait wait;
    for (int i = 0; i < 1000; ++i) {
        const Duration remaining = i % 4 == 0 ? 2000ms : 5000ms;
        CHECK(wait.note(route, remaining) <= (i < 100 ? 3000ms : 0ms));
    }
    CHECK(wait.note(route, 1500ms) == 500ms);
    CHECK(wait.note(route, 4000ms) == 1000ms);
}

// Guards against an estimate from times that callers no longer have, and from too few requests.
TEST_CASE("the estimate follows the callers", "[caller_wait]")
{
    CallerWait wait;
    for (int i = 0; i < 10; ++i) {
        CHECK(wait.note(route, i % 2 == 0 ? 5000ms : 1000ms) == 0ms);
    }
    for (int i = 0; i < 3000; ++i) {
        wait.note(route, 1000ms);
    }
    CHECK(wait.note(route, 1000ms) == 0ms);
    CHECK(wait.note(route, 3000ms) == 0ms); // 5 s is no usual time any more
}
