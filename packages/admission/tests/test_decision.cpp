// Tests the decision whether an upstream may run a request now.
#include "admission/decision.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

const std::vector<std::string> twoRegions{"north", "south"};

WorkFacts makeWork()
{
    return {.allowedRegions = &twoRegions, .remaining = 1s};
}

} // namespace

// Guards against requests that reach an upstream outside the regions of their route.
TEST_CASE("a request runs only in the regions of its route", "[decision]")
{
    CHECK(decide(makeWork(), {.region = "north"}).action == AdmissionAction::Run);
    const Verdict elsewhere = decide(makeWork(), {.region = "west"});
    CHECK(elsewhere.action == AdmissionAction::Elsewhere);
    CHECK(elsewhere.reason == AdmissionReason::RegionNotAllowed);
    CHECK(elsewhere.retryAfter > Duration::zero());
    CHECK(decide({.remaining = 1s}, {.region = "west"}).action == AdmissionAction::Run);
}

// Guards against a search for another host that cannot own the key.
TEST_CASE("a request with a key is refused where its owner may not run it", "[decision]")
{
    WorkFacts work = makeWork();
    work.hasKey = true;
    CHECK(decide(work, {.region = "west"}).action == AdmissionAction::Refuse);
    CHECK(decide(work, {.region = "north", .isEvacuated = true}).reason
          == AdmissionReason::Evacuated);
    CHECK(decide(work, {.region = "north", .coldWait = 60ms}).action == AdmissionAction::Refuse);
}

// Guards against a retry time that ends before a stronger reason does.
TEST_CASE("what no time cures is named before what time cures", "[decision]")
{
    const Verdict verdict =
            decide(makeWork(), {.region = "north", .isEvacuated = true, .coldWait = 10ms});
    CHECK(verdict.reason == AdmissionReason::Evacuated);
    const Verdict calls =
            decide(makeWork(), {.region = "north", .coldWait = 10ms, .callsWait = 200ms});
    CHECK(calls.action == AdmissionAction::Refuse);
    CHECK(calls.reason == AdmissionReason::CallsRefused);
    CHECK(calls.retryAfter == 200ms);
}

// Load: large answers fill a link on which short internal reads also travel.
TEST_CASE("a full link refuses large answers before it refuses calls", "[decision]")
{
    const AdmissionFigures figures{.region = "north", .linkWait = 300ms};
    WorkFacts work = makeWork();
    CHECK(decide(work, figures).reason == AdmissionReason::LinkFull);
    work.isCall = true;
    CHECK(decide(work, figures).action == AdmissionAction::Run);
    work.remaining = 200ms;
    CHECK(decide(work, figures).reason == AdmissionReason::LinkFull);
}
