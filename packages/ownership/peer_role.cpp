// Sections: state changes, grants, releases, suspicion and fences.
#include "ownership/peer_role.h"

#include <algorithm>
#include <vector>

namespace kumquat {

// ---- state changes ----

bool PeerRole::isPeerOf(const Session &session) const
{
    return std::any_of(session.peerSets.begin(), session.peerSets.end(), [this](const auto &set) {
        const auto &self = this->context.settings.node;
        return std::find(set.peers.begin(), set.peers.end(), self) != set.peers.end();
    });
}

void PeerRole::update(SessionId id, Time now)
{
    const Session *session = this->context.state.findSession(id);
    if (session == nullptr || session->released) {
        this->watches.erase(id);
        this->releasedSessions.erase(id);
        return;
    }
    if (session->node != this->context.settings.node && !this->isPeerOf(*session)) {
        this->watches.erase(id);
        return;
    }
    auto [entry, added] = this->watches.try_emplace(id);
    if (added) {
        entry->second.since = now;
    }
    entry->second.active = !session->ended && session->node != this->context.settings.node;
    if (!entry->second.active) {
        entry->second.fenceDue = never;
    }
}

void PeerRole::updateAll(Time now)
{
    std::set<SessionId> ids;
    for (const auto &[id, watch] : this->watches) {
        ids.insert(id);
    }
    for (const auto &[id, session] : this->context.state.allSessions()) {
        ids.insert(id);
    }
    for (const SessionId id : ids) {
        this->update(id, now);
    }
}

// ---- grants ----

void PeerRole::onRenew(const std::string &from, const wire::Renew &renew, Time now)
{
    const auto found = this->watches.find(renew.session());
    const Session *session = this->context.state.findSession(renew.session());
    if (found == this->watches.end() || session == nullptr || session->node != from) {
        return;
    }
    Watch &watch = found->second;
    watch.lastRenew = now;
    watch.fenceDue = never;
    if ((session->ended && this->context.guards().noGrantAfterEnd)
        || !this->context.isPeerReady(now)) {
        return;
    }
    watch.grantUntil = now + this->context.peerLease();
    wire::MeshMessage message;
    wire::Grant &grant = *message.mutable_grant();
    grant.set_session(renew.session());
    grant.set_sequence(renew.sequence());
    grant.set_incarnation(this->context.settings.incarnation);
    this->context.send(from, std::move(message));
}

// ---- releases ----

// A release is final: the peer has read the session's end and never grants to the session again.
// This holds after a restart too, because the peer then reads the log beyond that end before it
// grants.
bool PeerRole::tryRelease(SessionId id, Time now)
{
    const auto found = this->watches.find(id);
    const Session *session = this->context.state.findSession(id);
    const Guards &guards = this->context.guards();
    if (found == this->watches.end() || session == nullptr || !this->context.isPeerReady(now)) {
        return false;
    }
    if (guards.releaseAfterReading && !session->ended) {
        return false;
    }
    if (guards.releaseAfterGrants && now < found->second.grantUntil) {
        return false;
    }
    this->releasedSessions.insert(id);
    return true;
}

bool PeerRole::hasReleased(SessionId id) const
{
    const Session *session = this->context.state.findSession(id);
    return this->releasedSessions.count(id) != 0 || (session != nullptr && session->released);
}

void PeerRole::sendReleaseReply(const std::string &to, SessionId session, bool released)
{
    wire::MeshMessage message;
    wire::ReleaseReply &reply = *message.mutable_release_reply();
    reply.set_session(session);
    reply.set_released(released);
    reply.set_incarnation(this->context.settings.incarnation);
    this->context.send(to, std::move(message));
}

void PeerRole::onReleaseRequest(const std::string &from, const wire::ReleaseRequest &request,
                                Time now)
{
    auto found = this->watches.find(request.session());
    if (found == this->watches.end()) {
        // This node has not read the session yet or is no peer. The requester repeats its request.
        return;
    }
    found->second.requesters.insert(from);
    this->answerRequesters(request.session(), found->second, now);
}

void PeerRole::answerRequesters(SessionId id, Watch &watch, Time now)
{
    const Session *session = this->context.state.findSession(id);
    if (watch.requesters.empty() || session == nullptr) {
        return;
    }
    const bool own = session->node == this->context.settings.node;
    if (own ? !this->hasStoppedOwn(id, now) : !this->tryRelease(id, now)) {
        return;
    }
    for (const std::string &requester : watch.requesters) {
        this->sendReleaseReply(requester, id, true);
    }
    watch.requesters.clear();
}

// ---- suspicion and fences ----

// Returns when the session becomes suspect. A pause of this process is no evidence against the
// other nodes, because their messages may still wait in its sockets.
Time PeerRole::suspicionStart(const Watch &watch) const
{
    const Time lastReceived = std::max({watch.lastRenew, watch.since, this->context.resumed});
    return lastReceived + this->context.timings().silenceTimeout;
}

void PeerRole::onSuspect(const std::string &from, const wire::Suspect &suspect, Time now)
{
    const auto found = this->watches.find(suspect.session());
    if (found != this->watches.end() && found->second.active) {
        found->second.suspects[from] = now;
    }
}

void PeerRole::sendSuspect(const Session &session, Watch &watch, Time now)
{
    if (now < watch.lastSuspect + this->context.timings().suspectInterval) {
        return;
    }
    watch.lastSuspect = now;
    std::set<std::string> others;
    for (const PeerSet &set : session.peerSets) {
        others.insert(set.peers.begin(), set.peers.end());
    }
    for (const std::string &other : others) {
        wire::MeshMessage message;
        message.mutable_suspect()->set_session(session.id);
        this->context.send(other, std::move(message));
    }
}

// Returns when this peer may append the Fence, or `never`. Another peer of the same set must also
// suspect the session, unless the set has only one peer. Suspecting peers of lower rank go first.
Time PeerRole::findFenceTime(const Session &session, const Watch &watch, Time now) const
{
    Time due = never;
    for (const PeerSet &set : session.peerSets) {
        const auto self =
                std::find(set.peers.begin(), set.peers.end(), this->context.settings.node);
        if (self == set.peers.end()) {
            continue;
        }
        std::size_t suspecting = 0;
        int earlierPeers = 0;
        for (auto peer = set.peers.begin(); peer != set.peers.end(); ++peer) {
            const auto suspectFrom = watch.suspects.find(*peer);
            const bool isRecent =
                    suspectFrom != watch.suspects.end()
                    && now <= suspectFrom->second + this->context.timings().silenceTimeout;
            suspecting += isRecent ? 1 : 0;
            earlierPeers += isRecent && peer < self ? 1 : 0;
        }
        if (suspecting > 0 || set.peers.size() == 1) {
            due = std::min(due, now + earlierPeers * this->context.timings().fenceStagger);
        }
    }
    return due;
}

// Appends the fences that are due. One record has all fences that became due within the batch time.
void PeerRole::appendFence(Time now)
{
    const Duration batch = this->context.timings().fenceBatch;
    wire::LogRecord record;
    bool isBatchDue = false;
    std::vector<Watch *> chosen;
    for (auto &[id, watch] : this->watches) {
        if (watch.fenceDue > now) {
            continue;
        }
        record.mutable_fence()->add_sessions(id);
        chosen.push_back(&watch);
        isBatchDue = isBatchDue || now >= watch.fenceDue + batch;
    }
    if (!isBatchDue || !this->context.answering) {
        return;
    }
    const auto first = record.fence().sessions(0);
    this->context.outbox.append({record.body_case(), first, 0}, record, Duration(0), now);
    for (Watch *watch : chosen) {
        watch->fenceDue = now + this->context.timings().appendRepeatInterval;
    }
}

void PeerRole::step(Time now)
{
    for (auto &[id, watch] : this->watches) {
        this->answerRequesters(id, watch, now);
        if (!watch.active) {
            continue;
        }
        if (now < this->suspicionStart(watch)) {
            watch.fenceDue = never;
            continue;
        }
        const Session &session = *this->context.state.findSession(id);
        this->sendSuspect(session, watch, now);
        const Time due = this->findFenceTime(session, watch, now);
        if (due == never) {
            watch.fenceDue = never;
        } else if (watch.fenceDue == never) {
            watch.fenceDue = due;
        }
    }
    this->appendFence(now);
}

Time PeerRole::nextDue(Time now) const
{
    Time due = never;
    for (const auto &[id, watch] : this->watches) {
        if (!watch.requesters.empty()) {
            const Time restarted = this->context.started + this->context.peerLease();
            const Time release = std::max(watch.grantUntil, restarted);
            due = std::min(due, now < release ? release : now + this->context.timings().fenceBatch);
        }
        if (!watch.active) {
            continue;
        }
        const Time silent = this->suspicionStart(watch);
        if (now < silent) {
            due = std::min(due, silent);
            continue;
        }
        due = std::min(due, watch.lastSuspect + this->context.timings().suspectInterval);
        if (watch.fenceDue != never && this->context.answering) {
            due = std::min(due, std::max(watch.fenceDue + this->context.timings().fenceBatch, now));
        }
    }
    return due;
}

} // namespace kumquat
