// Settings of a process: one JSON file, checked as a whole.
//
// Sections: members, loading
//
//   absl::StatusOr<Settings> settings = loadSettings("/etc/kumquatstage.json");
//   if (!settings.ok()) {
//       std::cerr << settings.status().message(); // one line per fault
//   }
#pragma once

#include "base/address.h"
#include "base/log.h"
#include "base/time.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// --- members ---

// Addresses that the process listens on; all differ.
struct ListenSettings
{
    Address callers; // HTTP of callers
    Address admin;   // HTTP of operators and upstreams
    Address mesh;    // ZeroMQ of other processes
};

struct LimitSettings
{
    int queueLength = 128;                // requests per upstream, 0 to 100,000
    int initialConcurrency = 0;           // 0: the slots that the upstream announces; up to 10,000
    std::size_t maxBodyBytes = 1'048'576; // 1 to 1,048,576 (body-too-large in section 4.1)
};

// What the operator promises for the requests of one path prefix.
struct Objective
{
    std::string name;
    std::string pathPrefix;  // a rule belongs to the objective if its prefix starts with this
    double availability = 0; // share of requests without an error, above 0 and below 1
    Duration latency{};      // latencyMs in the file
    double latencyShare = 0; // share of requests within the latency, above 0 and below 1

    bool operator==(const Objective &) const = default;
};

struct Settings
{
    std::string node; // unique per host
    std::string region;
    std::string dataCentre;
    ListenSettings listen;
    std::vector<Address> log; // log services, tried in order; at least one
    LogLevel logLevel = LogLevel::Info;
    int workers = 2;                // threads, 1 to 64
    Duration drainLimit = 20s;      // drainLimitMs in the file, 1 ms to 1 h
    Duration retention = 24h;       // retentionMs in the file, of the log, 1 s to 365 days
    double weightUnavailable = 0.5; // 0 to 1; the rest weighs imbalance
    LimitSettings limits;
    std::vector<Objective> objectives;
    bool faultInjection = false; // for tests only: the admin port takes faults to inject
};

// --- loading ---

// Parses and checks settings. Error: SettingsInvalid, whose message has one line
// "/json/path: fault; expected what is allowed" per fault. A JSON syntax error is the only fault
// reported, as "line L, column C: reason".
absl::StatusOr<Settings> parseSettings(std::string_view text);

// Reads a file and parses it. Error: SettingsInvalid, also if the file cannot be read.
absl::StatusOr<Settings> loadSettings(const std::string &path);

} // namespace kumquat
