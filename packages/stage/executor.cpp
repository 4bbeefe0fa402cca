#include "stage/executor.h"

#include "base/containment.h"
#include "base/durations.h"
#include "base/hash.h"
#include "base/http_status.h"
#include "base/log.h"
#include "stage/upstream_limits.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>

namespace kumquat {
namespace {

constexpr std::uint64_t megabyte = 1024ULL * 1024;

// The smallest hosts have 160 MB of memory, and up to three copies of an answer exist while it is
// passed on.
constexpr HttpClientLimits upstreamLimits{.maxIdle = 24,
                                          .maxBodyBytes = 16 * megabyte,
                                          .maxBufferedBytes = 24 * megabyte,
                                          .connectLimit = 400ms};

// Retry time that refused callers are told while keys are in handover.
constexpr Duration pendingRetry = 250ms;

// Retry time that refused callers are told while this process exits. The process is back in about a
// second, or its keys move to another host.
constexpr Duration stopRetry = 500ms;

Fingerprint fingerprintOf(const wire::Execute &execute, std::string_view body)
{
    const std::uint64_t head = hashBytes(execute.method(), hashBytes(execute.target()));
    return hashBytes(body, hashPair(head, execute.has_key() ? execute.key() : lastShardKey + 1));
}

std::string_view outcomeText(wire::ExecuteOutcome outcome)
{
    switch (outcome) {
    case wire::EXECUTE_ANSWERED:
        return "answered";
    case wire::EXECUTE_REFUSED:
        return "refused";
    case wire::EXECUTE_MISPLACED:
        return "misplaced";
    case wire::EXECUTE_REJECTED:
        return "rejected";
    case wire::EXECUTE_LOST:
        return "lost";
    case wire::EXECUTE_TIMED_OUT:
        return "timed-out";
    default:
        return "not-sent";
    }
}

} // namespace

Executor::Executor(FiberThread &executorThread, UpstreamMonitor &upstreamMonitor,
                   Metrics &stageMetrics, ExecutorSettings executorSettings,
                   ExecutorHooks executorHooks)
    : thread(executorThread)
    , monitor(upstreamMonitor)
    , metrics(stageMetrics)
    , settings(std::move(executorSettings))
    , hooks(std::move(executorHooks))
    , client(executorThread.io(), this->settings.upstream, upstreamLimits, this->settings.memory)
    , limiter(1, 1, false, readBootTime(), this->settings.limiter)
    , guard(this->settings.crashes)
{}

// ---- One request ----

ExecuteResult Executor::run(const wire::Execute &execute, SharedBody body, ExecuteCaller caller)
{
    const Time fiberStartedAt = readBootTime();
    const auto run = std::make_shared<Run>(this->thread.io());
    run->caller = caller;
    run->isIdempotent = execute.idempotent();
    run->fingerprint = fingerprintOf(execute, body.view());
    run->callerAgeLimit =
            execute.has_key() ? this->settings.silentLimit : this->settings.callerAgeLimit;
    const auto node = this->announced.extract(caller);
    if (!node.empty()) {
        run->isCancelled = node.mapped().isCancelled;
        run->waited = fiberStartedAt - node.mapped().at;
        run->excessDelay = node.mapped().excessDelay;
    }
    const Time arrivedAt = fiberStartedAt - run->waited;
    const Time deadline = arrivedAt + std::chrono::milliseconds(execute.remaining_ms());
    const std::uint64_t number = ++this->lastNumber;
    this->running[number] = run;
    ExecuteResult result;
    const bool hasEnded = runContained(ContainedWork::Request, [&] {
        result = this->runNow(execute, std::move(body), run, number, deadline);
    });
    if (!hasEnded) {
        result = this->makeResult(run->isSent ? wire::EXECUTE_LOST : wire::EXECUTE_NOT_SENT,
                                  pendingRetry, "internal-error");
    }
    this->running.erase(number);
    this->dispatchNext();
    const Time now = readBootTime();
    if (this->hooks.ended) {
        this->hooks.ended(execute, result, now);
    }
    this->addLoad(result.reply, now);
    this->log(execute, result, *run, now - arrivedAt);
    return result;
}

ExecuteResult Executor::runNow(const wire::Execute &execute, SharedBody body, const RunPtr &run,
                               std::uint64_t number, Time deadline)
{
    const Time now = readBootTime();
    if (run->isCancelled) {
        return this->makeResult(wire::EXECUTE_REFUSED, {}, "caller-gone");
    }
    if (deadline - now < this->settings.minRemaining) {
        return this->makeResult(wire::EXECUTE_REFUSED, {}, "no-time-left");
    }
    if (execute.service() != this->settings.service || !this->monitor.mayServe(now)) {
        return this->makeResult(wire::EXECUTE_MISPLACED, pendingRetry);
    }
    if (!this->hooks.acceptsRequest(deadline)) {
        return this->makeResult(wire::EXECUTE_REFUSED, stopRetry, "stopping");
    }
    if (auto refused = this->checkAdmission(execute, deadline, now)) {
        return *std::move(refused);
    }
    if (execute.has_key() && this->hooks.hasKeys()) {
        ++this->keyCounts[execute.key()];
    }
    if (!this->waitForKey(execute, run, deadline)) {
        const bool isElsewhere =
                this->hooks.access(execute.key(), readBootTime()) == KeyAccess::Elsewhere;
        return this->makeResult(isElsewhere ? wire::EXECUTE_MISPLACED : wire::EXECUTE_REFUSED,
                                pendingRetry, isElsewhere ? "" : "key-pending");
    }
    if (!this->waitForFreshCaller(*run, deadline)) { // checked before the request takes a slot
        return this->refuseStaleCaller();
    }
    const RunPermit permit = this->guard.startRun(run->fingerprint, readBootTime());
    if (permit == RunPermit::Quarantined || permit == RunPermit::Wait) {
        return this->makeResult(wire::EXECUTE_REFUSED, 1s, "crashes-upstreams");
    }
    Duration retryAfter{};
    ExecuteResult result;
    CallEnd end = CallEnd::Cancelled;
    absl::Cleanup endRun = [&] { this->guard.endRun(permit, run->fingerprint, false); };
    if (!this->waitForSlot(execute, run, number, deadline, retryAfter)) {
        result = this->makeResult(wire::EXECUTE_REFUSED, retryAfter, run->refusal);
    } else if (!this->waitForFreshCaller(*run, deadline)) {
        result = this->refuseStaleCaller();
        this->limiter.finish(number, end, readBootTime());
    } else {
        const absl::Cleanup freeSlot = [&] { this->limiter.finish(number, end, readBootTime()); };
        const auto withdrawn = this->checkBeforeSend(execute, *run, deadline, readBootTime());
        result = withdrawn ? *withdrawn : this->send(execute, std::move(body), *run, deadline, end);
    }
    std::move(endRun).Cancel();
    const bool isCleared = this->guard.endRun(permit, run->fingerprint, end == CallEnd::Answered);
    if (isCleared && this->hooks.suspectCleared) {
        this->hooks.suspectCleared(run->fingerprint);
    }
    return result;
}

ExecuteResult Executor::makeResult(wire::ExecuteOutcome outcome, Duration retryAfter,
                                   std::string_view reason) const
{
    ExecuteResult result;
    result.reason = reason;
    result.reply.set_outcome(outcome);
    result.reply.set_retry_after_ms(static_cast<std::uint32_t>(toMilliseconds(retryAfter)));
    return result;
}

// Returns the answer to a request whose caller may have disconnected. It tells the host of the
// caller to pause for a moment, as further requests would be just as late.
ExecuteResult Executor::refuseStaleCaller() const
{
    ExecuteResult result = this->makeResult(wire::EXECUTE_REFUSED, pendingRetry, "caller-silent");
    result.reply.set_closed_ms(
            static_cast<std::uint32_t>(toMilliseconds(this->settings.probeWait)));
    return result;
}

// Adds the load and the table offset that the sender uses for its next requests.
void Executor::addLoad(wire::ExecuteReply &reply, Time now) const
{
    reply.set_tables_end(this->hooks.tablesEnd());
    const wire::UpstreamLoad load = this->load({}, now);
    reply.set_in_flight(load.in_flight());
    reply.set_slots(load.slots());
    reply.set_service_ms(load.service_ms());
    reply.set_cold_wait_ms(load.cold_wait_ms());
    reply.set_link_wait_ms(load.link_wait_ms());
    reply.set_usable_slots(load.usable_slots());
}

// Returns the refusal of a request that its place or a limit of this host keeps from the upstream,
// nothing if it may run.
std::optional<ExecuteResult> Executor::checkAdmission(const wire::Execute &execute, Time deadline,
                                                      Time now) const
{
    if (!this->hooks.figures) {
        return std::nullopt;
    }
    const std::vector<std::string> regions(execute.regions().begin(), execute.regions().end());
    const Verdict verdict = decide({.allowedRegions = &regions,
                                    .hasKey = execute.has_key() && this->hooks.hasKeys(),
                                    .isCall = execute.is_call(),
                                    .remaining = deadline - now},
                                   this->hooks.figures(&execute, now));
    if (verdict.action == AdmissionAction::Run) {
        return std::nullopt;
    }
    const Duration retryAfter = this->hooks.retryAfter
                                        ? this->hooks.retryAfter(execute, verdict, now)
                                        : verdict.retryAfter;
    ExecuteResult result = this->makeResult(wire::EXECUTE_REFUSED, retryAfter,
                                            admissionReasonNames.nameOf(verdict.reason));
    result.reply.set_reason(static_cast<std::uint32_t>(verdict.reason));
    return result;
}

wire::ExecuteReply Executor::refuse(const wire::Execute &execute, const AdmissionRefusal &refusal,
                                    std::string_view reason) const
{
    ExecuteResult result = this->makeResult(wire::EXECUTE_REFUSED, refusal.retryAfter, reason);
    result.reply.set_closed_ms(static_cast<std::uint32_t>(toMilliseconds(refusal.backoff)));
    this->addLoad(result.reply, readBootTime());
    this->log(execute, result, Run(this->thread.io()), Duration::zero());
    return std::move(result.reply);
}

// Returns the answer to a request that must not be sent any more, or nothing if it may be sent. The
// request may have waited for a slot, for a connection or for the thread since the last check.
std::optional<ExecuteResult> Executor::checkBeforeSend(const wire::Execute &execute, const Run &run,
                                                       Time deadline, Time now) const
{
    if (run.isCancelled) {
        return this->makeResult(wire::EXECUTE_REFUSED, {}, "caller-gone");
    }
    if (deadline - now < this->settings.minRemaining) {
        return this->makeResult(wire::EXECUTE_REFUSED, {}, "no-time-left");
    }
    if (this->callerAge(run, now) > run.callerAgeLimit) {
        return this->refuseStaleCaller();
    }
    if (this->guard.isQuarantined(run.fingerprint, now)) {
        return this->makeResult(wire::EXECUTE_REFUSED, 1s, "crashes-upstreams");
    }
    if (auto refused = this->checkAdmission(execute, deadline, now)) {
        return refused;
    }
    const bool isHeld = !this->hooks.hasKeys() || !execute.has_key()
                        || this->hooks.access(execute.key(), now) == KeyAccess::Held;
    if (!isHeld || !this->monitor.mayServe(now)) {
        return this->makeResult(wire::EXECUTE_MISPLACED, pendingRetry);
    }
    return std::nullopt;
}

// ---- Upstream ----

void Executor::noteUpstream(Time now)
{
    if (this->monitor.instance() == this->limitedInstance) {
        return;
    }
    this->limitedInstance = this->monitor.instance();
    this->serviceSeconds = 0;
    this->client.dropIdle();
    constexpr std::uint32_t connectionsPerSlot = 4;
    const std::uint32_t slots = this->monitor.slots();
    this->limiter.announce(slots, slots * connectionsPerSlot, now);
    this->limiter = EndpointLimiter(slots, slots, false, now, this->settings.limiter);
    if (this->hooks.speed.instanceChanged) {
        this->hooks.speed.instanceChanged(slots, now);
    }
    for (const auto &[number, run] : this->running) {
        // Requests that ran at the former instance have ended; requests that waited are refused.
        if (!run->isSent) {
            run->isDropped = true;
            this->wake(*run, WakeOrder::First);
        }
    }
}

void Executor::advance(Time now)
{
    this->applyConcurrencyLimit(now);
    this->limiter.advance(now);
    this->dispatchNext();
    this->probeCallers(now);
    this->watchCrashes(now);
}

// ---- Reports ----

std::size_t Executor::waitingCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->running.begin(), this->running.end(), [](const auto &entry) {
                return !entry.second->isSent && !entry.second->isDispatched;
            }));
}

