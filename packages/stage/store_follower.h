// Reads records of the store into the cluster view: first the newest ones, then new ones as they
// are appended.
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
    Duration maxWait = 20s; // of one read that waits for new records; the store allows 30 s
    // Maximum wait of a relay for a new key table. The answer also shows that there is none, which
    // owners need every few seconds (TableFreshness).
    Duration relayTableWait = 2s;
    // Maximum wait of a relay for a new configuration. A read without an answer is abandoned
    // `relayWaitMargin` after this time, so that a new configuration is on all hosts within 4 s
    // after an outage, as the users require.
    Duration relayMaxWait = 1200ms;
    Duration relayWaitMargin = 1200ms; // time for the answer; then a read counts as hanging
    Duration retryDelay = 250ms;
    Duration idleReadInterval = 30s;    // between two reads of a topic for which the relays wait
    Duration idleCheckInterval = 200ms; // between two checks whether a read is due
    // State must be current again within 2 s of the store's return.
    Duration maxRetryDelay = 1s;
};

struct FollowerHooks
{
    // Called when a topic has been read up to an end that was queried after the start of the
    // process.
    std::function<void(platform::StoreTopic topic)> freshRead;
    // Called when all records that the store had at `asOf` have been read, with its era then.
    std::function<void(platform::StoreTopic topic, Time asOf, std::uint32_t era)> caughtUp;
    // Says whether this process is a relay, which waits for records on behalf of other hosts.
    std::function<bool()> isRelay;
    std::function<Duration()> pause; // returns the time to wait after new records
};

// Used on the thread's fibers.
class StoreFollower
{
public:
    StoreFollower(FiberThread &followerThread, platform::StoreClient &storeClient,
                  ClusterView &clusterView, FollowerHooks followerHooks,
                  FollowerSettings followerSettings = {});

    void start();

    // Reads at once, because the store has records that this process has not read. A read that
    // already waits is cancelled, as its connection may be dead. Repeated calls within
    // `maxRetryDelay` are ignored.
    void requestRead(platform::StoreTopic topic);

    // Cancels a read that waits longer than a relay may wait, if this process has become a relay
    // meanwhile. Call every 200 ms.
    void advance(Time now);

    // Says whether the last read of any topic failed.
    bool isStoreLost() const;

    // Returns how long ago the store last answered a read of the topic, or how long ago this
    // process started if the store has not answered one yet.
    Duration answerAge(platform::StoreTopic topic, Time now) const;

private:
    struct Cursor
    {
        std::uint64_t end = 0;
        bool hasFailed = false;
        bool isReadRequested = false;
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
    Duration relayWait(platform::StoreTopic topic) const;
    absl::Status readMore(platform::StoreTopic topic, Duration wait);
    void pauseAfterRecords(platform::StoreTopic topic);
    void apply(platform::StoreTopic topic, const platform::StoreBatch &batch);
    void applyOperatorRecord(const platform::StoreRecord &record);
    void applyNewestEvacuations(const platform::StoreBatch &newest);
    void applyConfiguration(const platform::StoreRecord &record);
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
