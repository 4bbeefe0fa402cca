// Sections: start, timers and shutdown, the upstream beside this process, readiness.
#include "stage/stage.h"

#include "base/containment.h"
#include "base/durations.h"
#include "base/http_status.h"
#include "base/log.h"
#include "base/signals.h"
#include "base/text.h"
#include "platform/upstream.h"
#include "stage/admission_hooks.h"
#include "stage/upstream_limits.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration advanceInterval = 50ms; // short compared with the lease renewals every 400 ms
constexpr Duration linkInterval = 100ms;   // for connections between processes
constexpr Duration gossipInterval = 400ms; // new state reaches every host in about a second
constexpr Duration recordDelay = 1200ms;   // until a host without a heartbeat writes its record
constexpr Duration followInterval = 200ms; // between checks for store reads that hang
constexpr Duration logFlushInterval = 200ms;
constexpr Duration minLoggedDelay = 250ms;     // of timers; half of the allowed delay of an answer
constexpr Duration settingsCheckInterval = 1s; // the settings file may change without a SIGHUP
constexpr std::uint32_t callerReceiveBuffer = 8 * 1024; // the head and a short body of a request

std::uint64_t makeIncarnation()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    return static_cast<std::uint64_t>(device()) << halfBits | device();
}

IngressSettings ingressSettings(const StageSettings &settings)
{
    // All processes share one retry budget without coordination: each of them uses half of what is
    // allowed for its own requests, and a small fraction of the slack.
    constexpr double ownShare = 0.5;
    constexpr double slackDivisor = 100;
    const double window = std::chrono::duration<double>(settings.limits.retryWindow).count();
    return {.node = settings.node,
            .service = settings.service,
            .upstreamIp = settings.upstream.ip,
            .dataCentre = settings.dataCentre,
            .region = settings.region,
            .retryShare = settings.limits.retryShare * ownShare,
            .retryFloor = settings.limits.retrySlack / window / slackDivisor};
}

} // namespace

// ---- Start ----

