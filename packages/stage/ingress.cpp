#include "stage/ingress.h"

#include "base/containment.h"
#include "base/durations.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/text.h"
#include "platform/upstream.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>

namespace kumquat {
namespace {

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int firstServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

// Retry time that callers are told while this process has no configuration.
constexpr Duration startRetry = 500ms;

// Retry time that callers are told while this process exits. The next process on this host, or
// another host, serves the retry.
constexpr Duration stopRetry = 300ms;

WorkKind kindOf(const wire::Execute &execute)
{
    return execute.has_key() && !execute.is_call() ? WorkKind::Request : WorkKind::Call;
}

HostDistance distanceOf(const HostInfo &host, const IngressSettings &own)
{
    if (host.node == own.node) {
        return HostDistance::SameHost;
    }
    if (host.dataCentre == own.dataCentre) {
        return HostDistance::SameDataCentre;
    }
    return host.region == own.region ? HostDistance::SameRegion : HostDistance::OtherRegion;
}

std::string_view refusalText(std::uint32_t reason)
{
    return reason == 0 ? "owner-full"
                       : admissionReasonNames.nameOf(static_cast<AdmissionReason>(reason));
}

} // namespace

struct Ingress::Attempt
{
    explicit Attempt(asio::io_context &io)
        : event(std::make_shared<FiberEvent>(io))
    {}

