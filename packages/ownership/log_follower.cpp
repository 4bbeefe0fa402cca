#include "ownership/log_follower.h"

#include <vector>

namespace kumquat {

namespace {

constexpr std::size_t maxOpenCheckpoints = 8; // maximum number of incomplete checkpoints to collect
// Time before a checkpoint that was not read back is appended again.
constexpr Duration checkpointRepeatInterval = 10s;

} // namespace

Offset LogFollower::nextOffset() const
{
    return this->searching ? this->searchNext : this->context.state.nextOffset();
}

void LogFollower::onFirstKept(Offset firstKeptOffset)
{
    this->firstKept = std::max(this->firstKept, firstKeptOffset);
    if (this->nextOffset() >= firstKeptOffset) {
        return;
    }
    this->searching = true;
    this->searchedAll = false;
    this->searchNext = firstKeptOffset;
    this->context.caughtUp = false;
}

LogFollower::Step LogFollower::onRecord(Offset offset, const wire::LogRecord &record, Time now)
{
    Step step;
    if (offset != this->nextOffset()) {
        return step;
    }
    if (!this->firstRecordReadAt) {
        this->firstRecordReadAt = now;
    }
    if (this->searching) {
        ++this->searchNext;
        step.reloaded = record.has_checkpoint() && this->addPart(record.checkpoint(), now);
        return step;
    }
    step.applied = this->context.state.apply(offset, record);
    if (record.has_checkpoint()) {
        this->addPart(record.checkpoint(), now);
    }
    return step;
}

// Collects a part of a checkpoint. Returns whether it completed a checkpoint that replaced the
// state.
bool LogFollower::addPart(const wire::Checkpoint &part, Time now)
{
    if (part.part() >= part.parts()) {
        return false;
    }
    const PartKey key{part.covers(), part.parts()};
    auto &collected = this->parts[key];
    collected.emplace(part.part(), this->searching ? part : wire::Checkpoint());
    if (collected.size() < part.parts()) {
        if (this->parts.size() > maxOpenCheckpoints) {
            this->parts.erase(this->parts.begin());
        }
        return false;
    }
    std::vector<wire::Checkpoint> ordered;
    for (const auto &[index, collectedPart] : collected) {
        ordered.push_back(collectedPart);
    }
    this->parts.erase(key);
    if (!this->searching) {
        this->covered = std::max(this->covered, part.covers());
        this->checkpointReadAt = now;
        return false;
    }
    if (part.covers() + 1 < this->firstKept || part.covers() < this->context.state.nextOffset()) {
        return false; // records after the checkpoint are lost, or it is older than the state
    }
    auto loaded = ClusterState::loadCheckpoint(ordered, this->context.settings.layout);
    if (!loaded.ok()) {
        return false;
    }
    this->context.state = *std::move(loaded);
    this->covered = part.covers();
    this->checkpointReadAt = now;
    this->searching = false;
    this->parts.clear();
    return true;
}

// After an outage that was longer than the retention, the log may have lost all records. A
// checkpoint is then due at once, before any other record.
void LogFollower::onAnswering(bool answering, Time now)
{
    if (answering && this->answeredAt
        && now >= *this->answeredAt + this->context.timings().retention) {
        this->checkpointOverdue = true;
    }
    if (answering || this->context.answering) {
        this->answeredAt = now;
    }
}

// The log may have records before the reported end that were not passed in yet, so the end has an
// effect only if the state has reached it.
void LogFollower::onLogEnd(Offset reported, Time askedAt)
{
    this->end = std::max(this->end, reported);
    if (this->searching) {
        this->searchedAll = this->searchNext >= reported;
        return;
    }
    if (askedAt >= this->context.started && this->context.state.nextOffset() >= reported) {
        this->context.caughtUp = true;
    }
}

// The retention of the log may be a time or a number of records. A checkpoint is due if the last
// one is old by either measure. Records have no times, so the age counts from the reading of a
// record.
Time LogFollower::checkpointDue() const
{
    if (!this->context.caughtUp || !this->context.answering || this->end == 0) {
        return never;
    }
    if (this->checkpointOverdue) {
        return this->answeredAt.value_or(this->context.started);
    }
    const Time half = this->context.timings().retention / 2;
    const Time readAt = this->checkpointReadAt.value_or(
            this->firstRecordReadAt.value_or(this->context.started));
    Time due = readAt + half;
    const bool oldByOffset = this->firstKept > 0
                             && this->covered < this->firstKept + (this->end - this->firstKept) / 2;
    if (oldByOffset) {
        due = std::min(due, std::max(readAt, this->context.started));
    }
    // The random delay differs between processes and between checkpoints.
    const auto jitterRange =
            static_cast<std::uint64_t>(this->context.timings().checkpointJitter.count());
    const Duration jitter(static_cast<Duration::rep>(
            hashPair(this->context.settings.incarnation, this->covered) % jitterRange));
    return due + jitter;
}

void LogFollower::step(Time now)
{
    if (now < this->nextDue(now)) {
        return;
    }
    this->checkpointOverdue = false;
    for (const wire::Checkpoint &part : this->context.state.makeCheckpoint()) {
        wire::LogRecord record;
        *record.mutable_checkpoint() = part;
        const AppendKey key{record.body_case(), 0, part.part()};
        this->context.outbox.append(key, record, checkpointRepeatInterval, now);
    }
}

Time LogFollower::nextDue(Time now) const
{
    const Time due = this->checkpointDue();
    if (due == never) {
        return never;
    }
    const AppendKey key{wire::LogRecord::kCheckpoint, 0, 0};
    const Time repeat = this->context.outbox.appendDue(key, checkpointRepeatInterval);
    return std::max({due, repeat, now < due ? due : now});
}

} // namespace kumquat
