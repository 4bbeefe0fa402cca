// Compares the answers that callers received with the requests that upstreams ran.
//
//   Verdict verdict = evaluate(attempts, records);
//   if (!verdict.meetsGuarantees()) { std::cout << verdict.toText(); }
#pragma once

#include "base/time.h"
#include "standins/ledger.h"
#include "standins/load.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Distribution of the load among the upstreams of one service.
struct ServiceShare
{
    std::map<std::string, std::uint64_t> runs; // by upstream
    double imbalance = 0;                      // highest count of runs divided by the mean
};

struct Verdict
{
    // Requests by the outcome of their first attempt; probes and repeats are not counted.
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t repeats = 0;
    std::uint64_t probes = 0;
    std::map<std::string, std::uint64_t> errors; // by error kind, over all attempts
    std::uint64_t runs = 0;

    // Violations of the guarantees. Each count must be 0.
    std::uint64_t runTwice = 0;       // non-idempotent requests with more than one run
    std::uint64_t notRunButRan = 0;   // attempts reported as not run that are in a ledger
    std::uint64_t doneButMissing = 0; // requests reported as done that are in no ledger
    std::uint64_t overlaps = 0;       // runs of one key that overlap at different upstreams
    std::uint64_t wrongAnswers = 0;   // answers to another request, truncated or without an outcome
    std::vector<std::string> examples; // descriptions of the first violations

    Duration longestGap{}; // longest time from a failed attempt to the key's next successful answer
    std::string longestGapKey;
    Duration recoveryTime{}; // from the injected fault to the end of the last gap that it caused
    std::uint64_t unrecoveredKeys = 0; // keys whose last attempt failed
    Duration p50{};                    // latency of successful first attempts, from the due time
    Duration p99{};
    std::map<std::string, ServiceShare> services;
    std::uint64_t keys = 0;      // keys that ran
    std::uint64_t movedKeys = 0; // keys that ran at more than one upstream

    bool meetsGuarantees() const;
    std::string toText() const;
    std::string toJson() const;
};

// If `failedAt` is given, gaps are measured only from attempts that ended after it. Gaps that begin
// within 2 s after it count as caused by the fault.
Verdict evaluate(const std::vector<Attempt> &attempts, const Records &records,
                 std::optional<Time> failedAt = std::nullopt);

} // namespace kumquat