    wire::Execute execute;
    ConfigurationPtr configuration;
    const Route *route = nullptr;
    Time started{};
    Duration readTime{};   // from the first to the last byte of the request
    Duration unreadTime{}; // for which the bytes of the request waited in the socket
    Duration waitTime{};   // for which they waited for the busy thread after that
    bool isFromOwnHost = false;
    Time deadline{};              // by which the caller needs the answer
    Verdict verdict;              // why the last choice of a host found none
    std::string node;             // host that was tried last
    std::uint32_t sent = 0;       // number of times that an upstream may have received the request
    bool wasLost = false;         // an earlier attempt may have run
    int moves = 0;                // number of times that the request was sent to another host
    bool isDisconnected = false;  // the caller closed its connection
    Duration disconnectedAfter{}; // from the start of the request until the disconnect was detected
    std::string_view outcome;
    std::uint64_t tablesEnd = 0;
    std::function<void()> cancelCall;
    std::shared_ptr<FiberEvent> event;
};

Ingress::Ingress(FiberThread &ingressThread, ClusterView &clusterView, LinkPool &linkPool,
                 Executor &ownExecutor, HostPicker &hostPicker, Metrics &stageMetrics,
                 IngressSettings ingressSettings, IngressHooks ingressHooks)
    : thread(ingressThread)
    , view(clusterView)
    , links(linkPool)
    , executor(ownExecutor)
    , picker(hostPicker)
    , metrics(stageMetrics)
    , settings(std::move(ingressSettings))
    , hooks(std::move(ingressHooks))
    , splitter(hashBytes(this->settings.node))
{}

RetryBudget &Ingress::budget(const std::string &service)
{
    const auto found = this->budgets.find(service);
    if (found != this->budgets.end()) {
        return found->second;
    }
    const RetryBudgetSettings initial{.share = this->settings.retryShare,
                                      .floorPerSecond = this->settings.retryFloor};
    return this->budgets.emplace(service, RetryBudget(initial)).first->second;
}

HttpResponse Ingress::handle(HttpRequest &request, CallerWatch &watch)
{
    this->metrics.count(Metric::RequestsAccepted);
    Attempt attempt(this->thread.io());
    this->active.insert(&attempt);
    const absl::Cleanup noLongerActive = [&] { this->active.erase(&attempt); };
    // The time of a request counts from its first bytes, because its caller has been waiting since
    // then.
    attempt.started = request.receivedAt > Time::zero() ? request.receivedAt : readBootTime();
    attempt.readTime = request.readTime;
    attempt.waitTime = request.waitTime;
    attempt.unreadTime = request.unreadTime;
    this->metrics.count(Metric::UnreadDelays, toMilliseconds(attempt.unreadTime));
    attempt.isFromOwnHost = request.isFromOwnHost || request.callerIp == this->settings.upstreamIp;
    watch.onDisconnected([&attempt, this] {
        attempt.isDisconnected = true;
        attempt.disconnectedAfter = readBootTime() - attempt.started;
        this->metrics.count(Metric::CallersDisconnected);
        if (attempt.cancelCall) {
            attempt.cancelCall();
        }
    });
    const std::string host(request.field("Host"));
    const SharedBody body(std::move(request.body), std::move(request.charge));
    auto decoded = platform::decodeCallerRequest(request);
    HttpResponse response;
    if (!decoded.ok()) {
        response = this->fail(attempt, statusBadRequest, "no-request-id");
    } else {
        attempt.execute = *std::move(decoded);
        attempt.configuration = this->view.configuration();
        attempt.route = attempt.configuration
                                ? attempt.configuration->match(host, attempt.execute.target())
                                : nullptr;
        if (attempt.route != nullptr && attempt.route->isIdempotent) {
            watch.allowOverlap();
        }
        const bool isServed = runContained(ContainedWork::Request,
                                           [&] { response = this->serve(attempt, body); });
        if (!isServed) {
            response = this->fail(attempt, statusBadGateway, "internal-error");
        }
    }
    const Time now = readBootTime();
    if (attempt.execute.is_call() && this->hooks.calls.ended) {
        // A call that its caller has given up was too late.
        this->hooks.calls.ended(attempt.execute,
                                attempt.isDisconnected ? statusTimeout : response.status, now);
    }
    this->metrics.addLatency(now - attempt.started, now);
    this->log(attempt, response.status);
    return response;
}

bool Ingress::mayOverlap(const HttpRequest &request) const
{
    const ConfigurationPtr configuration = this->view.configuration();
    const Route *route =
            configuration ? configuration->match(request.field("Host"), request.target) : nullptr;
    return route != nullptr && route->isIdempotent;
}

bool Ingress::mayServe() const
{
    return this->view.configuration() != nullptr && this->view.evacuations().isKnown();
}

void Ingress::abortAll()
{
    for (Attempt *attempt : this->active) {
        attempt->deadline = readBootTime();
        attempt->event->notify(WakeOrder::First);
    }
}

HttpResponse Ingress::serve(Attempt &attempt, const SharedBody &body)
{
    if (!this->mayServe()) {
        return this->refuse(attempt, startRetry, "no-configuration");
    }
    if (attempt.route == nullptr) {
        return this->fail(attempt, statusNotFound, "no-route");
    }
    const Route &route = *attempt.route;
    wire::Execute &execute = attempt.execute;
    const Duration callerTimeout = std::chrono::milliseconds(execute.remaining_ms());
    attempt.deadline = attempt.started + std::min(callerTimeout, route.timeout);
    if (attempt.isDisconnected) {
        return this->fail(attempt, statusBadGateway, "caller-gone");
    }
    if (readBootTime() >= attempt.deadline) {
        return this->refuse(attempt, this->settings.retryAfterLost, "no-time-left");
    }
    if (!this->hooks.acceptsRequest(attempt.deadline)) {
        return this->refuse(attempt, stopRetry, "stopping");
    }
    if (const auto refusal = this->hooks.isOverloaded(kindOf(execute))) {
        return this->refuse(attempt, refusal->retryAfter, "behind");
    }
    const std::string &service = this->splitter.pick(route);
    const ServiceInfo *info = attempt.configuration->service(service);
    execute.set_service(service);
    execute.set_caller_service(this->settings.service);
    execute.set_idempotent(route.isIdempotent);
    execute.set_priority(route.priority);
    execute.set_route_hash(hashBytes(route.name));
    execute.set_large_answer(route.hasLargeAnswers);
    for (const std::string &region : route.allowedRegions) {
        execute.add_regions(region);
    }
    const bool hasKeys = info != nullptr && info->hasKeys;
    if (hasKeys && !execute.has_key()) {
        return this->fail(attempt, statusBadRequest, "no-key");
    }
    execute.set_has_key(hasKeys);
    // A call is for another service than that of the upstream which makes it.
    execute.set_is_call(attempt.isFromOwnHost && service != this->settings.service
                        && this->hooks.calls.isCall
                        && this->hooks.calls.isCall(execute, readBootTime()));
    this->budget(service).noteFirstAttempt(attempt.started);
    return this->sendUntilAnswered(attempt, body);
}

// Sends the request until it is answered or may not be repeated.
HttpResponse Ingress::sendUntilAnswered(Attempt &attempt, const SharedBody &body)
{
    while (true) {
        attempt.node = this->chooseHost(attempt);
        if (attempt.node.empty()) {
            return this->refuseWithoutHost(attempt);
        }
        const ExecuteResult result = this->sendTo(attempt.node, attempt, body);
        if (attempt.isDisconnected) {
            return this->fail(attempt, statusBadGateway, "caller-gone");
        }
        if (!this->mayRepeat(attempt, result)) {
            return this->answer(attempt, result);
        }
        if (attempt.isDisconnected || readBootTime() >= attempt.deadline) {
            return this->answer(attempt, result);
        }
    }
}

// Answers a request that no host may run now.
HttpResponse Ingress::refuseWithoutHost(Attempt &attempt)
{
    const bool hasReason = attempt.verdict.reason != AdmissionReason::None;
    const std::string_view reason =
            hasReason ? admissionReasonNames.nameOf(attempt.verdict.reason) : "no-owner";
    if (attempt.wasLost) {
        return this->fail(attempt, statusBadGateway, reason); // an earlier attempt may have run
    }
    const Duration retryAfter =
            hasReason && this->hooks.retryAfter
                    ? this->hooks.retryAfter(attempt.execute, attempt.verdict, readBootTime())
                    : attempt.verdict.retryAfter;
    return this->refuse(attempt,
                        retryAfter > Duration::zero() ? retryAfter : this->settings.retryAfterLost,
                        reason);
}

// Returns whether the upstream of a host may get the request now. Keeps the refusal that ends first
// for the answer to the caller.
bool Ingress::isAdmitted(Attempt &attempt, const HostInfo &host, Time now)
{
    AdmissionFigures figures{.region = host.region,
                             .isEvacuated = this->view.evacuations().isEvacuated(host.dataCentre)};
    if (const HostLoad *load = this->picker.recentLoad(host.node, now)) {
        figures.coldWait = load->coldWait;
        // The report is about large answers. The host itself checks the others.
        figures.linkWait = attempt.route->hasLargeAnswers ? load->linkWait : Duration::zero();
    }
    if (host.node != this->settings.node && this->hooks.relays.wait) {
        figures.linkWait =
                std::max(figures.linkWait, this->hooks.relays.wait(attempt.execute, now));
    }
    const Verdict verdict = decide({.allowedRegions = &attempt.route->allowedRegions,
                                    .hasKey = attempt.execute.has_key(),
                                    .isCall = attempt.execute.is_call(),
                                    .remaining = attempt.deadline - now},
                                   figures);
    const bool isSooner = attempt.verdict.reason == AdmissionReason::None
                          || verdict.retryAfter < attempt.verdict.retryAfter;
    if (verdict.action != AdmissionAction::Run && isSooner) {
        attempt.verdict = verdict;
    }
    return verdict.action == AdmissionAction::Run;
}

// Returns the host of the owner of the key, or of the best upstream of a service without keys.
// Empty if there is none that may run the request.
std::string Ingress::chooseHost(Attempt &attempt)
{
    attempt.verdict = {};
    const Time now = readBootTime();
    const wire::Execute &execute = attempt.execute;
    if (execute.has_key()) {
        const KeyTable *table = this->view.table(execute.service());
        const KeyRange *range = table != nullptr ? table->find(execute.key()) : nullptr;
        const KeySession *owner = range != nullptr ? table->session(range->owner) : nullptr;
        const KnownHost *host = owner != nullptr ? this->view.host(owner->node) : nullptr;
        if (host != nullptr && !this->isAdmitted(attempt, host->info, now)) {
            return {};
        }
        return owner != nullptr ? owner->node : std::string();
    }
    std::vector<HostCandidate> candidates;
    for (const auto &[name, host] : this->view.hosts()) {
        const bool isOther = attempt.moves == 0 || name != attempt.node;
        const bool isUp = name == this->settings.node
                          || (!this->links.isDown(name, now)
                              && !this->hostBackoff.remainingBackoff(name, WorkKind::Call, now));
        if (host.info.service == execute.service() && host.info.phase == UpstreamPhase::Ready
            && isOther && isUp) {
            candidates.push_back({.node = name,
                                  .distance = distanceOf(host.info, this->settings),
                                  .isAdmitted = this->isAdmitted(attempt, host.info, now)});
        }
    }
    return this->picker
            .pick(candidates, now,
                  {.route = execute.route_hash(),
                   .hasLargeAnswer = execute.large_answer(),
                   .staysNear = execute.is_call() && this->hooks.relays.isLinkLimited
                                && this->hooks.relays.isLinkLimited()})
            .value_or("");
}

ExecuteResult Ingress::sendTo(const std::string &node, Attempt &attempt, const SharedBody &body)
{
    const Time now = readBootTime();
    wire::Execute &execute = attempt.execute;
    const Duration remaining = attempt.deadline - now;
    execute.set_remaining_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(toMilliseconds(remaining), 0)));
    const bool hasObjective = attempt.route->objective > Duration::zero();
    const Duration objective =
            hasObjective ? attempt.started + attempt.route->objective - now : remaining;
    execute.set_objective_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(toMilliseconds(objective), 0)));
    execute.set_tables_end(this->view.tablesEnd());
    execute.set_repeated(attempt.sent > 0);
    this->picker.noteSent(node);
    ExecuteResult result;
    if (node == this->settings.node) {
        const ExecuteCaller caller{.connection = 0, .call = ++this->lastCall};
        attempt.cancelCall = [this, caller] { this->executor.cancel(caller); };
        result = this->executor.run(execute, body, caller);
        attempt.cancelCall = nullptr;
    } else if (const auto left = this->hostBackoff.remainingBackoff(node, kindOf(execute), now)) {
        result.reply.set_outcome(wire::EXECUTE_REFUSED);
        result.reply.set_retry_after_ms(static_cast<std::uint32_t>(toMilliseconds(*left)));
    } else if (this->links.isDown(node, now)) {
        // The host is known to be unreachable, so the caller is told at once.
        this->links.reconnect(node);
        result.reply.set_outcome(wire::EXECUTE_NOT_SENT);
    } else {
        result = this->sendToPeer(node, attempt, body);
    }
    attempt.tablesEnd = result.reply.tables_end();
    const wire::ExecuteOutcome outcome = result.reply.outcome();
    const bool isBroken = outcome == wire::EXECUTE_LOST || outcome == wire::EXECUTE_TIMED_OUT
                          || outcome == wire::EXECUTE_NOT_SENT;
    const Time end = readBootTime();
    if (result.reply.closed_ms() > 0) {
        this->hostBackoff.note(node, kindOf(execute),
                               std::chrono::milliseconds(result.reply.closed_ms()), end);
    }
    if (result.reply.slots() > 0) {
        this->picker.noteLoad(node,
                              {.isUsable = outcome != wire::EXECUTE_MISPLACED,
                               .inFlight = result.reply.in_flight(),
                               .slots = result.reply.slots(),
                               .serviceSeconds = decodeServiceTime(result.reply.service_ms()),
                               .usableSlots = result.reply.usable_slots(),
                               .coldWait = std::chrono::milliseconds(result.reply.cold_wait_ms()),
                               .linkWait = std::chrono::milliseconds(result.reply.link_wait_ms())},
                              end);
    }
    const bool hasFailed =
            outcome == wire::EXECUTE_REJECTED
            || (outcome == wire::EXECUTE_ANSWERED && result.reply.status() >= firstServerError);
    if (outcome == wire::EXECUTE_ANSWERED) {
        this->picker.noteAnswered(execute.route_hash(), end - now);
    }
    this->picker.noteEnd(node,
                         attempt.isDisconnected ? CallEnd::Cancelled
                         : isBroken             ? CallEnd::Lost
                         : hasFailed            ? CallEnd::Refused
                                                : CallEnd::Answered,
                         end);
    return result;
}

