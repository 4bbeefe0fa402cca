// Requests a second of spans of keys, and where to cut a span for a wanted rate.
//
//   KeyWeights weights(load.rates(now), 0.01);
//   double rate = weights.of(span);
//   ShardKey last = weights.endFromLow(span, rate / 2);
#pragma once

#include "keyspace/key_table.h"

#include <algorithm>
#include <vector>

namespace kumquat {

// One look at the load; `extraPerKey` is added to each key, for keys without requests.
class KeyWeights
{
public:
    KeyWeights(const std::vector<double> &rates, double extraPerKey)
        : sums(rates.size() + 1, 0.0)
    {
        for (std::size_t key = 0; key < rates.size(); ++key) {
            this->sums[key + 1] = this->sums[key] + rates[key] + extraPerKey;
        }
    }

    double of(const KeySpan &span) const
    {
        return this->sums[span.last + 1] - this->sums[span.first];
    }

    // Returns the last key of the shortest part of the span from its low end with this weight.
    ShardKey endFromLow(const KeySpan &span, double wanted) const
    {
        const auto first = this->sums.begin() + span.first;
        const auto last = this->sums.begin() + span.last + 1;
        const auto found = std::lower_bound(first + 1, last, *first + wanted);
        return static_cast<ShardKey>(found - this->sums.begin() - 1);
    }

    // Returns the first key of the shortest part of the span up to its high end.
    ShardKey beginFromHigh(const KeySpan &span, double wanted) const
    {
        const auto first = this->sums.begin() + span.first;
        const auto last = this->sums.begin() + span.last + 1;
        const auto found = std::upper_bound(first, last, *last - wanted);
        return static_cast<ShardKey>(std::max(first + 1, found) - this->sums.begin() - 1);
    }

private:
    std::vector<double> sums; // of all keys below
};

} // namespace kumquat
