// The record of this host in the store: what a process restores from it, and when it is written.
#include "base/log.h"
#include "stage/stage.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration recordRetry = 300ms;
// Wait for the store before a leave is refused; an upstream waits one second for the answer.
constexpr Duration leaveRecordLimit = 800ms;
// Wait for another host's records before the upstream is used after a rollback of the store.
constexpr Duration restoreLimit = 1500ms;
constexpr std::size_t maxAskedHosts = 5; // one answer is enough; some hosts may be gone

} // namespace

// Starts again what depended on records that the store may have lost.
void Stage::onEraChanged(std::uint32_t era)
{
    this->freshness.noteEra(era);
    this->recordedLeave = {};
    this->isRecordDue = this->isRecordDue || this->recordChange != 0;
    // Posted, because the read whose answer shows the era ends first.
    this->thread.post([this] {
        if (this->relays.isRelay(this->settings.node, readBootTime())) {
            for (const auto &entry : platform::storeTopicNames.entries) {
                this->follower.requestRead(entry.value);
            }
        }
    });
}

// Restores the upstream from the records that have been read. Once the store has gone back, other
// hosts may know a newer record of this host than the store has.
void Stage::beginRestore()
{
    if (this->view.storeEra().current() == 0) {
        this->restoreUpstream(readBootTime());
        return;
    }
    if (std::exchange(this->isRestoring, true)) {
        return;
    }
    this->thread.spawn([this] {
        this->askForHosts();
        this->restoreUpstream(readBootTime());
        const KnownHost *own = this->view.host(this->settings.node);
        const bool isOld =
                own != nullptr && storeEraOf(own->offset) < this->view.storeEra().current();
        this->isRecordDue = this->isRecordDue || isOld || (own != nullptr && own->isAhead);
    });
}

// Waits until another host has sent all host records that it knows.
void Stage::askForHosts()
{
    struct Answer
    {
        explicit Answer(asio::io_context &io)
            : event(io)
        {}
        FiberEvent event;
        bool hasArrived = false;
    };
    const auto first = std::make_shared<Answer>(this->thread.io());
    wire::LinkFrame frame;
    frame.mutable_state_query()->mutable_known()->set_tables_end(this->view.tablesEnd());
    std::size_t asked = 0;
    for (const std::string &node : this->knownNodes()) {
        if (node == this->settings.node || asked == maxAskedHosts) {
            continue;
        }
        ++asked;
        this->links.call(node, frame, {}, restoreLimit,
                         [this, node, first](CallOutcome outcome, const LinkMessage &answer) {
                             if (outcome == CallOutcome::Answered) {
                                 this->onState(node, answer.head.state_reply());
                                 first->hasArrived = true;
                                 first->event.notify();
                             }
                         });
    }
    const Time end = readBootTime() + restoreLimit;
    for (Time now = readBootTime(); asked > 0 && !first->hasArrived && now < end;
         now = readBootTime()) {
        first->event.waitFor(end - now);
    }
    logInfo(LogPart::Upstream, "host records of other hosts awaited",
            {{"asked", std::to_string(asked)}, {"answered", first->hasArrived ? "yes" : "no"}});
}

// Continues with what the process before this one has recorded.
void Stage::restoreUpstream(Time now)
{
    RecordedUpstream recorded;
    if (const KnownHost *host = this->view.host(this->settings.node)) {
        recorded = {.instance = host->info.instance,
                    .phase = host->info.phase,
                    .isLeaving = host->isLeaving};
    }
    this->monitor.restore(recorded, now);
    this->recordedLeave = recorded.isLeaving ? recorded.instance : UpstreamInstance();
    logInfo(LogPart::Upstream, "state of the upstream restored",
            {{"upstream", recorded.instance.id},
             {"born", std::to_string(recorded.instance.startedMs)},
             {"phase", std::string(upstreamPhaseNames.nameOf(recorded.phase))},
             {"leaving", recorded.isLeaving ? "yes" : "no"}});
}

// Waits until the store has the leave of the upstream. Returns false if that takes too long.
bool Stage::waitForLeaveRecord()
{
    this->writeHostRecord();
    const Time end = readBootTime() + leaveRecordLimit;
    for (Time now = readBootTime();
         this->monitor.isLeaving() && this->recordedLeave != this->monitor.instance() && now < end;
         now = readBootTime()) {
        FiberEvent stored(this->thread.io());
        this->leaveWaits.push_back(&stored);
        stored.waitFor(end - now);
        std::erase(this->leaveWaits, &stored);
    }
    return !this->monitor.isLeaving() || this->recordedLeave == this->monitor.instance();
}

// Writes the record of this host again if an older one, whose answer was lost, was appended later.
void Stage::checkOwnRecord(const KnownHost &host)
{
    const bool isOlder = host.incarnation != this->incarnation || host.change < this->recordChange
                         || host.isAhead;
    if (host.info.node == this->settings.node && this->storedRecordEnd != 0
        && host.offset >= this->storedRecordEnd && isOlder) {
        this->isRecordDue = true;
    }
}

// Writes the record of this host if it is due. The record of the process before this one must have
// been read, because the new record replaces it.
void Stage::writeHostRecord()
{
    if (!this->isRecordDue || this->isWritingRecord || !this->monitor.isRestored()) {
        return;
    }
    this->isRecordDue = false;
    this->isWritingRecord = true;
    wire::HostRecord record;
    record.set_node(this->settings.node);
    record.set_incarnation(this->incarnation);
    record.set_address(this->settings.listen.processesAdvertised.toString());
    record.set_data_centre(this->settings.dataCentre);
    record.set_region(this->settings.region);
    record.set_service(this->settings.service);
    record.set_upstream_id(this->monitor.instance().id);
    record.set_born_ms(this->monitor.instance().startedMs);
    record.set_slots(this->monitor.slots());
    record.set_phase(encodePhase(this->monitor.phase()));
    record.set_change(++this->recordChange);
    record.set_leaving(this->monitor.isLeaving());
    const std::uint32_t era = this->view.storeEra().current();
    record.set_store_era(era);
    const UpstreamInstance leave =
            this->monitor.isLeaving() ? this->monitor.instance() : UpstreamInstance();
    this->thread.spawn([this, leave, era, bytes = record.SerializeAsString()] {
        const platform::AppendResult result = this->store.append(
                platform::StoreTopic::Hosts, this->settings.node, bytes, era, std::nullopt);
        logInfo(LogPart::Log, "record of this host written",
                {{"outcome", std::string(platform::appendOutcomeNames.nameOf(result.outcome))},
                 {"phase", std::string(upstreamPhaseNames.nameOf(this->monitor.phase()))},
                 {"era", std::to_string(era)}});
        const bool isCurrent = era == this->view.storeEra().current();
        if (result.outcome == platform::AppendOutcome::Done && isCurrent) {
            this->storedRecordEnd = result.endOffset;
            this->recordedLeave = leave;
            for (FiberEvent *wait : this->leaveWaits) {
                wait->notify();
            }
        } else {
            sleepFor(this->thread.io(), recordRetry);
            this->isRecordDue = true;
        }
        this->isWritingRecord = false;
    });
}

} // namespace kumquat
