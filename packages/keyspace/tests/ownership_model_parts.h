// The upstreams and processes of the ownership model (ownership_model.h).
#pragma once

#include "keyspace/lease.h"
#include "keyspace/range_holder.h"
#include "keyspace/range_planner.h"
#include "keyspace/store_era.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace kumquat {

constexpr Duration tick = 20ms;
constexpr int hostCount = 4;
constexpr Duration heartbeatInterval = 870ms;
constexpr Duration answerTimeout = 1s; // an upstream ignores a later answer to its heartbeat

// Safety measures that a test can switch off, to show that the scenarios then find a violation.
struct Guards
{
    bool proofs = true;      // ranges wait for proof that their former owners have stopped
    bool leaseBounds = true; // grants end with the lease
    bool lateGrants = true;  // unanswered grants count as held
    bool reportOrder = true; // a heartbeat that arrives after a newer one is ignored
    bool runningWork = true; // keys with requests that are still running count as held
    bool lateOrders = true;  // an order is checked again when it is sent
    bool freshTables = true; // owners stop without a current key table
    // A process that has started waits until the grants of the one before have ended, also if the
    // start time of the upstream instance is later than its own by the wall clock of the host.
    bool earlierGrants = true;
    // After a rollback of the store:
    bool eraFreshness = true; // comparisons in another era do not keep an owner going
    bool eraWait = true;      // the first table of an era waits for the owners of older ones
    bool formerTables = true; // tables of older eras replace no others
};

enum class Faults : std::uint8_t {
    None,        // also no late messages
    Passing,     // hosts freeze, are cut off or restart; the store is unavailable
    Evacuations, // besides, data centres with one host each are evacuated for a time
    Lasting,     // besides passing faults, hosts are lost for good, and groups of hosts are cut off
                 // from all others
    ClockSteps, // besides passing faults, upstreams crash and restart, and the wall clocks of hosts
                // step by seconds in either direction and back
};

// An upstream, which holds keys until a time by its own clock. The clock may be slow.
struct ModelUpstream
{
    struct Hold
    {
        KeySpan span;
        std::uint64_t fence = 0;
        Time until{};
    };

    // A heartbeat in progress. The next one is sent after its answer or its timeout.
    struct Heartbeat
    {
        std::uint64_t sequence = 0;
        Time sentAt{};
        HoldReport report;
        UpstreamInstance instance; // that sent it
        int restarts = 0;
    };

    std::vector<Hold> holds;
    std::vector<Hold> stillRunning;      // released, with requests running until `until`
    std::vector<ReleasedRange> released; // to report in the next heartbeat
    std::optional<Heartbeat> heartbeat;
    std::uint64_t sequence = 0;
    Time nextHeartbeat{};
    double clockFactor = 1;
    UpstreamInstance instance{.id = "i-1", .startedMs = 1};
    int restarts = 0;  // number of the instance
    Time nextReport{}; // of the instance to the process beside it

    HoldReport report(Time now, bool withRunning) const
    {
        HoldReport report{.released = this->released};
        for (const Hold &hold : this->holds) {
            if (hold.until > now) {
                report.holds.push_back({.span = hold.span, .fence = hold.fence});
            }
        }
        for (const Hold &hold : this->stillRunning) {
            if (withRunning) {
                report.holds.push_back({.span = hold.span, .fence = hold.fence});
            }
        }
        return report;
    }

    // Applies an answer: holds its rows, and ends the requests for all other keys after
    // `requestTime`.
    void accept(const HoldAnswer &answer, Time sentAt, Time now, Duration requestTime)
    {
        const std::vector<Hold> before = std::exchange(this->holds, {});
        const auto length = std::chrono::duration_cast<Duration>(answer.hold * this->clockFactor);
        for (const HoldRow &row : answer.rows) {
            this->holds.push_back({row.span, row.fence, sentAt + length});
        }
        for (const Hold &old : before) {
            if (old.until <= now) {
                continue;
            }
            std::vector<KeySpan> left{old.span};
            for (const HoldRow &row : answer.rows) {
                left = without(left, row.span);
            }
            for (const KeySpan &span : left) {
                this->stillRunning.push_back(
                        {span, old.fence, std::min(old.until, now + requestTime)});
            }
        }
    }

    // Returns the parts of `spans` that are not in `cut`.
    static std::vector<KeySpan> without(const std::vector<KeySpan> &spans, const KeySpan &cut)
    {
        std::vector<KeySpan> rest;
        for (const KeySpan &span : spans) {
            if (!span.overlaps(cut)) {
                rest.push_back(span);
                continue;
            }
            if (span.first < cut.first) {
                rest.push_back({.first = span.first, .last = cut.first - 1});
            }
            if (span.last > cut.last) {
                rest.push_back({.first = cut.last + 1, .last = span.last});
            }
        }
        return rest;
    }

    // Moves the ranges whose requests have ended from `stillRunning` to `released`.
    void finishRequests(Time now)
    {
        std::erase_if(this->stillRunning, [&](const Hold &hold) {
            if (hold.until > now) {
                return false;
            }
            this->released.push_back({.span = hold.span, .handover = "token"});
            return true;
        });
    }

    void accept(const KeySpan &span, std::uint64_t fence, Time arrived, Duration hold)
    {
        const auto length = std::chrono::duration_cast<Duration>(hold * this->clockFactor);
        this->holds.push_back({span, fence, arrived + length});
    }

    void release(const KeySpan &span, std::uint64_t fence)
    {
        std::vector<Hold> rest;
        for (const Hold &hold : this->holds) {
            if (hold.fence > fence || !hold.span.overlaps(span)) {
                rest.push_back(hold);
                continue;
            }
            if (hold.span.first < span.first) {
                rest.push_back({{hold.span.first, span.first - 1}, hold.fence, hold.until});
            }
            if (hold.span.last > span.last) {
                rest.push_back({{span.last + 1, hold.span.last}, hold.fence, hold.until});
            }
        }
        this->holds = std::move(rest);
    }
};

// The process on a host.
struct ModelHost
{
    // `wallMs`: the wall clock of the host at the start of the process.
    explicit ModelHost(Time started, std::int64_t wallMs = 0)
        : voter(LeaseSettings{}, started)
        , lease(LeaseSettings{})
        , holder({}, started)
        , freshness(started)
        , voterChange(started)
        , startedMs(wallMs)
    {}

    LeaseVoter voter;
    QuorumLease lease;
    RangeHolder holder;
    StopProof proofs;
    TableFreshness freshness;
    VoterChange voterChange;
    KeyTable table = KeyTable::createEmpty("testlog");
    std::uint64_t session = 0;
    std::uint64_t lastSequence = 0; // of the newest heartbeat received
    Time renewedAt = -1h;
    Time readAt = -1h;
    StoreEraTracker era;
    std::uint64_t readEnd = 0; // position up to which the store's tables have been read
    bool hasRead = false;
    UpstreamInstance instance{.id = "i-1", .startedMs = 1}; // the newest one that is known
    int instanceNumber = 0;                                 // of `instance`
    bool hasHeardUpstream = true;                           // since the start of the process
    std::int64_t startedMs;                                 // by the wall clock

    void noteEra(std::uint32_t seen, Time now)
    {
        this->era.note(seen, now);
        this->freshness.noteEra(seen);
    }
    std::uint64_t tablesEnd() const { return std::max(this->table.end, this->readEnd); }
};

} // namespace kumquat