Stage::Stage(StageSettings stageSettings, std::string settingsPath)
    : settings(std::move(stageSettings))
    , path(std::move(settingsPath))
    , incarnation(makeIncarnation())
    , startedAt(readBootTime())
    , memory(byteBudgetSettings(this->settings.limits.memoryBytes))
    , thread("stage")
    , ticker(this->thread.io())
    , memoryReport(this->memory, this->metrics)
    , store(this->thread.io(), this->settings.store)
    , links(this->thread, this->settings.node, this->incarnation)
    , view({.configurationChanged = [this] { this->applyCallerLimits(); },
            .evacuationsChanged = [this] { this->admission.applyEvacuations(readBootTime()); },
            .hostChanged =
                    [this](const KnownHost &host) {
                        this->links.setAddress(host.info.node, host.address);
                        this->coordinator.noteHostChanged(readBootTime());
                        this->checkOwnRecord(host);
                    },
            .tableChanged =
                    [this](const std::string &service) {
                        if (service == this->settings.service) {
                            this->keys.advance(readBootTime());
                            this->executor.noteAccessChanged(allKeys);
                        }
                    },
            .eraChanged = [this](std::uint32_t era) { this->onEraChanged(era); }})
    , monitor({.service = this->settings.service,
               .upstream = this->settings.upstream,
               .drainPeriod = this->settings.limits.drainPeriod,
               .awaitsRecord = true})
    , voter(LeaseSettings{}, this->startedAt)
    , freshness(this->startedAt)
    , follower(
              this->thread, this->store, this->view,
              {.freshRead =
                       [this](platform::StoreTopic topic) {
                           if (topic == platform::StoreTopic::Tables) {
                               this->voter.noteFreshRead(this->view.storeEra().current());
                           }
                       },
               .caughtUp =
                       [this](platform::StoreTopic topic, Time asOf, std::uint32_t era) {
                           if (topic == platform::StoreTopic::Tables) {
                               this->freshness.note(asOf, era);
                           } else if (topic == platform::StoreTopic::Hosts
                                      && !this->monitor.isRestored()) {
                               this->beginRestore();
                           }
                       },
               .isRelay =
                       [this] { return this->relays.isRelay(this->settings.node, readBootTime()); },
               .pause =
                       [this] {
                           return this->relays.pauseFor(this->settings.node, this->knownNodes(),
                                                        readBootTime() - this->startedAt);
                       }})
    , writeBack(this->thread, this->store, this->view, this->metrics)
    , admission(this->settings, this->view)
    , keys(this->thread, this->settings.node, this->settings.service, this->settings.upstream,
           this->settings.limits.maxHold, this->view, this->links, this->monitor, this->freshness,
           {.accessChanged =
                    [this](const KeySpan &span) { this->executor.noteAccessChanged(span); },
            .load = [this] { return this->executor.load(this->settings.node, readBootTime()); },
            .voterReplied =
                    [this](const std::string &node, const wire::VouchReply &reply, Time askedAt) {
                        this->picker.noteLoad(node, decodeLoad(reply.load()), readBootTime());
                        this->noteKnown(node, reply.known());
                        this->noteTableAge(reply.known(), askedAt);
                    },
            .ownVoterReleased =
                    [this](const wire::ReleaseQuery &query) {
                        return this->hasVoterReleased(query);
                    },
            .grantMode =
                    [this] {
                        const ServiceInfo *info = this->ownService();
                        return info != nullptr && info->grantMode ? *info->grantMode
                                                                  : this->settings.grantMode;
                    }})
    , executor(
              this->thread, this->monitor, this->metrics,
              {.service = this->settings.service,
               .upstream = this->settings.upstream,
               .limiter = upstreamLimiter,
               .memory = &this->memory},
              {.access = [this](ShardKey key, Time now) { return this->keys.access(key, now); },
               .heldFor = [this](ShardKey key, Time now) { return this->keys.heldFor(key, now); },
               .hasKeys =
                       [this] {
                           const ServiceInfo *info = this->ownService();
                           return info != nullptr && info->hasKeys;
                       },
               .tablesEnd = [this] { return this->view.tablesEnd(); },
               .acceptsRequest = [this](Time deadline) { return this->acceptsRequest(deadline); },
               .callerAge = [this](std::uint64_t connection,
                                   Time now) { return this->callerFreshness.age(connection, now); },
               .sendProbe =
                       [this](std::uint64_t connection) {
                           if (this->callerFreshness.takeProbe(connection, readBootTime())) {
                               this->linkServer.ping(connection);
                           }
                       },
               .isSilent =
                       [this](std::uint64_t connection) {
                           return this->callerFreshness.isSilent(connection);
                       },
               .figures = [this](const wire::Execute *execute,
                                 Time now) { return this->admission.figures(execute, now); },
               .speed = this->admission.speedHooks(this->metrics),
               .sending = [this](const wire::Execute &execute,
                                 Time now) { this->admission.noteSending(execute, now); },
               .ended = endedHook(this->admission),
               .retryAfter = retryAfterHook(this->admission),
               .crashed = [this](const CrashReport &crash) { this->broadcastCrash(crash); },
               .suspectCleared =
                       [this](Fingerprint fingerprint) { this->broadcastCleared(fingerprint); }})
    , coordinator(this->thread, this->settings.node, this->settings.service, this->view,
                  this->links, this->metrics,
                  {.makeReport = [this] { return this->makeReport(); },
                   .takeKeyCounts = [this] { return this->executor.takeKeyCounts(); },
                   .knownReceived =
                           [this](const std::string &node, const wire::Known &known, Time askedAt) {
                               this->noteKnown(node, known);
                               this->noteTableAge(known, askedAt);
                           },
                   .append =
                           [this](const std::string &bytes, std::uint32_t era,
                                  std::uint64_t expectedEnd) {
                               return this->store.append(platform::StoreTopic::Tables,
                                                         this->settings.service, bytes, era,
                                                         expectedEnd);
                           },
                   .tablesOutdated =
                           [this] { this->follower.requestRead(platform::StoreTopic::Tables); },
                   .broadcast =
                           [this](const wire::StateReply &update) {
                               this->broadcast(std::make_shared<wire::StateReply>(update),
                                               this->knownNodes());
                           }},
                  {.grantMode = this->settings.grantMode,
                   .heartbeatInterval = this->settings.heartbeatInterval})
    , ingress(this->thread, this->view, this->links, this->executor, this->picker, this->metrics,
              ingressSettings(this->settings),
              {.noteTablesEnd =
                       [this](const std::string &node, std::uint64_t end) {
                           if (end > this->view.tablesEnd()) {
                               this->fetchState(node);
                           }
                       },
               .acceptsRequest = [this](Time deadline) { return this->acceptsRequest(deadline); },
               .isOverloaded = [this](WorkKind kind) { return this->isOverloaded(kind); },
               .calls = callHooks(this->admission),
               .relays = relayHooks(this->admission),
               .retryAfter = retryAfterHook(this->admission)})
    , linkServer(
              this->thread, this->settings.node,
              {.received =
                       [this](const LinkPeer &peer, LinkMessage message, const LinkReply &reply) {
                           this->onMessage(peer, std::move(message), reply);
                       },
               .closed =
                       [this](const LinkPeer &peer) {
                           this->callerFreshness.noteClosed(peer.number);
                           this->executor.cancelAll(peer.number);
                       },
               .messageSeen =
                       [this](const LinkPeer &peer, Time sentAt) {
                           if (peer.answersPings) {
                               this->callerFreshness.note(peer.number, sentAt);
                               this->executor.noteCallersFresh(peer.number);
                           }
                       }})
{
    this->admission.setMemory(&this->memory);
    this->links.setBudget(&this->memory);
    this->linkServer.setBudget(&this->memory);
    this->links.setTraffic(&this->traffic);
    this->linkServer.setTraffic(&this->traffic);
}

