// Sections: setup, request, ownership, requests in flight, crashes and load. The code for the
// memory and the journal of request ids is in owner_journal.cpp.
#include "node/owner_path.h"

#include "base/log.h"
#include "base/text.h"
#include "node/upstream.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration ownershipPollInterval = 5ms; // for a slot that waits for proof or lease
constexpr Duration permitPollInterval = 5ms; // for a crash suspect that waits for permission to run
constexpr int maxHeldRequests = 1'024;       // requests that wait for a handover or takeover

} // namespace

// ---- Setup ----

OwnerPath::OwnerPath(OwnerPathSettings pathSettings, OwnerPathHooks pathHooks)
    : settings(std::move(pathSettings))
    , hooks(std::move(pathHooks))
    , store(this->settings.incarnation)
    , lookup(this->settings.incarnation)
{}

OwnerPath::~OwnerPath() = default;

void OwnerPath::connect(OwnershipDriver &ownershipDriver, FiberThread &control,
                        const std::vector<std::unique_ptr<FiberThread>> &threads)
{
    this->driver = &ownershipDriver;
    this->timer = std::make_unique<DueTimer>(control, [this](Time now) { this->advance(now); });
    this->crashTimer = std::make_unique<DueTimer>(control, [this](Time) { this->reportCrashes(); });
    for (const auto &thread : threads) {
        this->workers.push_back(thread.get());
    }
}

void OwnerPath::announce(const Announcement &announcement)
{
    this->refuseAt = std::numeric_limits<Duration::rep>::max();
    const std::lock_guard lock(this->upstreamMutex);
    if (this->upstream && this->upstream->isSameAs(announcement)) {
        this->upstream->announce(announcement);
        return;
    }
    UpstreamSettings upstreamSettings;
    upstreamSettings.queueLength = this->settings.queueLength;
    upstreamSettings.initialConcurrency = this->settings.initialConcurrency;
    this->upstream = Upstream::create(
            announcement, upstreamSettings, this->workers,
            {.reportCrash =
                     [this](const std::vector<Fingerprint> &running) { this->noteCrash(running); },
             .reportLost = [this](const Upstream *lost) { this->reportLost(lost); }});
    logInfo(LogPart::Upstream, "upstream announced",
            {{"service", announcement.service}, {"address", announcement.address.toString()}});
}

// Ignores the loss of an earlier upstream: its probe may end after another upstream has announced
// itself.
void OwnerPath::reportLost(const Upstream *lost)
{
    if (this->findUpstream().get() == lost) {
        this->hooks.reportUpstreamLost();
    }
}

void OwnerPath::dropUpstream()
{
    const std::lock_guard lock(this->upstreamMutex);
    this->upstream.reset();
}

OwnerPath::UpstreamPtr OwnerPath::findUpstream() const
{
    const std::lock_guard lock(this->upstreamMutex);
    return this->upstream;
}

// ---- Request ----

RoutedAnswer OwnerPath::serve(std::size_t worker, const RoutedRequest &request)
{
    if (this->isQuarantined(request)) {
        return makeFailure(ErrorKind::RequestQuarantined, "this request crashed upstreams before");
    }
    if (readBootTime().count() >= this->refuseAt) {
        return makeFailure(ErrorKind::Draining, "the upstream is draining");
    }
    const RequestNumber number = this->inFlight.add(request.service, request.keyHash);
    bool mayStillRun = false;
    RoutedAnswer answer = this->serveRegistered(worker, request, number, mayStillRun);
    this->inFlight.end(number, mayStillRun);
    if (!this->driver->route(request.service, request.keyHash).own) {
        this->driver->wake(); // a handover may be waiting until this request has ended
    }
    return answer;
}

