// Sections: helpers, sessions, slots, peers, rules and crashes, apply.
#include "ownership/cluster_state.h"

#include "ownership/slot_groups.h"
#include "wire/log.pb.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace kumquat {

namespace {

// Returns whether the names are a valid peer set of the node: at most peerLimit, distinct, not
// empty, and without the node itself.
template <typename Names>
bool isValidPeerSet(const Names &names, const std::string &node)
{
    const std::set<std::string> distinct(names.begin(), names.end());
    return static_cast<std::size_t>(names.size()) <= peerLimit
           && distinct.size() == static_cast<std::size_t>(names.size()) && distinct.count(node) == 0
           && distinct.count("") == 0;
}

void reject(ApplyResult &result, std::string_view reason)
{
    result.accepted = false;
    result.reason = reason;
}

} // namespace

// ---- helpers ----

Session *ClusterState::findActive(SessionId session)
{
    const auto found = this->sessions.find(session);
    return found == this->sessions.end() || found->second.ended ? nullptr : &found->second;
}

void ClusterState::addReference(SessionId session)
{
    const auto found = this->sessions.find(session);
    assert(found != this->sessions.end() && "slots refer to the session, so it must still exist");
    ++found->second.references;
}

void ClusterState::dropReference(SessionId session)
{
    const auto found = this->sessions.find(session);
    assert(found != this->sessions.end() && "slots refer to the session, so it must still exist");
    --found->second.references;
    this->dropIfUnused(session);
}

// Drops a session that nothing can refer to any more: it is released, no slot refers to it, and its
// node has a newer session. The newest session of a node stays, because the next Join must name it.
void ClusterState::dropIfUnused(SessionId session)
{
    const auto found = this->sessions.find(session);
    if (found == this->sessions.end()) {
        return;
    }
    const Session &entry = found->second;
    const bool newest = this->nodes.find(entry.node)->second == session;
    if (entry.released && entry.references == 0 && !newest) {
        this->sessions.erase(found);
    }
}

// The predecessor list is in order of epoch. It has each session once, with its newest epoch: a
// session that has stopped serving the newest epoch has also stopped serving the older ones.
void ClusterState::addPredecessor(SlotState &slot, Predecessor predecessor)
{
    const auto erased = std::erase_if(slot.predecessors, [&predecessor](const Predecessor &known) {
        return known.session == predecessor.session;
    });
    slot.predecessors.push_back(predecessor);
    if (erased == 0) {
        this->addReference(predecessor.session);
    }
}

// A removed predecessor that has ended goes into the lineage. It may have ended before its
// handover, so later owners must query its peers for request ids.
void ClusterState::removePredecessor(SlotState &slot, SessionId session)
{
    const auto matches = [session](const Predecessor &known) { return known.session == session; };
    const auto found = std::find_if(slot.predecessors.begin(), slot.predecessors.end(), matches);
    if (found == slot.predecessors.end()) {
        return;
    }
    slot.predecessors.erase(found);
    if (this->sessions.at(session).ended) {
        this->addLineage(slot, session);
    }
    this->dropReference(session);
}

void ClusterState::clearPredecessors(SlotState &slot)
{
    while (!slot.predecessors.empty()) {
        this->removePredecessor(slot, slot.predecessors.front().session);
    }
}

void ClusterState::addLineage(SlotState &slot, SessionId session)
{
    if (session == 0
        || std::find(slot.lineage.begin(), slot.lineage.end(), session) != slot.lineage.end()) {
        return;
    }
    this->addReference(session);
    auto unused = std::find(slot.lineage.begin(), slot.lineage.end(), 0);
    if (unused == slot.lineage.end()) {
        const SessionId oldest = slot.lineage.front();
        std::rotate(slot.lineage.begin(), slot.lineage.begin() + 1, slot.lineage.end());
        slot.lineage.back() = session;
        this->dropReference(oldest);
        return;
    }
    *unused = session;
}

// Makes `to` the owner of the slot (0: no owner). The caller has already updated the predecessors.
void ClusterState::assign(const std::string &service, ServiceState &serviceState, Slot slot,
                          SessionId to, ApplyResult &result)
{
    SlotState &state = serviceState.slots[slot];
    if (result.moved.empty() || result.moved.back().service != service) {
        result.moved.push_back({service, {}});
    }
    result.moved.back().slots.push_back({slot, state.owner, to});
    if (state.owner != 0) {
        --this->sessions.at(state.owner).slots;
    }
    if (to != 0) {
        ++this->sessions.at(to).slots;
    }
    state.owner = to;
    state.epoch = this->next;
}

// ---- sessions ----

