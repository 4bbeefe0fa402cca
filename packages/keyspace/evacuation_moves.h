// Chooses which keys leave the sessions of evacuated data centres next, and how many keys such a
// session gets at once when it comes back. Requests for these keys are refused until they have
// moved, but a move of all keys at once would slow them for longer: each of them needs a handover
// and meets a cold cache.
//
//   for (const KeyMove &move : chooseEvacuationMoves(input)) { ... }
#pragma once

#include "keyspace/key_table.h"
#include "keyspace/key_weights.h"
#include "keyspace/session_load.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace kumquat {

struct EvacuationInput
{
    const KeyTable &table;
    const KeyWeights &weights;
    const std::set<std::uint64_t> &evacuated; // sessions whose keys are to leave
    std::vector<Candidate> receivers;         // sessions that may get keys
    std::size_t maxMoves = 0;                 // in progress at a time
    // Says whether no former owner may hold the range any more.
    std::function<bool(const KeyRange &range)> isSettled;
};

// Returns nothing if there are no receivers: the keys stay.
std::vector<KeyMove> chooseEvacuationMoves(EvacuationInput input);

// Returns how many keys a session whose data centre was evacuated may get in one move, if
// `sessions` may get keys.
std::uint32_t returningKeys(std::size_t sessions);

} // namespace kumquat
