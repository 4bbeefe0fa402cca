// Chooses the voters for the lease of a session.
#pragma once

#include "keyspace/range_planner.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquat {

struct VoterInput
{
    const std::vector<HostInfo> &hosts;
    std::size_t count = 0; // voters per session
    bool mayEnd = false;   // silent sessions may be ended, and lost voters left without replacement
};

// Updates the voters of an active session: forgets the former ones once the host of the session
// uses the present ones, and replaces voters that are lost. `usesVoters`: the host has reported
// that its grants depend on the voters of the present table. `isNew`: the session is not in that
// table. Returns whether the change must be written now; otherwise the next table may carry it.
bool updateVoters(KeySession &session, bool usesVoters, bool isNew, const VoterInput &input);

} // namespace kumquat
