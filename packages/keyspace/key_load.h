// Request rate of each of the 65,536 keys, as an exponential moving average.
//
//   KeyLoad load;
//   load.add(key, count, now);
//   load.rates(now)[key]; // requests per second
#pragma once

#include "base/time.h"
#include "keyspace/key_table.h"

#include <vector>

namespace kumquat {

// Not thread-safe.
class KeyLoad
{
public:
    // `loadDecayTime`: time in which the weight of a request falls to 1/e.
    explicit KeyLoad(Duration loadDecayTime);

    void add(ShardKey key, std::uint32_t count, Time now);

    // Returns the requests per second of each key.
    std::vector<double> rates(Time now) const;

private:
    void rebase(Time now);

    Duration decayTime;
    Time baseTime{}; // new weights grow from this time on, so that the older ones need no update
    std::vector<float> weights; // indexed by key
};

} // namespace kumquat
