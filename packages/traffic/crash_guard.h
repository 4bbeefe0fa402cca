// Quarantines requests that crashed upstreams (design page, section 4.5).
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
    std::size_t quarantineCrashes = 2; // distinct crashes after which a fingerprint is quarantined
    std::size_t suspectCrashes = 1;    // crashes after which it is a suspect
    // Crashes of one fingerprint within this time count as one. In a mass failure many upstreams
    // crash at once, and a frequent request may have been running at several of them.
    Duration minCrashSpacing{};
    Duration quarantineTime = 10min;      // measured from the last crash
    Duration crashLifetime = 24h;         // how long a crash counts
    Duration reportInterval = 1s;         // minimum time between two records
    std::size_t maxFingerprints = 65'536; // beyond it the one with the oldest crash is forgotten
    std::size_t maxReports = 64;          // unreported crashes; beyond it the oldest is dropped
};

// Tells whether a request may run at the upstream now. A suspect is a request with
// `suspectCrashes` counted crashes.
enum class RunPermit : std::uint8_t {
    Free,        // not a suspect; it may run
    Alone,       // a suspect, and no other suspect runs; it may run
    Wait,        // a suspect, and another suspect runs; it must wait
    Quarantined, // it must not run
};

// Counts crashes of the local upstream and crashes reported in the log, by request fingerprint.
// Suspects run one at a time, so that the next crash shows which of them is fatal; a suspect that
// gets an answer is cleared. Without this rule, a frequent request that ran beside a fatal one in
// two crashes would be quarantined as well. Not thread-safe.
class CrashGuard
{
public:
    explicit CrashGuard(CrashGuardSettings settings = {});

    // Records one crash of the local upstream, with the fingerprints of the requests that it was
    // running. The crash counts at once, before its record is read back from the log. `crashId` is
    // unique for each crash, such as a hash of the upstream instance that crashed.
    void noteCrash(const std::vector<Fingerprint> &running, std::uint64_t crashId, Time now);

    // Counts a CrashSuspect record. A record of a known crash changes nothing.
    void applyRecord(const std::vector<Fingerprint> &fingerprints, std::uint64_t crashId, Time now);

    // Imports a crash count from a checkpoint. It is ignored unless it is higher than the known
    // count.
    void importCount(Fingerprint fingerprint, std::uint32_t crashes, std::uint64_t lastCrashId,
                     Time now);

    bool isQuarantined(Fingerprint fingerprint, Time now) const;

    // Asks whether a request may run. After Free or Alone, endRun must be called.
    RunPermit startRun(Fingerprint fingerprint, Time now);

    // Ends a run. If the request got a complete answer, all its crashes so far are cleared. Returns
    // true if it was a suspect, so that other processes should clear it as well.
    bool endRun(RunPermit permit, Fingerprint fingerprint, bool isAnswered);

    // Clears all crashes so far of a request that was answered elsewhere.
    void clear(Fingerprint fingerprint);

    // One quarantined request, to tell other processes.
    struct Quarantined
    {
        Fingerprint fingerprint = 0;
        std::uint32_t crashes = 0;
        std::uint64_t lastCrashId = 0;
        Time lastCrash{};
    };

    // Returns up to `limit` quarantined requests.
    std::vector<Quarantined> quarantined(std::size_t limit, Time now) const;

    // Returns the next record to append, at most one per reportInterval.
    std::optional<CrashReport> takeReport(Time now);

    // Returns when takeReport next has a record, or nothing if no crash is unreported.
    std::optional<Time> nextReport() const;

    std::size_t size() const { return this->suspects.size(); }

private:
    // Crash ids kept for each fingerprint. A repeated record whose id is no longer kept may count
    // twice.
    static constexpr std::size_t maxCrashIds = 8;

    struct Suspect
    {
        std::vector<std::uint64_t> crashIds; // the latest distinct ids, oldest first
        std::size_t importedCrashes = 0;     // crashes counted before the first of crashIds
        std::size_t clearedCrashes = 0;      // crashes cleared by a later answer
        Time lastCrash{};

        std::size_t totalCrashes() const { return this->importedCrashes + this->crashIds.size(); }
        std::size_t activeCrashes() const { return this->totalCrashes() - this->clearedCrashes; }
    };

    struct Expiry
    {
        Time due{};
        Fingerprint fingerprint = 0;
    };

    void countCrash(Fingerprint fingerprint, std::uint64_t crashId, Time now);
    void removeExpired(Time now);

    CrashGuardSettings settings;
    std::unordered_map<Fingerprint, Suspect> suspects;
    std::deque<Expiry> expiries; // ascending by due
    std::deque<CrashReport> pendingReports;
    std::optional<Time> lastReport;
    bool isSuspectRunning = false; // a suspect runs with permit Alone
};

} // namespace kumquat
