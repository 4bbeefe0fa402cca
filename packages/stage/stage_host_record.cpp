// The record of this host in the store: what a process restores from it, and when it is written.
#include "base/containment.h"
#include "base/durations.h"
#include "base/log.h"
#include "stage/host_survey.h"
#include "stage/stage.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration recordRetry = 300ms;
// Wait for the store, and then for another host, before a leave is answered; an upstream waits one
// second for the answer.
constexpr Duration leaveRecordLimit = 800ms;
// At least three round trips between regions; a confirmation that arrives after the heartbeat was
// answered counts for the next one.
constexpr Duration tellLeaveTimeout = 900ms;

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
        const bool isAnswered = runContained(ContainedWork::Task, [this] { this->askForHosts(); });
        if (!isAnswered) {
            this->isRestoring = false; // asks again after the next read of the records
            return;
        }
        this->restoreUpstream(readBootTime());
        const KnownHost *own = this->view.host(this->settings.node);
        const bool isOld =
                own != nullptr && storeEraOf(own->offset) < this->view.storeEra().current();
        this->isRecordDue = this->isRecordDue || isOld || (own != nullptr && own->isAhead);
    });
}

// Takes over the host records and the evacuations that some other hosts know. Waits for their
// answers, but not for hosts that can't be reached.
void Stage::askForHosts()
{
    struct Survey
    {
        HostSurvey choice;
        std::shared_ptr<FiberEvent> event; // of the present wait
    };
    std::vector<std::string> others = RelayChoice::ordered(this->knownNodes());
    std::erase(others, this->settings.node);
    const auto survey = std::make_shared<Survey>(
            Survey{.choice = HostSurvey(std::move(others), readBootTime()), .event = nullptr});
    wire::LinkFrame frame;
    wire::Known &known = *frame.mutable_state_query()->mutable_known();
    known.set_tables_end(this->view.tablesEnd());
    known.set_config_version(this->view.known().config_version());
    std::size_t asked = 0;
    for (Time now = readBootTime(); !survey->choice.isOver(now); now = readBootTime()) {
        survey->event = std::make_shared<FiberEvent>(this->thread.io());
        for (const std::string &node : survey->choice.takeHosts()) {
            ++asked;
            this->links.call(node, frame, {}, HostSurveySettings{}.limit,
                             [this, node, survey](CallOutcome outcome, const LinkMessage &answer) {
                                 if (outcome == CallOutcome::Answered
                                     && answer.head.has_state_reply()) {
                                     const wire::StateReply &state = answer.head.state_reply();
                                     this->onState(node, state);
                                     this->view.evacuations().restoreFrom(state, node);
                                     survey->choice.noteAnswer(readBootTime());
                                 } else {
                                     survey->choice.noteFailure();
                                 }
                                 survey->event->notify();
                             });
        }
        survey->event->waitFor(survey->choice.end() - now);
    }
    logInfo(LogPart::Upstream, "records of other hosts taken over",
            {{"asked", std::to_string(asked)},
             {"answered", std::to_string(survey->choice.answered())}});
}

// Continues with what the process before this one has recorded.
void Stage::restoreUpstream(Time now)
{
    RecordedUpstream recorded;
    bool isStored = false; // in the present era of the store
    if (const KnownHost *host = this->view.host(this->settings.node)) {
        recorded = {.instance = host->info.instance,
                    .phase = host->info.phase,
                    .isLeaving = host->isLeaving,
                    .history = host->history};
        isStored = !host->isAhead && storeEraOf(host->offset) == this->view.storeEra().current();
    }
    this->monitor.restore(recorded, now);
    this->recordedLeave = recorded.isLeaving && isStored ? recorded.instance : UpstreamInstance();
    logInfo(LogPart::Upstream, "state of the upstream restored",
            {{"upstream", recorded.instance.id},
             {"born", std::to_string(recorded.instance.startedMs)},
             {"phase", std::string(upstreamPhaseNames.nameOf(recorded.phase))},
             {"leaving", recorded.isLeaving ? "yes" : "no"}});
}

bool Stage::isLeaveStored() const
{
    return this->recordedLeave == this->monitor.instance();
}

// Waits until the store has the leave of the upstream and, for a shorter time, until another host
// knows it. Returns false if the store does not have it in time.
bool Stage::waitForLeaveRecord()
{
    this->writeHostRecord();
    const Time end = readBootTime() + leaveRecordLimit;
    UpstreamInstance told;
    for (Time now = readBootTime(); this->monitor.isLeaving() && now < end; now = readBootTime()) {
        const UpstreamInstance instance = this->monitor.instance();
        Time waitEnd = end;
        if (this->isLeaveStored()) {
            if (told != instance) {
                this->tellLeave(now); // once, also if all messages fail at once
                told = instance;
            }
            if (this->leaveConfirmation.isOver(instance, now)) {
                break;
            }
            waitEnd = std::min(end, this->leaveConfirmation.end());
        }
        FiberEvent changed(this->thread.io());
        this->leaveWaits.push_back(&changed);
        changed.waitFor(waitEnd - now);
        std::erase(this->leaveWaits, &changed);
    }
    const bool isStored = !this->monitor.isLeaving() || this->isLeaveStored();
    if (isStored && this->monitor.isLeaving()
        && !this->leaveConfirmation.isConfirmed(this->monitor.instance())) {
        this->metrics.count(Metric::LeavesUnconfirmed);
    }
    return isStored;
}

