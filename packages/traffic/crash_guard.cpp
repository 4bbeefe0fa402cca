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
    if (this->reports.size() >= this->settings.reports) {
        this->reports.pop_front();
    }
    this->reports.push_back({.crashId = crashId, .fingerprints = running});
}

void CrashGuard::applyRecord(const std::vector<Fingerprint> &fingerprints, std::uint64_t crashId,
                             Time now)
{
    for (const Fingerprint fingerprint : fingerprints) {
        this->count(fingerprint, crashId, now);
    }
    this->forget(now);
}

void CrashGuard::importCount(Fingerprint fingerprint, std::uint32_t crashes,
                             std::uint64_t lastCrashId, Time now)
{
    const auto known = this->blamed.find(fingerprint);
    if (crashes == 0 || (known != this->blamed.end() && known->second.known() >= crashes)) {
        return;
    }
    Blamed &entry = this->blamed[fingerprint];
    entry.crashIds = {lastCrashId};
    entry.imported = crashes - 1;
    entry.last = now;
    this->expiries.push_back({.due = now + this->settings.memory, .fingerprint = fingerprint});
    this->forget(now);
}

bool CrashGuard::isQuarantined(Fingerprint fingerprint, Time now) const
{
    const auto found = this->blamed.find(fingerprint);
    return found != this->blamed.end() && found->second.crashes() >= this->settings.crashes
           && now - found->second.last < this->settings.quarantine;
}

RunPermit CrashGuard::startRun(Fingerprint fingerprint, Time now)
{
    if (this->isQuarantined(fingerprint, now)) {
        return RunPermit::Quarantined;
    }
    const auto found = this->blamed.find(fingerprint);
    const bool isBlamed = found != this->blamed.end() && found->second.crashes() > 0
                          && now - found->second.last < this->settings.memory;
    if (!isBlamed) {
        return RunPermit::Free;
    }
    if (this->runsAlone) {
        return RunPermit::Wait;
    }
    this->runsAlone = true;
    return RunPermit::Alone;
}

void CrashGuard::endRun(RunPermit permit, Fingerprint fingerprint, bool isAnswered)
{
    if (permit != RunPermit::Alone) {
        return;
    }
    this->runsAlone = false;
    const auto found = this->blamed.find(fingerprint);
    if (isAnswered && found != this->blamed.end()) {
        // The crash ids stay, so that a record that is read later does not count them again.
        found->second.cleared = found->second.known();
    }
}

std::optional<CrashReport> CrashGuard::takeReport(Time now)
{
    const std::optional<Time> due = this->nextReport();
    if (!due || *due > now) {
        return std::nullopt;
    }
    CrashReport report = std::move(this->reports.front());
    this->reports.pop_front();
    this->lastReport = now;
    return report;
}

std::optional<Time> CrashGuard::nextReport() const
{
    if (this->reports.empty()) {
        return std::nullopt;
    }
    return this->lastReport ? *this->lastReport + this->settings.reportEvery : Time{};
}

void CrashGuard::count(Fingerprint fingerprint, std::uint64_t crashId, Time now)
{
    Blamed &entry = this->blamed[fingerprint];
    const auto known = std::find(entry.crashIds.begin(), entry.crashIds.end(), crashId);
    if (known != entry.crashIds.end()) {
        return;
    }
    entry.crashIds.push_back(crashId);
    if (entry.crashIds.size() > crashIdsKept) {
        entry.crashIds.erase(entry.crashIds.begin());
        ++entry.imported;
    }
    entry.last = now;
    this->expiries.push_back({.due = now + this->settings.memory, .fingerprint = fingerprint});
}

void CrashGuard::forget(Time now)
{
    while (!this->expiries.empty()) {
        const Expiry oldest = this->expiries.front();
        const bool tooMany = this->blamed.size() > this->settings.fingerprints;
        if (oldest.due > now && !tooMany) {
            return;
        }
        this->expiries.pop_front();
        const auto found = this->blamed.find(oldest.fingerprint);
        // A fingerprint that was blamed again has a later expiry of its own.
        if (found != this->blamed.end()
            && found->second.last + this->settings.memory <= oldest.due) {
            this->blamed.erase(found);
        }
    }
}

} // namespace kumquat
