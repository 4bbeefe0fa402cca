// The store of the ownership model and the key tables in it. Sections: store, planning, reading.
#include "ownership_model.h"

namespace kumquat {

// ---- Store ----

void OwnershipModel::rollBack(std::size_t count)
{
    this->log.resize(this->log.size() - std::min(count, this->log.size()));
    ++this->storeEra;
    this->noteNewest();
}

void OwnershipModel::rollBackToDelayedAppend()
{
    this->rollBack(this->log.size() - std::min(this->log.size(), this->delayedOffset));
}

// Sets the table that a reader of the store gets: of the newest era that has one.
void OwnershipModel::noteNewest()
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
void OwnershipModel::append(const KeyTable &table)
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
void OwnershipModel::checkFences(const KeyTable &table)
{
    for (const KeyRange &range : table.ranges) {
        const ShardKey first = (range.span.first + fenceStep - 1) / fenceStep * fenceStep;
        for (ShardKey key = first; key <= range.span.last; key += fenceStep) {
            auto &[owner, fence] = this->lastFences[key];
            const bool isMoved = owner != range.owner;
            if (range.fence < fence || (isMoved && owner != 0 && range.fence <= fence)) {
                this->violation = "the fence of key " + std::to_string(key) + " went from "
                                  + std::to_string(fence) + " to " + std::to_string(range.fence);
            }
            owner = range.owner;
            fence = range.fence;
        }
    }
}

// ---- Planning ----

// Plans on the first host that is awake and connected. All hosts read the new table after a
// delay.
void OwnershipModel::planTable()
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
        input.hosts.push_back({.node = this->nameOf(i),
                               .dataCentre = this->nameOf(i),
                               .region = "north",
                               .service = "testlog",
                               .instance = this->hosts[i]->instance,
                               .slots = 9,
                               .phase = isLeaving ? UpstreamPhase::Draining : UpstreamPhase::Ready,
                               .isReachable = this->now - this->reachedAt[i] < 2s,
                               .isEvacuated = this->now < this->evacuatedUntil[i],
                               .isReturning = this->now - this->evacuatedUntil[i] < 15s});
        ModelHost &host = *this->hosts[i];
        const KeySession *abandoned = known->activeSessionOf(this->nameOf(i));
        if (abandoned != nullptr && abandoned->id != host.session && this->isAwake(i)
            && this->isLinked(i, writer) && host.hasHeardUpstream && host.table.end == known->end
            && host.holder.holdsNothing(this->now)) {
            input.reports[abandoned->id].isRetired = true;
        }
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
        this->load.add(static_cast<ShardKey>(this->random() % (lastShardKey + 1)), 40, this->now);
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

// ---- Reading ----

// Compares the key table of a host with that of the store.
void OwnershipModel::readStore(int index)
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

// Notes that a host has read all tables that the store had at `asOf`.
void OwnershipModel::noteRead(ModelHost &host, Time asOf, std::uint32_t era,
                              std::uint64_t end) const
{
    if (!std::exchange(host.hasRead, true)) {
        host.voter.noteFreshRead(host.era.current());
    }
    host.freshness.note(asOf, era);
    host.readEnd = std::max(host.readEnd, end);
}

// `era`: the newest one that the sender or the store names with the table.
void OwnershipModel::deliverTable(int index, const KeyTable &table, std::uint32_t era)
{
    if (!this->isAwake(index) || this->now < this->cutUntil[index] || this->isApart(index)) {
        // A table that the store has lost is not sent again.
        if (this->gone[index] || era < this->storeEra) {
            return;
        }
        this->schedule(100ms, [this, index, table, era] { this->deliverTable(index, table, era); });
        return;
    }
    ModelHost &host = *this->hosts[index];
    host.noteEra(era, this->now);
    if (!this->takeTable(host, table) && host.session != 0) {
        return;
    }
    const KeySession *active = host.table.activeSessionOf(this->nameOf(index));
    const bool isOwn = active != nullptr && this->ownsSession(index, *active);
    const KeySession *own = isOwn ? active : nullptr;
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

// Returns whether the table replaces that of the host.
bool OwnershipModel::takeTable(ModelHost &host, const KeyTable &table) const
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

} // namespace kumquat
