#include "keyspace/evacuation_moves.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr std::uint32_t keyCount = lastShardKey + 1;

// Keys of one move. A session gets all its new keys in a few pieces, because each range needs its
// own renewal calls.
constexpr std::uint32_t minPiece = keyCount / 64;
constexpr std::uint32_t piecesPerReceiver = 8;
constexpr std::uint32_t returnsPerSession = 4; // moves until a session has its share of the keys

std::uint32_t pieceSize(std::size_t receivers)
{
    return std::max(minPiece,
                    keyCount / (piecesPerReceiver * static_cast<std::uint32_t>(receivers)));
}

// Returns the number of ranges that have left an evacuated session and are still in handover.
std::size_t countInProgress(const EvacuationInput &input)
{
    const auto isInProgress = [&input](const KeyRange &range) {
        return !input.evacuated.contains(range.owner) && !input.isSettled(range)
               && std::any_of(range.predecessors.begin(), range.predecessors.end(),
                              [&input](const FormerOwner &former) {
                                  return input.evacuated.contains(former.session);
                              });
    };
    return static_cast<std::size_t>(
            std::count_if(input.table.ranges.begin(), input.table.ranges.end(), isInProgress));
}

} // namespace

std::vector<KeyMove> chooseEvacuationMoves(EvacuationInput input)
{
    std::vector<KeyMove> moves;
    if (input.receivers.empty() || input.evacuated.empty()) {
        return moves;
    }
    const std::size_t inProgress = countInProgress(input);
    // At least one, so that handovers that hang do not stop the evacuation.
    const std::size_t limit =
            std::max<std::size_t>(1, input.maxMoves - std::min(inProgress, input.maxMoves));
    const std::uint32_t piece = pieceSize(input.receivers.size());
    for (const KeyRange &range : input.table.ranges) {
        if (!input.evacuated.contains(range.owner) || !input.isSettled(range)) {
            continue;
        }
        for (ShardKey first = range.span.first; first <= range.span.last; first += piece) {
            if (moves.size() >= limit) {
                return moves;
            }
            const KeySpan span{.first = first,
                               .last = std::min(first + piece - 1, range.span.last)};
            const auto receiver = std::min_element(input.receivers.begin(), input.receivers.end(),
                                                   [](const Candidate &a, const Candidate &b) {
                                                       return a.utilisation() < b.utilisation();
                                                   });
            receiver->rate += input.weights.rateOf(span);
            moves.push_back({.span = span, .receiver = receiver->session});
        }
    }
    return moves;
}

std::uint32_t returningKeys(std::size_t sessions)
{
    return std::max(1U, keyCount / (returnsPerSession * static_cast<std::uint32_t>(sessions)));
}

} // namespace kumquat
