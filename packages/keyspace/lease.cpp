#include "keyspace/lease.h"

#include "keyspace/store_era.h"

#include <algorithm>

namespace kumquat {

// ---- QuorumLease ----

void QuorumLease::setVoters(const std::vector<std::string> &nodes)
{
    this->voters = nodes;
}

void QuorumLease::reset()
{
    this->voters.clear();
    this->voteEnds.clear();
}

void QuorumLease::noteVote(const std::string &node, Time sentAt)
{
    Time &end = this->voteEnds[node];
    end = std::max(end, sentAt + this->settings.length);
}

Time QuorumLease::validUntil() const
{
    if (this->voters.empty()) {
        return Time::max();
    }
    std::vector<Time> ends;
    for (const std::string &voter : this->voters) {
        const auto found = this->voteEnds.find(voter);
        ends.push_back(found == this->voteEnds.end() ? Time::zero() : found->second);
    }
    const std::size_t last = voterMajority(ends.size()) - 1;
    std::nth_element(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(last), ends.end(),
                     std::greater<>());
    return ends[last];
}

// ---- VoterChange ----

void VoterChange::note(const std::vector<std::string> &nodes, std::uint64_t tableEnd, Time now)
{
    if (nodes != this->voters) {
        this->voters = nodes;
        this->changedAt = now;
        this->endBefore = this->end;
    }
    this->end = tableEnd;
}

std::uint64_t VoterChange::settledEnd(Duration leaseLength, Time now) const
{
    const double slowFactor = 1 + LeaseSettings{}.clockDrift;
    const auto grantLength = std::chrono::duration_cast<Duration>(leaseLength * slowFactor);
    return now >= this->changedAt + grantLength ? this->end : this->endBefore;
}

// ---- TableFreshness ----

void TableFreshness::note(Time asOf, std::uint32_t era)
{
    if (asOf < this->startedAt || era < this->newestEra) {
        return;
    }
    this->newestEra = era;
    Time &current = this->currentAt.try_emplace(era, asOf).first->second;
    current = std::max(current, asOf);
}

std::optional<Duration> TableFreshness::age(Time now, std::uint32_t era) const
{
    const auto found = this->currentAt.find(era);
    return found == this->currentAt.end() ? std::nullopt
                                          : std::optional<Duration>(now - found->second);
}

Time TableFreshness::leaseLimit(std::uint32_t era) const
{
    const auto found = this->currentAt.find(era);
    return found == this->currentAt.end() ? Time::zero() : found->second + this->settings.freshFor;
}

// ---- LeaseVoter ----

Duration LeaseVoter::maxVoteLength(const KeyTable &table) const
{
    const double slowFactor = 1 + this->settings.clockDrift;
    return std::chrono::duration_cast<Duration>(table.leaseLength * slowFactor);
}

bool LeaseVoter::vote(const KeyTable *table, std::uint64_t session, Time now)
{
    if (table == nullptr || table->isFormer || !this->freshReadEra
        || storeEraOf(table->end) < *this->freshReadEra) {
        return false;
    }
    const KeySession *found = table->session(session);
    if (found == nullptr || !found->isActive()) {
        return false;
    }
    this->voteEnds[session] = now + this->maxVoteLength(*table);
    return true;
}

bool LeaseVoter::hasReleased(const KeyTable *table, std::uint64_t session, std::uint64_t endedAt,
                             Time now) const
{
    if (table == nullptr || table->end < endedAt
        || now < this->startedAt + this->maxVoteLength(*table)) {
        return false;
    }
    const KeySession *found = table->session(session);
    if (found != nullptr && found->isActive()) {
        return false;
    }
    const auto lastVote = this->voteEnds.find(session);
    return lastVote == this->voteEnds.end() || now >= lastVote->second;
}

// ---- StopProof ----

void StopProof::noteRelease(std::uint64_t session, const std::string &voter)
{
    this->released[session].insert(voter);
}

bool StopProof::hasNoMajorityLeft(std::uint64_t session,
                                  const std::vector<std::string> &voters) const
{
    const auto found = this->released.find(session);
    const std::size_t count =
            found == this->released.end()
                    ? 0
                    : static_cast<std::size_t>(std::count_if(
                            voters.begin(), voters.end(), [&](const std::string &voter) {
                                return found->second.contains(voter);
                            }));
    return voters.size() - count < voterMajority(voters.size()) || voters.empty();
}

bool StopProof::isStopped(const KeyTable &table, std::uint64_t session) const
{
    const KeySession *found = table.session(session);
    if (found == nullptr || found->stopped) {
        return true;
    }
    // Without voters the lease never ends, so only the session's own host can prove that the
    // session has stopped. That host is listed among the former voters until it has read the table
    // with its first voters.
    const auto &former = found->formerVoters;
    const bool hadNoVoters = std::find(former.begin(), former.end(), found->node) != former.end();
    if (found->isActive() || found->voters.empty() || hadNoVoters) {
        return false;
    }
    return this->hasNoMajorityLeft(session, found->voters)
           && this->hasNoMajorityLeft(session, found->formerVoters);
}

void StopProof::noteTable(const KeyTable &table, Time now)
{
    for (const KeySession &session : table.sessions) {
        if (!session.isActive()) {
            this->endedSince.try_emplace(session.id, now);
        }
    }
}

bool StopProof::hasExpired(std::uint64_t session, Time now) const
{
    const auto found = this->endedSince.find(session);
    const auto wait = std::chrono::duration_cast<Duration>(this->settings.freshFor
                                                           * (1 + this->settings.clockDrift));
    return found != this->endedSince.end() && now >= found->second + wait;
}

void StopProof::prune(const KeyTable &table)
{
    const auto isForgotten = [&](const auto &entry) {
        const KeySession *session = table.session(entry.first);
        return session == nullptr || session->isActive();
    };
    std::erase_if(this->released, isForgotten);
    std::erase_if(this->endedSince, isForgotten);
}

} // namespace kumquat
