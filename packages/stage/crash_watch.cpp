#include "stage/crash_watch.h"

#include "base/hash.h"

#include <algorithm>

namespace kumquat {

void CrashWatch::noteLost(const UpstreamInstance &instance, Fingerprint fingerprint, Time now)
{
    if (this->losses.size() >= this->settings.maxLosses) {
        this->losses.pop_front();
    }
    this->losses.push_back({.instance = instance, .fingerprint = fingerprint, .at = now});
    this->probeAt = now + this->settings.probeDelay;
}

bool CrashWatch::takeProbe(Time now)
{
    if (!this->probeAt || now < *this->probeAt) {
        return false;
    }
    this->probeAt.reset();
    return true;
}

std::optional<CrashReport> CrashWatch::takeCrash(const UpstreamInstance &current, bool isRefusing,
                                                 Time now)
{
    std::erase_if(this->losses,
                  [&](const Loss &loss) { return now - loss.at >= this->settings.lossLifetime; });
    const auto hasCrashed = [&](const Loss &loss) {
        return isRefusing || loss.instance != current;
    };
    const auto newest = std::find_if(this->losses.rbegin(), this->losses.rend(), hasCrashed);
    if (newest == this->losses.rend() || now - newest->at < this->settings.settleTime) {
        return std::nullopt;
    }
    const UpstreamInstance instance = newest->instance;
    const Time earliest = newest->at - this->settings.sameCrash;
    CrashReport crash{
            .crashId = hashBytes(instance.id, static_cast<std::uint64_t>(instance.startedMs))};
    for (const Loss &loss : this->losses) {
        if (loss.instance == instance && loss.at >= earliest) {
            crash.fingerprints.push_back(loss.fingerprint);
        }
    }
    std::erase_if(this->losses, [&](const Loss &loss) { return loss.instance == instance; });
    return crash;
}

} // namespace kumquat
