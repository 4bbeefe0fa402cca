// The choice of a session's peers (section 3.3).
#pragma once

#include "ownership/cluster_state.h"

#include <set>
#include <string>
#include <vector>

namespace kumquat {

struct PeerQuery
{
    std::string node; // that needs peers
    std::string region;
    std::string dataCentre;
    std::vector<std::string> keep; // current peers that answer
    std::set<std::string> avoid;   // nodes that do not answer
};

// Returns up to 3 nodes with a session that goes on: one of the same data centre, then two of
// other data centres of the same region, each in its own if there are two; then any of the region.
// Current peers come first, then nodes that are peers of the fewest sessions. Only if the region
// has no other node at all, nodes of other regions are taken.
std::vector<std::string> choosePeers(const ClusterState &state, const PeerQuery &query);

} // namespace kumquat
