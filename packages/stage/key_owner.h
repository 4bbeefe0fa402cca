// Owns keys on behalf of the upstream beside this process: renews the session's lease with its
// voters, collects proofs that former owners have stopped, and sends grants and releases to the
// upstream.
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
    std::function<void(const KeySpan &span)> accessChanged; // keys of the span may be held now
    std::function<wire::UpstreamLoad()> load;               // load of the upstream, sent to voters
    // Called with the answer to a vote request that was sent at `askedAt`.
    std::function<void(const std::string &node, const wire::VouchReply &reply, Time askedAt)>
            voterReplied;
    // Says whether this process, which may itself be a voter of the session, has released it.
    std::function<bool(const wire::ReleaseQuery &query)> ownVoterReleased;
    std::function<GrantMode()> grantMode; // of the service of this process
};

// ---- Orders ----

struct OrderResult
{
    absl::StatusOr<HttpResponse> answer;
    bool isWithdrawn = false; // not sent, because too little of the grant was left
};

// Sends an order in the calling fiber. A grant is shortened by the time from its decision until the
// order is sent, so that it does not outlast the lease.
OrderResult sendOrderTo(HttpClient &upstream, const HoldOrder &order,
                        std::shared_ptr<HttpCallHandle> handle);

// Returns the options of the HTTP call that sends an order. Answers to orders carry no id, so if
// the upstream sends an answer twice, the second copy could be taken for the answer to the next
// order on the same connection.
HttpCallOptions orderOptions(HoldOrderKind kind, std::shared_ptr<HttpCallHandle> handle);

// ---- KeyOwner ----

// Used on one thread.
class KeyOwner
{
public:
    KeyOwner(FiberThread &ownerThread, const std::string &ownNode, const std::string &ownService,
             const Address &upstream, Duration allowedMaxHold, ClusterView &clusterView,
             LinkPool &linkPool, UpstreamMonitor &upstreamMonitor,
             const TableFreshness &tableFreshness, KeyOwnerHooks ownerHooks);

    // Applies changes of the key table and of the upstream, renews the lease and sends due orders.
    // Call after each change and every 50 ms.
    void advance(Time now);

    // Processes the newest heartbeat's report of held keys and returns the grants for its answer,
    // if any. `late`: how much later than expected the heartbeat arrived.
    std::optional<HoldAnswer> processReport(const HoldReport &report, Duration late, Time now);

    KeyAccess access(ShardKey key, Time now) const { return this->holder.access(key, now); }

    // Returns the minimum time for which a key remains granted; zero if it is not held.
    Duration heldFor(ShardKey key, Time now) const { return this->holder.remainingHold(key, now); }

    // Returns the id of the active session of the current upstream instance, or 0 without one.
    std::uint64_t session() const { return this->ownSession; }

    // Returns the session of this host that is active in the key table, but abandoned and without
    // held keys, or 0. Within one hold of the start of this process the latter is not known.
    std::uint64_t retiredSession(Time now) const;

    // Returns from which key tables the voters come on which the present grants depend.
    std::uint64_t votersEnd(Time now) const
    {
        return this->voterChange.settledEnd(this->leaseSettings.length, now);
    }

    std::vector<std::uint64_t> unsettledFences() const { return this->holder.unsettledFences(); }
    bool holdsNothing(Time now) const { return this->holder.holdsNothing(now); }

    // Answers a process that was assigned keys of this host: tells it whether the keys are no
    // longer held here.
    wire::StopReply answerStop(const wire::StopQuery &query, Time now);

private:
    static constexpr Duration askInterval = 60ms; // a round trip between regions

    void applyTable(Time now);
    void applyLeaseLength(const KeyTable &table);
    void renew(Time now);
    Time leaseEnd() const;
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
    const TableFreshness &freshness;
    KeyOwnerHooks hooks;
    HttpClient upstreamOrders;
    Duration platformMaxHold; // longest grant that the platform allows
    LeaseSettings leaseSettings;
    QuorumLease lease;
    VoterChange voterChange;
    RangeHolder holder;
    StopProof proofs;
    std::uint64_t ownSession = 0;
    std::uint64_t abandonedSession = 0; // session of an upstream that has ended; never used again
    std::uint64_t appliedTableEnd = 0;  // end of the table that `holder` has
    UpstreamInstance appliedInstance;
    Time lastRenewalAt = -1h;
    Time lastAskedAt = -1h;
};

} // namespace kumquat
