// One soak run: starts real processes and callers, injects random faults, and checks the results of
// callers and upstreams.
//
//   SoakReport report = runSoak({.seed = 7, .length = 30s});
//   for (const std::string &finding : report.findings) { ... a violated guarantee ... }
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
    Duration length = 30s; // of the period with faults
    int hosts = 6;
    int callers = 8;
    std::string directory = "."; // for settings, logs and the timeline
    GrantMode grantMode = GrantMode::Call;

    // Time after the last fault until each key is served through each host. Host entries are
    // required to be back 2 s after the store returns, and a session ends after 2 s; both may occur
    // in sequence.
    Duration maxRecoveryTime = 15s;
    Duration maxStopTime = 6s;      // from SIGTERM to the exit; equals the processes' setting
    Duration maxDrainTime = 2500ms; // from the acknowledged drain to the last request; equals the
                                    // processes' setting

    // Users' requirements: maxApplyTime is the time from the acknowledgement of a configuration
    // until every host uses it. It applies from settleTime after the last fault on.
    Duration maxApplyTime = 2500ms;
    Duration settleTime = 4s;
    Duration storeSilence = 1s; // time without store answers before the last version is published

    std::size_t faultKinds = soakFaultNames.entries.size(); // see SoakPlanSettings
    std::size_t linkKinds = soakLinkFaults.size();
};

struct SoakReport
{
    std::vector<SoakEvent> events;
    std::vector<std::string> findings;
    std::map<SoakOutcome, std::size_t> outcomes; // number of requests by outcome
    Duration recoveryTime{};                     // from the last fault until all keys are served
    Duration maxActionDelay{}; // longest delay of a start or end of a fault against the plan
};

SoakReport runSoak(const SoakSettings &settings);

} // namespace kumquat
