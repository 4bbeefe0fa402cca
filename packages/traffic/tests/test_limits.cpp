#include "traffic/limiter.h"
#include "traffic/limits_model.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

constexpr std::uint64_t seed = 20261204;

} // namespace

// Guards the targets of section 8 of the design page, with a load of twice the capacity.
TEST_CASE("the limiter keeps useful work and deadlines at twice the capacity")
{
    const LimitFigures figures =
            runLimitModel(LimitScenario::TwiceLoad, LimitVariant::Limiter, seed);
    CHECK(figures.usefulShare >= 0.95);
    CHECK(figures.lateShare <= 0.01); // p99 of admitted requests within their deadline
    CHECK(figures.recoverySeconds >= 0);
    CHECK(figures.recoverySeconds <= 5);
}

// Guards against a disturbance that outlasts its cause, against unsafe retries, and against a
// breaker that improves the results unnoticed: processes have none because it gained nothing.
TEST_CASE("the endpoint is normal again within 5 s, without unsafe retries or gain by a breaker")
{
    for (const auto &scenario : limitScenarioNames.entries) {
        double plainShare = 0;
        for (const LimitVariant variant : {LimitVariant::Limiter, LimitVariant::LimiterBreaker}) {
            INFO(scenario.name << " " << limitVariantNames.nameOf(variant));
            const LimitFigures figures = runLimitModel(scenario.value, variant, seed);
            CHECK(figures.recoverySeconds >= 0);
            CHECK(figures.recoverySeconds <= 5);
            CHECK(figures.unsafeRetries == 0);
            if (variant == LimitVariant::Limiter) {
                plainShare = figures.usefulShare;
            }
            CHECK(figures.usefulShare <= plainShare);
        }
    }
}

// Guards against a model in which limits make no difference.
TEST_CASE("without limits the model collapses at twice the capacity")
{
    const LimitFigures figures = runLimitModel(LimitScenario::TwiceLoad, LimitVariant::None, seed);
    CHECK(figures.usefulShare < 0.5);
    CHECK(figures.unsafeRetries > 0);
}

// Guards against a limit that a few lost or late answers lower to one request: the other slots of
// the upstream then stay empty while requests are refused.
TEST_CASE("the limit never falls below its share of the announced slots")
{
    EndpointLimiter limiter(9, 9, false, 0s, {.minLimitShare = 0.5});
    for (RequestNumber request = 1; request <= 60; ++request) {
        const Time now = std::chrono::milliseconds(request);
        REQUIRE(limiter.admit(request, now + 1s, now).action == AdmitAction::Dispatch);
        limiter.finish(request, request % 2 == 0 ? CallEnd::Lost : CallEnd::Refused, now);
    }
    CHECK(limiter.limit() >= 4.5);
}

// Guards the order under overload: the most urgent request is served first, whenever it arrives.
TEST_CASE("waiting requests are served by rank, then in order of arrival")
{
    EndpointLimiter limiter(1, 1, false, 0s, {.maxWaiting = 3, .maxQueueTime = 1s});
    REQUIRE(limiter.admit(1, 10s, 0s).action == AdmitAction::Dispatch);
    CHECK(limiter.admit(2, 10s, 0s, {.rank = 2}).action == AdmitAction::Wait);
    CHECK(limiter.admit(3, 10s, 0s, {.rank = 1}).action == AdmitAction::Wait);
    CHECK(limiter.admit(4, 10s, 0s, {.rank = 2}).action == AdmitAction::Wait);

    // The queue is full: an urgent request replaces the last one of the least urgent rank.
    CHECK(limiter.admit(5, 10s, 0s, {.rank = 0}).action == AdmitAction::Wait);
    const LimiterOutput full = limiter.takeOutput();
    REQUIRE(full.dropped.size() == 1);
    CHECK(full.dropped[0].request == 4);
    CHECK(limiter.admit(6, 10s, 0s, {.rank = 2}).action == AdmitAction::Refuse);

    std::vector<RequestNumber> order;
    RequestNumber running = 1;
    for (int i = 0; i < 3; ++i) {
        limiter.finish(running, CallEnd::Answered, 1ms * (i + 1));
        const LimiterOutput output = limiter.takeOutput();
        REQUIRE(output.dispatch.size() == 1);
        running = output.dispatch[0];
        order.push_back(running);
    }
    CHECK(order == std::vector<RequestNumber>{5, 3, 2});
}
