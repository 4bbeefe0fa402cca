// Finds out which requests ran at the upstream when it crashed. A crash shows itself in steps: the
// connections break, later nothing listens on the address, or a later instance reports. A broken
// connection alone is no crash, as an upstream also resets connections when it is full.
//
//   watch.noteLost(instance, fingerprint, now);
//   if (watch.takeProbe(now)) { ... connect to the upstream to see whether it still listens ... }
//   std::optional<CrashReport> crash = watch.takeCrash(monitor.instance(), isRefusing, now);
#pragma once

#include "keyspace/key_table.h"
#include "traffic/crash_guard.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace kumquat {

struct CrashWatchSettings
{
    Duration sameCrash = 500ms;  // requests lost within this time were lost in the same crash
    Duration settleTime = 50ms;  // after a loss, for the other requests of the same crash
    Duration probeDelay = 100ms; // from a loss to the look whether the upstream still listens
    Duration lossLifetime = 10s; // a later crash is another one; upstreams restart within seconds
    std::size_t maxLosses = 256; // beyond it the oldest is forgotten
};

// Not thread-safe.
class CrashWatch
{
public:
    explicit CrashWatch(CrashWatchSettings watchSettings = {})
        : settings(watchSettings)
    {}

    // Notes a request that was sent to an instance and whose connection broke before the answer.
    void noteLost(const UpstreamInstance &instance, Fingerprint fingerprint, Time now);

    // Returns true once after a loss: the caller looks whether the upstream still listens.
    bool takeProbe(Time now);

    // Returns a crash that has become known, with the requests lost in it. `current`: the instance
    // that reports now; `isRefusing`: nothing listens on its address.
    std::optional<CrashReport> takeCrash(const UpstreamInstance &current, bool isRefusing,
                                         Time now);

private:
    struct Loss
    {
        UpstreamInstance instance;
        Fingerprint fingerprint = 0;
        Time at{};
    };

    CrashWatchSettings settings;
    std::deque<Loss> losses; // oldest first
    std::optional<Time> probeAt;
};

} // namespace kumquat
