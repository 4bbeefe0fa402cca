// Refuses requests that crashed upstreams (design page, section 4.5).
//
//   guard.noteCrash(runningFingerprints, crashId, now);
//   if (std::optional<CrashReport> report = guard.takeReport(now)) { ... append CrashSuspect ... }
//   guard.isQuarantined(fingerprint, now); // answer request-quarantined
//   RunPermit permit = guard.startRun(fingerprint, now);
//   // Free or Alone: ... run it ...
//   guard.endRun(permit, fingerprint, answered);
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquat {

using Fingerprint = std::uint64_t;

// Content of one CrashSuspect record.
struct CrashReport
{
    std::uint64_t crashId = 0;
    std::vector<Fingerprint> fingerprints;
};

struct CrashGuardSettings
{
    std::size_t quarantineCrashes = 2;    // different crashes after which a fingerprint is refused
    Duration quarantineTime = 10min;      // counted from the last crash
    Duration crashLifetime = 24h;         // how long a crash counts
    Duration reportInterval = 1s;         // at most one record in this time
    std::size_t maxFingerprints = 65'536; // then the one with the oldest crash is forgotten
    std::size_t maxReports = 64; // crashes that wait to be reported; then the oldest is dropped
};

// Says whether a request may run at the upstream now.
enum class RunPermit : std::uint8_t {
    Free,        // it is blamed for nothing
    Alone,       // it is blamed for a crash, and no other blamed request runs
    Wait,        // it is blamed for a crash, and another blamed request runs
    Quarantined, // it must not run
};

// Counts crashes from the own upstream and from the log. Requests that are blamed for a crash run
// one at a time, so that the next crash shows which of them is fatal; one that is answered
// meanwhile is cleared. Without this, a frequent request that ran beside a fatal one in two crashes
// would be refused as well. Not thread-safe.
class CrashGuard
{
public:
    explicit CrashGuard(CrashGuardSettings settings = {});

    // Blames one crash of the own upstream on the requests it was running. Counts at once, without
    // waiting for the log. `crashId` is random and unique for each crash.
    void noteCrash(const std::vector<Fingerprint> &running, std::uint64_t crashId, Time now);

    // Counts a CrashSuspect record; one that repeats a known crash changes nothing.
    void applyRecord(const std::vector<Fingerprint> &fingerprints, std::uint64_t crashId, Time now);

    // Takes counts from a checkpoint. Lower counts than the known ones are ignored.
    void importCount(Fingerprint fingerprint, std::uint32_t crashes, std::uint64_t lastCrashId,
                     Time now);

    bool isQuarantined(Fingerprint fingerprint, Time now) const;

    // Asks to run a request. Every Free or Alone is ended with endRun.
    RunPermit startRun(Fingerprint fingerprint, Time now);

    // Ends a run. A complete answer clears a request that ran alone of the crashes so far.
    void endRun(RunPermit permit, Fingerprint fingerprint, bool isAnswered);

    // Returns the next record to append, at most one in reportInterval.
    std::optional<CrashReport> takeReport(Time now);

    // Returns when takeReport has something, or nothing.
    std::optional<Time> nextReport() const;

    std::size_t size() const { return this->suspects.size(); }

private:
    // Crash ids of a fingerprint; a record that is older than these may count twice.
    static constexpr std::size_t maxCrashIds = 8;

    struct Suspect
    {
        std::vector<std::uint64_t> crashIds; // the latest different ones, oldest first
        std::size_t importedCrashes = 0;     // crashes before the first of crashIds
        std::size_t clearedCrashes = 0;      // crashes that a later answer has cleared
        Time lastCrash{};

        std::size_t totalCrashes() const { return this->importedCrashes + this->crashIds.size(); }
        std::size_t activeCrashes() const { return this->totalCrashes() - this->clearedCrashes; }
    };

    struct Expiry
    {
        Time due{};
        Fingerprint fingerprint = 0;
    };

    void count(Fingerprint fingerprint, std::uint64_t crashId, Time now);
    void removeExpired(Time now);

    CrashGuardSettings settings;
    std::unordered_map<Fingerprint, Suspect> suspects;
    std::deque<Expiry> expiries; // ascending by due
    std::deque<CrashReport> reports;
    std::optional<Time> lastReport;
    bool isSuspectRunning = false; // a blamed request runs
};

} // namespace kumquat
