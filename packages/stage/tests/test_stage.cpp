// Parts of the process on the platform that need no network.
#include "stage/stop_plan.h"

#include <catch2/catch.hpp>

namespace kumquat {

// Found by the first score of the second site: callers whose connection was open kept sending until
// the process exited 5.4 s after SIGTERM, and the last requests were cut off without an answer.
TEST_CASE("a stopping process takes no request that it cannot answer", "[stop_plan]")
{
    const StopPlan plan({.limit = 6s}, 10s, 1s);
    CHECK(plan.takesRequests(14300ms));
    CHECK_FALSE(plan.takesRequests(14500ms));
    CHECK_FALSE(plan.mayExit(14500ms, 1));
    CHECK(plan.mayExit(14500ms, 0));
    CHECK(plan.mayExit(15500ms, 1));
}

TEST_CASE("long timeouts do not turn callers away before the platform has noticed", "[stop_plan]")
{
    const StopPlan plan({.limit = 6s}, 10s, 5s);
    CHECK(plan.takesRequests(12400ms));
    CHECK_FALSE(plan.takesRequests(12500ms));
    CHECK_FALSE(plan.mayExit(12400ms, 0));
}

} // namespace kumquat