wire::UpstreamLoad Executor::load(const std::string &node, Time now) const
{
    wire::UpstreamLoad load;
    load.set_node(node);
    load.set_usable(this->monitor.mayServe(now));
    load.set_in_flight(
            static_cast<std::uint32_t>(this->limiter.inFlight() + this->limiter.waiting()));
    load.set_slots(this->monitor.slots());
    const auto &adjust = this->hooks.speed.serviceSeconds;
    const double seconds = adjust ? adjust(this->serviceSeconds, now) : this->serviceSeconds;
    load.set_service_ms(static_cast<std::uint32_t>(toMilliseconds(fromSeconds(seconds))));
    if (this->hooks.figures) {
        const AdmissionFigures figures = this->hooks.figures(nullptr, now);
        load.set_cold_wait_ms(static_cast<std::uint32_t>(toMilliseconds(figures.coldWait)));
        load.set_link_wait_ms(static_cast<std::uint32_t>(toMilliseconds(figures.linkWait)));
    }
    load.set_usable_slots(this->hooks.speed.usableSlots ? this->hooks.speed.usableSlots() : 0);
    return load;
}

std::map<ShardKey, std::uint32_t> Executor::takeKeyCounts()
{
    return std::exchange(this->keyCounts, {});
}

void Executor::log(const wire::Execute &execute, const ExecuteResult &result, const Run &run,
                   Duration elapsed) const
{
    if (result.reply.outcome() == wire::EXECUTE_ANSWERED
        && result.reply.status() < firstServerError) {
        return; // the process that received the request logs it
    }
    if (!hasRoomForRequestLine()) {
        return;
    }
    logInfo(LogPart::Upstream, "request ended at this host",
            {{"request", execute.id()},
             {"outcome", std::string(outcomeText(result.reply.outcome()))},
             {"reason", std::string(result.reason)},
             {"status", std::to_string(result.reply.status())},
             {"key", execute.has_key() ? std::to_string(execute.key()) : "none"},
             {"upstream", this->monitor.instance().id},
             {"phase", std::string(upstreamPhaseNames.nameOf(this->monitor.phase()))},
             {"tables", std::to_string(this->hooks.tablesEnd())},
             {"inFlight", std::to_string(this->limiter.inFlight())},
             {"waiting", std::to_string(this->limiter.waiting())},
             {"rank", std::to_string(rankOf(execute))},
             {"heldMs", result.heldFor ? std::to_string(toMilliseconds(*result.heldFor)) : "none"},
             {"remainingMs", std::to_string(execute.remaining_ms())},
             {"delayedMs", std::to_string(toMilliseconds(run.excessDelay))},
             {"waitedMs", std::to_string(toMilliseconds(run.waited))},
             {"ms", std::to_string(toMilliseconds(elapsed))}});
}

} // namespace kumquat
