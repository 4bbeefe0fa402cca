// Sections: construction, messages, start and stop, upstream watch.
#include "node/process.h"

#include "base/log.h"
#include "base/signals.h"
#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <sys/resource.h>
#include <thread>

namespace kumquat {
namespace {

constexpr Duration announcementTimeout = 10s; // five announcements missed
constexpr Duration minRejoinDelay = 2s;       // after the upstream was lost
constexpr Duration maxRejoinDelay = 60s;      // after repeated losses of the upstream
constexpr Duration drainPollInterval = 20ms;
// After the drain, the process refuses forwarded requests with the error not-owner for this long.
// They come from processes that have not yet read the records of the drain. A rule's timeout limits
// how long such a request can be on its way.
constexpr Duration lateForwardTime = 1s;

// Raises the soft limit of open files to the hard limit. One connection to and one from each of 550
// processes and 130 to the upstream exceed the usual soft limit of 1,024.
void raiseOpenFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

// ---- Construction ----

absl::StatusOr<std::unique_ptr<Process>> Process::create(Settings settings)
{
    std::unique_ptr<Process> process(new Process(std::move(settings)));
    if (absl::Status status = process->setUp(); !status.ok()) {
        return status;
    }
    return process;
}

Process::Process(Settings processSettings)
    : settings(std::move(processSettings))
    , incarnation(makeRandomNumber())
    , control("control")
    , collector(this->settings.objectives)
{
    for (int index = 0; index < this->settings.workers; ++index) {
        this->workers.push_back(std::make_unique<FiberThread>(absl::StrCat("worker-", index)));
    }
}

Process::~Process()
{
    for (const auto &worker : this->workers) {
        worker->stop();
    }
    this->control.stop();
}

absl::Status Process::setUp()
{
    raiseOpenFileLimit();
    // Only run() receives signals. Threads that start later inherit this mask.
    blockSignals({SIGTERM, SIGINT});
    this->mesh = std::make_unique<Mesh>(this->control,
                                        MeshHooks{.receive = [this](wire::MeshMessage &&message) {
                                            if (!this->faults.drops(message)) {
                                                this->driver->receive(std::move(message));
                                            }
                                        }});
    this->owner = std::make_unique<OwnerPath>(
            OwnerPathSettings{
                    .node = this->settings.node,
                    .incarnation = this->incarnation,
                    .queueLength = static_cast<std::size_t>(this->settings.limits.queueLength),
                    .initialConcurrency =
                            static_cast<std::uint32_t>(this->settings.limits.initialConcurrency)},
            OwnerPathHooks{
                    .send =
                            [this](const std::string &node, wire::MeshMessage &&message) {
                                this->driver->sendTo(node, message);
                            },
                    .append =
                            [this](const wire::LogRecord &record) { this->driver->append(record); },
                    .reportUpstreamLost =
                            [this] { this->control.post([this] { this->handleUpstreamLoss(); }); },
                    .countRequest =
                            [this](Slot slot, std::uint64_t keyHash) {
                                this->placement->count(slot, keyHash);
                            }});
    auto created = OwnershipDriver::create(
            this->control, *this->mesh, this->makeEngineSettings(), this->makeEngineHooks(),
            this->makeLogSettings(),
            {.receiveOther = [this](const wire::MeshMessage &m) { this->receiveOther(m); },
             .reportSession = [this](const OwnSession &s) { this->owner->followSession(s); },
             .reportCrash = [this](const wire::CrashSuspect &s) { this->owner->applyCrash(s); },
             .reportFenced = [this](SessionId session) { this->forwarder->abandon(session); }});
    if (!created.ok()) {
        return created.status();
    }
    this->driver = *std::move(created);
    this->owner->connect(*this->driver, this->control, this->workers);
    this->placement = std::make_unique<PlacementDriver>(
            *this->driver,
            PlacementDriverSettings{.node = this->settings.node,
                                    .region = this->settings.region,
                                    .weightUnavailable = this->settings.weightUnavailable,
                                    .seed = this->incarnation},
            PlacementDriverHooks{
                    .send =
                            [this](const std::string &node, wire::MeshMessage &&message) {
                                this->driver->sendTo(node, message);
                            },
                    .readUtilisation = [this] { return this->owner->utilisation(); }});
    this->forwarder = std::make_unique<Forwarder>(*this->mesh, this->incarnation,
                                                  this->settings.listen.mesh.toString());
    this->entry = std::make_unique<EntryPath>(*this->driver, *this->owner, *this->forwarder,
                                              [this](const RequestSample &request, Time now) {
                                                  const std::lock_guard lock(this->reportMutex);
                                                  this->collector.record(request, now);
                                              });
    return this->listen();
}

EngineSettings Process::makeEngineSettings() const
{
    EngineSettings engine;
    engine.node = this->settings.node;
    engine.incarnation = this->incarnation;
    engine.meshAddress = this->settings.listen.mesh.toString();
    engine.callerAddress = this->settings.listen.callers.toString();
    engine.adminAddress = this->settings.listen.admin.toString();
    engine.region = this->settings.region;
    engine.dataCentre = this->settings.dataCentre;
    engine.timings.drainLimit = this->settings.drainLimit;
    engine.timings.retention = this->settings.retention;
    return engine;
}

EngineHooks Process::makeEngineHooks()
{
    EngineHooks hooks;
    hooks.hasInFlight = [this](const SlotKeys &keys) { return this->owner->hasInFlight(keys); };
    hooks.hasAnyInFlight = [this](const std::string &service) {
        return this->owner->hasAnyInFlight(service);
    };
    hooks.remembered = [this](const SlotKeys &keys) { return this->owner->remembered(keys); };
    hooks.importRemembered = [this](const std::string &,
                                    const std::vector<wire::RememberedRequest> &requests) {
        this->owner->importRemembered(requests);
    };
    hooks.importCrashes = [this](const CrashCounts &crashes) {
        this->owner->importCrashes(crashes);
    };
    return hooks;
}

LogClientSettings Process::makeLogSettings() const
{
    LogClientSettings log;
    log.addresses = this->settings.log;
    log.node = this->settings.node;
    return log;
}

HttpServerHooks Process::makeCallerHooks(std::size_t worker)
{
    asio::io_context &io = this->workers[worker]->io();
    return {.handle =
                    [this, worker, &io](const HttpRequest &request) {
                        return this->entry->handle(worker, io, request);
                    },
            .refuse = [this](ErrorKind kind) { return this->entry->refuse(kind); },
            .isClosing = [this] { return this->closing.load(); }};
}

absl::Status Process::listen()
{
    // The mesh port is not shared: a successful bind proves that no earlier incarnation of this
    // node still runs.
    if (absl::Status status = this->mesh->bind(this->settings.listen.mesh, this->settings.node);
        !status.ok()) {
        return status;
    }
    HttpServerLimits limits;
    limits.maxBodyBytes = this->settings.limits.maxBodyBytes;
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        this->callerServers.push_back(
                HttpServer::create(*this->workers[worker], limits, this->makeCallerHooks(worker)));
        absl::Status status =
                this->callerServers.back()->listen(this->settings.listen.callers, true);
        if (!status.ok()) {
            return status;
        }
    }
    this->adminServer = HttpServer::create(
            this->control, {},
            {.handle = [this](const HttpRequest &request) { return this->handleAdmin(request); },
             .refuse = [](ErrorKind kind) { return makeErrorResponse(kind, "bad request"); },
             .isClosing = nullptr});
    return this->adminServer->listen(this->settings.listen.admin, false);
}

// ---- Messages ----

void Process::receiveOther(const wire::MeshMessage &message)
{
    if (this->owner->receive(message) || this->placement->receive(message, readBootTime())) {
        return;
    }
    if (message.has_forward()) {
        this->receiveForward(message);
    } else if (message.has_forward_reply()) {
        this->forwarder->complete(message.forward_reply());
    }
}

void Process::receiveForward(const wire::MeshMessage &message)
{
    const std::size_t worker = this->nextWorker++ % this->workers.size();
    FiberThread &thread = *this->workers[worker];
    thread.spawn([this, worker, &thread, forward = message.forward()] {
        const RoutedAnswer answer = this->entry->handleForward(worker, thread.io(), forward);
        wire::MeshMessage reply;
        *reply.mutable_forward_reply() = toForwardReply(answer);
        *reply.mutable_forward_reply()->mutable_forward_id() = forward.forward_id();
        this->mesh->send(forward.reply_address(), reply);
    });
}

// ---- Start and stop ----

void Process::run()
{
    this->driver->start();
    this->control.start();
    for (const auto &worker : this->workers) {
        worker->start();
    }
    this->control.spawn([this] { this->advanceEverySecond(); });
    logInfo(LogPart::Main, "process started",
            {{"node", this->settings.node},
             {"callers", this->settings.listen.callers.toString()},
             {"admin", this->settings.listen.admin.toString()},
             {"mesh", this->settings.listen.mesh.toString()}});
    this->waitForSignal();
    logInfo(LogPart::Main, "draining");
    this->control.post([this] { this->driver->requestDrain(); });
    this->waitUntilDrained();
    logInfo(LogPart::Main, "process stopped");
}

void Process::startDrain()
{
    const std::lock_guard lock(this->stopMutex);
    this->stopping = true;
    this->stopChanged.notify_all();
}

void Process::waitForSignal()
{
    std::thread([this] {
        const sigset_t signals = blockSignals({SIGTERM, SIGINT});
        int signal = 0;
        sigwait(&signals, &signal);
        this->startDrain();
    }).detach();
    std::unique_lock lock(this->stopMutex);
    this->stopChanged.wait(lock, [this] { return this->stopping; });
}

void Process::waitUntilDrained()
{
    const Time limit = readBootTime() + this->settings.drainLimit;
    while (readBootTime() < limit && !this->driver->isDrained()) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    // Until this point callers are served; their requests are forwarded to the new owners.
    this->closing = true;
    for (const auto &server : this->callerServers) {
        server->stopAccepting();
    }
    while (readBootTime() < limit
           && (this->entry->openRequests() > 0 || this->owner->inFlightCount() > 0)) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    std::this_thread::sleep_for(lateForwardTime);
}

// ---- Upstream watch ----

void Process::advanceEverySecond()
{
    while (true) {
        sleepFor(this->control.io(), 1s);
        this->watchUpstream();
        this->placement->advance(readBootTime());
    }
}

void Process::watchUpstream()
{
    const bool isSilent = this->lastAnnouncement
                          && readBootTime() - *this->lastAnnouncement > announcementTimeout;
    if (isSilent) {
        logWarning(LogPart::Upstream, "upstream stopped announcing itself");
        this->handleUpstreamLoss();
    }
}

void Process::handleUpstreamLoss()
{
    if (!this->lastAnnouncement) {
        return;
    }
    this->lastAnnouncement.reset();
    this->rejoinDelay = std::clamp(this->rejoinDelay * 2, minRejoinDelay, maxRejoinDelay);
    this->rejoinAfter = readBootTime() + this->rejoinDelay;
    this->driver->setUpstream(std::nullopt);
    this->owner->dropUpstream();
}

} // namespace kumquat
