// One soak run: real processes, random faults from outside, callers, and the checks of what callers
// and upstreams saw.
//
//   SoakReport report = runSoak({.seed = 7, .length = 30s});
//   for (const std::string &finding : report.findings) { ... a broken promise ... }
#pragma once

#include "base/time.h"
#include "keyspace/hold_report.h"
#include "soak/soak_callers.h"
#include "soak/soak_plan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquat {

struct SoakSettings
{
    std::uint64_t seed = 1;
    Duration length = 30s; // of the faults
    int hosts = 6;
    int callers = 8;
    std::string directory = "."; // of settings, logs and the timeline
    GrantMode grantWay = GrantMode::Call;

    // Until each key is served through each host after the last fault. Requirement: entries are
    // back 2 s after the store's return, a session ends after 2 s, both may follow each other.
    Duration recoverWithin = 15s;
    Duration stopWithin = 6s;      // from SIGTERM to the exit, as in the processes' settings
    Duration drainWithin = 2500ms; // from the acknowledged leaving to the last request, the same

    // From the acknowledgement of a configuration until it is in force on every host, and time
    // after the last fault from which this holds: the users' bounds.
    Duration applyWithin = 2500ms;
    Duration calmAfter = 4s;
    Duration silence = 1s; // of the store, after which the last version is published

    std::size_t faultKinds = soakFaultNames.entries.size(); // as in SoakPlanSettings
    std::size_t linkKinds = soakLinkFaults.size();
};

struct SoakReport
{
    std::vector<SoakEvent> events;
    std::vector<std::string> findings;
    std::map<SoakEnd, std::size_t> ends; // of all requests
    Duration recovery{};                 // after the last fault
    Duration latestAction{};             // longest time by which a fault came later than planned
};

SoakReport runSoak(const SoakSettings &settings);

} // namespace kumquat