absl::StatusOr<std::unique_ptr<Stage>> Stage::create(StageSettings settings, std::string path)
{
    auto stage = std::unique_ptr<Stage>(new Stage(std::move(settings), std::move(path)));
    const absl::Status status = stage->listen();
    if (!status.ok()) {
        return status;
    }
    return stage;
}

absl::Status Stage::listen()
{
    const auto refuse = [](ErrorKind kind) {
        return HttpResponse{.status = errorInfo(kind).httpStatus};
    };
    const auto refuseForMemory = [](HttpRequest &request) {
        const auto decoded = platform::decodeCallerRequest(request);
        const std::string id = decoded.ok() ? decoded->id() : std::string();
        return platform::encodeLocalAnswer(statusUnavailable, id, memoryRetry);
    };
    const auto createServer = [&](std::function<HttpResponse(const HttpRequest &)> handle) {
        return HttpServer::create(this->thread, {},
                                  {.handle = std::move(handle), .refuse = refuse});
    };
    this->callerServer = HttpServer::create(
            this->thread,
            {.receiveBufferBytes = callerReceiveBuffer, .newRequestOrder = WakeOrder::Last},
            {.handleWatched =
                     [this](HttpRequest &request, CallerWatch &watch) {
                         return this->ingress.handle(request, watch);
                     },
             .refuse = refuse,
             .refuseForMemory = refuseForMemory,
             .isClosing = [this] { return this->shutdownSchedule.has_value(); },
             .mayOverlap =
                     [this](const HttpRequest &request) {
                         return this->ingress.mayOverlap(request);
                     },
             .answerWritten =
                     [this](const std::shared_ptr<HttpStream> &stream, std::size_t bytes) {
                         this->traffic.note(TrafficKind::CallerAnswers, bytes);
                         this->deliveries.note(stream, readBootTime());
                     }},
            &this->memory);
    this->readinessServer =
            createServer([this](const HttpRequest &request) { return this->onReadiness(request); });
    this->heartbeatServer =
            createServer([this](const HttpRequest &request) { return this->onHeartbeat(request); });
    this->metricsServer = createServer([this](const HttpRequest &) {
        const Time now = readBootTime();
        const ConfigurationPtr configuration = this->view.configuration();
        const Duration age = this->follower.answerAge(platform::StoreTopic::Configuration, now);
        this->metrics.set(Metric::StoreCalls, this->store.callCount());
        this->metrics.set(Metric::StoreEra, this->view.storeEra().current());
        this->metrics.set(Metric::ConfigurationVersion, configuration ? configuration->version : 0);
        this->metrics.set(Metric::ConfigurationAge, toMilliseconds(age));
        this->metrics.set(Metric::EvacuatedDataCentres, this->view.evacuations().count());
        this->metrics.set(Metric::ExceptionsContained, containedCount());
        const FiberBacklog backlog = this->thread.backlog();
        this->metrics.set(Metric::FibersReady, backlog.ready);
        this->metrics.set(Metric::OldestFiberAge, toMilliseconds(backlog.oldest));
        this->metrics.set(Metric::UpstreamRequests, this->executor.count());
        this->metrics.set(Metric::RequestsWaiting, this->executor.waitingCount());
        this->metrics.set(Metric::LargeAnswerLinks, this->links.largeAnswerLinkCount());
        this->admission.addMetrics(this->metrics, now);
        return HttpResponse{.body = this->metrics.toText(now)};
    });
    const StageListen &listen = this->settings.listen;
    absl::Status status = this->linkServer.listen(listen.processes);
    status.Update(this->callerServer->listen(listen.callers, false));
    status.Update(this->readinessServer->listen(listen.readiness, false));
    status.Update(this->heartbeatServer->listen(listen.heartbeats, false));
    status.Update(this->metricsServer->listen(listen.metrics, false));
    return status;
}

