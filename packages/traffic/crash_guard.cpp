#include "traffic/crash_guard.h"

#include <algorithm>
#include <utility>

namespace kumquat {

CrashGuard::CrashGuard(CrashGuardSettings initial)
    : settings(initial)
{}

void CrashGuard::noteCrash(const std::vector<Fingerprint> &running, std::uint64_t crashId, Time now)
{
    if (running.empty()) {
        return;
    }
    this->applyRecord(running, crashId, now);
    if (this->pendingReports.size() >= this->settings.maxReports) {
        this->pendingReports.pop_front();
    }
    this->pendingReports.push_back({.crashId = crashId, .fingerprints = running});
}

void CrashGuard::applyRecord(const std::vector<Fingerprint> &fingerprints, std::uint64_t crashId,
                             Time now)
{
    for (const Fingerprint fingerprint : fingerprints) {
        this->countCrash(fingerprint, crashId, now);
    }
    this->removeExpired(now);
}

void CrashGuard::importCount(Fingerprint fingerprint, std::uint32_t crashes,
                             std::uint64_t lastCrashId, Time now)
{
    const auto known = this->suspects.find(fingerprint);
    if (crashes == 0
        || (known != this->suspects.end() && known->second.totalCrashes() >= crashes)) {
        return;
    }
    Suspect &entry = this->suspects[fingerprint];
    entry.crashIds = {lastCrashId};
    entry.importedCrashes = crashes - 1;
    entry.lastCrash = now;
    this->expiries.push_back(
            {.due = now + this->settings.crashLifetime, .fingerprint = fingerprint});
    this->removeExpired(now);
}

bool CrashGuard::isQuarantined(Fingerprint fingerprint, Time now) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end()
           && found->second.activeCrashes() >= this->settings.quarantineCrashes
           && now - found->second.lastCrash < this->settings.quarantineTime;
}

RunPermit CrashGuard::startRun(Fingerprint fingerprint, Time now)
{
    if (this->isQuarantined(fingerprint, now)) {
        return RunPermit::Quarantined;
    }
    const auto found = this->suspects.find(fingerprint);
    const bool isSuspect = found != this->suspects.end()
                           && found->second.activeCrashes() >= this->settings.suspectCrashes
                           && now - found->second.lastCrash < this->settings.crashLifetime;
    if (!isSuspect) {
        return RunPermit::Free;
    }
    if (this->isSuspectRunning) {
        return RunPermit::Wait;
    }
    this->isSuspectRunning = true;
    return RunPermit::Alone;
}

bool CrashGuard::endRun(RunPermit permit, Fingerprint fingerprint, bool isAnswered)
{
    this->isSuspectRunning = this->isSuspectRunning && permit != RunPermit::Alone;
    if (isAnswered) {
        this->clear(fingerprint);
    }
    return isAnswered && permit == RunPermit::Alone;
}

void CrashGuard::clear(Fingerprint fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    if (found != this->suspects.end()) {
        // The crash ids are kept, so that records read later do not count the same crashes again.
        found->second.clearedCrashes = found->second.totalCrashes();
    }
}

std::vector<CrashGuard::Quarantined> CrashGuard::quarantined(std::size_t limit, Time now) const
{
    std::vector<Quarantined> result;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (result.size() < limit && this->isQuarantined(fingerprint, now)) {
            result.push_back({.fingerprint = fingerprint,
                              .crashes = static_cast<std::uint32_t>(suspect.activeCrashes()),
                              .lastCrashId = suspect.crashIds.back(),
                              .lastCrash = suspect.lastCrash});
        }
    }
    return result;
}

std::optional<CrashReport> CrashGuard::takeReport(Time now)
{
    const std::optional<Time> due = this->nextReport();
    if (!due || *due > now) {
        return std::nullopt;
    }
    CrashReport report = std::move(this->pendingReports.front());
    this->pendingReports.pop_front();
    this->lastReport = now;
    return report;
}

std::optional<Time> CrashGuard::nextReport() const
{
    if (this->pendingReports.empty()) {
        return std::nullopt;
    }
    return this->lastReport ? *this->lastReport + this->settings.reportInterval : Time{};
}

void CrashGuard::countCrash(Fingerprint fingerprint, std::uint64_t crashId, Time now)
{
    Suspect &entry = this->suspects[fingerprint];
    const auto known = std::find(entry.crashIds.begin(), entry.crashIds.end(), crashId);
    if (known != entry.crashIds.end()) {
        return;
    }
    const bool isSameFailure =
            entry.totalCrashes() > 0 && now < entry.lastCrash + this->settings.minCrashSpacing;
    entry.clearedCrashes += isSameFailure ? 1 : 0; // known, but not counted
    entry.crashIds.push_back(crashId);
    if (entry.crashIds.size() > maxCrashIds) {
        entry.crashIds.erase(entry.crashIds.begin());
        ++entry.importedCrashes;
    }
    entry.lastCrash = now;
    this->expiries.push_back(
            {.due = now + this->settings.crashLifetime, .fingerprint = fingerprint});
}

void CrashGuard::removeExpired(Time now)
{
    while (!this->expiries.empty()) {
        const Expiry oldest = this->expiries.front();
        const bool tooMany = this->suspects.size() > this->settings.maxFingerprints;
        if (oldest.due > now && !tooMany) {
            return;
        }
        this->expiries.pop_front();
        const auto found = this->suspects.find(oldest.fingerprint);
        // A fingerprint with a later crash has its own later expiry entry.
        if (found != this->suspects.end()
            && found->second.lastCrash + this->settings.crashLifetime <= oldest.due) {
            this->suspects.erase(found);
        }
    }
}

} // namespace kumquat
