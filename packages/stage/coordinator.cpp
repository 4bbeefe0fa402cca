#include "stage/coordinator.h"

#include "base/containment.h"
#include "base/durations.h"
#include "base/log.h"
#include "keyspace/store_era.h"

#include <algorithm>
#include <utility>

namespace kumquat {

using platform::AppendOutcome;
using platform::AppendResult;

Coordinator::Coordinator(FiberThread &coordinatorThread, const std::string &ownNode,
                         const std::string &ownService, ClusterView &clusterView,
                         LinkPool &linkPool, Metrics &stageMetrics,
                         CoordinatorHooks coordinatorHooks, CoordinatorSettings coordinatorSettings)
    : thread(coordinatorThread)
    , node(ownNode)
    , service(ownService)
    , view(clusterView)
    , links(linkPool)
    , metrics(stageMetrics)
    , hooks(std::move(coordinatorHooks))
    , settings(coordinatorSettings)
    , load(coordinatorSettings.loadDecayTime)
    , reach(coordinatorSettings.unreachableAfter)
{}

void Coordinator::advance(Time now)
{
    const bool wasPaused = now - std::exchange(this->advancedAt, now) > this->settings.maxPause;
    this->listeningSince = wasPaused ? now : this->listeningSince;
    const ConfigurationPtr configuration = this->view.configuration();
    const ServiceInfo *info = configuration ? configuration->service(this->service) : nullptr;
    if (info == nullptr || !info->hasKeys || !this->view.evacuations().isKnown()) {
        return;
    }
    const std::string writer = this->writerNode(now);
    const bool isWriter = writer == this->node;
    if (writer != this->currentWriter) {
        this->writerSince = now;
        this->listeningSince = now;
        logInfo(LogPart::Slots, "another host writes the key table from now on",
                {{"service", this->service}, {"node", writer}, {"before", this->currentWriter}});
        this->currentWriter = writer;
    }
    if (now - this->reportedAt >= this->settings.reportInterval) {
        this->reportedAt = now;
        this->report(writer, now);
    }
    if (isWriter && !this->isWriting && now - this->plannedAt >= this->settings.planInterval) {
        this->plannedAt = now;
        this->plan(now);
    }
}

std::string Coordinator::writerNode(Time now) const
{
    std::vector<std::string> nodes;
    for (const auto &[name, host] : this->view.hosts()) {
        if (host.info.service == this->service) {
            nodes.push_back(name);
        }
    }
    return this->writerChoice.choose(this->service, nodes, this->node, now);
}

void Coordinator::report(const std::string &writer, Time now)
{
    wire::LinkFrame frame;
    wire::LoadReport &report = *frame.mutable_load_report();
    report = this->hooks.makeReport();
    for (const auto &[key, count] : this->hooks.takeKeyCounts()) {
        wire::KeyCount &added = *report.add_counts();
        added.set_key(key);
        added.set_count(count);
    }
    if (writer == this->node) {
        this->noteReport(this->node, report, now);
        return;
    }
    this->links.call(writer, frame, {}, this->settings.reportTimeout,
                     [this, writer, now](CallOutcome outcome, const LinkMessage &answer) {
                         if (outcome == CallOutcome::Answered) {
                             this->writerChoice.noteHeard(writer);
                             this->hooks.knownReceived(writer, answer.head.load_ack().known(), now);
                         } else {
                             this->writerChoice.noteSilent(writer, readBootTime());
                         }
                     });
}

void Coordinator::noteReport(const std::string &reporter, const wire::LoadReport &report, Time now)
{
    for (const wire::KeyCount &count : report.counts()) {
        this->load.add(count.key(), count.count(), now);
    }
    this->writerChoice.noteHeard(reporter);
    this->reach.noteReport(reporter, now);
    this->noteHostStatus(reporter, report, now);
    if (report.retired() != 0) {
        Report &retired = this->reports[report.retired()];
        retired.at = now;
        retired.content.isRetired = true;
    }
    if (report.session() == 0) {
        return;
    }
    Report &kept = this->reports[report.session()];
    kept.at = now;
    kept.content = {.isFailing = report.failing(),
                    .isStopping = report.stopping(),
                    .serviceSeconds = decodeServiceTime(report.service_ms()),
                    .tablesEnd = report.known().tables_end(),
                    .votersEnd = report.voters_end(),
                    .unsettled = {report.unsettled().begin(), report.unsettled().end()}};
}

void Coordinator::noteHostStatus(const std::string &reporter, const wire::LoadReport &report,
                                 Time now)
{
    if (report.upstream_id().empty()) {
        return;
    }
    const UpstreamInstance instance{.id = report.upstream_id(), .startedMs = report.born_ms()};
    if (this->hostStatuses[reporter].instance != instance) {
        this->hostsChangedAt = now;
    }
    this->hostStatuses[reporter] = {.instance = instance,
                                    .slots = std::max(1U, report.slots()),
                                    .usableSlots = report.usable_slots(),
                                    .phase = decodePhase(report.phase()),
                                    .isStopping = report.stopping(),
                                    .at = now};
}

bool Coordinator::isReachable(const HostInfo &info, Time now)
{
    const HostContact contact{.isDown = this->links.isDown(info.node, now),
                              .answeredAt = this->links.lastReceivedFrom(info.node),
                              .sendsReports = info.service == this->service};
    return info.node == this->node
           || this->reach.isReachable(info.node, contact, this->listeningSince, now);
}

PlanInput Coordinator::makeInput(const KeyTable &table, Time now)
{
    PlanInput input{.table = &table,
                    .newEnd = this->view.tablesEnd() + 1,
                    .node = this->node,
                    .load = &this->load,
                    .mayBalance = now - this->balancedAt >= this->settings.balanceInterval,
                    .planningFor = now - this->writerSince,
                    .hostsSteadyFor = now - this->hostsChangedAt,
                    .now = now};
    for (const auto &[name, host] : this->view.hosts()) {
        input.hosts.push_back(host.info);
        HostInfo &info = input.hosts.back();
        info.isReachable = this->isReachable(info, now);
        info.isEvacuated = this->view.evacuations().isEvacuated(info.dataCentre);
        info.isReturning = this->view.evacuations().hasEndedAfter(
                info.dataCentre, now - this->settings.returnPeriod);
        const auto status = this->hostStatuses.find(name);
        if (status != this->hostStatuses.end()
            && now - status->second.at < this->settings.hostStatusTimeout) {
            info.instance = status->second.instance;
            info.slots = status->second.slots;
            info.usableSlots = status->second.usableSlots;
            info.phase = status->second.phase;
            info.isStopping = status->second.isStopping;
        }
    }
    for (const auto &[session, report] : this->reports) {
        SessionReport &added = input.reports[session];
        added = report.content;
        added.silence = now - report.at;
    }
    return input;
}

// Starts the silence timer of sessions without a report, and forgets sessions that left the table.
void Coordinator::noteSessions(const KeyTable &table, Time now)
{
    for (const KeySession &session : table.sessions) {
        if (session.isActive()) {
            this->reports.try_emplace(session.id,
                                      Report{.content = {.wasHeard = false}, .at = now});
        }
    }
    std::erase_if(this->reports,
                  [&](const auto &entry) { return table.session(entry.first) == nullptr; });
}

void Coordinator::plan(Time now)
{
    const KeyTable *current = this->view.table(this->service);
    if (current != nullptr) {
        this->noteSessions(*current, now);
    }
    if (!this->mayPlan(current, now)) {
        return;
    }
    const Duration settled = now - std::max(this->hostsChangedAt, this->writerSince);
    if (current == nullptr && settled < this->settings.settlePeriod) {
        return; // other hosts may still be starting
    }
    const ServiceInfo *info = this->view.configuration()->service(this->service);
    const GrantMode mode = info->grantMode.value_or(this->settings.grantMode);
    const KeyTable empty = KeyTable::createEmpty(
            this->service, leaseLengthOf(mode, this->settings.heartbeatInterval));
    std::optional<KeyTable> next = this->planNext(current != nullptr ? *current : empty, now);
    if (next) {
        this->write(*std::move(next));
    }
}

// Returns whether the next table may be written: after a rollback of the store not before all
// owners have stopped that act on older tables.
bool Coordinator::mayPlan(const KeyTable *current, Time now)
{
    const StoreEraTracker &era = this->view.storeEra();
    if (mayWriteTable(current, this->view.tablesEnd(), era, now)) {
        return true;
    }
    if (this->awaitedEra != era.current()) {
        this->awaitedEra = era.current();
        const Duration left = era.since() + eraTableWait() - now;
        logInfo(LogPart::Slots, "no key table is written until owners of older ones have stopped",
                {{"service", this->service},
                 {"era", std::to_string(era.current())},
                 {"table", std::to_string(current != nullptr ? current->end : 0)},
                 {"leftMs", std::to_string(toMilliseconds(left))}});
    }
    return false;
}

std::optional<KeyTable> Coordinator::planNext(const KeyTable &base, Time now)
{
    const bool isFirst = beginsEra(base, this->view.tablesEnd() + 1);
    const KeyTable table = isFirst ? withoutEarlierGrants(base) : base;
    PlanInput input = this->makeInput(table, now);
    input.mayBalance = input.mayBalance && !isFirst;
    std::optional<KeyTable> next = planKeyTable(input, this->settings.planner);
    if (input.mayBalance) {
        this->balancedAt = now;
    }
    if (next) {
        this->logEndedSessions(input, *next);
        this->logLostVoters(table, *next);
    }
    return isFirst ? beginEra(next ? *std::move(next) : table, input.newEnd, this->node) : next;
}

void Coordinator::logEndedSessions(const PlanInput &input, const KeyTable &next) const
{
    for (const KeySession &session : input.table->sessions) {
        const KeySession *after = next.session(session.id);
        if (!session.isActive() || (after != nullptr && after->isActive())) {
            continue;
        }
        const auto report = input.reports.find(session.id);
        if (report == input.reports.end()) {
            continue;
        }
        const SessionReport &content = report->second;
        logInfo(LogPart::Slots, "session to end",
                {{"service", this->service},
                 {"session", std::to_string(session.id)},
                 {"node", session.node},
                 {"reason", content.isRetired  ? "abandoned by its host"
                            : content.wasHeard ? "silent"
                                               : "never heard"},
                 {"silentMs", std::to_string(toMilliseconds(content.silence))},
                 {"planningForMs", std::to_string(toMilliseconds(input.planningFor))}});
    }
}

void Coordinator::logLostVoters(const KeyTable &before, const KeyTable &next) const
{
    for (const KeySession &session : next.sessions) {
        const KeySession *earlier = before.session(session.id);
        if (earlier != nullptr && session.voters.size() < earlier->voters.size()) {
            logInfo(LogPart::Slots, "lost voters are not replaced",
                    {{"service", this->service},
                     {"session", std::to_string(session.id)},
                     {"node", session.node},
                     {"voters", std::to_string(session.voters.size())},
                     {"before", std::to_string(earlier->voters.size())}});
        }
    }
}

void Coordinator::write(KeyTable table)
{
    this->isWriting = true;
    this->thread.spawn([this, table = std::move(table)] {
        const std::uint64_t expectedEnd = table.end - 1;
        std::string bytes;
        AppendResult result{.outcome = AppendOutcome::Unknown};
        runContained(ContainedWork::StoreWrite, [&] {
            bytes = table.encode();
            result = this->hooks.append(bytes, storeEraOf(table.end), expectedEnd);
        });
        this->isWriting = false;
        logInfo(LogPart::Slots, "key table written",
                {{"service", this->service},
                 {"end", std::to_string(table.end)},
                 {"outcome", std::string(platform::appendOutcomeNames.nameOf(result.outcome))},
                 {"sessions", std::to_string(table.sessions.size())},
                 {"ranges", std::to_string(table.ranges.size())},
                 {"bytes", std::to_string(bytes.size())}});
        switch (result.outcome) {
        case AppendOutcome::Done:
            this->metrics.count(Metric::TablesWritten);
            this->view.applyTable(this->service, expectedEnd, bytes);
            this->broadcastTable(bytes, table.end);
            break;
        case AppendOutcome::Conflict:
            this->metrics.count(Metric::TableConflicts);
            this->hooks.tablesOutdated();
            break;
        case AppendOutcome::Unknown:
            this->hooks.tablesOutdated(); // the table may have been appended
            break;
        case AppendOutcome::NotDone:
            break;
        }
    });
}

// Sends the table to all hosts at once, because most of them do not read tables from the store.
void Coordinator::broadcastTable(const std::string &bytes, std::uint64_t end)
{
    wire::StateReply update;
    *update.mutable_known() = this->view.known();
    wire::StateItem &item = *update.add_tables();
    item.set_key(this->service);
    item.set_offset(end - 1);
    item.set_value(bytes);
    this->hooks.broadcast(update);
}

} // namespace kumquat
