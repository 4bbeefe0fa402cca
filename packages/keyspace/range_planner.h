// Plans the next key table of one service: which sessions are admitted or ended, and which session
// owns which keys.
//
// Any host may run the planner, because the store accepts a table only if no other record was
// written after the table on which the plan is based. Running it on one host at a time is enough.
//
//   std::optional<KeyTable> next = planKeyTable(input, settings);
//   if (next) { ... append next->encode() if the partition still ends at input.table->end ... }
//
// Sections: input, settings, planKeyTable.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "keyspace/key_load.h"
#include "keyspace/key_table.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// ---- Input ----

enum class UpstreamPhase : std::uint8_t { Absent, Ready, Draining, Ended };

inline constexpr NameTable<UpstreamPhase, 4> upstreamPhaseNames{
        {{{UpstreamPhase::Absent, "absent"},
          {UpstreamPhase::Ready, "ready"},
          {UpstreamPhase::Draining, "draining"},
          {UpstreamPhase::Ended, "ended"}}}};

// What a host published about itself.
struct HostInfo
{
    std::string node;
    std::string dataCentre;
    std::string region;
    std::string service;
    UpstreamInstance instance;
    std::uint32_t slots = 1;
    UpstreamPhase phase = UpstreamPhase::Absent;
    bool isReachable = true;  // from the host that runs the planner
    bool isStopping = false;  // its process is shutting down
    bool isEvacuated = false; // the operator has evacuated its data centre
    bool isReturning = false; // its data centre was evacuated until a moment ago
    // Slots that keys may use: fewer than the announced ones if throughput stops growing below
    // them, or while the upstream is cold; 0: unknown.
    std::uint32_t usableSlots = 0;
};

// Returns the host of this name, or nullptr.
const HostInfo *findHost(const std::vector<HostInfo> &hosts, std::string_view node);

// Returns the slots of a session that keys may use. `host`: that of the session, or nullptr.
inline std::uint32_t usableSlotsOf(const HostInfo *host, const KeySession &session)
{
    const bool isKnown =
            host != nullptr && host->usableSlots > 0 && host->instance == session.instance;
    return isKnown ? std::min(host->usableSlots, session.slots) : session.slots;
}

// The last report about a session by its host.
struct SessionReport
{
    Duration silence{};          // time since the report, or since this host first saw the session
    bool wasHeard = true;        // false: no report about the session has arrived yet
    bool isRetired = false;      // its host has abandoned the session, and it holds no keys
    bool isFailing = false;      // the upstream answers no requests
    bool isStopping = false;     // its process is shutting down
    double serviceSeconds = 0;   // mean time of one request; 0: unknown
    std::uint64_t tablesEnd = 0; // `end` of the table that the host has read
    std::uint64_t votersEnd = 0; // its grants depend on voters of tables up to this end, or later
    std::vector<std::uint64_t> unsettled; // fences of ranges that wait for a predecessor
};

struct PlanInput
{
    const KeyTable *table = nullptr;
    std::uint64_t newEnd = 0; // offset after the record in which the plan would be stored
    std::string node;         // host that runs the planner
    std::vector<HostInfo> hosts;
    // By session. A session without a report does not count as silent.
    std::map<std::uint64_t, SessionReport> reports;
    const KeyLoad *load = nullptr;
    bool mayBalance = false;                   // false: move no keys to balance the load
    Duration planningFor{};                    // how long this host has been receiving reports
    Duration hostsSteadyFor = Duration::max(); // since a host or its upstream last joined or left
    Time now{};
};

// ---- Settings ----

struct PlannerSettings
{
    // Silence after which a session is ended. A killed process restarts within about 1.5 s and
    // continues its session; a takeover without a handover slows its keys for seconds.
    Duration endAfter = 2s;
    Duration endAfterMassLoss = 6s; // if most sessions are silent: this host may be cut off
    Duration suspectAfter = 1s;     // silence after which a session is assigned no more keys
    // Mass loss: more than this fraction of the keys has no owner, as after a power failure. The
    // hosts then return within about 0.5 s of each other, and the keys are assigned once no host
    // has joined or left for `massLossWait`. Otherwise the first host would get all keys and pass
    // most of them on with cold caches.
    double massLossShare = 0.5;
    Duration massLossWait = 500ms;
    std::size_t voters = 3;          // per session
    double minUtilisationGap = 0.15; // between the most and the least utilised session
    double minPeakUtilisation = 0.3; // of the most utilised session; balancing gains nothing below
    std::size_t maxMovesPerPlan = 3; // to balance the load
    // Sessions that get more than they can serve, and this many times the mean, pass keys on
    // faster. A cluster of busy keys moves within seconds, and each move gives one session its
    // share.
    double overloadRatio = 2.5;
    std::size_t maxOverloadMoves = 8; // bounds the time of one plan
    // Sessions far below the others, such as those of new upstreams, get keys faster: each plan
    // makes one move per this many sessions. Four plans, one per second, fill them all.
    std::size_t sessionsPerFillMove = 4;
    double fillThreshold = 0.5; // fraction of the mean utilisation; random variation stays above it
    std::size_t maxRangesPerSession = 24; // each range needs its own renewal calls
    double assumedUtilisation = 0.2;      // of a slot, by the keys of a session without requests
    double assumedServiceSeconds = 0.1;   // used before the first measurement of any session
};

// ---- planKeyTable ----

// Returns the next table, or std::nullopt if the current table needs no change.
std::optional<KeyTable> planKeyTable(const PlanInput &input, const PlannerSettings &settings);

} // namespace kumquat
