// The faults of one soak run: what happens when, to which host, for how long. A seed gives the same
// plan each time.
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
    PauseProcess,      // SIGSTOP, later SIGCONT
    KillProcess,       // SIGKILL, later started again
    StopProcess,       // SIGTERM, started again after its exit
    KillAllProcesses,  // at once, later started again
    CrashUpstream,     // ends without a word; later the next life at the same address
    DrainUpstream,     // says that it leaves, serves on, ends; later the next life
    StoreDown,         // refuses all calls
    StoreSilent,       // closes connections without an answer
    StoreSlow,         // answers late
    StoreLosesAnswers, // does what is asked and closes the connection
    StoreCompacts,     // forgets its history
    StoreLink,         // between a process and the store
    UpstreamLink,      // between a process and its upstream
    ProcessLink,       // from the other processes to one
    Publish,           // a new version of the configuration
    StoreUnanswered    // leaves calls unanswered for good, connections stay open
};

inline constexpr NameTable<SoakFault, 16> soakFaultNames{
        {{{SoakFault::PauseProcess, "pause-process"},
          {SoakFault::KillProcess, "kill-process"},
          {SoakFault::StopProcess, "stop-process"},
          {SoakFault::KillAllProcesses, "kill-all-processes"},
          {SoakFault::CrashUpstream, "crash-upstream"},
          {SoakFault::DrainUpstream, "drain-upstream"},
          {SoakFault::StoreDown, "store-down"},
          {SoakFault::StoreSilent, "store-silent"},
          {SoakFault::StoreSlow, "store-slow"},
          {SoakFault::StoreLosesAnswers, "store-loses-answers"},
          {SoakFault::StoreCompacts, "store-compacts"},
          {SoakFault::StoreLink, "store-link"},
          {SoakFault::UpstreamLink, "upstream-link"},
          {SoakFault::ProcessLink, "process-link"},
          {SoakFault::Publish, "publish"},
          {SoakFault::StoreUnanswered, "store-unanswered"}}}};

// Faults of links that a plan draws from.
inline constexpr std::array soakLinkFaults{LinkFault::Delayed,        LinkFault::Reset,
                                           LinkFault::SilentThere,    LinkFault::SilentBack,
                                           LinkFault::SilentBothWays, LinkFault::Stalled};

// ---- Events ----

struct SoakEvent
{
    Duration at{};     // since the start of the faults
    Duration length{}; // until it is undone
    SoakFault fault = SoakFault::Publish;
    std::size_t host = 0;
    LinkCondition link; // of the faults of links

    Duration end() const { return this->at + this->length; }
    std::string text() const;
};

struct SoakPlanSettings
{
    Duration length{}; // all faults are undone by then
    std::size_t hosts = 1;
    Duration shortestGap = 150ms; // between the starts of two faults; shorter than most of them
    Duration longestGap = 1500ms;
    Duration shortest = 200ms; // length of a fault: a lease is 2.4 s, a session ends after 2 s
    Duration longest = 4s;
    double killAllShare = 0.02; // of all faults
    // Of soakFaultNames and soakLinkFaults; fewer give the plans of seeds that failed before the
    // later ones were added.
    std::size_t faultKinds = soakFaultNames.entries.size();
    std::size_t linkKinds = soakLinkFaults.size();
};

// ---- planSoak ----

// Returns events by time. At most one fault at a time concerns one process, one upstream, one link
// or the store.
std::vector<SoakEvent> planSoak(std::uint64_t seed, const SoakPlanSettings &settings);

} // namespace kumquat