// Sends the record with the leave of the upstream to other hosts, unless one has confirmed it.
void Stage::tellLeave(Time now)
{
    const UpstreamInstance instance = this->monitor.instance();
    const KnownHost *own = this->view.host(this->settings.node);
    const bool hasRecord = own != nullptr && own->isLeaving && own->info.instance == instance;
    std::vector<std::string> reachable = RelayChoice::ordered(this->knownNodes());
    std::erase_if(reachable, [&](const std::string &node) {
        return !hasRecord || node == this->settings.node || this->links.isDown(node, now);
    });
    const std::vector<std::string> told =
            this->leaveConfirmation.begin(instance, std::move(reachable), now);
    if (told.empty()) {
        return;
    }
    logInfo(LogPart::Upstream, "leave sent to other hosts",
            {{"upstream", instance.id}, {"hosts", std::to_string(told.size())}});
    wire::LinkFrame frame;
    wire::StateReply &update = *frame.mutable_state_reply();
    *update.mutable_known() = this->view.known();
    wire::StateItem &item = *update.add_hosts();
    item.set_key(this->settings.node);
    item.set_offset(own->offset);
    item.set_value(own->bytes);
    for (const std::string &node : told) {
        this->links.call(
                node, frame, {}, tellLeaveTimeout,
                [this, node, instance, now](CallOutcome outcome, const LinkMessage &answer) {
                    const bool isConfirmed =
                            outcome == CallOutcome::Answered && answer.head.has_load_ack();
                    this->noteLeaveTold(node, instance, isConfirmed, now);
                });
    }
}

// Notes the end of a message that carried the leave of an instance.
void Stage::noteLeaveTold(const std::string &node, const UpstreamInstance &instance,
                          bool isConfirmed, Time sentAt)
{
    const bool wasConfirmed = this->leaveConfirmation.isConfirmed(instance);
    this->leaveConfirmation.noteResult(instance, isConfirmed);
    if (!wasConfirmed && this->leaveConfirmation.isConfirmed(instance)) {
        this->metrics.count(Metric::LeavesConfirmed);
        logInfo(LogPart::Upstream, "leave confirmed by another host",
                {{"upstream", instance.id},
                 {"node", node},
                 {"ms", std::to_string(toMilliseconds(readBootTime() - sentAt))}});
    }
    for (FiberEvent *wait : this->leaveWaits) {
        wait->notify();
    }
}

// Applies a leave in the newest known record of this host, which may have arrived from another host
// after restoreUpstream(). Returns whether it is new.
bool Stage::applyRecordedLeave(Time now)
{
    const KnownHost *own = this->view.host(this->settings.node);
    if (own == nullptr || !own->isLeaving
        || !this->monitor.noteRecordedLeave(own->info.instance, now)) {
        return false;
    }
    logInfo(LogPart::Upstream, "leave of the upstream found in the record of this host",
            {{"upstream", own->info.instance.id}, {"offset", std::to_string(own->offset)}});
    return true;
}

// Writes the record of this host again if an older one, whose answer was lost, was appended later.
void Stage::checkOwnRecord(const KnownHost &host)
{
    const Time now = readBootTime();
    if (host.info.node == this->settings.node && this->applyRecordedLeave(now)) {
        this->onUpstreamChanged(now);
    }
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
    for (const UpstreamInstance &replaced : this->monitor.history().replaced()) {
        wire::InstanceRecord &added = *record.add_replaced();
        added.set_upstream_id(replaced.id);
        added.set_born_ms(replaced.startedMs);
    }
    const std::uint32_t era = this->view.storeEra().current();
    record.set_store_era(era);
    const UpstreamInstance leave =
            this->monitor.isLeaving() ? this->monitor.instance() : UpstreamInstance();
    this->thread.spawn([this, leave, era, bytes = record.SerializeAsString()] {
        platform::AppendResult result{.outcome = platform::AppendOutcome::Unknown};
        runContained(ContainedWork::StoreWrite, [&] {
            result = this->store.append(platform::StoreTopic::Hosts, this->settings.node, bytes,
                                        era, std::nullopt);
        });
        logInfo(LogPart::Log, "record of this host written",
                {{"outcome", std::string(platform::appendOutcomeNames.nameOf(result.outcome))},
                 {"phase", std::string(upstreamPhaseNames.nameOf(this->monitor.phase()))},
                 {"era", std::to_string(era)}});
        const bool isCurrent = era == this->view.storeEra().current();
        if (result.outcome == platform::AppendOutcome::Done && isCurrent) {
            this->storedRecordEnd = result.endOffset;
            this->recordedLeave = leave;
            this->view.applyHost(this->settings.node, result.endOffset - 1, bytes);
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