void Stage::startTimers()
{
    this->store.onEra([this](std::uint32_t era) { this->view.noteEra(era, readBootTime()); });
    this->ticker.every(advanceInterval, [this](Time now) { this->advance(now); });
    this->ticker.every(linkInterval, [this](Time now) { this->links.advance(now); });
    this->ticker.every(linkInterval, [this](Time now) { this->coordinator.advance(now); });
    this->ticker.every(gossipInterval, [this](Time now) { this->gossip(now); });
    this->ticker.every(followInterval, [this](Time now) {
        this->follower.advance(now);
        this->writeBack.advance(this->relays.isRelay(this->settings.node, now), now);
    });
    this->ticker.every(logFlushInterval, [](Time) { flushLog(); });
    this->ticker.every(settingsCheckInterval, [this](Time) { this->checkSettingsFile(); });
    this->ticker.after(recordDelay, [this](Time) {
        this->isRecordDue = this->isRecordDue || this->recordChange == 0;
    });
}

void Stage::run()
{
    const sigset_t signals = blockSignals({SIGTERM, SIGINT, SIGHUP});
    std::signal(SIGPIPE, SIG_IGN);
    logInfo(LogPart::Main, "started",
            {{"node", this->settings.node},
             {"dataCentre", this->settings.dataCentre},
             {"service", this->settings.service},
             {"firstStart", this->settings.firstStart ? "yes" : "no"},
             {"incarnation", std::to_string(this->incarnation)}});
    this->thread.start();
    this->thread.post([this] {
        this->startTimers();
        this->follower.start();
    });
    while (true) {
        int number = 0;
        if (sigwait(&signals, &number) != 0) {
            continue;
        }
        if (number == SIGHUP) {
            this->thread.post([this] { this->reload(); });
        } else {
            this->thread.post([this] { this->beginShutdown(); });
        }
    }
}

// ---- Timers and shutdown ----

void Stage::advance(Time now)
{
    this->noteTimerDelay(now);
    this->noteFiberWait(now);
    this->noteLateMessages(now);
    this->noteLateAnswers(now);
    this->noteLinkTraffic(now);
    if (this->monitor.advance(now)) {
        this->onUpstreamChanged(now);
    }
    this->keys.advance(now);
    this->callerFreshness.advance(now);
    this->executor.advance(now);
    this->memoryReport.advance(now);
    this->writeHostRecord();
    if (this->shutdownSchedule && this->shutdownSchedule->mustAbort(now)) {
        this->ingress.abortAll();
        this->executor.abortAll();
    }
    if (this->shutdownSchedule && this->shutdownSchedule->mayExit(now, this->countUnanswered())) {
        logInfo(LogPart::Main, "stopped",
                {{"requests", std::to_string(this->ingress.count())},
                 {"running", std::to_string(this->executor.count())}});
        flushLog();
        std::quick_exit(EXIT_SUCCESS);
    }
}

