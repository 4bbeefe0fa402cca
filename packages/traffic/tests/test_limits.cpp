#include "traffic/limits_model.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

constexpr std::uint64_t seed = 20261204;

} // namespace

// Guards the targets of the design page, section 8, at twice the capacity.
TEST_CASE("the limiter keeps useful work and deadlines at twice the capacity")
{
    const LimitFigures figures =
            runLimitModel(LimitScenario::TwiceLoad, LimitVariant::Limiter, seed);
    CHECK(figures.usefulShare >= 0.95);
    CHECK(figures.lateShare <= 0.01); // p99 of admitted requests within their deadline
    CHECK(figures.recoverySeconds >= 0);
    CHECK(figures.recoverySeconds <= 5);
}

// Guards against a disturbance that goes on after its cause, against unsafe retries, and against a
// breaker that has become useful without being noticed: it is left out because it gained nothing.
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