// Sends the request to another host and waits for the answer.
ExecuteResult Ingress::sendToPeer(const std::string &node, Attempt &attempt, const SharedBody &body)
{
    struct Waiting
    {
        bool isDone = false;
        ExecuteResult result;
    };
    const auto waiting = std::make_shared<Waiting>();
    const std::shared_ptr<FiberEvent> event = attempt.event;
    wire::LinkFrame frame;
    *frame.mutable_execute() = attempt.execute;
    if (this->hooks.relays.sending) {
        this->hooks.relays.sending(attempt.execute, readBootTime());
    }
    const Duration limit = attempt.deadline - readBootTime() + this->settings.answerSlack;
    std::uint64_t call = 0;
    const bool isCalled = runContained(ContainedWork::Request, [&] {
        call = this->links.call(
                node, std::move(frame), body, limit,
                [waiting, event](CallOutcome outcome, LinkMessage answer) {
                    wire::ExecuteReply &reply = waiting->result.reply;
                    if (outcome == CallOutcome::Answered && answer.head.has_execute_reply()) {
                        reply = std::move(*answer.head.mutable_execute_reply());
                        waiting->result.body = std::move(answer.body);
                        waiting->result.charge = std::move(answer.charge);
                    } else {
                        reply.set_outcome(outcome == CallOutcome::NotSent ? wire::EXECUTE_NOT_SENT
                                                                          : wire::EXECUTE_LOST);
                    }
                    waiting->isDone = true;
                    event->notify();
                },
                attempt.execute.idempotent() ? SilencePolicy::UntilSilent
                                             : SilencePolicy::UntilLimit);
    });
    if (!isCalled) {
        waiting->result.reply.set_outcome(wire::EXECUTE_LOST);
        waiting->isDone = true;
    }
    attempt.cancelCall = [this, node, call, event] {
        this->links.cancel(node, call);
        event->notify(WakeOrder::First);
    };
    while (!waiting->isDone && !attempt.isDisconnected) {
        const Duration left = attempt.deadline + this->settings.answerSlack - readBootTime();
        if (left <= Duration::zero()) {
            break;
        }
        event->waitFor(left);
        if (!waiting->isDone && !attempt.isDisconnected) {
            break;
        }
    }
    attempt.cancelCall = nullptr;
    attempt.event = std::make_shared<FiberEvent>(this->thread.io());
    if (!waiting->isDone) {
        this->links.cancel(node, call);
        waiting->result.reply.set_outcome(wire::EXECUTE_TIMED_OUT);
    }
    if (this->hooks.relays.ended) {
        this->hooks.relays.ended(attempt.execute, waiting->result, readBootTime());
    }
    return std::move(waiting->result);
}

