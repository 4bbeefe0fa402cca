// Settings of a process on the users' platform, read from one JSON file. All errors of the file are
// reported at once.
//
//   absl::StatusOr<StageSettings> settings = loadStageSettings(path);
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "keyspace/hold_report.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// Addresses that the process listens on.
struct StageListen
{
    Address callers;    // requests of callers and of the upstream itself
    Address readiness;  // probes of the platform, one a second
    Address heartbeats; // of the upstream beside this process
    Address processes;  // messages of other processes
    // Address under which other processes reach `processes`: another one if connections are
    // forwarded, otherwise the same.
    Address processesAdvertised;
    Address metrics;
};

// Limits set by the platform.
struct StageLimits
{
    // An upstream gets no requests later than this after it announced its drain.
    Duration drainPeriod{};
    Duration stopPeriod{};  // between SIGTERM and SIGKILL
    Duration maxHold{};     // longest duration of one grant
    double retryShare = 0;  // retries per request, over all processes
    Duration retryWindow{}; // over which retries are counted
    double retrySlack = 0;  // retries per window that are always allowed, over all processes
    // A cold upstream gets at most the service's `coldPerSecond` x `coldExcess` + `coldSlack`
    // requests in any second.
    double coldExcess = 1;
    double coldSlack = 0;
    double linkBytesPerSecond = 0; // of this host's link, each way; 0: unknown
    std::uint64_t memoryBytes = 0; // the process is killed beyond this; 0: unknown
    // Tries how many requests the upstream usefully runs at a time, and runs no more. Off by
    // default: on a deployment with noisy upstreams the trials and the lower limits cost a quarter
    // of the requests that were served in time. Service times are learned in any case.
    bool learnsConcurrency = false;
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
    GrantMode grantMode = GrantMode::Call; // for services without a configured mode
    Duration heartbeatInterval = 1s;       // of the upstream
    StageListen listen;
    StageLimits limits;
};

// Parses and checks settings text. `name`: begins each line of the error message. Error:
// SettingsInvalid with one line per error.
absl::StatusOr<StageSettings> parseStageSettings(std::string_view text, const std::string &name);

absl::StatusOr<StageSettings> loadStageSettings(const std::string &path);

} // namespace kumquat
