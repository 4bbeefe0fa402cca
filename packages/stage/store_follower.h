// Reads the store into the view, from the newest records on and then as they are appended.
//
//   StoreFollower follower(thread, store, view, hooks);
//   follower.start();
#pragma once

#include "net/fibers.h"
#include "platform/store.h"
#include "stage/cluster_view.h"

#include <array>
#include <functional>
#include <memory>

namespace kumquat {

struct FollowerSettings
{
    Duration wait = 20s;       // of one read for new records; the store allows 30 s
    Duration pause = 150ms;    // after new records, so that those of many hosts come together
    Duration retryAfter = 250ms;
    Duration longestRetry = 1s; // entries must be back within 2 s of the store's return
};

// Used on the thread's fibers.
class StoreFollower
{
public:
    // `freshRead`: a topic was read up to an end that was asked for after the start.
    StoreFollower(FiberThread &followerThread, platform::StoreClient &storeClient,
                  ClusterView &clusterView,
                  std::function<void(platform::StoreTopic topic)> freshReadHook,
                  FollowerSettings followerSettings = {});

    void start();

    // Asks anew where another process has read more: the connection may have gone silent.
    void nudge(platform::StoreTopic topic);

    // Says whether the last call of the topic failed.
    bool isLost(platform::StoreTopic topic) const;

private:
    struct Cursor
    {
        std::uint64_t end = 0;
        bool isLost = false;
        std::shared_ptr<HttpCallHandle> waiting;
        Time nudgedAt{};
    };

    Cursor &cursor(platform::StoreTopic topic);
    void follow(platform::StoreTopic topic);
    void readNewest(platform::StoreTopic topic);
    absl::Status readMore(platform::StoreTopic topic);
    void apply(platform::StoreTopic topic, const platform::StoreBatch &batch);
    void noteResult(platform::StoreTopic topic, const absl::Status &status);

    FiberThread &thread;
    platform::StoreClient &store;
    ClusterView &view;
    std::function<void(platform::StoreTopic topic)> freshRead;
    FollowerSettings settings;
    std::array<Cursor, 3> cursors; // by topic
};

} // namespace kumquat
