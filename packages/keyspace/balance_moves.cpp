#include "keyspace/balance_moves.h"

#include <algorithm>
#include <cmath>

namespace kumquat {
namespace {

std::size_t rangeCountOf(const KeyTable &table, std::uint64_t session)
{
    return static_cast<std::size_t>(
            std::count_if(table.ranges.begin(), table.ranges.end(),
                          [session](const KeyRange &range) { return range.owner == session; }));
}

// Picks a part at the low or high end of a settled range whose rate is close to the target rate and
// not far above it. Parts with fewer keys score higher.
std::optional<KeySpan> pickSpan(const BalanceInput &input, std::uint64_t donor, double targetRate)
{
    constexpr double maxRatio = 1.3; // of the target rate; more would only invert the imbalance
    constexpr double minRatio = 0.25;
    std::optional<KeySpan> best;
    double bestScore = 0;
    for (const KeyRange &range : input.table.ranges) {
        if (range.owner != donor || range.fence == input.newEnd || !input.isSettled(range)) {
            continue;
        }
        const KeySpan low{.first = range.span.first,
                          .last = input.weights.lastKeyFromLow(range.span, targetRate)};
        const KeySpan high{.first = input.weights.firstKeyFromHigh(range.span, targetRate),
                           .last = range.span.last};
        for (const KeySpan &span : {low, high}) {
            double rate = input.weights.rateOf(span);
            KeySpan part = span;
            if (rate > targetRate * maxRatio && part.size() > 1) {
                // The key that exceeds the target rate is a hot key: leave it out.
                part = span == low ? KeySpan{.first = span.first, .last = span.last - 1}
                                   : KeySpan{.first = span.first + 1, .last = span.last};
                rate = input.weights.rateOf(part);
            }
            const double deviation = std::abs(rate - targetRate) / targetRate;
            const double keys = static_cast<double>(part.size()) / (lastShardKey + 1);
            const double score = 1 - deviation - keys;
            if (rate <= targetRate * maxRatio && rate >= targetRate * minRatio
                && (!best || score > bestScore)) {
                best = part;
                bestScore = score;
            }
        }
    }
    return best;
}

// Moves load until donor and receiver are equally utilised, but at most until the receiver reaches
// the common utilisation.
std::optional<KeyMove> moveLoad(const BalanceInput &input, const Candidate &donor,
                                const Candidate &receiver, double commonUtilisation)
{
    const double equal = (donor.utilisation() - receiver.utilisation())
                         / (1 / donor.capacity + 1 / receiver.capacity);
    const double targetRate =
            std::min({equal, commonUtilisation * receiver.capacity - receiver.rate,
                      input.maxRateOf(receiver.session)});
    if (rangeCountOf(input.table, receiver.session) >= input.settings.maxRangesPerSession) {
        return std::nullopt;
    }
    const std::optional<KeySpan> span = pickSpan(input, donor.session, targetRate);
    return span ? std::optional(KeyMove{.span = *span, .receiver = receiver.session})
                : std::nullopt;
}

} // namespace

std::optional<KeyMove> chooseBalanceMove(const BalanceInput &input)
{
    if (input.sessions.size() < 2) {
        return std::nullopt;
    }
    const double commonUtilisation = commonUtilisationOf(input.sessions);
    std::vector<Candidate> fullestFirst = input.sessions;
    std::sort(fullestFirst.begin(), fullestFirst.end(), [](const Candidate &a, const Candidate &b) {
        return a.utilisation() > b.utilisation();
    });
    const Candidate &emptiest = fullestFirst.back();
    const bool isFill = emptiest.utilisation() < commonUtilisation * input.settings.fillThreshold;
    // A key that gets more than one session can serve cannot be divided. Its session stays the
    // fullest one, so the others have their turn as well.
    for (const Candidate &donor : fullestFirst) {
        const bool isFullest = donor.session == fullestFirst.front().session;
        const bool isUneven =
                donor.utilisation() >= input.settings.minPeakUtilisation
                && donor.utilisation() - emptiest.utilisation() >= input.settings.minUtilisationGap;
        const bool isOverloaded =
                isUneven && donor.utilisation() >= 1
                && donor.utilisation() >= commonUtilisation * input.settings.overloadRatio;
        const bool mayMove = (isFill && isFullest && input.earlierMoves < input.maxFillMoves)
                             || isOverloaded
                             || (isUneven && input.earlierMoves < input.settings.maxMovesPerPlan);
        if (!mayMove) {
            return std::nullopt;
        }
        if (const auto move = moveLoad(input, donor, emptiest, commonUtilisation)) {
            return move;
        }
    }
    return std::nullopt;
}

} // namespace kumquat