RoutedAnswer OwnerPath::serveRegistered(std::size_t worker, const RoutedRequest &request,
                                        RequestNumber number, bool &mayStillRun)
{
    asio::io_context &io = this->workers[worker]->io();
    const ServeAnswer serving = this->waitForOwnership(io, request);
    if (serving.error != ErrorKind::None) {
        return makeFailure(serving.error, "the key is not served here now");
    }
    if (request.idempotent) {
        return this->dispatchWithRetries(worker, request, number, serving.epoch, mayStillRun);
    }
    if (const absl::Status age = checkAge(request.id, readWallTime()); !age.ok()) {
        return makeFailure(errorKindOf(age), toStd(age.message()));
    }
    if (auto known = this->answerFromMemory(request)) {
        return *std::move(known);
    }
    ErrorKind error = this->verifyNew(io, request, serving.slot);
    if (error == ErrorKind::None) {
        error = this->writeJournal(io, request);
    }
    if (error != ErrorKind::None) {
        return makeFailure(error, "could not verify that the request id is new");
    }
    RoutedAnswer answer =
            this->dispatchWithRetries(worker, request, number, serving.epoch, mayStillRun);
    this->remember(request, answer);
    return answer;
}

RoutedAnswer OwnerPath::dispatchWithRetries(std::size_t worker, const RoutedRequest &request,
                                            RequestNumber number, Epoch epoch, bool &mayStillRun)
{
    const UpstreamPtr target = this->findUpstream();
    if (!target) {
        return makeFailure(ErrorKind::UpstreamUnreachable, "no upstream has announced itself");
    }
    target->noteFirstAttempt(readBootTime());
    for (int attempts = 1;; ++attempts) {
        RoutedAnswer answer = this->dispatchPermitted(worker, *target, request, number, epoch);
        mayStillRun = mayStillRun || errorInfo(answer.error).outcome == Outcome::Unknown;
        const RetryContext context{.error = answer.error,
                                   .idempotent = request.idempotent,
                                   .attempts = attempts,
                                   .remaining = request.deadline - readBootTime(),
                                   .needed = target->serviceTime()};
        if (answer.error == ErrorKind::None) {
            return answer;
        }
        if (this->isQuarantined(request) || !target->mayRetry(context)) {
            // An earlier attempt may have run, so the answer must not have the outcome "not run".
            const bool mustReportUnknown =
                    mayStillRun && errorInfo(answer.error).outcome == Outcome::NotRun;
            return mustReportUnknown
                           ? makeFailure(ErrorKind::UpstreamLost, "an earlier attempt may have run")
                           : answer;
        }
    }
}

RoutedAnswer OwnerPath::dispatchPermitted(std::size_t worker, Upstream &target,
                                          const RoutedRequest &request, RequestNumber number,
                                          Epoch epoch)
{
    const RunPermit permit = this->waitForPermit(this->workers[worker]->io(), request);
    if (permit == RunPermit::Wait) {
        return makeFailure(ErrorKind::DeadlineExceeded,
                           "other requests that ran during a crash are tried first");
    }
    if (permit == RunPermit::Quarantined) {
        return makeFailure(ErrorKind::RequestQuarantined, "this request crashed upstreams before");
    }
    RoutedAnswer answer = this->dispatch(worker, target, request, number, epoch);
    const std::lock_guard lock(this->upstreamMutex);
    this->crashGuard.endRun(permit, request.fingerprint, answer.error == ErrorKind::None);
    return answer;
}

RoutedAnswer OwnerPath::dispatch(std::size_t worker, Upstream &target, const RoutedRequest &request,
                                 RequestNumber number, Epoch epoch)
{
    asio::io_context &io = this->workers[worker]->io();
    const ErrorKind refused = target.admit(io, number, request.deadline);
    if (refused != ErrorKind::None) {
        return makeFailure(refused, "the upstream has no room for the request");
    }
    // Ownership may have ended while the request waited for admission. If the epoch has changed,
    // the request id was checked in the journal and the memory of an earlier ownership.
    const ServeAnswer serving = this->driver->mayServe(request.service, request.keyHash);
    if (serving.error != ErrorKind::None || serving.epoch != epoch) {
        target.finish(number, CallEnd::Cancelled);
        return makeFailure(serving.error == ErrorKind::None ? ErrorKind::NotOwner : serving.error,
                           "the key moved while the request waited");
    }
    this->hooks.countRequest(serving.slot, request.keyHash);
    const Time expires = std::min(request.deadline, serving.leaseEnd);
    this->inFlight.setExpiry(number, expires);
    RoutedAnswer answer =
            target.call(worker, number, request, {serving.slot, serving.epoch, expires});
    return answer;
}