std::size_t Stage::countUnanswered() const
{
    return static_cast<std::size_t>(this->callerServer->unansweredCount()) + this->executor.count()
           + this->linkServer.unsentCount();
}

// Logs late timers. They show that this process was paused or had too little processor time, so
// that its answers were late as well.
void Stage::noteTimerDelay(Time now)
{
    const Duration delay = now - std::exchange(this->lastAdvanceAt, now) - advanceInterval;
    if (delay < minLoggedDelay) {
        return;
    }
    this->metrics.count(Metric::TimerDelays, toMilliseconds(delay));
    logWarning(LogPart::Main, "timers were late", {{"ms", std::to_string(toMilliseconds(delay))}});
}

// Applies the limits of the configuration on the size of requests and on the idle time of callers.
void Stage::applyCallerLimits()
{
    this->admission.applyConfiguration();
    const CallerLimits &limits = this->view.configuration()->limits;
    this->callerServer->setLimits({.maxHeaderBytes = limits.maxHeaderBytes,
                                   .maxBodyBytes = limits.maxBodyBytes,
                                   .receiveBufferBytes = callerReceiveBuffer,
                                   .idleLimit = limits.idleTimeout,
                                   .newRequestOrder = WakeOrder::Last});
}

// Reloads the settings if their file has changed without a SIGHUP.
void Stage::checkSettingsFile()
{
    std::error_code error;
    const auto written = std::filesystem::last_write_time(this->path, error);
    if (error || written == this->settingsWritten) {
        return; // a missing file may be about to be replaced
    }
    const bool isFirst = this->settingsWritten == std::filesystem::file_time_type();
    this->settingsWritten = written;
    if (!isFirst) {
        this->reload();
    }
}

void Stage::reload()
{
    const auto loaded = loadStageSettings(this->path);
    if (!loaded.ok()) {
        logError(LogPart::Settings, "invalid settings ignored; the previous ones stay in force",
                 {{"reason", std::string(toStd(loaded.status().message()))}});
        return;
    }
    // The limits can change while the process runs; addresses and names can't.
    this->settings.limits = loaded->limits;
    this->memory.setSettings(byteBudgetSettings(this->settings.limits.memoryBytes));
    logInfo(LogPart::Settings, "settings read again", {{"path", this->path}});
}

void Stage::beginShutdown()
{
    if (this->shutdownSchedule) {
        return;
    }
    this->shutdownSchedule.emplace(ShutdownSettings{.limit = this->settings.limits.stopPeriod},
                                   readBootTime());
    logInfo(LogPart::Main, "stopping",
            {{"requests", std::to_string(this->ingress.count())},
             {"session", std::to_string(this->keys.session())}});
    this->coordinator.reportSoon();
}

bool Stage::acceptsRequest(Time deadline) const
{
    return !this->shutdownSchedule
           || this->shutdownSchedule->acceptsRequest(deadline, readBootTime());
}

std::optional<AdmissionRefusal> Stage::isOverloaded(WorkKind kind)
{
    return this->gate.refuse(this->thread.backlog().delay(), kind, readBootTime());
}

// ---- The upstream beside this process ----

