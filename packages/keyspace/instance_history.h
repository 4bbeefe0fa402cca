// Orders the instances of an upstream. The order is that in which the processes of its host have
// seen them: their start times by the wall clock give none, because that clock may be set between
// two starts.
//
//   history.noteReplaced(current);
//   if (history.hasReplaced(beat.instance)) { ... a late heartbeat ... }
#pragma once

#include "keyspace/key_table.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace kumquat {

// Not thread-safe.
class InstanceHistory
{
public:
    // Heartbeats arrive seconds late at most, and an upstream restarts only a few times within
    // that time.
    static constexpr std::size_t maxInstances = 4;

    InstanceHistory() = default;

    // `replacedBefore`: as recorded by an earlier process on the host, the last one replaced last.
    explicit InstanceHistory(std::vector<UpstreamInstance> replacedBefore)
        : instances(std::move(replacedBefore))
    {}

    // Records that a later instance has taken the place of this one. The oldest one is forgotten
    // beyond `maxInstances`.
    void noteReplaced(const UpstreamInstance &instance);

    // Records that an instance is the current one, also if it counted as replaced.
    void noteCurrent(const UpstreamInstance &instance);

    // Returns whether a later instance is known to have taken the place of this one.
    bool hasReplaced(const UpstreamInstance &instance) const;

    const std::vector<UpstreamInstance> &replaced() const { return this->instances; }

    bool operator==(const InstanceHistory &) const = default;

private:
    std::vector<UpstreamInstance> instances; // the last one replaced last
};

} // namespace kumquat
