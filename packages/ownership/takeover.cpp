// Sections: state changes, proof, messages, requests.
#include "ownership/takeover.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr std::size_t maxHandovers = 65'536; // maximum number of stored handovers
constexpr Duration maxRequestInterval = 4s;  // maximum time between requests for the same proof
constexpr Duration sweepInterval = 2s;       // time between searches for unreleased predecessors

} // namespace

// ---- state changes ----

void Takeover::update(const ApplyResult &result, Time now)
{
    const Session *session = this->context.ownSession();
    const SessionId current = session == nullptr ? 0 : session->id;
    if (current != this->ownSessionId) {
        this->updateAll(now);
        return;
    }
    for (const ServiceChange &change : result.moved) {
        for (const SlotChange &slot : change.slots) {
            this->updateSlot(change.service, slot.slot, now);
        }
    }
    for (const SessionId ended : result.ended) {
        const auto proof = this->proofs.find(ended);
        if (proof != this->proofs.end()) {
            proof->second.requestSoon(now);
        }
    }
    if (result.released != 0) {
        this->proofs.erase(result.released);
        this->settle(now);
    }
    if (!result.moved.empty()) {
        this->settle(now);
    }
}

void Takeover::updateAll(Time now)
{
    const Session *session = this->context.ownSession();
    this->ownSessionId = session == nullptr ? 0 : session->id;
    this->service = session == nullptr ? "" : session->service;
    this->settled.assign(this->context.settings.layout.count(), 0);
    this->unsettled.clear();
    for (Slot slot = 0; slot < this->settled.size() && !this->service.empty(); ++slot) {
        this->updateSlot(this->service, slot, now);
    }
    this->settle(now);
}

void Takeover::updateSlot(const std::string &changed, Slot slot, Time now)
{
    if (this->ownSessionId == 0 || changed != this->service) {
        return;
    }
    const SlotState *state = this->context.state.findSlot(this->service, slot);
    this->settled[slot] = 0;
    this->unsettled.erase(slot);
    if (state->owner == this->ownSessionId) {
        this->unsettled.insert(slot);
        // Request the proof at once, because the record has just been read.
        for (const Predecessor &predecessor : state->predecessors) {
            this->proofs[predecessor.session].requestSoon(now);
        }
        return;
    }
    const auto first = this->handovers.lower_bound({slot, 0, 0});
    const auto last = this->handovers.lower_bound({slot + 1, 0, 0});
    this->handovers.erase(first, last);
}

// ---- proof ----

bool Takeover::hasStopped(Slot slot, const Predecessor &predecessor, Time now)
{
    if (predecessor.session == this->ownSessionId
        || this->handovers.count({slot, predecessor.session, predecessor.epoch}) != 0) {
        return true;
    }
    const Session *session = this->context.state.findSession(predecessor.session);
    if (session == nullptr || session->released) {
        return true;
    }
    StopProof &proof = this->proofs[predecessor.session];
    return proof.complete || this->checkProof(*session, proof, now);
}

// Returns whether the session is newly proven to have stopped: its own node, or a majority of each
// of its peer sets since the last settled one, has released it. A set without peers never has a
// majority.
bool Takeover::checkProof(const Session &session, StopProof &proof, Time now)
{
    if (!session.ended || proof.checkedPass == this->pass) {
        return false;
    }
    proof.checkedPass = this->pass;
    const std::string &self = this->context.settings.node;
    if (session.node == self) {
        if (this->hasStoppedOwn(session.id, now)) {
            proof.releasedBy.insert(self);
        }
    } else if (this->tryRelease(session.id, now)) {
        proof.releasedBy.insert(self);
    }
    bool hasMajorities = true;
    for (const PeerSet &set : session.peerSets) {
        if (!this->context.guards().allPeerSets && &set != &session.peerSets.back()) {
            continue;
        }
        const auto released =
                std::count_if(set.peers.begin(), set.peers.end(), [&proof](const auto &peer) {
                    return proof.releasedBy.count(peer) != 0;
                });
        hasMajorities =
                hasMajorities && static_cast<std::size_t>(released) >= majorityOf(set.peers.size());
    }
    proof.complete = hasMajorities || proof.releasedBy.count(session.node) != 0;
    proof.completeAt = now;
    return proof.complete;
}

bool Takeover::trySettle(Slot slot, Time now)
{
    const SlotState &state = *this->context.state.findSlot(this->service, slot);
    const auto &list = state.predecessors;
    bool proven = true;
    for (const Predecessor &predecessor : list) {
        const bool counts = this->context.guards().allPredecessors || &predecessor == &list.back();
        if (counts && !this->hasStopped(slot, predecessor, now)) {
            this->blockers.insert(predecessor.session);
            proven = false;
        }
    }
    if (proven) {
        this->settled[slot] = state.epoch;
    }
    return proven;
}

