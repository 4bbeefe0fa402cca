// The part of the executor that talks to the upstream: sends one request, classifies its answer and
// watches for crashes. Sections: requests, crashes.
#include "stage/executor.h"

#include "base/containment.h"
#include "base/durations.h"
#include "base/errors.h"
#include "base/http_status.h"
#include "base/log.h"
#include "base/text.h"
#include "platform/upstream.h"

#include <algorithm>

namespace kumquat {
namespace {

// A connection that was idle for longer may just have been closed by the upstream. A request that
// must not run twice cannot be repeated after such a failure, so it gets a new connection.
constexpr Duration freshIdle = 1500ms;

// Retry time that refused callers are told while the upstream cannot be reached.
constexpr Duration pendingRetry = 250ms;

// Weight of one request in the moving average of the service time.
constexpr double serviceWeight = 0.05;

} // namespace

// ---- Requests ----

ExecuteResult Executor::send(const wire::Execute &execute, SharedBody body, Run &run, Time deadline,
                             CallEnd &end)
{
    Time started = readBootTime();
    std::optional<Duration> heldFor;
    std::optional<ExecuteResult> withdrawn;
    run.call = std::make_shared<HttpCallHandle>();
    const UpstreamInstance instance = this->monitor.instance();
    HttpCallOptions options{
            .limit = deadline - started,
            // A refusal without a request id is accepted only on a new connection, where it cannot
            // belong to another request.
            .matchesRequest =
                    [&execute, &instance](const HttpResponse &response, bool isFirst) {
                        const platform::AnswerClassification classification =
                                platform::classifyUpstreamAnswer(response, execute.id(), instance);
                        return classification.matchesRequest
                               && (classification.hasRequestId || isFirst);
                    },
            // An upstream may write a refusal twice. The copy would be read as the answer to the
            // next request on this connection, so the connection is not reused.
            .keepsConnection =
                    [&execute, &instance](const HttpResponse &response) {
                        return !platform::classifyUpstreamAnswer(response, execute.id(), instance)
                                        .wasNotRun;
                    },
            .maxIdle = run.isIdempotent ? Duration::max() : freshIdle,
            .mayEndWithConnection = true,
            .handle = run.call};
    this->metrics.count(Metric::UpstreamSent);
    const auto make = [&]() -> std::optional<HttpRequest> {
        started = readBootTime();
        withdrawn = this->checkBeforeSend(execute, run, deadline, started);
        if (withdrawn) {
            return std::nullopt;
        }
        if (execute.has_key() && this->hooks.hasKeys()) {
            heldFor = this->hooks.heldFor(execute.key(), started);
        }
        if (this->hooks.sending) {
            this->hooks.sending(execute, started);
        }
        if (this->hooks.speed.started) {
            this->hooks.speed.started(execute, started);
        }
        run.isSent = true;
        return platform::encodeUpstreamRequest(execute, std::move(body), deadline - started,
                                               instance);
    };
    absl::StatusOr<HttpResponse> answer =
            makeError(ErrorKind::UpstreamLost, "the request failed while it was sent");
    runContained(ContainedWork::Request, [&] { answer = this->client.callWith(make, options); });
    if (!run.isSent && run.isCancelled) {
        withdrawn = this->makeResult(wire::EXECUTE_REFUSED, {}, "caller-gone");
    }
    if (withdrawn) {
        return *std::move(withdrawn);
    }
    const Time now = readBootTime();
    const std::optional<UpstreamFigures> figures =
            answer.ok() ? platform::upstreamFiguresOf(*answer) : std::nullopt;
    ExecuteResult result = this->classifyAnswer(execute, std::move(answer), run, end);
    result.heldFor = heldFor;
    // A server error may come early, so its time is not that of the work.
    const bool isWork = result.reply.outcome() == wire::EXECUTE_ANSWERED
                        && result.reply.status() < firstServerError;
    const CallEnd runEnd = end == CallEnd::Answered && !isWork ? CallEnd::Lost : end;
    this->noteRunEnded(execute, {.end = runEnd, .figures = isWork ? figures : std::nullopt}, now);
    if (end == CallEnd::Answered) {
        const double sample = toSeconds(now - started);
        this->serviceSeconds += this->serviceSeconds == 0
                                        ? sample
                                        : serviceWeight * (sample - this->serviceSeconds);
    }
    const bool mayHaveRun = result.reply.outcome() == wire::EXECUTE_LOST;
    if (end == CallEnd::Lost && mayHaveRun && !run.isCancelled) {
        this->crashWatch.noteLost(instance, run.fingerprint, now);
    }
    return result;
}

void Executor::noteRunEnded(const wire::Execute &execute, const RunEnd &end, Time now)
{
    if (this->hooks.speed.ended) {
        this->hooks.speed.ended(execute, end, now);
    }
}

// Applies the learned concurrency limit to the queue in front of the upstream.
void Executor::applyConcurrencyLimit(Time now)
{
    const auto &limitNow = this->hooks.speed.concurrencyLimit;
    const std::uint32_t limit = limitNow ? limitNow(now) : 0;
    if (limit > 0) {
        this->limiter.capConcurrency(limit, now);
    }
}

ExecuteResult Executor::classifyAnswer(const wire::Execute &execute,
                                       absl::StatusOr<HttpResponse> answer, const Run &run,
                                       CallEnd &end)
{
    if (!answer.ok()) {
        const ErrorKind kind = errorKindOf(answer.status());
        if (run.call->wasRefused()) {
            this->monitor.noteRefused(readBootTime());
        }
        if (kind == ErrorKind::UpstreamUnreachable) {
            end = CallEnd::Lost;
            this->monitor.noteUnanswered();
            return this->makeResult(wire::EXECUTE_NOT_SENT, pendingRetry);
        }
        if (run.isCancelled) {
            end = CallEnd::Cancelled;
            return this->makeResult(wire::EXECUTE_LOST);
        }
        const bool isLate = kind == ErrorKind::UpstreamTimeout;
        if (isLate) {
            this->client.dropIdle(); // idle connections may be silent as well
        } else {
            this->monitor.noteConnectionLost();
        }
        end = isLate ? CallEnd::TimedOut : CallEnd::Lost;
        this->metrics.count(isLate ? Metric::UpstreamTimedOut : Metric::UpstreamLost);
        return this->makeResult(isLate ? wire::EXECUTE_TIMED_OUT : wire::EXECUTE_LOST);
    }
    this->monitor.noteAnswer();
    const platform::AnswerClassification classification =
            platform::classifyUpstreamAnswer(*answer, execute.id(), this->monitor.instance());
    if (classification.wasNotRun) {
        end = CallEnd::Refused;
        this->metrics.count(Metric::UpstreamRefused);
        if (classification.isOtherInstance) {
            // The upstream counts as refusing until a heartbeat of the new instance arrives.
            this->monitor.noteRefused(readBootTime());
        }
        return this->makeResult(wire::EXECUTE_REJECTED, pendingRetry);
    }
    end = CallEnd::Answered;
    if (!classification.isAuthentic) {
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
    result.charge = std::move(answer->charge);
    return result;
}

// ---- Crashes ----

// Counts the requests that were lost in a crash of the upstream, so that a request which crashes
// every upstream is refused at all hosts.
void Executor::watchCrashes(Time now)
{
    if (const auto crash = this->crashWatch.takeCrash(this->monitor.instance(),
                                                      this->monitor.isRefusing(), now)) {
        logWarning(LogPart::Upstream, "upstream crashed",
                   {{"crash", std::to_string(crash->crashId)},
                    {"lost", std::to_string(crash->fingerprints.size())}});
        this->guard.noteCrash(crash->fingerprints, crash->crashId, now);
    }
    if (const auto report = this->guard.takeReport(now); report && this->hooks.crashed) {
        this->hooks.crashed(*report);
    }
    if (this->crashWatch.takeProbe(now)) {
        this->thread.spawn([this] { this->probeUpstream(); });
    }
}

// Connects to the upstream without sending anything, to see whether something listens there.
void Executor::probeUpstream()
{
    const auto handle = std::make_shared<HttpCallHandle>();
    const auto sendNothing = [] { return std::optional<HttpRequest>(); };
    const absl::Status status =
            this->client
                    .callWith(sendNothing, {.limit = this->settings.crashProbeLimit,
                                            .maxIdle = Duration::zero(),
                                            .handle = handle})
                    .status();
    if (handle->wasRefused()) {
        logInfo(LogPart::Upstream, "nothing listens at the upstream after a lost request",
                {{"upstream", this->monitor.instance().id},
                 {"reason", std::string(toStd(status.message()))}});
        this->monitor.noteRefused(readBootTime());
    }
}

} // namespace kumquat
