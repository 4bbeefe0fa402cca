// The record of this host in the store: what a process restores from it, and when it is written.
#include "base/log.h"
#include "stage/host_survey.h"
#include "stage/stage.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration recordRetry = 300ms;
// Wait for the store before a leave is refused; an upstream waits one second for the answer.
constexpr Duration leaveRecordLimit = 800ms;

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
                                 if (outcome == CallOutcome::Answered) {
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