void Takeover::settle(Time now)
{
    ++this->pass;
    this->blockers.clear();
    std::erase_if(this->unsettled, [this, now](Slot slot) { return this->trySettle(slot, now); });
}

std::vector<SessionId> Takeover::journalSessions(Slot slot) const
{
    std::vector<SessionId> sessions;
    const SlotState *state = this->context.state.findSlot(this->service, slot);
    if (state == nullptr) {
        return sessions;
    }
    const auto addSession = [this, slot, &sessions](SessionId id) {
        const auto handover = this->handovers.lower_bound({slot, id, 0});
        const bool handedOver = handover != this->handovers.end() && handover->slot == slot
                                && handover->session == id;
        const bool known = std::find(sessions.begin(), sessions.end(), id) != sessions.end();
        if (id != 0 && id != this->ownSessionId && !handedOver && !known) {
            sessions.push_back(id);
        }
    };
    for (const SessionId id : state->lineage) {
        addSession(id);
    }
    for (const Predecessor &predecessor : state->predecessors) {
        addSession(predecessor.session);
    }
    return sessions;
}

// ---- messages ----

void Takeover::onReleaseReply(const std::string &from, const wire::ReleaseReply &reply, Time now)
{
    const auto proof = this->proofs.find(reply.session());
    if (proof == this->proofs.end() || !reply.released()) {
        return;
    }
    proof->second.releasedBy.insert(from);
    ++this->pass;
    const Session *session = this->context.state.findSession(reply.session());
    if (session != nullptr && !proof->second.complete
        && this->checkProof(*session, proof->second, now)) {
        this->settle(now);
    }
}

// A handover may arrive before this process has read that it owns the slots, so it is stored. Slot
// numbers beyond the last slot identify parts of a transfer, which come before the slot itself.
void Takeover::onHandover(const std::string &from, const wire::Handover &handover, Time now)
{
    const Session *predecessor = this->context.state.findSession(handover.session());
    if (predecessor == nullptr || predecessor->node != from || this->ownSessionId == 0
        || handover.service() != this->service || this->handovers.size() > maxHandovers) {
        return;
    }
    this->context.hooks.importRemembered(this->service,
                                         {handover.requests().begin(), handover.requests().end()});
    wire::MeshMessage message;
    wire::HandoverAck &ack = *message.mutable_handover_ack();
    ack.set_service(this->service);
    ack.set_session(handover.session());
    for (const wire::OwnedSlot &slot : handover.slots()) {
        *ack.add_slots() = slot;
        if (slot.slot() < this->settled.size()) {
            this->handovers.insert({slot.slot(), handover.session(), slot.epoch()});
        }
    }
    this->context.send(from, std::move(message));
    this->settle(now);
}

// ---- requests ----

// Returns whether one of the blocking sessions has stopped. This checks sessions, which are far
// fewer than slots.
bool Takeover::findNewProof(Time now)
{
    ++this->pass;
    return std::any_of(this->blockers.begin(), this->blockers.end(), [this, now](SessionId id) {
        const Session *session = this->context.state.findSession(id);
        return session == nullptr || session->released
               || this->checkProof(*session, this->proofs[id], now);
    });
}

// Requests proof at growing intervals. A peer that cannot release yet answers on its own later.
void Takeover::requestProofs(Time now)
{
    for (const SessionId id : this->blockers) {
        const Session *session = this->context.state.findSession(id);
        StopProof &proof = this->proofs[id];
        if (session == nullptr || now < proof.requestDue) {
            continue;
        }
        proof.interval = std::clamp(proof.interval * 2, this->context.timings().resendInterval,
                                    maxRequestInterval);
        proof.requestDue = now + proof.interval;
        if (session->ended) {
            this->requestReleases(*session, proof);
        }
        this->requestHandovers(*session, proof);
    }
}

void Takeover::requestReleases(const Session &session, StopProof &proof)
{
    std::set<std::string> targets{session.node};
    for (const PeerSet &set : session.peerSets) {
        targets.insert(set.peers.begin(), set.peers.end());
    }
    for (const std::string &target : targets) {
        if (proof.releasedBy.count(target) == 0) {
            wire::MeshMessage message;
            message.mutable_release_request()->set_session(session.id);
            this->context.send(target, std::move(message));
        }
    }
}

void Takeover::requestHandovers(const Session &session, StopProof &proof)
{
    wire::MeshMessage message;
    wire::HandoverRequest &request = *message.mutable_handover_request();
    request.set_service(this->service);
    request.set_session(session.id);
    for (const Slot slot : this->unsettled) {
        for (const Predecessor &predecessor :
             this->context.state.findSlot(this->service, slot)->predecessors) {
            const HandoverKey key{slot, predecessor.session, predecessor.epoch};
            if (predecessor.session == session.id && this->handovers.count(key) == 0) {
                wire::OwnedSlot &wanted = *request.add_slots();
                wanted.set_slot(slot);
                wanted.set_epoch(predecessor.epoch);
            }
        }
    }
    if (request.slots_size() > 0 && !proof.complete) {
        this->context.send(session.node, std::move(message));
    }
}

