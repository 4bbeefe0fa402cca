// Requests per second of spans of keys, and where to split a span to get a target rate.
//
//   KeyWeights weights(load.rates(now), 0.01);
//   double rate = weights.rateOf(span);
//   ShardKey last = weights.lastKeyFromLow(span, rate / 2);
#pragma once

#include "keyspace/key_table.h"

#include <algorithm>
#include <vector>

namespace kumquat {

// A snapshot of the load. `extraPerKey` is added to the rate of each key, so that keys without
// requests count too.
class KeyWeights
{
public:
    KeyWeights(const std::vector<double> &rates, double extraPerKey)
        : prefixSums(rates.size() + 1, 0.0)
    {
        for (std::size_t key = 0; key < rates.size(); ++key) {
            this->prefixSums[key + 1] = this->prefixSums[key] + rates[key] + extraPerKey;
        }
    }

    double rateOf(const KeySpan &span) const
    {
        return this->prefixSums[span.last + 1] - this->prefixSums[span.first];
    }

    // Returns the last key of the shortest part at the low end of the span that has at least the
    // target rate.
    ShardKey lastKeyFromLow(const KeySpan &span, double targetRate) const
    {
        const auto first = this->prefixSums.begin() + span.first;
        const auto last = this->prefixSums.begin() + span.last + 1;
        const auto found = std::lower_bound(first + 1, last, *first + targetRate);
        return static_cast<ShardKey>(found - this->prefixSums.begin() - 1);
    }

    // Returns the first key of the shortest part at the high end of the span that has at least the
    // target rate.
    ShardKey firstKeyFromHigh(const KeySpan &span, double targetRate) const
    {
        const auto first = this->prefixSums.begin() + span.first;
        const auto last = this->prefixSums.begin() + span.last + 1;
        const auto found = std::upper_bound(first, last, *last - targetRate);
        return static_cast<ShardKey>(std::max(first + 1, found) - this->prefixSums.begin() - 1);
    }

private:
    std::vector<double> prefixSums; // entry k: rate of all keys below k
};

} // namespace kumquat
