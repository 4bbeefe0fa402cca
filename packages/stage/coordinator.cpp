#include "stage/coordinator.h"

#include "base/durations.h"
#include "base/log.h"

#include <algorithm>

namespace kumquat {

using platform::AppendOutcome;
using platform::AppendResult;
using platform::StoreTopic;

Coordinator::Coordinator(FiberThread &coordinatorThread, const std::string &ownNode,
                         const std::string &ownService, ClusterView &clusterView,
                         LinkPool &linkPool, platform::StoreClient &storeClient,
                         Metrics &stageMetrics, CoordinatorHooks coordinatorHooks,
                         CoordinatorSettings coordinatorSettings)
    : thread(coordinatorThread)
    , node(ownNode)
    , service(ownService)
    , view(clusterView)
    , links(linkPool)
    , store(storeClient)
    , metrics(stageMetrics)
    , hooks(std::move(coordinatorHooks))
    , settings(coordinatorSettings)
    , load(coordinatorSettings.loadMemory)
{}

void Coordinator::advance(Time now)
{
    const ConfigurationPtr configuration = this->view.configuration();
    const ServiceInfo *info = configuration ? configuration->service(this->service) : nullptr;
    if (info == nullptr || !info->hasKeys) {
        return;
    }
    const std::string acting = this->actingNode(now);
    const bool acts = acting == this->node;
    if (acting != this->chosen) {
        this->actingSince = now;
        logInfo(LogPart::Slots, "another host writes the key table from now on",
                {{"service", this->service}, {"node", acting}, {"before", this->chosen}});
        this->chosen = acting;
    }
    if (now - this->reportedAt >= this->settings.reportEvery) {
        this->reportedAt = now;
        this->report(acting, now);
    }
    if (acts && !this->isWriting && now - this->plannedAt >= this->settings.planEvery) {
        this->plannedAt = now;
        this->plan(now);
    }
}

std::string Coordinator::actingNode(Time now) const
{
    std::vector<std::string> nodes;
    for (const auto &[name, host] : this->view.hosts()) {
        if (host.info.service == this->service) {
            nodes.push_back(name);
        }
    }
    return this->actingHost.choose(this->service, nodes, this->node, now);
}

void Coordinator::report(const std::string &acting, Time now)
{
    wire::LinkFrame frame;
    wire::LoadReport &report = *frame.mutable_load_report();
    report = this->hooks.makeReport();
    for (const auto &[key, count] : this->hooks.takeKeyCounts()) {
        wire::KeyCount &added = *report.add_counts();
        added.set_key(key);
        added.set_count(count);
    }
    if (acting == this->node) {
        this->noteReport(this->node, report, now);
        return;
    }
    this->links.call(acting, frame, {}, this->settings.reportLimit,
                     [this, acting](LinkEnd end, const LinkMessage &answer) {
                         if (end == LinkEnd::Answered) {
                             this->actingHost.noteHeard(acting);
                             this->hooks.known(acting, answer.head.load_ack().known());
                         } else {
                             this->actingHost.noteSilent(acting, readBootTime());
                         }
                     });
}

void Coordinator::noteReport(const std::string &reporter, const wire::LoadReport &report, Time now)
{
    for (const wire::KeyCount &count : report.counts()) {
        this->load.add(count.key(), count.count(), now);
    }
    this->actingHost.noteHeard(reporter);
    this->noteStatement(reporter, report, now);
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
                    .unsettled = {report.unsettled().begin(), report.unsettled().end()}};
}

void Coordinator::noteStatement(const std::string &reporter, const wire::LoadReport &report,
                                Time now)
{
    if (report.upstream_id().empty()) {
        return;
    }
    const UpstreamLife life{.id = report.upstream_id(), .bornMs = report.born_ms()};
    if (this->statements[reporter].life != life) {
        this->hostsChangedAt = now;
    }
    this->statements[reporter] = {.life = life,
                                  .slots = std::max(1U, report.slots()),
                                  .phase = decodePhase(report.phase()),
                                  .at = now};
}

PlanInput Coordinator::makeInput(const KeyTable &table, Time now) const
{
    PlanInput input{.table = &table,
                    .newEnd = this->view.tablesEnd() + 1,
                    .node = this->node,
                    .load = &this->load,
                    .mayBalance = now - this->balancedAt >= this->settings.balanceEvery,
                    .planningFor = now - this->actingSince,
                    .hostsSteadyFor = now - this->hostsChangedAt,
                    .now = now};
    for (const auto &[name, host] : this->view.hosts()) {
        input.hosts.push_back(host.info);
        const Duration unheard = now - this->links.lastHeard(name);
        const bool isDown = this->links.isDown(name, now) && unheard > this->settings.unheardFor;
        HostInfo &info = input.hosts.back();
        info.isReachable = name == this->node || !isDown;
        const auto said = this->statements.find(name);
        if (said != this->statements.end() && now - said->second.at < this->settings.statementFor) {
            info.life = said->second.life;
            info.slots = said->second.slots;
            info.phase = said->second.phase;
        }
    }
    for (const auto &[session, report] : this->reports) {
        SessionReport &added = input.reports[session];
        added = report.content;
        added.silence = now - report.at;
    }
    return input;
}

// Starts to count the silence of sessions that no report has named.
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
    const KeyTable *known = this->view.table(this->service);
    if (known != nullptr) {
        this->noteSessions(*known, now);
    }
    const Duration settled = now - std::max(this->hostsChangedAt, this->actingSince);
    if (known == nullptr && settled < this->settings.settle) {
        return; // hosts start at almost the same time
    }
    const ServiceInfo *info = this->view.configuration()->service(this->service);
    const GrantWay way = info->grantWay.value_or(this->settings.grantWay);
    const KeyTable empty = KeyTable::createEmpty(
            this->service, leaseLengthOf(way, this->settings.heartbeatInterval));
    const PlanInput input = this->makeInput(known != nullptr ? *known : empty, now);
    std::optional<KeyTable> next = planKeyTable(input, this->settings.planner);
    if (input.mayBalance) {
        this->balancedAt = now;
    }
    if (next) {
        this->logEndedSessions(input, *next);
        this->write(*std::move(next));
    }
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
                 {"reason", content.isRetired  ? "given up by its host"
                            : content.wasHeard ? "silent"
                                               : "never heard"},
                 {"silentMs", std::to_string(toMilliseconds(content.silence))},
                 {"planningForMs", std::to_string(toMilliseconds(input.planningFor))}});
    }
}

void Coordinator::write(KeyTable table)
{
    this->isWriting = true;
    this->thread.spawn([this, table = std::move(table)] {
        const std::uint64_t expectedEnd = table.end - 1;
        const std::string bytes = table.encode();
        const AppendResult result =
                this->store.append(StoreTopic::Tables, this->service, bytes, expectedEnd);
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
            this->push(bytes, table.end);
            break;
        case AppendOutcome::Conflict:
            this->metrics.count(Metric::TableConflicts);
            this->hooks.tablesBehind();
            break;
        case AppendOutcome::Unknown:
            this->hooks.tablesBehind(); // it may be there
            break;
        case AppendOutcome::NotDone:
            break;
        }
    });
}

// Tells all hosts at once, as most of them do not read tables from the store.
void Coordinator::push(const std::string &bytes, std::uint64_t end)
{
    wire::StateReply news;
    *news.mutable_known() = this->view.known();
    wire::StateItem &item = *news.add_tables();
    item.set_key(this->service);
    item.set_offset(end - 1);
    item.set_value(bytes);
    this->hooks.spread(news);
}

} // namespace kumquat
