// Chooses which keys move next to balance the load of the sessions of one service.
//
//   if (const std::optional<KeyMove> move = chooseBalanceMove(input)) { ... }
#pragma once

#include "keyspace/key_table.h"
#include "keyspace/key_weights.h"
#include "keyspace/range_planner.h"
#include "keyspace/session_load.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace kumquat {

struct BalanceInput
{
    const KeyTable &table;
    const KeyWeights &weights;
    const PlannerSettings &settings;
    std::uint64_t newEnd = 0;        // of the table being planned; its moves stay as they are
    std::vector<Candidate> sessions; // sessions that may get keys
    std::size_t earlierMoves = 0;    // to balance the load, in the table being planned
    std::size_t maxFillMoves = 0;    // moves per plan to sessions far below the others
    // Says whether no former owner may hold the range any more.
    std::function<bool(const KeyRange &range)> isSettled;
    // Returns the load in requests per second that the session may get in one move.
    std::function<double(std::uint64_t session)> maxRateOf;
};

// Returns nothing if the load is balanced, or if no part of a range is suitable to move.
std::optional<KeyMove> chooseBalanceMove(const BalanceInput &input);

} // namespace kumquat