// Returns whether the request may be sent again, after the delay that applies.
bool Ingress::mayRepeat(Attempt &attempt, const ExecuteResult &result)
{
    const Time now = readBootTime();
    const wire::ExecuteOutcome outcome = result.reply.outcome();
    const Duration left = attempt.deadline - now;
    const bool hasKey = attempt.execute.has_key();
    switch (outcome) {
    case wire::EXECUTE_ANSWERED:
    case wire::EXECUTE_TIMED_OUT:
        return false;
    case wire::EXECUTE_MISPLACED:
        if (++attempt.moves > this->settings.maxMoves || left < this->settings.moveRetry * 2) {
            return false;
        }
        this->hooks.noteTablesEnd(attempt.node, result.reply.tables_end());
        if (hasKey) {
            sleepFor(this->thread.io(), this->settings.moveRetry);
        }
        return true;
    case wire::EXECUTE_REFUSED:
    case wire::EXECUTE_NOT_SENT:
        // The request was not sent to an upstream, so another host may run it if it has no key.
        if (result.reply.reason() == static_cast<std::uint32_t>(AdmissionReason::CallsRefused)) {
            return false; // its calls would be refused wherever it ran
        }
        return !hasKey && ++attempt.moves <= 2 && left > this->settings.moveRetry * 2;
    case wire::EXECUTE_REJECTED:
    case wire::EXECUTE_LOST:
        break;
    default:
        return false;
    }
    ++attempt.sent;
    ++attempt.moves;
    const bool mayHaveRun = outcome == wire::EXECUTE_LOST;
    attempt.wasLost = attempt.wasLost || mayHaveRun;
    const bool hasAttempts = attempt.sent < attempt.route->maxAttempts;
    if ((mayHaveRun && !attempt.route->isIdempotent) || !hasAttempts || (hasKey && !mayHaveRun)) {
        return false;
    }
    if (left < this->settings.moveRetry * 2
        || !this->budget(attempt.execute.service()).trySpend(now)) {
        return false;
    }
    this->metrics.count(Metric::RequestsRepeated);
    return true;
}

