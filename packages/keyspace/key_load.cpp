#include "keyspace/key_load.h"

#include "base/durations.h"

#include <cmath>

namespace kumquat {
namespace {

// Number of decay times for which new weights grow before all weights are scaled down. The weights
// stay within the range and precision of floats for that long.
constexpr double maxGrowth = 20;

} // namespace

KeyLoad::KeyLoad(Duration loadDecayTime)
    : decayTime(loadDecayTime)
    , weights(lastShardKey + 1, 0.0F)
{}

void KeyLoad::add(ShardKey key, std::uint32_t count, Time now)
{
    if (key > lastShardKey) {
        return;
    }
    if (toSeconds(now - this->baseTime) > maxGrowth * toSeconds(this->decayTime)) {
        this->rebase(now);
    }
    const double growth = std::exp(toSeconds(now - this->baseTime) / toSeconds(this->decayTime));
    this->weights[key] += static_cast<float>(count * growth);
}

void KeyLoad::rebase(Time now)
{
    const auto factor = static_cast<float>(
            std::exp(-toSeconds(now - this->baseTime) / toSeconds(this->decayTime)));
    for (float &weight : this->weights) {
        weight *= factor;
    }
    this->baseTime = now;
}

std::vector<double> KeyLoad::rates(Time now) const
{
    const double scale = std::exp(-toSeconds(now - this->baseTime) / toSeconds(this->decayTime))
                         / toSeconds(this->decayTime);
    std::vector<double> result(this->weights.begin(), this->weights.end());
    for (double &rate : result) {
        rate *= scale;
    }
    return result;
}

} // namespace kumquat
