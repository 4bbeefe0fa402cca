#include "placement/policy.h"

#include <catch2/catch.hpp>

using namespace kumquat;

TEST_CASE("settings out of range are refused")
{
    PlacementSettings settings;
    settings.weightUnavailable = 1.5;
    REQUIRE_FALSE(PlacementPolicy::create(settings, 1, "dakar").ok());
}
