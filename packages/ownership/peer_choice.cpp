#include "ownership/peer_choice.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace kumquat {

namespace {

struct Candidate
{
    const Session *session = nullptr;
    bool kept = false;
    std::size_t roles = 0; // number of sessions that the node is a peer of
    std::uint64_t mix = 0; // breaks ties, differently for each node
};

std::map<std::string, std::size_t> countRoles(const ClusterState &state)
{
    std::map<std::string, std::size_t> roles;
    for (const Session *session : state.members()) {
        for (const std::string &peer : session->peerSets.back().peers) {
            ++roles[peer];
        }
    }
    return roles;
}

// Returns the candidates of the region, or of all regions, best first.
std::vector<Candidate> findCandidates(const ClusterState &state, const PeerQuery &query,
                                      bool anyRegion)
{
    const auto roles = countRoles(state);
    std::vector<Candidate> candidates;
    for (const Session *session : state.members()) {
        if (session->node == query.node || query.avoid.count(session->node) != 0
            || (!anyRegion && session->region != query.region)) {
            continue;
        }
        Candidate candidate;
        candidate.session = session;
        candidate.kept =
                std::find(query.keep.begin(), query.keep.end(), session->node) != query.keep.end();
        const auto known = roles.find(session->node);
        candidate.roles = known == roles.end() ? 0 : known->second;
        candidate.mix = hashPair(hashBytes(query.node), session->id);
        candidates.push_back(candidate);
    }
    const auto better = [](const Candidate &left, const Candidate &right) {
        return std::make_tuple(!left.kept, left.roles, left.mix)
               < std::make_tuple(!right.kept, right.roles, right.mix);
    };
    std::sort(candidates.begin(), candidates.end(), better);
    return candidates;
}

} // namespace

std::vector<std::string> choosePeers(const ClusterState &state, const PeerQuery &query)
{
    std::vector<Candidate> candidates = findCandidates(state, query, false);
    if (candidates.empty()) {
        candidates = findCandidates(state, query, true);
    }
    std::vector<std::string> chosen;
    std::set<std::string> otherCentres; // data centres of the chosen peers
    const auto take = [&](auto allows, std::size_t limit) {
        for (const Candidate &candidate : candidates) {
            const Session &session = *candidate.session;
            const bool taken =
                    std::find(chosen.begin(), chosen.end(), session.node) != chosen.end();
            if (chosen.size() < limit && !taken && allows(session)) {
                chosen.push_back(session.node);
                otherCentres.insert(session.dataCentre);
            }
        }
    };
    const auto isNear = [&](const Session &session) {
        return session.dataCentre == query.dataCentre;
    };
    const auto isNewCentre = [&](const Session &session) {
        return !isNear(session) && otherCentres.count(session.dataCentre) == 0;
    };
    const auto isFar = [&](const Session &session) { return !isNear(session); };
    take(isNear, 1);
    take(isNewCentre, peerLimit);
    // In a region with two data centres, the third peer would be in the same data centre as another
    // peer. If both are in the other data centre, its loss would stop the session. A third peer in
    // another region avoids this. The majority stays in this region, so a network partition between
    // regions does not stop the session either.
    if (chosen.size() == peerLimit - 1) {
        candidates = findCandidates(state, query, true);
        take([&](const Session &session) { return session.region != query.region; }, peerLimit);
        candidates = findCandidates(state, query, false);
    }
    take(isFar, peerLimit);
    take([](const Session &) { return true; }, peerLimit);
    return chosen;
}

} // namespace kumquat
