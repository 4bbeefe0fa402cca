// Settings of a process, from one JSON file. All faults of the file are reported together.
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

// Addresses that the process listens on. No two are the same.
struct ListenSettings
{
    Address callers; // HTTP, for callers
    Address admin;   // HTTP, for operators and upstreams
    Address mesh;    // ZeroMQ, for other processes
};

struct LimitSettings
{
    int queueLength = 128;                // waiting requests per upstream, 0 to 100,000
    int initialConcurrency = 0;           // 0 to 10,000; 0: the slots that the upstream announces
    std::size_t maxBodyBytes = 1'048'576; // 1 to 1,048,576; a longer body is refused
};

// A service level objective for the requests of one path prefix.
struct Objective
{
    std::string name;
    std::string pathPrefix;  // the objective covers all rules whose prefix starts with it
    double availability = 0; // share of requests without an error, above 0 and below 1
    Duration latency{};      // latencyMs in the file
    double latencyShare = 0; // share of requests within the latency, above 0 and below 1

    bool operator==(const Objective &) const = default;
};

struct Settings
{
    std::string node; // name of the node, different on each host
    std::string region;
    std::string dataCentre;
    ListenSettings listen;
    std::vector<Address> log; // addresses of the log service, tried in order; at least one
    LogLevel logLevel = LogLevel::Info;
    int workers = 2;                // worker threads, 1 to 64
    Duration drainLimit = 20s;      // drainLimitMs in the file, 1 ms to 1 h
    Duration retention = 24h;       // of log records; retentionMs in the file, 1 s to 365 days
    double weightUnavailable = 0.5; // 0 to 1, for the cost of moves; 1 minus this for imbalance
    LimitSettings limits;
    std::vector<Objective> objectives;
    bool faultInjection = false; // for tests only: allows fault injection through the admin port
};

// --- loading ---

// Parses and checks settings. Error: SettingsInvalid. Its message has one line per fault:
// "/json/path: fault; expected what is allowed". For a JSON syntax error, the message is only
// "line L, column C: reason".
absl::StatusOr<Settings> parseSettings(std::string_view text);

// Reads and parses a file. Error: SettingsInvalid, also if the file cannot be read.
absl::StatusOr<Settings> loadSettings(const std::string &path);

} // namespace kumquat
