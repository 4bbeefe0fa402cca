// The choice of a session's peers (section 3.3 of docs/design.md).
#pragma once

#include "ownership/cluster_state.h"

#include <set>
#include <string>
#include <vector>

namespace kumquat {

struct PeerQuery
{
    std::string node; // node that needs peers
    std::string region;
    std::string dataCentre;
    std::vector<std::string> keep; // current peers that answer
    std::set<std::string> avoid;   // nodes that do not answer
};

// Returns up to 3 nodes with an active session. It chooses one node of the same data centre, then
// two of other data centres of the same region (of two different ones if possible), then any node
// of the region. Current peers are preferred, then nodes that are peers of the fewest sessions. If
// this gives exactly two peers in the region's data centres, the third peer may be in another
// region. Otherwise nodes of other regions are chosen only if the region has no other node.
std::vector<std::string> choosePeers(const ClusterState &state, const PeerQuery &query);

} // namespace kumquat
