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
    Duration maxWait = 20s; // of one read for new records; the store allows 30 s
    // The same for the configuration at hosts that pass it on. A read that went unanswered is given
    // up soon after, so that news are everywhere 4 s after an outage, the users' bound.
    Duration relayMaxWait = 1200ms;
    Duration relayWaitMargin = 1200ms; // beyond it, for the answer; then a read counts as hanging
    Duration retryDelay = 250ms;
    Duration idleReadInterval = 30s;    // between two reads of a topic that others wait for
    Duration idleCheckInterval = 200ms; // between two looks whether to wait again
    Duration maxRetryDelay = 1s;        // entries must be back within 2 s of the store's return
};

struct FollowerHooks
{
    // A topic was read up to an end that was asked for after the start.
    std::function<void(platform::StoreTopic topic)> freshRead;
    // This process waits for records in place of others.
    std::function<bool()> isRelay;
    std::function<Duration()> pause; // after new records
};

// Used on the thread's fibers.
class StoreFollower
{
public:
    StoreFollower(FiberThread &followerThread, platform::StoreClient &storeClient,
                  ClusterView &clusterView, FollowerHooks followerHooks,
                  FollowerSettings followerSettings = {});

    void start();

    // Reads at once, as there is more than this process has read; the connection of a waiting read
    // may have gone silent.
    void requestRead(platform::StoreTopic topic);

    // Ends a read of the configuration that waits longer than this process may wait now that it
    // passes records on; call every 200 ms.
    void advance(Time now);

    // Says whether the last call of any topic failed.
    bool isStoreLost() const;

    // Returns how long ago the store last answered a read of the topic, or how long ago this
    // process started.
    Duration answerAge(platform::StoreTopic topic, Time now) const;

private:
    struct Cursor
    {
        std::uint64_t end = 0;
        bool hasFailed = false;
        bool isReadRequested = false; // a read was asked for
        Time readAt{};
        Time answeredAt = readBootTime();
        std::shared_ptr<HttpCallHandle> waiting;
        Time readRequestedAt{};
    };

    Cursor &cursor(platform::StoreTopic topic);
    void follow(platform::StoreTopic topic);
    void readNewest(platform::StoreTopic topic);
    bool isReadDue(platform::StoreTopic topic);
    Duration waitTime(platform::StoreTopic topic);
    absl::Status readMore(platform::StoreTopic topic, Duration wait);
    void pauseAfterRecords(platform::StoreTopic topic);
    void apply(platform::StoreTopic topic, const platform::StoreBatch &batch);
    void noteResult(platform::StoreTopic topic, const absl::Status &status);
    void checkOtherTopics(platform::StoreTopic failed);

    FiberThread &thread;
    platform::StoreClient &store;
    ClusterView &view;
    FollowerHooks hooks;
    FollowerSettings settings;
    std::array<Cursor, 3> cursors; // by topic
};

} // namespace kumquat
