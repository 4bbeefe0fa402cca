// Request rates of single keys, as a moving average over all 65,536 keys.
//
//   KeyLoad load;
//   load.add(key, count, now);
//   load.rates(now)[key]; // requests a second
#pragma once

#include "base/time.h"
#include "keyspace/key_table.h"

#include <vector>

namespace kumquat {

// Not thread-safe.
class KeyLoad
{
public:
    // `memory`: time in which the weight of a request falls to 1/e.
    explicit KeyLoad(Duration memoryTime);

    void add(ShardKey key, std::uint32_t count, Time now);

    // Returns requests a second of each key.
    std::vector<double> rates(Time now) const;

private:
    void rebase(Time now);

    Duration memory;
    Time base{};                // weights grow from here on instead of all others falling
    std::vector<float> weights; // by key
};

} // namespace kumquat