Session Session::fromJoin(SessionId id, const wire::Join &join)
{
    Session session;
    session.id = id;
    session.node = join.node();
    session.incarnation = join.incarnation();
    session.meshAddress = join.mesh_address();
    session.callerAddress = join.caller_address();
    session.adminAddress = join.admin_address();
    session.region = join.region();
    session.dataCentre = join.data_centre();
    session.service = join.service();
    session.checksGrants = join.checks_grants();
    return session;
}

void ClusterState::applyJoin(const wire::LogRecord &record, ApplyResult &result)
{
    const wire::Join &join = record.join();
    const Session *newest = this->findNode(join.node());
    if (this->next == 0) {
        return reject(result, "offset 0 is not a valid session id");
    }
    if (join.node().empty() || !isValidPeerSet(join.peers(), join.node())) {
        return reject(result, "malformed");
    }
    if ((newest == nullptr ? 0 : newest->id) != join.supersedes()) {
        return reject(result, "the Join does not supersede the newest session of the node");
    }
    Session session = Session::fromJoin(this->next, join);
    session.peerSets.push_back({0, {join.peers().begin(), join.peers().end()}});
    result.started = session.id;
    this->nodes[join.node()] = session.id;
    this->sessions.emplace(session.id, session);
    if (!session.service.empty()) {
        this->services[session.service].slots.resize(this->serviceLayout.count());
    }
    // The new session exists before the superseded one ends. It is thus a candidate for the slots
    // of that session, and a restart moves few keys.
    if (this->findActive(join.supersedes()) != nullptr) {
        this->endSessions({join.supersedes()}, true, result);
    }
    if (!session.service.empty()) {
        this->assignUnowned(session, result);
    }
    this->dropIfUnused(join.supersedes());
}

// Assigns all slots without an owner to a session that has just joined.
void ClusterState::assignUnowned(const Session &session, ApplyResult &result)
{
    ServiceState &state = this->services.find(session.service)->second;
    for (Slot slot = 0; slot < this->serviceLayout.count(); ++slot) {
        if (state.slots[slot].owner == 0) {
            this->assign(session.service, state, slot, session.id, result);
        }
    }
}

void ClusterState::applyFence(const wire::LogRecord &record, ApplyResult &result)
{
    std::vector<SessionId> ended;
    for (const SessionId session : record.fence().sessions()) {
        if (this->findActive(session) != nullptr
            && std::find(ended.begin(), ended.end(), session) == ended.end()) {
            ended.push_back(session);
        }
    }
    if (ended.empty()) {
        return reject(result, "all sessions have ended or are unknown");
    }
    this->endSessions(ended, true, result);
}

// Ignores the settled flag of Leave. The flag names no epochs: slots that the session gained after
// it computed the flag and before the record would lose predecessors that may still serve.
void ClusterState::applyLeave(const wire::LogRecord &record, ApplyResult &result)
{
    if (this->findActive(record.leave().session()) == nullptr) {
        return reject(result, "the session has ended or is unknown");
    }
    this->endSessions({record.leave().session()}, false, result);
}

void ClusterState::endSessions(const std::vector<SessionId> &ended, bool withLineage,
                               ApplyResult &result)
{
    std::set<std::string> affected;
    for (const SessionId id : ended) {
        Session &session = this->sessions.at(id);
        session.ended = true;
        result.ended.push_back(id);
        if (session.slots > 0) {
            affected.insert(session.service);
        }
    }
    for (const std::string &service : affected) {
        this->reassign(service, this->services.find(service)->second, withLineage, result);
    }
}

// Assigns each slot of an ended session, in ascending order, to the session with the fewest slots
// in the same region, or in any region if that region has no session of the service.
void ClusterState::reassign(const std::string &service, ServiceState &state, bool withLineage,
                            ApplyResult &result)
{
    std::vector<const Session *> all;
    std::map<std::string, std::vector<const Session *>> regions;
    for (const auto &[id, session] : this->sessions) {
        if (!session.ended && session.service == service) {
            all.push_back(&session);
            regions[session.region].push_back(&session);
        }
    }
    for (Slot slot = 0; slot < this->serviceLayout.count(); ++slot) {
        SlotState &entry = state.slots[slot];
        const SessionId from = entry.owner;
        if (from == 0 || !this->sessions.at(from).ended) {
            continue;
        }
        const auto local = regions.find(this->sessions.at(from).region);
        const auto &candidates = local == regions.end() ? all : local->second;
        const Session *best = nullptr;
        for (const Session *candidate : candidates) {
            if (best == nullptr || candidate->slots < best->slots
                || (candidate->slots == best->slots
                    && hashPair(slot, candidate->id) > hashPair(slot, best->id))) {
                best = candidate;
            }
        }
        this->addPredecessor(entry, {from, entry.epoch});
        if (withLineage) {
            this->addLineage(entry, from);
        }
        this->assign(service, state, slot, best == nullptr ? 0 : best->id, result);
    }
}

