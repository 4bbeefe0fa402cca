// Settings of a process on the users' platform: one JSON file, checked as a whole.
//
//   absl::StatusOr<StageSettings> settings = loadStageSettings(path);
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "keyspace/hold_report.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace kumquat {

// Addresses that the process listens on.
struct StageListen
{
    Address callers;    // requests of callers and of the upstream itself
    Address readiness;  // asked by the platform once a second
    Address heartbeats; // of the upstream beside this process
    Address processes;  // messages of other processes
    // Where other processes reach `processes`, if something forwards it; else the same.
    Address processesAdvertised;
    Address metrics;
};

// Bounds that the platform sets.
struct StageLimits
{
    Duration drain{};       // an upstream gets no requests so long after it said that it leaves
    Duration stop{};        // between SIGTERM and SIGKILL
    Duration longestHold{}; // of one grant
    double retryShare = 0;  // repeats for each request, over all processes
    Duration retryWindow{}; // over which they are counted
    double retrySlack = 0;  // repeats in a window that are always allowed, over all processes
};

struct StageSettings
{
    std::string node;
    std::string region;
    std::string dataCentre;
    bool firstStart = false; // the whole system starts for the first time
    std::string service;     // of the upstream beside this process
    Address upstream;
    Address store;
    GrantMode grantWay = GrantMode::Call; // for services that do not name theirs
    Duration heartbeatInterval = 1s;      // of the upstream
    StageListen listen;
    StageLimits limits;
};

// Checks settings text; `name` begins the error message. Error: SettingsInvalid with one line per
// fault.
absl::StatusOr<StageSettings> parseStageSettings(std::string_view text, const std::string &name);

absl::StatusOr<StageSettings> loadStageSettings(const std::string &path);

} // namespace kumquat