HttpResponse Stage::onHeartbeat(const HttpRequest &request)
{
    const auto beat = platform::decodeHeartbeat(request);
    if (!beat.ok() || !this->monitor.isOwn(*beat)) {
        this->metrics.count(Metric::HeartbeatsIgnored);
        logWarning(LogPart::Upstream, "heartbeat ignored",
                   {{"reason", beat.ok() ? "of another service or address"
                                         : std::string(toStd(beat.status().message()))},
                    {"from", request.target}});
        return {.status = statusBadRequest};
    }
    const Time now = readBootTime();
    const HeartbeatEffect effect = this->monitor.applyHeartbeat(*beat, now);
    if (effect != HeartbeatEffect::Ignored && !beat->isDeregistration) {
        this->admission.noteHeartbeat(beat->coldLeft, now);
    }
    if (effect == HeartbeatEffect::Changed) {
        this->onUpstreamChanged(now);
    }
    // An acknowledged leave binds the next process on this host too, so it is acknowledged only if
    // that process will know of it, also after a rollback of the store.
    const bool isLeave = beat->isDeregistration || beat->phase == UpstreamPhase::Draining;
    const bool isUnknown = beat->isDeregistration && !this->monitor.isKnown()
                           && beat->instance.id != this->monitor.instance().id;
    if (!this->monitor.isRestored() || (isLeave && (isUnknown || !this->waitForLeaveRecord()))) {
        this->metrics.count(Metric::HeartbeatsIgnored);
        logWarning(LogPart::Upstream, "heartbeat not acknowledged",
                   {{"upstream", beat->instance.id},
                    {"reason", !this->monitor.isRestored() ? "record of this host not read yet"
                               : isUnknown                 ? "leave of an unknown instance"
                                                           : "leave not stored yet"}});
        return {.status = statusUnavailable};
    }
    this->metrics.count(Metric::HeartbeatsAccepted);
    std::optional<HoldAnswer> granted;
    if (effect != HeartbeatEffect::Ignored) {
        const Duration late = this->heartbeatLateness(now);
        if (beat->holdReport) {
            granted = this->keys.processReport(*beat->holdReport, late, now);
        }
    }
    return platform::encodeHeartbeatAnswer(granted);
}

// Returns how much later than expected a heartbeat arrives. The result is at most one second: an
// upstream accepts the answer only within a second after it sent the heartbeat, so grants in a
// later answer have no effect.
Duration Stage::heartbeatLateness(Time now)
{
    constexpr Duration maxLateness = 1s;
    const Duration since = now - std::exchange(this->lastHeartbeatAt, now);
    return std::clamp(since - this->settings.heartbeatInterval, Duration::zero(), maxLateness);
}

const ServiceInfo *Stage::ownService() const
{
    const ConfigurationPtr now = this->view.configuration();
    return now ? now->service(this->settings.service) : nullptr;
}

void Stage::onUpstreamChanged(Time now)
{
    logInfo(LogPart::Upstream, "upstream changed",
            {{"upstream", this->monitor.instance().id},
             {"born", std::to_string(this->monitor.instance().startedMs)},
             {"phase", std::string(upstreamPhaseNames.nameOf(this->monitor.phase()))},
             {"slots", std::to_string(this->monitor.slots())}});
    this->applyRecordedLeave(now);
    this->executor.noteUpstream(now);
    this->admission.noteUpstream(this->monitor.instance());
    this->isRecordDue = true;
    this->keys.advance(now);
    this->coordinator.reportSoon();
}

wire::LoadReport Stage::makeReport() const
{
    const Time now = readBootTime();
    const wire::UpstreamLoad load = this->executor.load(this->settings.node, now);
    wire::LoadReport report;
    report.set_service(this->settings.service);
    report.set_session(this->keys.session());
    report.set_phase(encodePhase(this->monitor.phase()));
    report.set_failing(this->monitor.isFailing() || this->monitor.isRefusing());
    report.set_stopping(this->shutdownSchedule.has_value());
    this->admission.addKeyCapacity(report, load, now);
    for (const std::uint64_t fence : this->keys.unsettledFences()) {
        report.add_unsettled(fence);
    }
    *report.mutable_known() = this->known();
    report.set_upstream_id(this->monitor.instance().id);
    report.set_born_ms(this->monitor.instance().startedMs);
    report.set_retired(this->keys.retiredSession(now));
    report.set_voters_end(this->keys.votersEnd(now));
    return report;
}

// ---- Readiness ----

bool Stage::isReady() const
{
    return !this->shutdownSchedule && this->ingress.mayServe();
}

HttpResponse Stage::onReadiness(const HttpRequest &request)
{
    if (!platform::isReadinessProbe(request)) {
        return {.status = statusNotFound};
    }
    return {.status = this->isReady() ? statusOk : statusUnavailable};
}

} // namespace kumquat