void ClusterState::applyReleased(const wire::LogRecord &record, ApplyResult &result)
{
    const SessionId id = record.released().session();
    const auto found = this->sessions.find(id);
    if (found == this->sessions.end() || !found->second.ended || found->second.released) {
        return reject(result, "the session is unknown, active or already released");
    }
    found->second.released = true;
    result.released = id;
    const auto service = this->services.find(found->second.service);
    if (service != this->services.end()) {
        for (SlotState &slot : service->second.slots) {
            this->removePredecessor(slot, id);
        }
    }
    this->dropIfUnused(id);
}

// ---- slots ----

void ClusterState::applyMove(const wire::LogRecord &record, ApplyResult &result)
{
    const wire::Move &move = record.move();
    const Session *from = this->findActive(move.from_session());
    const Session *to = this->findActive(move.to_session());
    if (from == nullptr || to == nullptr || from == to || from->service != move.service()
        || to->service != move.service() || move.service().empty()) {
        return reject(result, "the record does not name two active sessions of the service");
    }
    ServiceState &state = this->services.find(move.service())->second;
    const auto slots = readSlots(move, this->serviceLayout.count());
    if (!slots) {
        return reject(result, "malformed");
    }
    for (const SlotEpoch &moved : *slots) {
        SlotState &slot = state.slots[moved.slot];
        if (slot.owner != move.from_session() || slot.epoch != moved.epoch) {
            continue;
        }
        if (move.settled()) {
            this->clearPredecessors(slot);
        }
        this->addPredecessor(slot, {slot.owner, slot.epoch});
        this->assign(move.service(), state, moved.slot, move.to_session(), result);
    }
    if (result.moved.empty()) {
        reject(result, "no slot has this owner and epoch");
    }
}

// The owner appends Bind only after all predecessors of the hashed slot have stopped. The epoch
// shows that no predecessor was added since then, so the dedicated slot starts without
// predecessors.
void ClusterState::applyBind(const wire::LogRecord &record, ApplyResult &result)
{
    const wire::Bind &bind = record.bind();
    const Session *owner = this->findActive(bind.session());
    if (owner == nullptr || owner->service != bind.service() || bind.service().empty()
        || !this->serviceLayout.isDedicated(bind.dedicated_slot())) {
        return reject(result, "no such session or dedicated slot");
    }
    ServiceState &state = this->services.find(bind.service())->second;
    const SlotState &hashed = state.slots[this->serviceLayout.slotOf(bind.key_hash())];
    if (hashed.owner != bind.session() || hashed.epoch != bind.epoch()) {
        return reject(result, "the hashed slot has another owner or epoch");
    }
    if (state.isBound(bind.dedicated_slot()) || state.findBinding(bind.key_hash())) {
        return reject(result, "the key or the dedicated slot is already bound");
    }
    state.bindings.insert(state.lowerBinding(bind.key_hash()),
                          {bind.key_hash(), bind.dedicated_slot()});
    SlotState &dedicated = state.slots[bind.dedicated_slot()];
    this->clearPredecessors(dedicated);
    for (const SessionId session : hashed.lineage) {
        this->addLineage(dedicated, session);
    }
    for (const Predecessor &predecessor : hashed.predecessors) {
        if (this->sessions.at(predecessor.session).ended) {
            this->addLineage(dedicated, predecessor.session);
        }
    }
    this->assign(bind.service(), state, bind.dedicated_slot(), bind.session(), result);
}

// The owner appends Unbind only after all predecessors of the dedicated slot have stopped.
void ClusterState::applyUnbind(const wire::LogRecord &record, ApplyResult &result)
{
    const wire::Unbind &unbind = record.unbind();
    const Session *owner = this->findActive(unbind.session());
    if (owner == nullptr || owner->service != unbind.service() || unbind.service().empty()
        || !this->serviceLayout.isDedicated(unbind.dedicated_slot())) {
        return reject(result, "no such session or dedicated slot");
    }
    ServiceState &state = this->services.find(unbind.service())->second;
    const SlotState &dedicated = state.slots[unbind.dedicated_slot()];
    const auto matches = [&unbind](const Binding &binding) {
        return binding.slot == unbind.dedicated_slot();
    };
    const auto binding = std::find_if(state.bindings.begin(), state.bindings.end(), matches);
    if (binding == state.bindings.end() || dedicated.owner != unbind.session()
        || dedicated.epoch != unbind.epoch()) {
        return reject(result, "the dedicated slot has another owner or epoch, or no bound key");
    }
    SlotState &hashed = state.slots[this->serviceLayout.slotOf(binding->keyHash)];
    if (hashed.owner != unbind.session()) {
        return reject(result, "the hashed slot has another owner");
    }
    for (const SessionId session : dedicated.lineage) {
        this->addLineage(hashed, session);
    }
    for (const Predecessor &predecessor : dedicated.predecessors) {
        if (this->sessions.at(predecessor.session).ended) {
            this->addLineage(hashed, predecessor.session);
        }
    }
    state.bindings.erase(binding);
}

