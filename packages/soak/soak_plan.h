// Plan of the faults of one soak run: time, host, kind and length of each fault. The same seed
// always gives the same plan.
//
//   std::vector<SoakEvent> events = planSoak(seed, {.length = 30s, .hosts = 6});
//
// Sections: faults, events, planSoak.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "standins/fault_proxy.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// ---- Faults ----

enum class SoakFault : std::uint8_t {
    PauseProcess,     // SIGSTOP; SIGCONT at the end of the fault
    KillProcess,      // SIGKILL; the process is started again at the end
    StopProcess,      // SIGTERM; the process is started again after its exit
    KillAllProcesses, // SIGKILL to all processes; all are started again at the end
    CrashUpstream,    // ends without notice; a new instance starts later at the same address
    DrainUpstream,    // reports that it drains, keeps serving, ends; then a new instance starts
    StoreDown,        // the store refuses all calls
    StoreClosesConnections, // the store closes connections without an answer
    StoreSlow,              // the store answers late
    StoreLosesAnswers,      // the store performs appends and closes the connection
    StoreCompacts,          // the store compacts its topics
    StoreLink,              // link fault between a process and the store
    UpstreamLink,           // link fault between a process and its upstream
    ProcessLink,            // link fault from the other processes to one process
    Publish,                // publishes a new version of the configuration
    StoreUnanswered,        // the store never answers calls; connections stay open
    StoreGoesBack           // the store is unavailable, then comes back without its last records
};

inline constexpr NameTable<SoakFault, 17> soakFaultNames{
        {{{SoakFault::PauseProcess, "pause-process"},
          {SoakFault::KillProcess, "kill-process"},
          {SoakFault::StopProcess, "stop-process"},
          {SoakFault::KillAllProcesses, "kill-all-processes"},
          {SoakFault::CrashUpstream, "crash-upstream"},
          {SoakFault::DrainUpstream, "drain-upstream"},
          {SoakFault::StoreDown, "store-down"},
          {SoakFault::StoreClosesConnections, "store-silent"},
          {SoakFault::StoreSlow, "store-slow"},
          {SoakFault::StoreLosesAnswers, "store-loses-answers"},
          {SoakFault::StoreCompacts, "store-compacts"},
          {SoakFault::StoreLink, "store-link"},
          {SoakFault::UpstreamLink, "upstream-link"},
          {SoakFault::ProcessLink, "process-link"},
          {SoakFault::Publish, "publish"},
          {SoakFault::StoreUnanswered, "store-unanswered"},
          {SoakFault::StoreGoesBack, "store-goes-back"}}}};

// Link faults that a plan chooses from.
inline constexpr std::array soakLinkFaults{LinkFault::Delayed,        LinkFault::Reset,
                                           LinkFault::SilentToTarget, LinkFault::SilentFromTarget,
                                           LinkFault::SilentBothWays, LinkFault::Stalled};

// ---- Events ----

struct SoakEvent
{
    Duration at{};     // since the start of the faults
    Duration length{}; // until the fault ends
    SoakFault fault = SoakFault::Publish;
    std::size_t host = 0;
    LinkCondition link; // used by StoreLink, UpstreamLink and ProcessLink

    Duration end() const { return this->at + this->length; }
    std::string text() const;
};

struct SoakPlanSettings
{
    Duration length{}; // all faults end within this time
    std::size_t hosts = 1;
    // Between the starts of two faults. minGap is shorter than most faults, so that they overlap.
    Duration minGap = 150ms;
    Duration maxGap = 1500ms;
    // Length of a fault. A lease lasts 2.4 s and a session ends after 2 s, so that faults are
    // shorter as well as longer than both.
    Duration minLength = 200ms;
    Duration maxLength = 4s;
    double killAllShare = 0.02; // share of KillAllProcesses among all faults
    // Number of entries of soakFaultNames and soakLinkFaults that are used. A smaller number
    // reproduces the plan of a seed that failed before the later entries were added.
    std::size_t faultKinds = soakFaultNames.entries.size();
    std::size_t linkKinds = soakLinkFaults.size();
};

// ---- planSoak ----

// Returns the events ordered by start time. At most one fault at a time affects the same process,
// upstream or link, or the store.
std::vector<SoakEvent> planSoak(std::uint64_t seed, const SoakPlanSettings &settings);

} // namespace kumquat
