// Random scenarios of a whole service in virtual time: hosts that freeze, lose messages or restart,
// upstreams that answer late or not at all, a store that is unavailable. The planner, the holders
// and the leases are the production code; the rest is a model.
//
// After each tick the model checks that no two upstreams hold a key at once.
#pragma once

#include "ownership_model_parts.h"

#include <functional>
#include <random>

namespace kumquat {

// Keys between two whose fences are checked.
constexpr ShardKey fenceStep = 1024;

class OwnershipModel
{
public:
    OwnershipModel(unsigned seed, Guards modelGuards, GrantMode modelGrantMode = GrantMode::Call,
                   Faults modelFaults = Faults::Passing)
        : random(seed)
        , guards(modelGuards)
        , grantMode(modelGrantMode)
        , faults(modelFaults)
        , load(3s)
    {
        for (int i = 0; i < hostCount; ++i) {
            this->hosts.push_back(std::make_unique<ModelHost>(this->now));
            this->upstreams.emplace_back();
            this->upstreams.back().clockFactor = this->chance(0.5) ? 1.02 : 1.0;
            this->frozenUntil.push_back(Time::zero());
            this->cutUntil.push_back(Time::zero());
            this->apartUntil.push_back(Time::zero());
            this->gone.push_back(false);
        }
    }

    // Loses a host for good, with its process and its upstream.
    void lose(int host) { this->gone[host] = true; }

    // Stops the process of a host for a time; its upstream goes on.
    void freeze(int host, Duration length) { this->frozenUntil[host] = this->now + length; }

    // The store comes back from a copy without the last `count` tables.
    void rollBack(std::size_t count)
    {
        this->log.resize(this->log.size() - std::min(count, this->log.size()));
        ++this->storeEra;
        this->noteNewest();
    }

    // The next table that the first host plans is appended only `delay` later, as by a writer that
    // is frozen between its decision and the call.
    void delayAppend(Duration delay) { this->appendDelay = delay; }

    // The store comes back from a copy that ends where the delayed append expects it to end.
    void rollBackToDelayedAppend()
    {
        this->rollBack(this->log.size() - std::min(this->log.size(), this->delayedOffset));
    }

    // Cuts a host off from the store and all other hosts.
    void cut(int host, Duration length) { this->cutUntil[host] = this->now + length; }

    std::uint32_t lateTables() const { return this->lateTableCount; }

    // Runs the scenario. Returns a description of the first violation, or an empty string.
    std::string run(Duration length)
    {
        const Time end = this->now + length;
        while (this->now < end && this->violation.empty()) {
            this->now += tick;
            this->injectFaults();
            this->runScheduled();
            this->planTable();
            for (int i = 0; i < hostCount; ++i) {
                this->advance(i);
                if (this->grantMode == GrantMode::Heartbeat) {
                    this->advanceUpstream(i);
                }
            }
            this->check();
        }
        return this->violation;
    }

    // Injects no more faults. Hosts that are frozen or cut off recover within 5 s.
    void endFaults() { this->faults = Faults::None; }

    // Runs on and returns the number of keys that some upstream holds at any time of `length`. Keys
    // that move are not held for a moment.
    std::uint32_t heldKeysWithin(Duration length)
    {
        std::vector<bool> isHeld(lastShardKey + 1);
        const Time end = this->now + length;
        while (this->now < end) {
            this->run(tick);
            this->addHeldKeys(isHeld);
        }
        return static_cast<std::uint32_t>(std::count(isHeld.begin(), isHeld.end(), true));
    }

    // Number of keys that some upstream holds at the end.
    std::uint32_t heldKeys() const
    {
        std::vector<bool> isHeld(lastShardKey + 1);
        this->addHeldKeys(isHeld);
        return static_cast<std::uint32_t>(std::count(isHeld.begin(), isHeld.end(), true));
    }

private:
    void addHeldKeys(std::vector<bool> &isHeld) const
    {
        for (int i = 0; i < hostCount; ++i) {
            for (const ModelUpstream::Hold &hold : this->upstreams[i].holds) {
                if (hold.until > this->now && !this->gone[i]) {
                    std::fill_n(isHeld.begin() + hold.span.first, hold.span.size(), true);
                }
            }
        }
    }