// ---- peers ----

void ClusterState::applyPeers(const wire::LogRecord &record, ApplyResult &result)
{
    const wire::Peers &peers = record.peers();
    Session *session = this->findActive(peers.session());
    if (session == nullptr || peers.generation() != session->generation + 1) {
        return reject(result, "the session has ended or the generation is not the next one");
    }
    if (!isValidPeerSet(peers.peers(), session->node)) {
        return reject(result, "malformed");
    }
    session->generation = peers.generation();
    session->peerSets.push_back({peers.generation(), {peers.peers().begin(), peers.peers().end()}});
}

void ClusterState::applyPeersSettled(const wire::LogRecord &record, ApplyResult &result)
{
    const wire::PeersSettled &settled = record.peers_settled();
    Session *session = this->findActive(settled.session());
    if (session == nullptr || settled.generation() > session->generation
        || settled.generation() <= session->peerSets.front().generation) {
        return reject(result, "the session has ended or cannot settle this generation");
    }
    auto &sets = session->peerSets;
    sets.erase(std::remove_if(sets.begin(), sets.end(),
                              [&settled](const PeerSet &set) {
                                  return set.generation < settled.generation();
                              }),
               sets.end());
}

// ---- rules and crashes ----

void ClusterState::applyRules(const wire::LogRecord &record, ApplyResult &result)
{
    const wire::Rules &rules = record.rules();
    if (this->next == 0) {
        return reject(result, "offset 0 is not a valid rules version");
    }
    if (rules.base_version() != this->currentRules.version) {
        return reject(result, "the base version is not the current version");
    }
    this->currentRules.version = this->next;
    this->currentRules.publicationIdHigh = rules.publication_id_high();
    this->currentRules.publicationIdLow = rules.publication_id_low();
    this->currentRules.author = rules.author();
    this->currentRules.text = rules.text();
    result.rulesChanged = true;
}

// A crash counts once for each fingerprint, even if its record is appended several times.
void ClusterState::applyCrashSuspect(const wire::LogRecord &record, ApplyResult &result)
{
    for (const std::uint64_t fingerprint : record.crash_suspect().fingerprints()) {
        CrashState &crash = this->crashes[fingerprint];
        if (crash.crashes > 0 && crash.lastCrashId == record.crash_suspect().crash_id()) {
            continue;
        }
        ++crash.crashes;
        crash.lastCrashId = record.crash_suspect().crash_id();
        crash.order = ++this->crashOrder;
        result.crashesChanged = true;
        this->dropOldestCrash();
    }
    if (!result.crashesChanged) {
        reject(result, "the crash was already counted");
    }
}

void ClusterState::dropOldestCrash()
{
    if (this->crashes.size() <= crashLimit) {
        return;
    }
    const auto older = [](const auto &left, const auto &right) {
        return left.second.order < right.second.order;
    };
    this->crashes.erase(std::min_element(this->crashes.begin(), this->crashes.end(), older));
}

// ---- apply ----

ApplyResult ClusterState::apply(Offset offset, const wire::LogRecord &record)
{
    assert(offset == this->next && "apply records in order, starting at nextOffset()");
    ApplyResult result;
    result.accepted = true;
    switch (record.body_case()) {
    case wire::LogRecord::kJoin:
        this->applyJoin(record, result);
        break;
    case wire::LogRecord::kFence:
        this->applyFence(record, result);
        break;
    case wire::LogRecord::kLeave:
        this->applyLeave(record, result);
        break;
    case wire::LogRecord::kReleased:
        this->applyReleased(record, result);
        break;
    case wire::LogRecord::kMove:
        this->applyMove(record, result);
        break;
    case wire::LogRecord::kBind:
        this->applyBind(record, result);
        break;
    case wire::LogRecord::kUnbind:
        this->applyUnbind(record, result);
        break;
    case wire::LogRecord::kPeers:
        this->applyPeers(record, result);
        break;
    case wire::LogRecord::kPeersSettled:
        this->applyPeersSettled(record, result);
        break;
    case wire::LogRecord::kRules:
        this->applyRules(record, result);
        break;
    case wire::LogRecord::kCrashSuspect:
        this->applyCrashSuspect(record, result);
        break;
    case wire::LogRecord::kCheckpoint:
        break; // a checkpoint does not change the state
    case wire::LogRecord::BODY_NOT_SET:
        reject(result, "the record is empty or of an unknown kind");
        break;
    }
    this->next = offset + 1;
    return result;
}

} // namespace kumquat
