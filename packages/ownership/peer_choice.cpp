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
    std::size_t peerSessions = 0; // number of sessions that the node is a peer of
    std::uint64_t tieBreaker = 0; // breaks ties, differently for each node
};

std::map<std::string, std::size_t> countPeerSessions(const ClusterState &state)
{
    std::map<std::string, std::size_t> peerSessions;
    for (const Session *session : state.members()) {
        for (const std::string &peer : session->peerSets.back().peers) {
            ++peerSessions[peer];
        }
    }
    return peerSessions;
}

// Returns the candidates of the region, or of all regions, best first.
std::vector<Candidate> findCandidates(const ClusterState &state, const PeerQuery &query,
                                      bool anyRegion)
{
    const auto peerSessions = countPeerSessions(state);
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
        const auto known = peerSessions.find(session->node);
        candidate.peerSessions = known == peerSessions.end() ? 0 : known->second;
        candidate.tieBreaker = hashPair(hashBytes(query.node), session->id);
        candidates.push_back(candidate);
    }
    const auto better = [](const Candidate &left, const Candidate &right) {
        return std::make_tuple(!left.kept, left.peerSessions, left.tieBreaker)
               < std::make_tuple(!right.kept, right.peerSessions, right.tieBreaker);
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
    std::set<std::string> chosenCentres; // data centres of the chosen peers
    const auto choose = [&](auto isAllowed, std::size_t limit) {
        for (const Candidate &candidate : candidates) {
            const Session &session = *candidate.session;
            const bool isChosen =
                    std::find(chosen.begin(), chosen.end(), session.node) != chosen.end();
            if (chosen.size() < limit && !isChosen && isAllowed(session)) {
                chosen.push_back(session.node);
                chosenCentres.insert(session.dataCentre);
            }
        }
    };
    const auto isNear = [&](const Session &session) {
        return session.dataCentre == query.dataCentre;
    };
    const auto isNewCentre = [&](const Session &session) {
        return !isNear(session) && chosenCentres.count(session.dataCentre) == 0;
    };
    const auto isFar = [&](const Session &session) { return !isNear(session); };
    choose(isNear, 1);
    choose(isNewCentre, peerLimit);
    // In a region with two data centres, the third peer would be in the same data centre as another
    // peer. If both are in the other data centre, its loss would stop the session. A third peer in
    // another region avoids this. The majority stays in this region, so a network partition between
    // regions does not stop the session either.
    if (chosen.size() == peerLimit - 1) {
        candidates = findCandidates(state, query, true);
        choose([&](const Session &session) { return session.region != query.region; }, peerLimit);
        candidates = findCandidates(state, query, false);
    }
    choose(isFar, peerLimit);
    choose([](const Session &) { return true; }, peerLimit);
    return chosen;
}

} // namespace kumquat