HttpResponse Ingress::answer(Attempt &attempt, ExecuteResult result)
{
    const Duration retryAfter = std::chrono::milliseconds(result.reply.retry_after_ms());
    const auto orLost = [this](Duration given) {
        return given > Duration::zero() ? given : this->settings.retryAfterLost;
    };
    // An earlier attempt may have run, so the answer must not say "not run" because of the last
    // attempt.
    const bool mayHaveRun = attempt.execute.repeated();
    switch (result.reply.outcome()) {
    case wire::EXECUTE_ANSWERED:
        break;
    case wire::EXECUTE_REFUSED:
        return mayHaveRun ? this->fail(attempt, statusBadGateway, "refused-after-lost")
                          : this->refuse(attempt, retryAfter, refusalText(result.reply.reason()));
    case wire::EXECUTE_MISPLACED:
        return mayHaveRun ? this->fail(attempt, statusBadGateway, "moved-after-lost")
                          : this->refuse(attempt, orLost(retryAfter), "key-moving");
    case wire::EXECUTE_REJECTED:
        return mayHaveRun ? this->fail(attempt, statusBadGateway, "rejected-after-lost")
                          : this->refuse(attempt, orLost(retryAfter), "upstream-refused");
    case wire::EXECUTE_NOT_SENT:
        return mayHaveRun ? this->fail(attempt, statusBadGateway, "unreachable-after-lost")
                          : this->refuse(attempt, orLost(retryAfter), "unreachable");
    case wire::EXECUTE_TIMED_OUT:
        return this->fail(attempt, statusTimeout, "timed-out");
    default:
        return this->fail(attempt, statusBadGateway, "lost");
    }
    this->metrics.count(Metric::RequestsAnswered);
    attempt.outcome = "answered";
    HttpResponse response{.status = result.reply.status()};
    for (wire::Field &field : *result.reply.mutable_fields()) {
        response.fields.push_back(
                {std::move(*field.mutable_name()), std::move(*field.mutable_value())});
    }
    response.body = std::move(result.body);
    return response;
}

