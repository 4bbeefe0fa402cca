#include "keyspace/span_distribution.h"

#include <algorithm>
#include <cstddef>

namespace kumquat {
namespace {

// The sessions to fill are the first `count` ones, up to the common utilisation.
struct FillLevel
{
    std::size_t count = 0;
    double utilisation = 0;
};

// `sessions`: by ascending utilisation, at least one. `total`: requests per second to distribute.
FillLevel findFillLevel(const std::vector<Candidate> &sessions, double total)
{
    FillLevel level;
    double rates = 0;
    double capacities = 0;
    while (level.count < sessions.size()) {
        rates += sessions[level.count].rate;
        capacities += sessions[level.count].capacity;
        ++level.count;
        level.utilisation = (rates + total) / capacities;
        if (level.count == sessions.size()
            || level.utilisation <= sessions[level.count].utilisation()) {
            break;
        }
    }
    return level;
}

} // namespace

std::vector<KeyMove> distributeSpans(const std::vector<KeySpan> &spans,
                                     std::vector<Candidate> sessions, const KeyWeights &weights)
{
    std::vector<KeyMove> moves;
    if (sessions.empty() || spans.empty()) {
        return moves;
    }
    double total = 0;
    for (const KeySpan &span : spans) {
        total += weights.rateOf(span);
    }
    std::sort(sessions.begin(), sessions.end(), [](const Candidate &a, const Candidate &b) {
        return a.utilisation() < b.utilisation();
    });
    const FillLevel level = findFillLevel(sessions, total);
    std::size_t receiver = 0;
    double quota = level.utilisation * sessions[0].capacity - sessions[0].rate;
    const double minWeight =
            total / (4.0 * static_cast<double>(level.count)); // less is not worth a separate range
    for (auto span = spans.rbegin(); span != spans.rend(); ++span) {
        KeySpan rest = *span;
        bool isWhole = false;
        while (!isWhole) {
            while (receiver + 1 < level.count && quota < minWeight) {
                ++receiver;
                quota += level.utilisation * sessions[receiver].capacity - sessions[receiver].rate;
            }
            const double weight = weights.rateOf(rest);
            const bool isLast = receiver + 1 >= level.count;
            const ShardKey cutKey = weights.firstKeyFromHigh(rest, quota);
            isWhole = isLast || weight <= quota + minWeight || cutKey <= rest.first;
            const KeySpan part = isWhole ? rest : KeySpan{.first = cutKey, .last = rest.last};
            if (!isWhole) {
                rest.last = cutKey - 1;
            }
            quota -= weights.rateOf(part);
            moves.push_back({.span = part, .receiver = sessions[receiver].session});
        }
    }
    return moves;
}

} // namespace kumquat
