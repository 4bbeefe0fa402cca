#include "keyspace/key_load.h"

#include "base/durations.h"

#include <cmath>

namespace kumquat {
namespace {

// Growth of new weights before all are scaled down; floats keep their precision over it.
constexpr double longestGrowth = 20;

} // namespace

KeyLoad::KeyLoad(Duration memoryTime)
    : memory(memoryTime)
    , weights(lastShardKey + 1, 0.0F)
{}

void KeyLoad::add(ShardKey key, std::uint32_t count, Time now)
{
    if (key > lastShardKey) {
        return;
    }
    if (toSeconds(now - this->base) > longestGrowth * toSeconds(this->memory)) {
        this->rebase(now);
    }
    const double growth = std::exp(toSeconds(now - this->base) / toSeconds(this->memory));
    this->weights[key] += static_cast<float>(count * growth);
}

void KeyLoad::rebase(Time now)
{
    const auto factor =
            static_cast<float>(std::exp(-toSeconds(now - this->base) / toSeconds(this->memory)));
    for (float &weight : this->weights) {
        weight *= factor;
    }
    this->base = now;
}

std::vector<double> KeyLoad::rates(Time now) const
{
    const double scale = std::exp(-toSeconds(now - this->base) / toSeconds(this->memory))
                         / toSeconds(this->memory);
    std::vector<double> result(this->weights.begin(), this->weights.end());
    for (double &rate : result) {
        rate *= scale;
    }
    return result;
}

} // namespace kumquat