    bool chance(double share)
    {
        return this->faults != Faults::None
               && std::uniform_real_distribution<>(0, 1)(this->random) < share;
    }

    Duration between(Duration minimum, Duration maximum)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(
                minimum.count(), maximum.count())(this->random));
    }

    std::string nameOf(int host) const { return std::string(1, static_cast<char>('a' + host)); }
    int indexOf(const std::string &node) const { return node[0] - 'a'; }
    bool isAwake(int host) const
    {
        return this->now >= this->frozenUntil[host] && !this->gone[host];
    }
    bool isApart(int host) const { return this->now < this->apartUntil[host]; }
    bool isLinked(int a, int b) const
    {
        return this->now >= this->cutUntil[a] && this->now >= this->cutUntil[b]
               && this->isApart(a) == this->isApart(b);
    }
    bool reachesStore(int host) const
    {
        return this->isAwake(host) && !this->isApart(host) && this->now >= this->cutUntil[host]
               && this->now >= this->storeDownUntil;
    }

    void schedule(Duration delay, std::function<void()> work)
    {
        this->scheduled.emplace(this->now + delay, std::move(work));
    }

    void runScheduled()
    {
        while (!this->scheduled.empty() && this->scheduled.begin()->first <= this->now) {
            const std::function<void()> work = std::move(this->scheduled.begin()->second);
            this->scheduled.erase(this->scheduled.begin());
            work();
        }
    }

    void injectFaults()
    {
        if (this->faults == Faults::None) {
            return;
        }
        if (this->faults == Faults::Lasting) {
            this->injectLastingFaults();
        }
        const int host = static_cast<int>(this->random() % hostCount);
        if (this->faults == Faults::Evacuations && this->chance(0.01)) {
            this->evacuatedUntil[host] = this->now + this->between(500ms, 10s);
        }
        if (this->chance(0.004)) {
            this->frozenUntil[host] = this->now + this->between(500ms, 5s);
        }
        if (this->chance(0.004)) {
            this->cutUntil[host] = this->now + this->between(500ms, 5s);
        }
        if (this->chance(0.002)) {
            // The process is killed and restarts; its upstream keeps the keys that it holds.
            this->restart(host);
        }
        if (this->chance(0.002)) {
            this->storeDownUntil = this->now + this->between(500ms, 5s);
        }
    }

    void restart(int host)
    {
        this->hosts[host] = std::make_unique<ModelHost>(this->now);
        const int other = static_cast<int>(this->random() % hostCount);
        ModelHost &started = *this->hosts[host];
        if (this->reachesStore(host)) {
            started.noteEra(this->storeEra, this->now);
            this->takeTable(started, this->stored);
            this->noteRead(started, this->now, this->storeEra, this->storeEnd());
        } else if (other != host && this->isLinked(host, other)) {
            started.noteEra(this->hosts[other]->era.current(), this->now);
            this->takeTable(started, this->hosts[other]->table); // may be out of date
        }
    }

    // Notes that a host has read all tables that the store had at `asOf`.
    void noteRead(ModelHost &host, Time asOf, std::uint32_t era, std::uint64_t end) const
    {
        if (!std::exchange(host.hasRead, true)) {
            host.voter.noteFreshRead(host.era.current());
        }
        host.freshness.note(asOf, era);
        host.readEnd = std::max(host.readEnd, end);
    }

    // Returns whether the table replaces that of the host.
    bool takeTable(ModelHost &host, const KeyTable &table) const
    {
        const KeyTable *known = host.table.end != 0 ? &host.table : nullptr;
        const std::uint32_t era = this->guards.formerTables ? host.era.current() : 0;
        if (table.end == 0 || !replacesTable(known, table.end, era)) {
            return false;
        }
        host.table = table;
        host.table.isFormer = storeEraOf(table.end) < era;
        return true;
    }

    std::uint64_t storeEnd() const { return storePosition(this->storeEra, this->log.size()); }

    // Sets the table that a reader of the store gets: of the newest era that has one.
    void noteNewest()
    {
        this->stored = KeyTable::createEmpty("testlog");
        for (const KeyTable &table : this->log) {
            this->stored = table.end > this->stored.end ? table : this->stored;
        }
        if (!this->guards.formerTables && !this->log.empty()) {
            this->stored = this->log.back();
        }
    }

    // Carries out a conditional append. All hosts read the new table after a delay.
    void append(const KeyTable &table)
    {
        if (storeOffsetOf(table.end) != this->log.size() + 1) {
            return; // conflict
        }
        const bool isLate = storeEraOf(table.end) != this->storeEra;
        this->lateTableCount += isLate ? 1 : 0;
        this->log.push_back(table);
        this->noteNewest();
        if (!isLate) {
            this->checkFences(table);
        }
        for (int i = 0; i < hostCount; ++i) {
            this->schedule(this->between(5ms, 400ms), [this, i, table, era = this->storeEra] {
                this->deliverTable(i, table, era);
            });
        }
    }

    // Checks that the fence of each key grows with its owner.
    void checkFences(const KeyTable &table)
    {
        for (const KeyRange &range : table.ranges) {
            const ShardKey first = (range.span.first + fenceStep - 1) / fenceStep * fenceStep;
            for (ShardKey key = first; key <= range.span.last; key += fenceStep) {
                auto &[owner, fence] = this->lastFences[key];
                const bool isMoved = owner != range.owner;
                if (range.fence < fence || (isMoved && owner != 0 && range.fence <= fence)) {
                    this->violation = "the fence of key " + std::to_string(key) + " went from "
                                      + std::to_string(fence) + " to "
                                      + std::to_string(range.fence);
                }
                owner = range.owner;
                fence = range.fence;
            }
        }
    }

    void injectLastingFaults()
    {
        if (this->chance(0.001)) {
            // Some hosts are cut off from the store and from the other hosts, but not from each
            // other.
            const Time end = this->now + this->between(5s, 25s);
            for (int i = 0; i < hostCount; ++i) {
                this->apartUntil[i] = this->chance(0.5) ? end : Time::zero();
            }
        }
        if (this->chance(0.0004)) {
            for (int i = 1 + static_cast<int>(this->random() % hostCount); i < hostCount; ++i) {
                this->lose(i);
            }
        }
        if (this->chance(0.0006)) {
            this->lose(1 + static_cast<int>(this->random() % (hostCount - 1)));
        }
    }

    // Compares the key table of a host with that of the store.
    void readStore(int index)
    {
        ModelHost &host = *this->hosts[index];
        if (!this->reachesStore(index) || this->now < host.readAt + 400ms) {
            return;
        }
        host.readAt = this->now;
        this->schedule(this->between(5ms, 200ms),
                       [this, index, reader = &host, askedAt = this->now, table = this->stored,
                        era = this->storeEra, end = this->storeEnd()] {
                           if (this->hosts[index].get() != reader || !this->reachesStore(index)) {
                               return;
                           }
                           this->deliverTable(index, table, era);
                           this->noteRead(*reader, askedAt, era, end);
                       });
    }

    // Plans on the first host that is awake and connected. All hosts read the new table after a
    // delay.
    void planTable()
    {
        if (this->now < this->plannedAt + 200ms || this->now < this->storeDownUntil) {
            return;
        }
        this->plannedAt = this->now;
        int writer = 0;
        while (writer < hostCount
               && !(this->isAwake(writer) && this->now >= this->cutUntil[writer]
                    && !this->isApart(writer))) {
            ++writer;
        }
        if (writer == hostCount) {
            return;
        }
        // The append of a table that is based on an older one has no effect, so the writer has the
        // newest table of its era, or its own one as the base of the first.
        ModelHost &planner = *this->hosts[writer];
        const bool hasTable = storeEraOf(this->stored.end) == this->storeEra;
        const KeyTable *known = hasTable ? &this->stored : &planner.table;
        const std::uint64_t readEnd =
                hasTable && this->storeEra == 0 ? this->storeEnd() : planner.tablesEnd();
        const bool mayWrite = mayWriteTable(known, readEnd, planner.era, this->now)
                              && storeEraOf(readEnd) == this->storeEra;
        const bool hasRead = storeEraOf(readEnd) == this->storeEra;
        if (this->guards.eraWait ? !mayWrite : !hasRead) {
            return;
        }
        const std::uint64_t newEnd = this->storeEnd() + 1;
        const bool isFirst = beginsEra(*known, newEnd);
        const KeyTable base = isFirst ? withoutEarlierGrants(*known) : *known;
        PlanInput input{.table = &base,
                        .newEnd = newEnd,
                        .node = this->nameOf(writer),
                        .load = &this->load,
                        .mayBalance = true,
                        .planningFor = this->now,
                        .now = this->now};
        for (int i = 0; i < hostCount; ++i) {
            const bool isLeaving = this->chance(0.02);
            if (this->isAwake(i) && this->isLinked(i, writer)) {
                this->reachedAt[i] = this->now;
            }
            input.hosts.push_back(
                    {.node = this->nameOf(i),
                     .dataCentre = this->nameOf(i),
                     .region = "north",
                     .service = "testlog",
                     .instance = {.id = "i-" + this->nameOf(i), .startedMs = 1},
                     .slots = 9,
                     .phase = isLeaving ? UpstreamPhase::Draining : UpstreamPhase::Ready,
                     .isReachable = this->now - this->reachedAt[i] < 2s,
                     .isEvacuated = this->now < this->evacuatedUntil[i],
                     .isReturning = this->now - this->evacuatedUntil[i] < 15s});
            ModelHost &host = *this->hosts[i];
            if (host.session != 0) {
                SessionReport &report = input.reports[host.session];
                const bool isHeard = this->isAwake(i) && this->isLinked(i, writer);
                this->heardAt[i] = isHeard ? this->now : this->heardAt[i];
                report.silence = this->now - this->heardAt[i];
                report.tablesEnd = host.table.end;
                report.votersEnd = host.voterChange.settledEnd(host.table.leaseLength, this->now);
                report.unsettled = host.holder.unsettledFences();
            }
        }
        for (int i = 0; i < 20; ++i) {
            this->load.add(static_cast<ShardKey>(this->random() % (lastShardKey + 1)), 40,
                           this->now);
        }
        std::optional<KeyTable> next = planKeyTable(input, {});
        if (isFirst) {
            next = beginEra(next ? *next : base, newEnd, input.node);
        }
        if (!next) {
            return;
        }
        const Duration delay = std::exchange(this->appendDelay, Duration::zero());
        if (delay > Duration::zero()) {
            this->delayedOffset = this->log.size();
            this->schedule(delay, [this, table = *next] { this->append(table); });
        } else {
            this->append(*next);
        }
    }

    // `era`: the newest one that the sender or the store names with the table.
    void deliverTable(int index, const KeyTable &table, std::uint32_t era)
    {
        if (!this->isAwake(index) || this->now < this->cutUntil[index] || this->isApart(index)) {
            // A table that the store has lost is not sent again.
            if (this->gone[index] || era < this->storeEra) {
                return;
            }
            this->schedule(100ms,
                           [this, index, table, era] { this->deliverTable(index, table, era); });
            return;
        }
        ModelHost &host = *this->hosts[index];
        host.noteEra(era, this->now);
        if (!this->takeTable(host, table) && host.session != 0) {
            return;
        }
        const KeySession *own =
                host.table.isFormer ? nullptr : host.table.activeSessionOf(this->nameOf(index));
        const std::uint64_t id = own != nullptr ? own->id : 0;
        if (id != host.session) {
            host.lease.reset();
            host.session = id;
        }
        const auto voters = own != nullptr ? own->voters : std::vector<std::string>();
        host.lease.setVoters(voters);
        host.voterChange.note(voters, host.table.end, this->now);
        host.holder.setLease(this->leaseEnd(host));
        host.holder.assign(host.table, id, this->now);
        host.proofs.prune(host.table);
        host.proofs.noteTable(host.table, this->now);
    }

    Time leaseEnd(const ModelHost &host) const
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

    void advance(int index)
    {
        if (!this->isAwake(index)) {
            return;
        }
        ModelHost &host = *this->hosts[index];
        if (host.session == 0 && host.table.activeSessionOf(this->nameOf(index)) != nullptr) {
            this->deliverTable(index, host.table, host.era.current());
        }
        if (host.session != 0 && this->now - host.renewedAt >= 400ms) {
            host.renewedAt = this->now;
            this->renew(index);
        }
        this->readStore(index);
        this->collectProofs(index);
        host.holder.setLease(this->leaseEnd(host));
        if (this->grantMode == GrantMode::Heartbeat) {
            return;
        }
        for (const HoldOrder &order : host.holder.takeOrders(this->now)) {
            this->send(index, order);
        }
    }

    // Sends the heartbeats of an upstream, each after the answer or the timeout of the one before.
    void advanceUpstream(int index)
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
                              .report = upstream.report(this->now, this->guards.runningWork)};
        this->schedule(this->delay(), [this, index, heartbeat = *upstream.heartbeat] {
            this->deliver(index, heartbeat);
        });
    }

    // Returns how long a message between an upstream and its host takes; some are very late.
    Duration delay()
    {
        return this->chance(0.1) ? this->between(300ms, 4s) : this->between(1ms, 40ms);
    }

    void deliver(int index, const ModelUpstream::Heartbeat &heartbeat)
    {
        if (!this->isAwake(index)) {
            this->schedule(100ms, [this, index, heartbeat] { this->deliver(index, heartbeat); });
            return;
        }
        ModelHost &host = *this->hosts[index];
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

    void applyAnswer(int index, const ModelUpstream::Heartbeat &heartbeat,
                     const std::optional<HoldAnswer> &answer)
    {
        ModelUpstream &upstream = this->upstreams[index];
        if (!upstream.heartbeat || upstream.heartbeat->sequence != heartbeat.sequence) {
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

    void renew(int index)
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
            this->schedule(
                    this->between(1ms, 100ms), [this, index, peer, voter, sentAt, requester] {
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

    void collectProofs(int index)
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

    void askFormerHost(int index, const MissingProof &missing, const KeySession &former)
    {
        const int peer = this->indexOf(former.node);
        ModelHost &other = *this->hosts[peer];
        if (!this->isAwake(peer) || !this->isLinked(index, peer)
            || other.table.end < this->hosts[index]->table.end) {
            return;
        }
        const StopAnswer answer =
                other.holder.answerStop(missing.span, missing.predecessor.fence, this->now);
        if (answer.stopped) {
            this->hosts[index]->holder.notePredecessorStopped(missing.predecessor, missing.span,
                                                              answer.handover);
        }
    }

    // Sends an order. Some orders are sent seconds after the decision, as by a process that gets
    // little CPU time.
    void send(int index, const HoldOrder &decided)
    {
        if (this->chance(0.04)) {
            const ModelHost *sender = this->hosts[index].get();
            this->schedule(this->between(100ms, 4s), [this, index, decided, sender] {
                this->sendLate(index, decided, sender);
            });
        } else {
            this->sendNow(index, decided);
        }
    }

    void sendLate(int index, const HoldOrder &decided, const ModelHost *sender)
    {
        if (this->hosts[index].get() != sender) {
            return; // the process was killed
        }
        if (!this->isAwake(index)) {
            this->schedule(100ms, [this, index, decided, sender] {
                this->sendLate(index, decided, sender);
            });
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
    void sendNow(int index, const HoldOrder &order)
    {
        ModelUpstream &upstream = this->upstreams[index];
        const bool isLate = this->chance(0.06);
        const bool isLost = isLate || this->chance(0.03);
        const Duration actDelay = isLate ? this->between(300ms, 4s) : this->between(1ms, 40ms);
        const Time arrived = this->now + 1ms;
        this->schedule(actDelay, [this, &upstream, order, arrived] {
            if (order.kind == HoldOrderKind::Release) {
                upstream.release(order.span, order.fence);
            } else if (arrived + order.hold > this->now) {
                upstream.accept(order.span, order.fence, arrived, order.hold);
            }
        });
        const ModelHost *sender = this->hosts[index].get();
        this->schedule(isLost ? 800ms : actDelay + 2ms, [this, index, order, isLost, sender] {
            if (this->hosts[index].get() == sender) {
                this->finish(index, order, isLost);
            }
        });
    }

    void finish(int index, const HoldOrder &order, bool isLost)
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

    // Checks that no two upstreams hold a key at once.
    void check()
    {
        for (int a = 0; a < hostCount; ++a) {
            std::erase_if(this->upstreams[a].holds, [this](const ModelUpstream::Hold &hold) {
                return hold.until <= this->now;
            });
        }
        for (int a = 0; a < hostCount; ++a) {
            for (int b = a + 1; b < hostCount; ++b) {
                this->findOverlap(a, b);
            }
        }
    }

    std::vector<ModelUpstream::Hold> allHolds(int index) const
    {
        std::vector<ModelUpstream::Hold> holds = this->upstreams[index].holds;
        const auto &stillRunning = this->upstreams[index].stillRunning;
        holds.insert(holds.end(), stillRunning.begin(), stillRunning.end());
        return holds;
    }

    void findOverlap(int a, int b)
    {
        for (const ModelUpstream::Hold &first : this->allHolds(a)) {
            for (const ModelUpstream::Hold &second : this->allHolds(b)) {
                if (first.span.overlaps(second.span)) {
                    this->violation =
                            "hosts " + this->nameOf(a) + " and " + this->nameOf(b)
                            + " hold keys from "
                            + std::to_string(std::max(first.span.first, second.span.first))
                            + " under fences " + std::to_string(first.fence) + " and "
                            + std::to_string(second.fence) + " at "
                            + std::to_string(this->now.count());
                    return;
                }
            }
        }
    }

    std::mt19937 random;
    Guards guards;
    GrantMode grantMode;
    Faults faults;
    Time now = 100s;
    Time plannedAt{};
    Time storeDownUntil{};
    KeyLoad load;
    KeyTable stored = KeyTable::createEmpty("testlog"); // what a reader of the store gets
    std::vector<KeyTable> log;                          // the store's records by offset
    std::uint32_t storeEra = 0;
    Duration appendDelay{};
    std::size_t delayedOffset = 0;    // at which the delayed append is to be carried out
    std::uint32_t lateTableCount = 0; // appended after a rollback that their writer did not know
    std::map<ShardKey, std::pair<std::uint64_t, std::uint64_t>> lastFences; // owner and fence
    std::vector<std::unique_ptr<ModelHost>> hosts;
    std::vector<ModelUpstream> upstreams;
    std::vector<Time> frozenUntil;
    std::vector<Time> cutUntil;
    std::vector<Time> apartUntil; // cut off together with the other hosts for which it is set
    std::vector<bool> gone;       // lost for good
    std::map<int, Time> evacuatedUntil;
    std::map<int, Time> heardAt;
    std::map<int, Time> reachedAt;
    std::multimap<Time, std::function<void()>> scheduled;
    std::string violation;
};

} // namespace kumquat
