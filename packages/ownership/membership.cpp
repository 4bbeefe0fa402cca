// Sections: state changes, joining, peers, leaving, requested records, steps.
#include "ownership/membership.h"

#include "ownership/peer_choice.h"
#include "ownership/slot_groups.h"

#include <algorithm>
#include <set>

namespace kumquat {

namespace {

constexpr Duration peerCheckInterval = 500ms; // between checks for peers to replace
constexpr Duration minPeerSetAge = 2s;        // a set with peers is kept for at least this time

} // namespace

// ---- state changes ----

void Membership::update(const ApplyResult &result, Time now)
{
    const Session *newest = this->context.state.findNode(this->context.settings.node);
    if (newest == nullptr) {
        return;
    }
    const bool lost = std::find(result.ended.begin(), result.ended.end(), this->lastOwn)
                      != result.ended.end();
    if (this->context.isOwn(*newest)) {
        this->lastOwn = newest->id;
    } else if (this->lastOwn != 0 && newest->id > this->lastOwn) {
        this->superseded = true;
    }
    // If a session is fenced right after its Join, a quick new Join would meet the same fault
    // again.
    const Duration delay = this->context.timings().rejoinDelay;
    if (lost && newest->ended && now < this->lease.sessionReadAt() + delay) {
        this->joinNotBefore = now + delay;
    }
}

// ---- joining ----

void Membership::setUpstream(const std::optional<UpstreamInfo> &info)
{
    this->upstream = info;
}

Time Membership::joinDue() const
{
    Time due = this->joinNotBefore;
    if (!this->upstream) {
        due = std::max(due,
                       this->context.started + this->context.timings().joinWithoutUpstreamDelay);
    }
    return due;
}

// Returns whether this process should join, because it has no session with its current upstream.
bool Membership::wantsJoin(Time now) const
{
    if (this->draining || this->superseded || !this->context.caughtUp || now < this->joinDue()) {
        return false;
    }
    const Session *own = this->context.ownSession();
    const UpstreamInfo wanted = this->upstream.value_or(UpstreamInfo());
    return own == nullptr || own->service != wanted.service
           || own->checksGrants != wanted.checksGrants;
}

void Membership::join(Time now)
{
    const EngineSettings &settings = this->context.settings;
    const Session *newest = this->context.state.findNode(settings.node);
    const UpstreamInfo wanted = this->upstream.value_or(UpstreamInfo());
    const AppendKey key{wire::LogRecord::kJoin, newest == nullptr ? 0 : newest->id,
                        hashBytes(wanted.service)};
    if (!this->wantsJoin(now) || now < this->context.appendDue(key)) {
        return; // choosing peers below is slow, so it is done only when a Join can be appended
    }
    wire::LogRecord record;
    wire::Join &join = *record.mutable_join();
    join.set_node(settings.node);
    join.set_incarnation(settings.incarnation);
    join.set_supersedes(newest == nullptr ? 0 : newest->id);
    join.set_mesh_address(settings.meshAddress);
    join.set_caller_address(settings.callerAddress);
    join.set_admin_address(settings.adminAddress);
    join.set_region(settings.region);
    join.set_data_centre(settings.dataCentre);
    join.set_service(wanted.service);
    join.set_checks_grants(wanted.checksGrants);
    const PeerQuery query{settings.node, settings.region, settings.dataCentre, {}, {}};
    for (const std::string &peer : choosePeers(this->context.state, query)) {
        join.add_peers(peer);
    }
    if (this->context.append(key, record, now) && !this->joinedAt) {
        this->joinedAt = now;
    }
}

// ---- peers ----

// Returns whether a peer has not answered for too long. The limit is shorter for a peer whose
// session has ended, because other nodes have not received its messages either.
bool Membership::isSilent(const std::string &peer, Time now) const
{
    const LeaseTimings &timings = this->context.timings();
    const Session *session = this->context.state.findNode(peer);
    const bool ended = session == nullptr || session->ended;
    // A network partition between regions lasts for minutes and affects many sessions at once.
    // Their peers in the other region could only be replaced by other nodes there, which are cut
    // off as well, so this would only load the log.
    const bool isOtherRegion = !ended && session->region != this->context.settings.region;
    if (isOtherRegion) {
        return false;
    }
    const Time lastAnswer = std::max(this->lease.lastGrantAt(peer), this->context.resumed);
    return now >= lastAnswer + (ended ? timings.silenceTimeout : timings.peerSilenceTimeout);
}

// Returns whether the replacement of silent peers must wait. When many sessions end at once, about
// three surviving sessions for each of them append Peers and PeersSettled, and Fence and Released
// must not queue behind these records. A window of 60 ms for each ended session keeps their rate
// near 100 per second. The lease needs only a majority of the peers, so the delay does no harm.
// Without a majority there is no delay.
bool Membership::mustDelayPeers(const std::vector<std::string> &current,
                                const std::vector<std::string> &silent, Time now)
{
    if (silent.empty()) {
        this->silentSince.reset();
        this->peersWindow = Duration(0);
        return false;
    }
    if (!this->silentSince) {
        this->silentSince = now;
    }
    const auto &sessions = this->context.state.allSessions();
    const auto ended = std::count_if(sessions.begin(), sessions.end(), [](const auto &entry) {
        return entry.second.ended && !entry.second.released;
    });
    this->peersWindow =
            std::max(this->peersWindow, this->context.timings().peersWindowPerSession * ended);
    const auto position = hashPair(this->lastOwn, this->context.ownSession()->generation) % 1'000;
    const Duration wait = this->peersWindow * static_cast<Duration::rep>(position) / 1'000;
    return current.size() - silent.size() >= majorityOf(current.size())
           && now < *this->silentSince + wait;
}

// Appends Peers to replace peers that do not answer, or to improve a set that could have more peers
// or more peers in other data centres.
void Membership::replacePeers(Time now)
{
    const Session *own = this->context.ownSession();
    if (own == nullptr || this->draining || !this->context.answering || now < this->nextPeerCheck) {
        return;
    }
    this->nextPeerCheck = now + peerCheckInterval;
    const std::vector<std::string> &current = own->peerSets.back().peers;
    if (!current.empty() && now < this->lease.peersReadAt() + minPeerSetAge) {
        return;
    }
    PeerQuery query{own->node, own->region, own->dataCentre, {}, {}};
    std::vector<std::string> silent;
    for (const std::string &peer : current) {
        if (this->isSilent(peer, now)) {
            query.avoid.insert(peer);
            silent.push_back(peer);
        } else {
            query.keep.push_back(peer);
        }
    }
    if (this->mustDelayPeers(current, silent, now)) {
        return;
    }
    std::vector<std::string> chosen = choosePeers(this->context.state, query);
    // A silent peer with an active session may only be unreachable from this node. It stays if
    // there is no replacement, because the peers of an empty set could never release the session.
    for (const std::string &peer : silent) {
        const Session *session = this->context.state.findNode(peer);
        if (chosen.size() < current.size() && session != nullptr && !session->ended) {
            chosen.push_back(peer);
        }
    }
    const auto isFar = [this, own](const std::string &peer) {
        const Session *session = this->context.state.findNode(peer);
        return session != nullptr && session->dataCentre != own->dataCentre;
    };
    const std::set<std::string> before(current.begin(), current.end());
    const std::set<std::string> after(chosen.begin(), chosen.end());
    const bool dropsSilent = std::any_of(silent.begin(), silent.end(), [&after](const auto &peer) {
        return after.count(peer) == 0;
    });
    const bool hasMoreFar = std::count_if(chosen.begin(), chosen.end(), isFar)
                            > std::count_if(current.begin(), current.end(), isFar);
    if (before == after || !(dropsSilent || hasMoreFar || chosen.size() > current.size())) {
        return;
    }
    wire::LogRecord record;
    wire::Peers &peers = *record.mutable_peers();
    peers.set_session(own->id);
    peers.set_generation(own->generation + 1);
    for (const std::string &peer : chosen) {
        peers.add_peers(peer);
    }
    this->context.append({record.body_case(), own->id, peers.generation()}, record, now);
}

// ---- leaving ----

bool Membership::hasStoppedOwn(SessionId id, Time now) const
{
    const Session *session = this->context.state.findSession(id);
    if (session == nullptr || session->node != this->context.settings.node || !session->ended) {
        return false;
    }
    if (!this->context.isOwn(*session)) {
        return !this->superseded && this->context.hasWaitedOneLease(now);
    }
    // All requests of the session expire before its last lease ends.
    return now >= this->lease.finalLeaseEnd(id)
           || (this->handover.isDone() && !this->context.hooks.hasAnyInFlight(session->service));
}

// Appends Released for sessions of this node that have stopped.
void Membership::releaseOwn(Time now)
{
    if (!this->context.caughtUp) {
        return;
    }
    for (const auto &[id, session] : this->context.state.allSessions()) {
        if (session.node != this->context.settings.node || session.released
            || !this->hasStoppedOwn(id, now)) {
            continue;
        }
        // In a drain, the new owners need the remembered requests before the session is released.
        if (this->draining && id == this->lastOwn && !this->handover.isDone()) {
            continue;
        }
        wire::LogRecord record;
        record.mutable_released()->set_session(id);
        this->context.append({record.body_case(), id, 0}, record, now);
    }
}

void Membership::requestDrain(Time now)
{
    if (!this->draining) {
        this->draining = true;
        this->drainStart = now;
    }
}

bool Membership::refusesRequests(Time now) const
{
    return this->draining
           && (!this->context.answering
               || now >= this->drainStart + this->context.timings().drainServePeriod);
}

void Membership::drain(Time now)
{
    if (!this->draining || this->drained) {
        return;
    }
    if (now >= this->drainStart + this->context.timings().drainLimit) {
        this->drained = true;
        return;
    }
    const Session *own = this->context.ownSession();
    if (own != nullptr) {
        wire::LogRecord record;
        record.mutable_leave()->set_session(own->id);
        this->context.append({record.body_case(), own->id, 0}, record, now);
        return;
    }
    if (this->joinedAt && this->lastOwn == 0) {
        return; // a Join that was appended may still take effect
    }
    const Session *last = this->context.state.findSession(this->lastOwn);
    const bool busy = last != nullptr && this->context.hooks.hasAnyInFlight(last->service);
    this->drained = !busy && this->handover.isDone()
                    && (last == nullptr || last->released || this->superseded);
}

// Returns whether the session had a lease and could not renew it, although the process was not
// paused and the log answers.
bool Membership::hasLostLease(const Session &own, Time now) const
{
    const Time leaseEnd = this->lease.leaseEnd(now);
    const Duration margin = this->context.timings().lostLeaseTimeout;
    return leaseEnd > this->lease.sessionReadAt() && now >= leaseEnd + margin
           && now >= this->context.resumed + this->context.timings().lease + margin
           && this->context.caughtUp && this->context.answering && own.slots > 0;
}

// Ends the session of an owner without a lease, so that other sessions serve its slots. The owner
// may get no answers from a majority of its peers while they still get its messages; then no peer
// suspects it. The only session of a service stays, because no other session could serve the slots.
void Membership::leaveWithoutLease(Time now)
{
    const Session *own = this->context.ownSession();
    if (own == nullptr || this->draining || !this->hasLostLease(*own, now)) {
        return;
    }
    const auto members = this->context.state.members();
    const bool hasOther = std::any_of(members.begin(), members.end(), [own](const Session *other) {
        return other->id != own->id && other->service == own->service;
    });
    if (hasOther) {
        // Unlike a Leave, a Fence makes other processes abort the requests that they forwarded to
        // this process.
        wire::LogRecord record;
        record.mutable_fence()->add_sessions(own->id);
        this->context.append({record.body_case(), own->id, 0}, record, now);
    }
}

// ---- requested records ----

void Membership::requestMove(const std::vector<Slot> &slots, SessionId target, Time now)
{
    const Session *own = this->context.ownSession();
    const Session *to = this->context.state.findSession(target);
    if (own == nullptr || own->service.empty() || to == nullptr || to->ended || to == own
        || to->service != own->service || now >= this->lease.leaseEnd(now)) {
        return;
    }
    // Settled and unsettled slots need separate records, because the flag applies to all slots of a
    // record.
    for (const bool settled : {true, false}) {
        wire::LogRecord record;
        wire::Move &move = *record.mutable_move();
        move.set_service(own->service);
        move.set_from_session(own->id);
        move.set_to_session(target);
        move.set_settled(settled);
        std::vector<SlotEpoch> moved;
        std::uint64_t slotsHash = settled ? 1 : 0;
        for (const Slot slot : slots) {
            const SlotState *state = this->context.state.findSlot(own->service, slot);
            if (state != nullptr && state->owner == own->id
                && this->takeover.isSettled(slot, state->epoch) == settled) {
                moved.push_back({slot, state->epoch});
                slotsHash = hashPair(slotsHash, hashPair(slot, state->epoch));
            }
        }
        if (!moved.empty()) {
            setSlots(move, std::move(moved));
            this->context.append({record.body_case(), target, slotsHash}, record, now);
        }
    }
}

// Bind and Unbind tell all processes that the predecessors of the slot have stopped, so both
// require a settled slot.
void Membership::requestBind(std::uint64_t keyHash, Time now)
{
    const Session *own = this->context.ownSession();
    if (own == nullptr || own->service.empty()) {
        return;
    }
    const auto view = this->context.state.find(own->service, keyHash);
    const auto free = this->context.state.findFreeDedicatedSlot(own->service);
    if (!view || !free || view->slot >= this->context.settings.layout.hashed
        || view->state->owner != own->id
        || !this->takeover.isSettled(view->slot, view->state->epoch)) {
        return;
    }
    wire::LogRecord record;
    wire::Bind &bind = *record.mutable_bind();
    bind.set_service(own->service);
    bind.set_key_hash(keyHash);
    bind.set_dedicated_slot(*free);
    bind.set_epoch(view->state->epoch);
    bind.set_session(own->id);
    this->context.append({record.body_case(), keyHash, bind.epoch()}, record, now);
}

void Membership::requestUnbind(std::uint64_t keyHash, Time now)
{
    const Session *own = this->context.ownSession();
    if (own == nullptr || own->service.empty()) {
        return;
    }
    const auto view = this->context.state.find(own->service, keyHash);
    if (!view || view->slot < this->context.settings.layout.hashed || view->state->owner != own->id
        || !this->takeover.isSettled(view->slot, view->state->epoch)
        || this->context.state
                           .findSlot(own->service, this->context.settings.layout.slotOf(keyHash))
                           ->owner
                   != own->id) {
        return;
    }
    wire::LogRecord record;
    wire::Unbind &unbind = *record.mutable_unbind();
    unbind.set_service(own->service);
    unbind.set_dedicated_slot(view->slot);
    unbind.set_epoch(view->state->epoch);
    unbind.set_session(own->id);
    this->context.append({record.body_case(), keyHash, unbind.epoch()}, record, now);
}

// ---- steps ----

void Membership::step(Time now)
{
    this->join(now);
    this->replacePeers(now);
    this->releaseOwn(now);
    this->drain(now);
    this->leaveWithoutLease(now);
}

Time Membership::nextDue(Time now) const
{
    Time due = this->nextPeerCheck > now ? this->nextPeerCheck : now + peerCheckInterval;
    if (this->draining) {
        return std::min(due, now + this->context.timings().fenceBatch);
    }
    const Time lost = this->lease.leaseEnd(now) + this->context.timings().lostLeaseTimeout;
    if (lost > now) {
        due = std::min(due, lost);
    }
    if (this->joinDue() > now) {
        due = std::min(due, this->joinDue());
    }
    return due;
}

} // namespace kumquat
