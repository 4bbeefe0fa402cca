// Writes records of other hosts into the store again that it lost when it came back from an older
// copy, and that their own hosts have not written again: their processes may be gone, and a leave
// that was acknowledged must bind the next ones. Relays do this.
//
//   HostWriteBack writeBack(thread, store, view, metrics);
//   writeBack.advance(isRelay, now); // every 200 ms
#pragma once

#include "net/fibers.h"
#include "platform/store.h"
#include "stage/cluster_view.h"
#include "stage/metrics.h"

#include <cstdint>
#include <map>
#include <string>

namespace kumquat {

// Used on the thread's fibers.
class HostWriteBack
{
public:
    HostWriteBack(FiberThread &writerThread, platform::StoreClient &storeClient,
                  ClusterView &clusterView, Metrics &stageMetrics);

    void advance(bool isRelay, Time now);

private:
    const KnownHost *nextDue() const;
    void write(const KnownHost &host);

    FiberThread &thread;
    platform::StoreClient &store;
    ClusterView &view;
    Metrics &metrics;
    std::uint32_t era = 0;             // to which `writes` belongs
    std::map<std::string, int> writes; // by node, in this era
    bool isWriting = false;
    Time notBefore{}; // of the next write
};

} // namespace kumquat
