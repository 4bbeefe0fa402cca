#include "keyspace/lease.h"

#include <algorithm>

namespace kumquat {

// ---- VouchedLease ----

void QuorumLease::setVoters(const std::vector<std::string> &nodes)
{
    this->voters = nodes;
}

void QuorumLease::reset()
{
    this->voters.clear();
    this->until.clear();
}

void QuorumLease::noteVote(const std::string &node, Time sentAt)
{
    Time &end = this->until[node];
    end = std::max(end, sentAt + this->settings.length);
}

Time QuorumLease::validUntil() const
{
    if (this->voters.empty()) {
        return Time::max();
    }
    std::vector<Time> ends;
    for (const std::string &voter : this->voters) {
        const auto found = this->until.find(voter);
        ends.push_back(found == this->until.end() ? Time::zero() : found->second);
    }
    const std::size_t last = voterMajority(ends.size()) - 1;
    std::nth_element(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(last), ends.end(),
                     std::greater<>());
    return ends[last];
}

// ---- VoterRole ----

Duration LeaseVoter::longest(const KeyTable &table) const
{
    const double slow = 1 + this->settings.clockDrift;
    return std::chrono::duration_cast<Duration>(table.leaseLength * slow);
}

bool LeaseVoter::vote(const KeyTable *table, std::uint64_t session, Time now)
{
    if (!this->hasFreshRead || table == nullptr) {
        return false;
    }
    const KeySession *found = table->session(session);
    if (found == nullptr || !found->isActive()) {
        return false;
    }
    this->until[session] = now + this->longest(*table);
    return true;
}

bool LeaseVoter::hasReleased(const KeyTable *table, std::uint64_t session, std::uint64_t endedAt,
                             Time now) const
{
    if (table == nullptr || table->end < endedAt || now < this->startedAt + this->longest(*table)) {
        return false;
    }
    const KeySession *found = table->session(session);
    if (found != nullptr && found->isActive()) {
        return false;
    }
    const auto vouched = this->until.find(session);
    return vouched == this->until.end() || now >= vouched->second;
}

// ---- StopProof ----

void StopProof::noteRelease(std::uint64_t session, const std::string &voter)
{
    this->released[session].insert(voter);
}

bool StopProof::hasMajority(std::uint64_t session, const std::vector<std::string> &voters) const
{
    const auto found = this->released.find(session);
    const std::size_t count =
            found == this->released.end()
                    ? 0
                    : static_cast<std::size_t>(std::count_if(
                            voters.begin(), voters.end(), [&](const std::string &voter) {
                                return found->second.contains(voter);
                            }));
    return count >= voterMajority(voters.size());
}

bool StopProof::isStopped(const KeyTable &table, std::uint64_t session) const
{
    const KeySession *found = table.session(session);
    if (found == nullptr || found->stopped) {
        return true;
    }
    // Without voters the lease never ends, so only the session's own host can give the proof. It
    // stands among the former voters until it has read of its first ones.
    const auto &former = found->formerVoters;
    const bool hadNone = std::find(former.begin(), former.end(), found->node) != former.end();
    if (found->isActive() || found->voters.empty() || hadNone) {
        return false;
    }
    return this->hasMajority(session, found->voters)
           && this->hasMajority(session, found->formerVoters);
}

void StopProof::prune(const KeyTable &table)
{
    std::erase_if(this->released,
                  [&](const auto &entry) { return table.session(entry.first) == nullptr; });
}

} // namespace kumquat
