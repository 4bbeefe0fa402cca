// The hosts and upstreams of the ownership model. Sections: hosts, leases, orders, heartbeats.
#include "ownership_model.h"

namespace kumquat {

// ---- Hosts ----

void OwnershipModel::advance(int index)
{
    if (!this->isAwake(index)) {
        return;
    }
    ModelHost &host = *this->hosts[index];
    const KeySession *active = host.table.activeSessionOf(this->nameOf(index));
    if (host.session == 0 && active != nullptr && this->ownsSession(index, *active)) {
        this->deliverTable(index, host.table, host.era.current());
    }
    if (host.session != 0 && this->now - host.renewedAt >= 400ms) {
        host.renewedAt = this->now;
        this->renew(index);
    }
    this->readStore(index);
    this->collectProofs(index);
    host.holder.setLease(this->leaseEnd(host));
    if (this->grantMode == GrantMode::Heartbeat || !host.hasHeardUpstream) {
        return;
    }
    for (const HoldOrder &order : host.holder.takeOrders(this->now)) {
        this->send(index, order);
    }
}

// ---- Leases ----

Time OwnershipModel::leaseEnd(const ModelHost &host) const
{
    if (host.session == 0) {
        return Time::zero();
    }
    if (!this->guards.leaseBounds) {
        return this->now + 10s;
    }
    const Time votes = host.lease.validUntil();
    const std::uint32_t era =
            this->guards.eraFreshness ? storeEraOf(host.table.end) : host.era.current();
    return this->guards.freshTables ? std::min(votes, host.freshness.leaseLimit(era)) : votes;
}

void OwnershipModel::renew(int index)
{
    ModelHost &host = *this->hosts[index];
    const KeySession *own = host.table.session(host.session);
    if (own == nullptr) {
        return;
    }
    for (const std::string &voter : own->voters) {
        const int peer = this->indexOf(voter);
        if (!this->isLinked(index, peer) || this->chance(0.1)) {
            continue;
        }
        const Time sentAt = this->now;
        const ModelHost *requester = this->hosts[index].get();
        this->schedule(this->between(1ms, 100ms), [this, index, peer, voter, sentAt, requester] {
            ModelHost &owner = *this->hosts[index];
            if (!this->isAwake(peer) || &owner != requester) {
                return;
            }
            ModelHost &other = *this->hosts[peer];
            const bool voted = other.voter.vote(&other.table, owner.session, this->now);
            const std::uint64_t id = owner.session;
            const std::uint64_t end = other.tablesEnd();
            const auto age = other.freshness.age(this->now, storeEraOf(end));
            this->schedule(this->between(1ms, 100ms), [=, this] {
                ModelHost &answered = *this->hosts[index];
                if (&answered != requester) {
                    return;
                }
                answered.noteEra(storeEraOf(end), this->now);
                if (age && end <= answered.tablesEnd()) {
                    answered.freshness.note(sentAt - *age, storeEraOf(end));
                }
                if (voted && answered.session == id) {
                    answered.lease.noteVote(voter, sentAt);
                }
            });
        });
    }
}

void OwnershipModel::collectProofs(int index)
{
    ModelHost &host = *this->hosts[index];
    for (const MissingProof &missing : host.holder.missingProofs()) {
        const std::uint64_t id = missing.predecessor.session;
        const KeySession *former = host.table.session(id);
        if (!this->guards.proofs || host.proofs.isStopped(host.table, id)
            || host.proofs.hasExpired(id, this->now)) {
            host.holder.notePredecessorStopped(missing.predecessor, missing.span, "");
            continue;
        }
        this->askFormerHost(index, missing, *former);
        std::vector<std::string> voters = former->voters;
        voters.insert(voters.end(), former->formerVoters.begin(), former->formerVoters.end());
        for (const std::string &voter : voters) {
            const int peer = this->indexOf(voter);
            const ModelHost &other = *this->hosts[peer];
            const bool isReached = this->isAwake(peer) && this->isLinked(index, peer);
            if (isReached && !former->isActive()
                && other.voter.hasReleased(&other.table, id, former->endedAt, this->now)) {
                host.proofs.noteRelease(id, voter);
            }
        }
    }
}

void OwnershipModel::askFormerHost(int index, const MissingProof &missing, const KeySession &former)
{
    const int peer = this->indexOf(former.node);
    ModelHost &other = *this->hosts[peer];
    if (!this->isAwake(peer) || !this->isLinked(index, peer)
        || other.table.end < this->hosts[index]->table.end
        || (former.instance != other.instance && !other.hasHeardUpstream)) {
        return;
    }
    const StopAnswer answer =
            other.holder.answerStop(missing.span, missing.predecessor.fence, this->now);
    if (answer.stopped) {
        this->hosts[index]->holder.notePredecessorStopped(missing.predecessor, missing.span,
                                                          answer.handover);
    }
}

// ---- Orders ----

// Sends an order. Some orders are sent seconds after the decision, as by a process that gets
// little CPU time.
void OwnershipModel::send(int index, const HoldOrder &decided)
{
    if (this->chance(0.04)) {
        const ModelHost *sender = this->hosts[index].get();
        this->schedule(this->between(100ms, 4s),
                       [this, index, decided, sender] { this->sendLate(index, decided, sender); });
    } else {
        this->sendNow(index, decided);
    }
}

void OwnershipModel::sendLate(int index, const HoldOrder &decided, const ModelHost *sender)
{
    if (this->hosts[index].get() != sender) {
        return; // the process was killed
    }
    if (!this->isAwake(index)) {
        this->schedule(100ms,
                       [this, index, decided, sender] { this->sendLate(index, decided, sender); });
        return;
    }
    const Time checkedAt = this->guards.lateOrders ? this->now : decided.decidedAt;
    const auto order = orderToSend(decided, HolderSettings{}.minHold, checkedAt);
    if (order) {
        this->sendNow(index, *order);
    } else {
        this->hosts[index]->holder.noteGrant(decided.number, GrantOutcome::Refused, this->now);
    }
}

// Calls the upstream on a host. The upstream may act late, or its answer may be lost.
void OwnershipModel::sendNow(int index, const HoldOrder &order)
{
    ModelUpstream &upstream = this->upstreams[index];
    const bool isLate = this->chance(0.06);
    const bool isLost = isLate || this->chance(0.03);
    const Duration actDelay = isLate ? this->between(300ms, 4s) : this->between(1ms, 40ms);
    const Time arrived = this->now + 1ms;
    this->schedule(actDelay, [this, &upstream, order, arrived, restarts = upstream.restarts] {
        if (upstream.restarts != restarts) {
            return; // the instance that the order reached has ended
        }
        if (order.kind == HoldOrderKind::Release) {
            upstream.release(order.span, order.fence);
        } else if (arrived + order.hold > this->now) {
            upstream.accept(order.span, order.fence, arrived, order.hold);
        }
    });
    const ModelHost *sender = this->hosts[index].get();
    this->schedule(isLost ? 800ms : actDelay + 2ms,
                   [this, index, order, isLost, sender, restarts = upstream.restarts] {
                       if (this->hosts[index].get() == sender) {
                           const bool hasCrashed = this->upstreams[index].restarts != restarts;
                           this->finish(index, order, isLost || hasCrashed);
                       }
                   });
}

void OwnershipModel::finish(int index, const HoldOrder &order, bool isLost)
{
    ModelHost &host = *this->hosts[index];
    if (order.kind == HoldOrderKind::Grant) {
        const GrantOutcome lost =
                this->guards.lateGrants ? GrantOutcome::Unknown : GrantOutcome::Refused;
        host.holder.noteGrant(order.number, isLost ? lost : GrantOutcome::Accepted, this->now);
    } else {
        host.holder.noteRelease(order.number, !isLost, "token", this->now);
    }
}

// ---- Heartbeats ----

// Sends the heartbeats of an upstream, each after the answer or the timeout of the one before.
void OwnershipModel::advanceUpstream(int index)
{
    ModelUpstream &upstream = this->upstreams[index];
    upstream.finishRequests(this->now);
    if (upstream.heartbeat && this->now >= upstream.heartbeat->sentAt + answerTimeout) {
        upstream.heartbeat.reset();
    }
    if (upstream.heartbeat || this->now < upstream.nextHeartbeat) {
        return;
    }
    upstream.nextHeartbeat =
            this->now + (upstream.stillRunning.empty() ? heartbeatInterval : 100ms);
    upstream.heartbeat = {.sequence = ++upstream.sequence,
                          .sentAt = this->now,
                          .report = upstream.report(this->now, this->guards.runningWork),
                          .instance = upstream.instance,
                          .restarts = upstream.restarts};
    this->schedule(this->delay(), [this, index, heartbeat = *upstream.heartbeat] {
        this->deliver(index, heartbeat);
    });
}

// Returns how long a message between an upstream and its host takes; some are very late.
Duration OwnershipModel::delay()
{
    return this->chance(0.1) ? this->between(300ms, 4s) : this->between(1ms, 40ms);
}

void OwnershipModel::deliver(int index, const ModelUpstream::Heartbeat &heartbeat)
{
    if (!this->isAwake(index)) {
        this->schedule(100ms, [this, index, heartbeat] { this->deliver(index, heartbeat); });
        return;
    }
    this->noteInstance(index, heartbeat.instance, heartbeat.restarts);
    ModelHost &host = *this->hosts[index];
    if (host.instanceNumber != heartbeat.restarts) {
        return; // a late one of an earlier instance
    }
    const bool isNewest = heartbeat.sequence > host.lastSequence || !this->guards.reportOrder;
    host.lastSequence = std::max(host.lastSequence, heartbeat.sequence);
    this->advance(index);
    std::optional<HoldAnswer> answer;
    if (isNewest) {
        host.holder.noteReport(heartbeat.report, this->now);
        answer = host.table.end != 0 ? host.holder.answerReport(0s, this->now) : answer;
    }
    if (this->chance(0.03)) {
        return; // lost
    }
    this->schedule(this->delay(), [this, index, heartbeat, answer] {
        this->applyAnswer(index, heartbeat, answer);
    });
}

void OwnershipModel::applyAnswer(int index, const ModelUpstream::Heartbeat &heartbeat,
                                 const std::optional<HoldAnswer> &answer)
{
    ModelUpstream &upstream = this->upstreams[index];
    if (!upstream.heartbeat || upstream.heartbeat->sequence != heartbeat.sequence
        || upstream.restarts != heartbeat.restarts) {
        return; // the upstream no longer waits for this answer
    }
    upstream.heartbeat.reset();
    upstream.released.erase(
            upstream.released.begin(),
            upstream.released.begin()
                    + static_cast<std::ptrdiff_t>(heartbeat.report.released.size()));
    if (answer) {
        upstream.accept(*answer, heartbeat.sentAt, this->now, this->between(0ms, 400ms));
    }
}

} // namespace kumquat
