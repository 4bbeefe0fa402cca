#include "stage/executor.h"

#include "base/durations.h"
#include "base/hash.h"
#include "base/log.h"
#include "platform/upstream.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr std::uint64_t megabyte = 1024ULL * 1024;

// The smallest hosts of the users have 160 MB; an answer is held up to three times on its way.
constexpr HttpClientLimits upstreamLimits{.maxIdle = 24,
                                          .maxBodyBytes = 16 * megabyte,
                                          .maxBufferedBytes = 24 * megabyte,
                                          .connectLimit = 400ms};

// A connection that was idle for longer may just have been closed by the upstream. A request that
// must not run twice can't be sent again after that, so it gets a new connection.
constexpr Duration freshIdle = 1500ms;

// Wait that a refused caller is told for keys that are moving.
constexpr Duration pendingRetry = 250ms;

// The same for a process that is about to exit; it is back in about a second, or its keys move.
constexpr Duration stopRetry = 500ms;

constexpr double serviceWeight = 0.05; // of one request in the mean time

constexpr int firstServerError = 500;

Fingerprint fingerprintOf(const wire::Execute &execute, const std::string &body)
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
    , client(executorThread.io(), this->settings.upstream, upstreamLimits)
    , limiter(1, 1, false, readBootTime(), this->settings.limiter)
{}

// ---- One request ----

ExecuteResult Executor::run(const wire::Execute &execute, std::string body, ExecuteCaller caller)
{
    const Time begun = readBootTime();
    const auto run = std::make_shared<Run>(this->thread.io());
    run->caller = caller;
    run->isIdempotent = execute.idempotent();
    run->fingerprint = fingerprintOf(execute, body);
    run->newsLimit = execute.has_key() ? this->settings.silentLimit : this->settings.newsLimit;
    const auto node = this->announced.extract(caller);
    if (!node.empty()) {
        run->isCancelled = node.mapped().isCancelled;
        run->waited = begun - node.mapped().at;
        run->delayed = node.mapped().delayed;
    }
    const Time started = begun - run->waited; // when it came
    const Time deadline = started + std::chrono::milliseconds(execute.remaining_ms());
    const std::uint64_t number = ++this->lastNumber;
    this->running[number] = run;
    ExecuteResult result = this->runNow(execute, std::move(body), run, number, deadline);
    this->running.erase(number);
    this->dispatchNext();
    const Time now = readBootTime();
    this->addLoad(result.reply, now);
    this->log(execute, result, *run, now - started);
    return result;
}