// ---- Ownership ----

ServeAnswer OwnerPath::waitForOwnership(asio::io_context &io, const RoutedRequest &request)
{
    ServeAnswer serving = this->driver->mayServe(request.service, request.keyHash);
    if (!serving.waiting) {
        return serving;
    }
    if (this->heldRequests.fetch_add(1) >= maxHeldRequests) {
        --this->heldRequests;
        serving.error = ErrorKind::Overloaded;
        return serving;
    }
    while (serving.waiting && readBootTime() + ownershipPollInterval < request.deadline) {
        sleepFor(io, ownershipPollInterval);
        serving = this->driver->mayServe(request.service, request.keyHash);
    }
    --this->heldRequests;
    return serving;
}

// ---- Requests in flight ----

bool OwnerPath::hasInFlight(const SlotKeys &keys)
{
    return this->inFlight.has(keys, readBootTime());
}

bool OwnerPath::hasAnyInFlight(const std::string &service)
{
    return this->inFlight.hasAny(service, readBootTime());
}

// ---- Crashes and load ----

void OwnerPath::noteCrash(const std::vector<Fingerprint> &running)
{
    {
        const std::lock_guard lock(this->upstreamMutex);
        this->crashGuard.noteCrash(running, makeRandomNumber(), readBootTime());
    }
    this->reportCrashes();
}

bool OwnerPath::isQuarantined(const RoutedRequest &request) const
{
    const std::lock_guard lock(this->upstreamMutex);
    return this->crashGuard.isQuarantined(request.fingerprint, readBootTime());
}

RunPermit OwnerPath::waitForPermit(asio::io_context &io, const RoutedRequest &request)
{
    while (true) {
        {
            const std::lock_guard lock(this->upstreamMutex);
            const RunPermit permit = this->crashGuard.startRun(request.fingerprint, readBootTime());
            if (permit != RunPermit::Wait
                || readBootTime() + permitPollInterval >= request.deadline) {
                return permit;
            }
        }
        sleepFor(io, permitPollInterval);
    }
}

void OwnerPath::reportCrashes()
{
    std::optional<CrashReport> report;
    {
        const std::lock_guard lock(this->upstreamMutex);
        report = this->crashGuard.takeReport(readBootTime());
        this->crashTimer->arm(this->crashGuard.nextReport());
    }
    if (!report) {
        return;
    }
    wire::LogRecord record;
    wire::CrashSuspect *suspect = record.mutable_crash_suspect();
    suspect->set_node(this->settings.node);
    suspect->set_crash_id(report->crashId);
    for (const Fingerprint fingerprint : report->fingerprints) {
        suspect->add_fingerprints(fingerprint);
    }
    this->hooks.append(record);
}

void OwnerPath::applyCrash(const wire::CrashSuspect &suspect)
{
    const std::vector<Fingerprint> fingerprints(suspect.fingerprints().begin(),
                                                suspect.fingerprints().end());
    const std::lock_guard lock(this->upstreamMutex);
    this->crashGuard.applyRecord(fingerprints, suspect.crash_id(), readBootTime());
}

void OwnerPath::importCrashes(const CrashCounts &crashes)
{
    const Time now = readBootTime();
    const std::lock_guard lock(this->upstreamMutex);
    for (const auto &[fingerprint, crash] : crashes) {
        this->crashGuard.importCount(fingerprint, crash.crashes, crash.lastCrashId, now);
    }
}

double OwnerPath::utilisation() const
{
    const UpstreamPtr target = this->findUpstream();
    return target ? target->utilisation() : 0;
}

} // namespace kumquat
