#include "ownership/owner_lease.h"

#include <set>
#include <vector>

namespace kumquat {

namespace {

// Number of rounds whose sending time is kept. At intervals of 100 ms they cover more than one
// lease.
constexpr std::size_t maxKeptRounds = 16;

} // namespace

void OwnerLease::update(Time now)
{
    const Session *own = this->context.ownSession();
    if (this->session != 0 && (own == nullptr || own->id != this->session)) {
        this->end(now);
    }
    if (own == nullptr) {
        return;
    }
    if (this->session == 0) {
        this->begin(*own, now);
    }
    if (own->generation != this->generation) {
        this->generation = own->generation;
        this->peersChangedAt = now;
        this->nextRound = now;
    }
    std::set<std::string> current;
    for (const PeerSet &set : own->peerSets) {
        for (const std::string &peer : set.peers) {
            current.insert(peer);
            this->replaced.erase(peer);
            if (this->peerLinks.count(peer) == 0) {
                PeerLink link;
                link.since = now;
                link.lastGrant = now;
                this->peerLinks.emplace(peer, link);
            }
        }
    }
    for (auto link = this->peerLinks.begin(); link != this->peerLinks.end();) {
        if (current.count(link->first) != 0) {
            ++link;
            continue;
        }
        this->replaced[link->first] = now + this->context.timings().replacedPeerRenewal;
        link = this->peerLinks.erase(link);
    }
    this->refreshLease();
}

void OwnerLease::begin(const Session &own, Time now)
{
    this->session = own.id;
    this->sessionReadTime = now;
    this->peersChangedAt = now;
    this->generation = own.generation;
    this->minGeneration = 0;
    this->settleNotBefore = now;
    this->sent.clear();
    this->peerLinks.clear();
    this->replaced.clear();
    this->nextRound = now;
}

void OwnerLease::end(Time now)
{
    // Leases under older peer sets end at settleNotBefore at the latest.
    this->finalLeaseEnds[this->session] = std::max(this->leaseEnd(now), this->settleNotBefore);
    this->session = 0;
    this->peerLinks.clear();
    this->replaced.clear();
    this->refreshLease();
    while (this->finalLeaseEnds.size() > 64) { // far more sessions than end within one lease
        this->finalLeaseEnds.erase(this->finalLeaseEnds.begin());
    }
}

void OwnerLease::onGrant(const std::string &from, const wire::Grant &grant, Time now)
{
    const auto link = this->peerLinks.find(from);
    if (grant.session() != this->session || link == this->peerLinks.end()) {
        return;
    }
    link->second.lastGrant = now;
    link->second.incarnation = grant.incarnation();
    for (const auto &[sequenceSent, sentAt] : this->sent) {
        if (sequenceSent != grant.sequence()) {
            continue;
        }
        const Time countedFrom = this->context.guards().leaseFromSending ? sentAt : now;
        link->second.leaseStart = std::max(link->second.leaseStart, countedFrom);
    }
    this->refreshLease();
}

void OwnerLease::setJournalComplete(const std::string &peer, std::uint64_t incarnation)
{
    const auto link = this->peerLinks.find(peer);
    if (link != this->peerLinks.end()) {
        link->second.journalIncarnation = incarnation;
    }
}

// For each peer set, the lease starts at the newest renewal that a majority of the set has granted.
// The latest end of all sets counts.
void OwnerLease::refreshLease()
{
    this->unlimited = false;
    this->leaseUntil = distantPast;
    const Session *own = this->context.state.findSession(this->session);
    if (this->session == 0 || own == nullptr) {
        return;
    }
    for (const PeerSet &set : own->peerSets) {
        if (set.generation < this->minGeneration) {
            continue;
        }
        if (set.peers.empty()) {
            this->unlimited = true;
            continue;
        }
        std::vector<Time> granted;
        for (const std::string &peer : set.peers) {
            granted.push_back(this->peerLinks.at(peer).leaseStart);
        }
        std::sort(granted.rbegin(), granted.rend());
        const Time from = granted[majorityOf(granted.size()) - 1];
        this->leaseUntil = std::max(this->leaseUntil, from + this->context.ownerLease());
    }
}

Time OwnerLease::leaseEnd(Time now) const
{
    return this->unlimited ? now + this->context.ownerLease() : this->leaseUntil;
}

Time OwnerLease::finalLeaseEnd(SessionId ended) const
{
    const auto found = this->finalLeaseEnds.find(ended);
    return found == this->finalLeaseEnds.end() ? never : found->second;
}

Time OwnerLease::lastGrantAt(const std::string &peer) const
{
    const auto link = this->peerLinks.find(peer);
    return link == this->peerLinks.end() ? distantPast : link->second.lastGrant;
}

std::uint64_t OwnerLease::incarnationOf(const std::string &peer) const
{
    const auto link = this->peerLinks.find(peer);
    return link == this->peerLinks.end() ? 0 : link->second.incarnation;
}

bool OwnerLease::isJournalComplete(const std::string &peer) const
{
    const auto link = this->peerLinks.find(peer);
    return link != this->peerLinks.end() && link->second.incarnation != 0
           && link->second.incarnation == link->second.journalIncarnation;
}

void OwnerLease::step(Time now)
{
    if (this->session == 0) {
        return;
    }
    if (now >= this->nextRound) {
        this->sendRound(now);
    }
    this->settlePeers(now);
}

void OwnerLease::sendRound(Time now)
{
    const bool leased = now < this->leaseEnd(now);
    const LeaseTimings &timings = this->context.timings();
    this->nextRound = now + (leased ? timings.renewInterval : timings.firstRenewInterval);
    // A session without a lease for a long time returns to the normal interval: its peers do not
    // answer.
    if (!leased && now > this->peersChangedAt + timings.peerSilenceTimeout) {
        this->nextRound = now + timings.renewInterval;
    }
    ++this->sequence;
    this->sent.emplace_back(this->sequence, now);
    if (this->sent.size() > maxKeptRounds) {
        this->sent.pop_front();
    }
    std::erase_if(this->replaced, [now](const auto &entry) { return entry.second < now; });
    std::set<std::string> targets;
    for (const auto &[peer, link] : this->peerLinks) {
        targets.insert(peer);
    }
    for (const auto &[peer, last] : this->replaced) {
        targets.insert(peer);
    }
    for (const std::string &peer : targets) {
        wire::MeshMessage message;
        wire::Renew &renew = *message.mutable_renew();
        renew.set_session(this->session);
        renew.set_sequence(this->sequence);
        this->context.send(peer, std::move(message));
    }
}

// A set can be used alone if a majority of its peers grants and has the complete journal.
bool OwnerLease::isUsable(const PeerSet &set, Time now) const
{
    std::size_t usable = 0;
    for (const std::string &peer : set.peers) {
        const PeerLink &link = this->peerLinks.at(peer);
        if (now < link.leaseStart + this->context.ownerLease() && this->isJournalComplete(peer)) {
            ++usable;
        }
    }
    return set.peers.empty() || usable >= majorityOf(set.peers.size());
}

// Appends PeersSettled. Older sets stop giving leases before the append, because other processes
// may read the record before this process does. Requests that were dispatched under a lease of the
// older sets may run until that lease ends, and the new set does not cover that time, so the record
// is appended only after the end.
void OwnerLease::settlePeers(Time now)
{
    const Session *own = this->context.state.findSession(this->session);
    if (own == nullptr || own->peerSets.size() < 2 || !this->context.answering
        || (own->generation > this->minGeneration && !this->isUsable(own->peerSets.back(), now))) {
        return;
    }
    if (own->generation > this->minGeneration) {
        this->settleNotBefore = std::max(this->settleNotBefore, this->leaseEnd(now));
        this->minGeneration = own->generation;
        this->refreshLease();
    }
    if (now < this->settleNotBefore && this->context.guards().settleAfterLease) {
        return;
    }
    wire::LogRecord record;
    record.mutable_peers_settled()->set_session(this->session);
    record.mutable_peers_settled()->set_generation(own->generation);
    const AppendKey key{record.body_case(), this->session, own->generation};
    this->context.append(key, record, now);
}

Time OwnerLease::nextDue(Time now) const
{
    if (this->session == 0) {
        return never;
    }
    const Session *own = this->context.state.findSession(this->session);
    Time due = this->nextRound;
    if (own != nullptr && own->peerSets.size() > 1 && this->isUsable(own->peerSets.back(), now)) {
        const AppendKey key{wire::LogRecord::kPeersSettled, this->session, own->generation};
        due = std::min(due, std::max(this->settleNotBefore, this->context.appendDue(key)));
    }
    return due;
}

} // namespace kumquat
