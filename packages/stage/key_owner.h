// Holds keys for the upstream beside this process: renews the session's lease with its voters,
// collects proofs that former owners have stopped, and sends grants and releases.
//
// Sections: hooks, orders, KeyOwner.
#pragma once

#include "keyspace/lease.h"
#include "keyspace/range_holder.h"
#include "net/http_client.h"
#include "stage/cluster_view.h"
#include "stage/link.h"
#include "stage/upstream_monitor.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace kumquat {

// ---- Hooks ----

struct KeyOwnerHooks
{
    std::function<void(const KeySpan &span)> accessChanged; // some may be held that were not
    std::function<wire::UpstreamLoad()> load;               // told to voters
    std::function<void(const std::string &node, const wire::VouchReply &reply)> vouched;
    // Answers as the voter that this process itself is.
    std::function<bool(const wire::ReleaseQuery &query)> ownVoterReleased;
    std::function<GrantMode()> grantWay; // of the own service
};

// ---- Orders ----

struct OrderEnd
{
    absl::StatusOr<HttpResponse> answer;
    bool isWithdrawn = false; // not sent, as the right to give it has ended
};

// Sends an order in the calling fiber. A grant is as long as the right to give it still lasts when
// its first byte leaves.
OrderEnd sendOrderTo(HttpClient &upstream, const HoldOrder &order,
                     std::shared_ptr<HttpCallHandle> handle);

// Returns how an order is sent. Answers to orders carry no id, so one that the upstream writes
// twice could stand for the next order on its connection.
HttpCallOptions orderOptions(HoldOrderKind kind, std::shared_ptr<HttpCallHandle> handle);

// ---- KeyOwner ----

// Used on one thread.
class KeyOwner
{
public:
    KeyOwner(FiberThread &ownerThread, const std::string &ownNode, const std::string &ownService,
             const Address &upstream, Duration allowedHold, ClusterView &clusterView,
             LinkPool &linkPool, UpstreamMonitor &upstreamMonitor, KeyOwnerHooks ownerHooks);

    // Takes a change of the table, of the upstream or of the time; call every 50 ms as well.
    void advance(Time now);

    // Takes what the newest heartbeat says of keys and returns what its answer grants, if anything.
    // `late`: how much later than usual it came.
    std::optional<HoldAnswer> takeReport(const HoldReport &report, Duration late, Time now);

    KeyAccess access(ShardKey key, Time now) const { return this->holder.access(key, now); }

    // Returns how long the grant of a held key still lasts at least.
    Duration heldFor(ShardKey key, Time now) const { return this->holder.remainingHold(key, now); }

    // Returns the id of the active session of the present upstream, 0 without one.
    std::uint64_t session() const { return this->ownSession; }

    // Returns the active session of this host that is given up and holds nothing, or 0.
    std::uint64_t retiredSession(Time now) const;

    std::vector<std::uint64_t> unsettledFences() const { return this->holder.unsettledFences(); }
    bool holdsNothing(Time now) const { return this->holder.holdsNothing(now); }

    // Answers another process about keys that it got.
    wire::StopReply answerStop(const wire::StopQuery &query, Time now);

private:
    static constexpr Duration askEvery = 60ms; // a round trip between regions

    void followTable(Time now);
    void followLeaseLength(const KeyTable &table);
    void renew(Time now);
    void askForProofs(Time now);
    void askHost(const KeyTable &table, const MissingProof &missing);
    void askVoters(const KeySession &session);
    void logGrants(const HoldReport &report, const std::optional<HoldAnswer> &answer) const;
    void sendOrders(Time now);
    void sendOrder(const HoldOrder &order);

    FiberThread &thread;
    std::string node;
    std::string service;
    ClusterView &view;
    LinkPool &links;
    UpstreamMonitor &monitor;
    KeyOwnerHooks hooks;
    HttpClient upstreamOrders;
    Duration longestHold; // that the platform allows
    LeaseSettings leaseSettings;
    QuorumLease lease;
    RangeHolder holder;
    StopProof proofs;
    std::uint64_t ownSession = 0;
    std::uint64_t givenUp = 0;     // session of an upstream that had ended; never used again
    std::uint64_t followedEnd = 0; // of the table that the holder has
    UpstreamInstance followedLife;
    Time renewedAt = -1h;
    Time askedAt = -1h;
};

} // namespace kumquat
