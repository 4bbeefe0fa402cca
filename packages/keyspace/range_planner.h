// Decides the next key table of one service: who joins, who is ended, who gets which keys.
//
// Any host may run it, as the store takes a table only if nothing was written since the table that
// it was made from. One host at a time is enough.
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

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// ---- Input ----

enum class UpstreamPhase : std::uint8_t { Absent, Ready, Draining, Ended };

inline constexpr NameTable<UpstreamPhase, 4> upstreamPhaseNames{
        {{{UpstreamPhase::Absent, "absent"},
          {UpstreamPhase::Ready, "ready"},
          {UpstreamPhase::Draining, "draining"},
          {UpstreamPhase::Ended, "ended"}}}};

// What a host has said of itself.
struct HostInfo
{
    std::string node;
    std::string dataCentre;
    std::string region;
    std::string service;
    UpstreamInstance instance;
    std::uint32_t slots = 1;
    UpstreamPhase phase = UpstreamPhase::Absent;
    bool isReachable = true; // from the host that plans
};

// What the host of a session reported last.
struct SessionReport
{
    Duration silence{};     // since the report, or since this host first saw the session
    bool wasHeard = true;   // false: no report has named the session yet
    bool isRetired = false; // its host gave it up, and it holds nothing
    bool isFailing = false; // the upstream answers nothing
    bool isStopping = false;
    double serviceSeconds = 0;            // mean time of one request; 0: not known
    std::uint64_t tablesEnd = 0;          // of the table that the host had read
    std::vector<std::uint64_t> unsettled; // fences of ranges that wait for a predecessor
};

struct PlanInput
{
    const KeyTable *table = nullptr;
    std::uint64_t newEnd = 0; // end of the record that the plan would become
    std::string node;         // that plans
    std::vector<HostInfo> hosts;
    std::map<std::uint64_t, SessionReport> reports; // by session; one without is not silent
    const KeyLoad *load = nullptr;
    bool mayBalance = false;                   // otherwise only sessions are looked after
    Duration planningFor{};                    // how long this host has taken reports
    Duration hostsSteadyFor = Duration::max(); // since a host or its upstream last came or went
    Time now{};
};

// ---- Settings ----

struct PlannerSettings
{
    // Silence after which a session is ended. A process that is killed is back within about 1.5 s
    // and goes on with its session; takeovers without a handover slow their keys for seconds.
    Duration endAfter = 2s;
    Duration endAfterMassLoss = 6s; // where most sessions are silent, so that this host may be cut
    Duration quietAfter = 1s;       // silence after which a session gets no more keys
    // Where most keys have no owner, as after a loss of power, hosts come back within about half a
    // second of each other. The first of them would get all keys, and give most away cold.
    double massShare = 0.5;
    Duration settleAfterMassLoss = 500ms;
    std::size_t voters = 3;
    double leastGap = 0.15; // of utilisation, between the fullest and the emptiest session
    double leastUse = 0.3;  // of the fullest session; below it balance gains nothing
    std::size_t movesAtOnce = 3;
    // Sessions far below the others, as those of new upstreams, get keys faster: one move at once
    // for this many sessions. Four plans, one a second, fill them all.
    std::size_t sessionsPerFill = 4;
    double fillBelow = 0.5;                // of the mean use; a random low lies above it
    std::size_t mostRangesPerSession = 24; // each is renewed by calls of its own
    double assumedRate = 0.2;              // of a slot, for the keys of a session without requests
    double assumedServiceSeconds = 0.1;    // before the first measurement
};

// ---- planKeyTable ----

// Returns the next table, or nothing if the present one is right.
std::optional<KeyTable> planKeyTable(const PlanInput &input, const PlannerSettings &settings);

} // namespace kumquat