HttpResponse Ingress::refuse(Attempt &attempt, Duration retryAfter, std::string_view reason)
{
    this->metrics.count(Metric::RequestsRefused);
    attempt.outcome = reason;
    return platform::encodeLocalAnswer(statusUnavailable, attempt.execute.id(), retryAfter);
}

HttpResponse Ingress::fail(Attempt &attempt, int status, std::string_view reason)
{
    this->metrics.count(Metric::RequestsFailed);
    attempt.outcome = reason;
    return platform::encodeLocalAnswer(status, attempt.execute.id(), Duration::zero());
}

void Ingress::log(const Attempt &attempt, int status) const
{
    if (!hasRoomForRequestLine()) {
        return;
    }
    const bool hasVersion = attempt.configuration != nullptr;
    logInfo(LogPart::Request, "request ended",
            {{"request", attempt.execute.id()},
             {"outcome", std::string(attempt.outcome)},
             {"status", std::to_string(status)},
             {"route", attempt.route != nullptr ? attempt.route->name : "none"},
             {"version", hasVersion ? std::to_string(attempt.configuration->version) : "none"},
             {"service", attempt.execute.service()},
             {"key", attempt.execute.has_key() ? std::to_string(attempt.execute.key()) : "none"},
             {"host", attempt.node},
             {"tables", std::to_string(this->view.tablesEnd())},
             {"hostTables", std::to_string(attempt.tablesEnd)},
             {"sent", std::to_string(attempt.sent)},
             {"moves", std::to_string(attempt.moves)},
             {"readMs", std::to_string(toMilliseconds(attempt.readTime))},
             {"waitedMs", std::to_string(toMilliseconds(attempt.waitTime))},
             {"unreadMs", std::to_string(toMilliseconds(attempt.unreadTime))},
             {"goneMs", attempt.isDisconnected
                                ? std::to_string(toMilliseconds(attempt.disconnectedAfter))
                                : "none"},
             {"ms", std::to_string(toMilliseconds(readBootTime() - attempt.started))}});
}

} // namespace kumquat
