// Chooses the voters for the lease of a session.
#pragma once

#include "keyspace/range_planner.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquat {

// Picks voters that rarely fail together: each in another data centre if possible, with those of
// the owner's region first.
std::vector<std::string> pickVoters(const KeySession &session, const std::vector<HostInfo> &hosts,
                                    std::size_t count);

} // namespace kumquat