// Returns how long this owner waits before it appends Released, to let other new owners of the
// ended session's slots append it first. Owners take turns in an order that differs between ended
// sessions. The delays double so that repeats do not load a slow log further: with delays of up to
// 500 ms for all owners, the loss of 40 of 240 nodes caused 1,448 records on a log that accepts 130
// per second.
Duration Takeover::chooseReleasedDelay(SessionId ended) const
{
    // The delay doubles up to about 32 s (by default) and then grows by one turn for each further
    // owner. Owners are rarely lost before their turn.
    constexpr std::size_t doublings = 6;
    const auto rankOf = [ended](SessionId owner) { return hashPair(owner, ended); };
    std::set<SessionId> earlierOwners;
    for (const SlotState &slot : this->context.state.findService(this->service)->slots) {
        const bool isPredecessor =
                std::any_of(slot.predecessors.begin(), slot.predecessors.end(),
                            [ended](const Predecessor &known) { return known.session == ended; });
        if (isPredecessor && slot.owner != 0 && rankOf(slot.owner) < rankOf(this->ownSessionId)) {
            earlierOwners.insert(slot.owner);
        }
    }
    const std::size_t doubled = std::min(earlierOwners.size(), doublings);
    const auto turns = (1ULL << doubled) - 1 + (earlierOwners.size() - doubled);
    const Duration oneTurn = this->context.timings().releasedStagger;
    // The first half turn lets the Fence records of the same loss go first.
    return oneTurn / 2 + oneTurn * static_cast<Duration::rep>(turns);
}

// All new owners of an ended session's slots get the same proof. Once one of them has appended
// Released, the others need not append it.
void Takeover::appendReleased(Time now)
{
    for (auto &[id, proof] : this->proofs) {
        const Session *session = this->context.state.findSession(id);
        if (!proof.complete || session == nullptr || !session->ended || session->released) {
            continue;
        }
        if (!proof.releasedDelay) {
            proof.releasedDelay = this->chooseReleasedDelay(id);
        }
        wire::LogRecord record;
        record.mutable_released()->set_session(id);
        if (now >= proof.completeAt + *proof.releasedDelay) {
            this->context.append({record.body_case(), id, 0}, record, now);
        }
    }
}

// Requests releases of ended predecessors that have handed over their slots here: their process may
// have crashed before it appended Released.
void Takeover::requestMissingReleases(Time now)
{
    this->nextSweep = now + sweepInterval;
    ++this->pass;
    std::erase_if(this->handovers, [this](const HandoverKey &key) {
        const SlotState *slot = this->context.state.findSlot(this->service, key.slot);
        return slot->owner != this->ownSessionId;
    });
    std::set<SessionId> sessions;
    for (const SlotState &slot : this->context.state.findService(this->service)->slots) {
        for (const Predecessor &predecessor : slot.predecessors) {
            if (slot.owner == this->ownSessionId) {
                sessions.insert(predecessor.session);
            }
        }
    }
    for (const SessionId id : sessions) {
        const Session *session = this->context.state.findSession(id);
        StopProof &proof = this->proofs[id];
        if (session->ended && !proof.complete && !this->checkProof(*session, proof, now)
            && now >= proof.requestDue) {
            proof.requestDue = now + sweepInterval;
            this->requestReleases(*session, proof);
        }
    }
    std::erase_if(this->proofs,
                  [&sessions](const auto &entry) { return sessions.count(entry.first) == 0; });
}

void Takeover::step(Time now)
{
    if (this->ownSessionId == 0 || this->service.empty()) {
        return;
    }
    if (!this->blockers.empty() && this->findNewProof(now)) {
        this->settle(now);
    }
    this->requestProofs(now);
    if (now >= this->nextSweep) {
        this->requestMissingReleases(now);
    }
    this->appendReleased(now);
}

Time Takeover::nextDue(Time now) const
{
    if (this->ownSessionId == 0 || this->service.empty()) {
        return never;
    }
    Time due = this->nextSweep;
    // Releases by this node, and the stop of its own sessions, depend on time alone: poll them.
    if (!this->blockers.empty()) {
        due = std::min(due, now + this->context.timings().fenceBatch);
    }
    for (const auto &[id, proof] : this->proofs) {
        const Session *session = this->context.state.findSession(id);
        if (proof.complete && session != nullptr && session->ended && !session->released) {
            const Time releasedDue = proof.completeAt + proof.releasedDelay.value_or(Duration(0));
            due = std::min(due, std::max(releasedDue, now + this->context.timings().fenceStagger));
        }
    }
    return due;
}

} // namespace kumquat