ExecuteResult Executor::runNow(const wire::Execute &execute, std::string body, const RunPtr &run,
                               std::uint64_t number, Time deadline)
{
    const Time now = readBootTime();
    if (run->isCancelled) {
        return this->makeResult(wire::EXECUTE_REFUSED, {}, "caller-gone");
    }
    if (deadline - now < this->settings.leastRemaining) {
        return this->makeResult(wire::EXECUTE_REFUSED, {}, "no-time-left");
    }
    if (execute.service() != this->settings.service || !this->monitor.mayServe(now)) {
        return this->makeResult(wire::EXECUTE_MISPLACED, pendingRetry);
    }
    if (!this->hooks.takesRequest(deadline)) {
        return this->makeResult(wire::EXECUTE_REFUSED, stopRetry, "stopping");
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
    if (!this->waitForNews(*run, deadline)) { // before it takes a slot
        return this->refuseSilent();
    }
    const RunPermit permit = this->guard.startRun(run->fingerprint, readBootTime());
    if (permit == RunPermit::Quarantined || permit == RunPermit::Wait) {
        return this->makeResult(wire::EXECUTE_REFUSED, 1s, "crashes-upstreams");
    }
    Duration retryAfter{};
    ExecuteResult result;
    CallEnd end = CallEnd::Cancelled;
    if (!this->waitForSlot(execute, run, number, deadline, retryAfter)) {
        result = this->makeResult(wire::EXECUTE_REFUSED, retryAfter, run->refusal);
    } else if (!this->waitForNews(*run, deadline)) {
        result = this->refuseSilent();
        this->limiter.finish(number, end, readBootTime());
    } else {
        const auto withdrawn = this->judgeBeforeSend(execute, *run, deadline, readBootTime());
        result = withdrawn ? *withdrawn : this->send(execute, std::move(body), *run, deadline, end);
        this->limiter.finish(number, end, readBootTime());
    }
    this->guard.endRun(permit, run->fingerprint, end == CallEnd::Answered);
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

// Returns the answer to a request whose caller may have left. Its host sends nothing more for a
// moment: what follows would be as late.
ExecuteResult Executor::refuseSilent() const
{
    ExecuteResult result = this->makeResult(wire::EXECUTE_REFUSED, pendingRetry, "caller-silent");
    result.reply.set_closed_ms(static_cast<std::uint32_t>(toMilliseconds(this->settings.newsWait)));
    return result;
}

// Tells the sender of a request what to know for the next one.
void Executor::addLoad(wire::ExecuteReply &reply, Time now) const
{
    reply.set_tables_end(this->hooks.tablesEnd());
    const wire::UpstreamLoad load = this->load({}, now);
    reply.set_in_flight(load.in_flight());
    reply.set_slots(load.slots());
    reply.set_service_ms(load.service_ms());
}

wire::ExecuteReply Executor::refuse(const wire::Execute &execute, const WorkRefusal &refusal,
                                    std::string_view reason) const
{
    ExecuteResult result = this->makeResult(wire::EXECUTE_REFUSED, refusal.retryAfter, reason);
    result.reply.set_closed_ms(static_cast<std::uint32_t>(toMilliseconds(refusal.closedFor)));
    this->addLoad(result.reply, readBootTime());
    this->log(execute, result, Run(this->thread.io()), Duration::zero());
    return std::move(result.reply);
}

// Returns false if the key is elsewhere or does not come in time.
bool Executor::waitForKey(const wire::Execute &execute, const RunPtr &run, Time deadline)
{
    if (!this->hooks.hasKeys()) {
        return true;
    }
    if (!execute.has_key()) {
        return false;
    }
    const Time limit = std::min(deadline, readBootTime() + this->settings.longestPending);
    while (!run->isCancelled) {
        const Time now = readBootTime();
        switch (this->hooks.access(execute.key(), now)) {
        case KeyAccess::Held:
            return true;
        case KeyAccess::Elsewhere:
            return false;
        case KeyAccess::Pending:
            break;
        }
        if (now >= limit) {
            return false;
        }
        if (this->waitingForKey.size() >= this->settings.mostPending) {
            return false;
        }
        this->waitingForKey.emplace(execute.key(), run);
        this->wait(*run, limit - now);
        this->forgetWait(execute.key(), run);
    }
    return false;
}

void Executor::forgetWait(ShardKey key, const RunPtr &run)
{
    const auto [begin, end] = this->waitingForKey.equal_range(key);
    const auto found =
            std::find_if(begin, end, [&run](const auto &entry) { return entry.second == run; });
    if (found != end) {
        this->waitingForKey.erase(found);
    }
}

Duration Executor::newsAge(const Run &run, Time now) const
{
    const bool isOwn = run.caller.connection == 0;
    return isOwn || !this->hooks.newsAge ? Duration::zero()
                                         : this->hooks.newsAge(run.caller.connection, now);
}

// Waits until the host of the caller has said whether the caller has left. Returns false if it does
// not say so in time.
bool Executor::waitForNews(Run &run, Time deadline)
{
    constexpr double freshPart = 0.67; // of the limit: some of it passes until the request is sent
    const Time limit = std::min(deadline, readBootTime() + this->settings.newsWait);
    while (!run.isCancelled) {
        const Time now = readBootTime();
        if (this->newsAge(run, now) <= run.newsLimit * freshPart) {
            return true;
        }
        if (now >= limit || run.isDropped || this->hooks.isSilent(run.caller.connection)) {
            return false;
        }
        this->hooks.sendQuestion(run.caller.connection);
        run.awaitsNews = true;
        this->wait(run, limit - now);
        run.awaitsNews = false;
    }
    return true; // what follows sees that it was cancelled
}

void Executor::noteNews(std::uint64_t connection)
{
    for (const auto &[number, run] : this->running) {
        if (run->awaitsNews && run->caller.connection == connection) {
            this->wake(*run, WakeOrder::InTurn);
        }
    }
}

// Asks for news before they are needed, and ends work whose caller's host has fallen silent.
void Executor::askForNews(Time now)
{
    if (!this->hooks.newsAge) {
        return;
    }
    for (const auto &[number, run] : this->running) {
        const bool canEnd = !run->isSent || run->isIdempotent;
        const Duration limit = run->isSent ? this->settings.silentLimit : run->newsLimit;
        const Duration age = this->newsAge(*run, now);
        if (run->isCancelled || !canEnd || age < limit / 2) {
            continue;
        }
        if (run->isSent && age >= limit && this->hooks.isSilent(run->caller.connection)) {
            this->cancelRun(*run);
        } else {
            this->hooks.sendQuestion(run->caller.connection);
        }
    }
}

bool Executor::waitForSlot(const wire::Execute &execute, const RunPtr &run, std::uint64_t number,
                           Time deadline, Duration &retryAfter)
{
    if (run->isCancelled) {
        run->refusal = "caller-gone";
        return false;
    }
    const Time now = readBootTime();
    // Requests without a key may be calls of running requests: a late answer still saves the
    // parent.
    const Time objective = execute.has_key()
                                   ? now + std::chrono::milliseconds(execute.objective_ms())
                                   : Time::max();
    const Admission admission = this->limiter.admit(
            number, deadline, now,
            {.rank = execute.priority(), .objective = objective, .kind = execute.route_hash()});
    this->dispatchNext();
    if (admission.action == AdmitAction::Refuse) {
        retryAfter = admission.retryAfter;
        run->refusal = "queue-full";
        return false;
    }
    run->isDispatched = run->isDispatched || admission.action == AdmitAction::Dispatch;
    while (!run->isDispatched && !run->isDropped && !run->isCancelled) {
        this->wait(*run, std::max(deadline - readBootTime(), Duration(1ms)));
        if (readBootTime() >= deadline && !run->isDispatched) {
            break;
        }
    }
    if (run->isDispatched && run->isCancelled) {
        this->limiter.finish(number, CallEnd::Cancelled, readBootTime());
        return false;
    }
    if (!run->isDispatched) {
        run->refusal = run->isCancelled ? "caller-gone" : "waited-in-vain";
        this->limiter.cancelWaiting(number, readBootTime());
        retryAfter = run->retryAfter;
    }
    return run->isDispatched;
}

// Returns the answer to a request that must not be sent any more: it has waited, for a slot, for a
// connection or for the thread.
std::optional<ExecuteResult> Executor::judgeBeforeSend(const wire::Execute &execute, const Run &run,
                                                       Time deadline, Time now) const
{
    if (run.isCancelled) {
        return this->makeResult(wire::EXECUTE_REFUSED, {}, "caller-gone");
    }
    if (deadline - now < this->settings.leastRemaining) {
        return this->makeResult(wire::EXECUTE_REFUSED, {}, "no-time-left");
    }
    if (this->newsAge(run, now) > run.newsLimit) {
        return this->refuseSilent();
    }
    const bool isHeld = !this->hooks.hasKeys() || !execute.has_key()
                        || this->hooks.access(execute.key(), now) == KeyAccess::Held;
    if (!isHeld || !this->monitor.mayServe(now)) {
        return this->makeResult(wire::EXECUTE_MISPLACED, pendingRetry);
    }
    return std::nullopt;
}

ExecuteResult Executor::send(const wire::Execute &execute, std::string body, Run &run,
                             Time deadline, CallEnd &end)
{
    Time started = readBootTime();
    std::optional<Duration> heldFor;
    std::optional<ExecuteResult> withdrawn;
    run.call = std::make_shared<HttpCallHandle>();
    const UpstreamLife life = this->monitor.life();
    HttpCallOptions options{
            .limit = deadline - started,
            // A refusal that names no request is believed where it can be to no other one.
            .belongs =
                    [&execute, &life](const HttpResponse &response, bool isFirst) {
                        const platform::AnswerClassification verdict =
                                platform::classifyUpstreamAnswer(response, execute.id(), life);
                        return verdict.matchesRequest && (verdict.hasRequestId || isFirst);
                    },
            // An upstream may write a refusal once more, in place of its answer to the next
            // request.
            .keepsConnection =
                    [&execute, &life](const HttpResponse &response) {
                        return !platform::classifyUpstreamAnswer(response, execute.id(), life)
                                        .wasNotRun;
                    },
            .maxIdle = run.isIdempotent ? Duration::max() : freshIdle,
            .mayEndWithConnection = true,
            .handle = run.call};
    this->metrics.count(Metric::UpstreamSent);
    const auto make = [&]() -> std::optional<HttpRequest> {
        started = readBootTime();
        withdrawn = this->judgeBeforeSend(execute, run, deadline, started);
        if (withdrawn) {
            return std::nullopt;
        }
        if (execute.has_key() && this->hooks.hasKeys()) {
            heldFor = this->hooks.heldFor(execute.key(), started);
        }
        run.isSent = true;
        return platform::encodeUpstreamRequest(execute, std::move(body), deadline - started, life);
    };
    auto answer = this->client.callWith(make, options);
    if (!run.isSent && run.isCancelled) {
        withdrawn = this->makeResult(wire::EXECUTE_REFUSED, {}, "caller-gone");
    }
    if (withdrawn) {
        return *std::move(withdrawn);
    }
    const Time now = readBootTime();
    ExecuteResult result = this->judge(execute, std::move(answer), run, end);
    result.heldFor = heldFor;
    if (end == CallEnd::Answered) {
        const double sample = toSeconds(now - started);
        this->serviceSeconds += this->serviceSeconds == 0
                                        ? sample
                                        : serviceWeight * (sample - this->serviceSeconds);
    }
    if (end == CallEnd::Lost && !run.isCancelled) {
        this->noteCrash(now);
    }
    return result;
}

ExecuteResult Executor::judge(const wire::Execute &execute, absl::StatusOr<HttpResponse> answer,
                              const Run &run, CallEnd &end)
{
    if (!answer.ok()) {
        const ErrorKind kind = errorKindOf(answer.status());
        if (run.call->wasRefused()) {
            this->monitor.noteRefused(readBootTime());
        }
        if (kind == ErrorKind::UpstreamUnreachable) {
            end = CallEnd::Lost;
            this->monitor.noteSilence();
            return this->makeResult(wire::EXECUTE_NOT_SENT, pendingRetry);
        }
        if (run.isCancelled) {
            end = CallEnd::Cancelled;
            return this->makeResult(wire::EXECUTE_LOST);
        }
        const bool isLate = kind == ErrorKind::UpstreamTimeout;
        if (isLate) {
            this->client.dropIdle(); // they may have gone silent as well
        }
        end = isLate ? CallEnd::TimedOut : CallEnd::Lost;
        this->metrics.count(isLate ? Metric::UpstreamTimedOut : Metric::UpstreamLost);
        return this->makeResult(isLate ? wire::EXECUTE_TIMED_OUT : wire::EXECUTE_LOST);
    }
    this->monitor.noteAnswer();
    const platform::AnswerClassification verdict =
            platform::classifyUpstreamAnswer(*answer, execute.id(), this->monitor.life());
    if (verdict.wasNotRun) {
        end = CallEnd::Refused;
        this->metrics.count(Metric::UpstreamRefused);
        if (verdict.isOtherInstance) {
            this->monitor.noteRefused(readBootTime()); // until its heartbeat comes
        }
        return this->makeResult(wire::EXECUTE_REJECTED, pendingRetry);
    }
    end = CallEnd::Answered;
    if (!verdict.isAuthentic) {
        this->metrics.count(Metric::UpstreamLost);
        return this->makeResult(wire::EXECUTE_LOST);
    }
    ExecuteResult result = this->makeResult(wire::EXECUTE_ANSWERED);
    result.reply.set_status(answer->status);
    for (HttpField &field : answer->fields) {
        wire::Field &kept = *result.reply.add_fields();
        kept.set_name(std::move(field.name));
        kept.set_value(std::move(field.value));
    }
    result.body = std::move(answer->body);
    return result;
}

// A connection that breaks while a request runs may be a crash; the requests that ran then are
// watched, so that one which crashes every upstream is stopped.
void Executor::noteCrash(Time now)
{
    std::vector<Fingerprint> fingerprints;
    for (const auto &[number, run] : this->running) {
        if (run->isDispatched && !run->isCancelled) {
            fingerprints.push_back(run->fingerprint);
        }
    }
    if (this->monitor.isRefusing()) {
        const std::uint64_t crash = hashBytes(
                this->monitor.life().id, static_cast<std::uint64_t>(this->monitor.life().bornMs));
        this->guard.blame(fingerprints, crash, now);
    }
}

// ---- Waiting ----

void Executor::wait(Run &run, Duration limit)
{
    run.event->waitFor(limit);
    run.event = std::make_unique<FiberEvent>(this->thread.io());
}

void Executor::wake(Run &run, WakeOrder order) const
{
    run.event->notify(order);
}

void Executor::dispatchNext()
{
    const LimiterOutput output = this->limiter.takeOutput();
    for (const RequestNumber number : output.dispatch) {
        const auto found = this->running.find(number);
        if (found == this->running.end()) {
            this->limiter.finish(number, CallEnd::Cancelled, readBootTime());
            continue;
        }
        found->second->isDispatched = true;
        this->wake(*found->second, WakeOrder::InTurn);
    }
    for (const DroppedRequest &dropped : output.dropped) {
        const auto found = this->running.find(dropped.request);
        if (found != this->running.end()) {
            found->second->isDropped = true;
            found->second->retryAfter = dropped.retryAfter;
            this->wake(*found->second, WakeOrder::First);
        }
    }
}

void Executor::cancel(ExecuteCaller caller)
{
    const auto expected = this->announced.find(caller);
    if (expected != this->announced.end()) {
        expected->second.isCancelled = true;
        return;
    }
    for (const auto &[number, run] : this->running) {
        if (run->caller != caller || run->isCancelled) {
            continue;
        }
        if (run->isSent && !run->isIdempotent) {
            return; // it runs to its end: breaking it off would leave its effect unknown
        }
        this->cancelRun(*run);
        return;
    }
}

void Executor::cancelRun(Run &run)
{
    run.isCancelled = true;
    if (run.call) {
        run.call->cancel();
    }
    this->wake(run, WakeOrder::First);
}

void Executor::cancelAll(std::uint64_t connection)
{
    std::vector<ExecuteCaller> callers;
    for (const auto &[caller, request] : this->announced) {
        if (caller.connection == connection) {
            callers.push_back(caller);
        }
    }
    for (const auto &[number, run] : this->running) {
        if (run->caller.connection == connection) {
            callers.push_back(run->caller);
        }
    }
    for (const ExecuteCaller &caller : callers) {
        this->cancel(caller);
    }
}

void Executor::breakOff()
{
    for (const auto &[number, run] : this->running) {
        this->cancelRun(*run);
    }
}

void Executor::noteAccessChanged(const KeySpan &span)
{
    const Time now = readBootTime();
    auto entry = this->waitingForKey.lower_bound(span.first);
    while (entry != this->waitingForKey.end() && entry->first <= span.last) {
        if (this->hooks.access(entry->first, now) == KeyAccess::Pending) {
            ++entry;
            continue;
        }
        this->wake(*entry->second, WakeOrder::InTurn);
        entry = this->waitingForKey.erase(entry);
    }
}

void Executor::noteUpstream(Time now)
{
    if (this->monitor.life() == this->limitedLife) {
        return;
    }
    this->limitedLife = this->monitor.life();
    this->serviceSeconds = 0;
    this->client.dropIdle();
    constexpr std::uint32_t connectionsPerSlot = 4;
    const std::uint32_t slots = this->monitor.slots();
    this->limiter.announce(slots, slots * connectionsPerSlot, now);
    this->limiter = EndpointLimiter(slots, slots, false, now, this->settings.limiter);
    for (const auto &[number, run] : this->running) {
        // What ran at the former life is over; what waited is refused.
        if (!run->isSent) {
            run->isDropped = true;
            this->wake(*run, WakeOrder::First);
        }
    }
}

void Executor::advance(Time now)
{
    this->limiter.advance(now);
    this->dispatchNext();
    this->askForNews(now);
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
    load.set_service_ms(
            static_cast<std::uint32_t>(toMilliseconds(fromSeconds(this->serviceSeconds))));
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
        return; // the process that took the request logs it
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
             {"upstream", this->monitor.life().id},
             {"phase", std::string(upstreamPhaseNames.nameOf(this->monitor.phase()))},
             {"tables", std::to_string(this->hooks.tablesEnd())},
             {"inFlight", std::to_string(this->limiter.inFlight())},
             {"waiting", std::to_string(this->limiter.waiting())},
             {"rank", std::to_string(execute.priority())},
             {"heldMs", result.heldFor ? std::to_string(toMilliseconds(*result.heldFor)) : "none"},
             {"remainingMs", std::to_string(execute.remaining_ms())},
             {"delayedMs", std::to_string(toMilliseconds(run.delayed))},
             {"waitedMs", std::to_string(toMilliseconds(run.waited))},
             {"ms", std::to_string(toMilliseconds(elapsed))}});
}

} // namespace kumquat
