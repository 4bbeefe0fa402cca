#include "stage/admission_state.h"

#include "base/durations.h"
#include "base/http_status.h"
#include "base/log.h"
#include "keyspace/range_planner.h"
#include "stage/request_memory_report.h"

#include <algorithm>
#include <cmath>

namespace kumquat {
namespace {

// Cold time to assume until the next heartbeat, which replaces it; longer than any pause between
// heartbeats after which the upstream still gets requests.
constexpr Duration assumedColdTime = 1h;

constexpr Duration refusalLogInterval = 1s; // between log lines about refusals for one reason

// Returns what the status of an answer to a call says about the room for calls. A lost call (502)
// says nothing, and an error of the called service shows that it took the call.
CallResult callResultOf(int status)
{
    if (status == statusBadGateway) {
        return CallResult::Unknown;
    }
    const bool isRefused = status == statusTooManyRequests || status == statusUnavailable
                           || status == statusTimeout;
    return isRefused ? CallResult::Refused : CallResult::Accepted;
}

AnswerKind answerKindOf(const wire::Execute &execute)
{
    return {.route = execute.route_hash(), .isLarge = execute.large_answer()};
}

} // namespace

AdmissionFigures AdmissionState::figures(const wire::Execute *execute, Time now)
{
    AdmissionFigures figures{.region = this->settings.region};
    figures.isEvacuated = this->view.evacuations().isClosed(this->settings.dataCentre);
    figures.coldWait = this->coldGate.wait(now);
    // Load reports tell the wait of a large answer.
    figures.linkWait = this->linkMeter.wait(
            execute != nullptr ? answerKindOf(*execute) : AnswerKind{.isLarge = true}, now);
    if (execute != nullptr && this->isMemoryFull(execute->large_answer(), now)) {
        figures.memoryWait = memoryRetry;
    }
    if (execute != nullptr && !execute->is_call() && this->speed.reportsLoad()) {
        const RunCost cost = execute->idempotent() && this->speed.hasFreeSlot() ? RunCost::Nothing
                                                                                : RunCost::Slot;
        figures.callsWait = this->callRoom.wait(execute, execute->route_hash(), now, cost);
    }
    return figures;
}

// Returns whether there is no room for an answer, also not after stalled holders gave way. Large
// answers may not use the reserve of the budget.
bool AdmissionState::isMemoryFull(bool isLarge, Time now) const
{
    constexpr std::uint64_t largeAnswerBytes = 90'000; // of a route with large answers
    return this->memory != nullptr
           && !ByteCharge(this->memory).canHold(isLarge ? largeAnswerBytes : 1, now);
}

void AdmissionState::noteSending(const wire::Execute &execute, Time now)
{
    this->coldGate.noteSent(now);
    this->linkMeter.reserve(&execute, answerKindOf(execute), now);
    // The time left when the request arrived; its wait for a slot makes it shorter.
    const Time latestDeadline = now + std::chrono::milliseconds(execute.remaining_ms());
    this->callRoom.noteRunStarted(&execute, execute.route_hash(), latestDeadline);
}

void AdmissionState::noteEnded(const wire::Execute &execute, std::size_t answerBytes, Time now)
{
    this->linkMeter.complete(&execute, answerBytes, now);
    this->callRoom.noteRunEnded(&execute, answerBytes > 0, now);
}

// ---- Calls ----

bool AdmissionState::isCall(const wire::Execute &execute, Time now)
{
    const std::uint64_t route = execute.route_hash();
    const Time deadline = now + std::chrono::milliseconds(execute.remaining_ms());
    if (!this->callSource.isCall(route, this->callRoom.mayBeCall(deadline, now), now)) {
        return false;
    }
    this->callRoom.noteCall(route);
    return true;
}

void AdmissionState::noteCallEnded(const wire::Execute &execute, int status, Time now)
{
    this->callRoom.noteCallEnded(execute.route_hash(), callResultOf(status), now);
}

void AdmissionState::noteUpstream(const UpstreamInstance &newInstance)
{
    if (newInstance != this->instance) {
        this->instance = newInstance;
        this->callRoom.reset();
    }
}

// ---- Answers of other hosts ----

// An answer to a call goes to the upstream beside this process and does not use the link again.
Duration AdmissionState::relayWait(const wire::Execute &execute, Time now) const
{
    return execute.is_call() ? Duration::zero() : this->linkMeter.wait(answerKindOf(execute), now);
}

void AdmissionState::noteRelaying(const wire::Execute &execute, Time now)
{
    if (!execute.is_call()) {
        this->linkMeter.reserve(&execute, answerKindOf(execute), now);
    }
}

void AdmissionState::noteRelayed(const wire::Execute &execute, std::size_t answerBytes, Time now)
{
    this->linkMeter.complete(&execute, answerBytes, now);
}

// ---- Refusals ----

Duration AdmissionState::retryAfter(const wire::Execute &execute, const Verdict &verdict, Time now)
{
    Refusals &known = this->refusals[static_cast<std::size_t>(verdict.reason)];
    ++known.count;
    Duration result = verdict.retryAfter;
    if (verdict.reason == AdmissionReason::LinkFull) {
        result = known.spread.next(result, this->linkMeter.sendTime(answerKindOf(execute)), now);
    }
    if (verdict.reason == AdmissionReason::CallsRefused) {
        result = known.spread.next(result, this->callRoom.passInterval(execute.route_hash()), now);
    }
    this->logRefusal(execute, verdict, result, now);
    return result;
}

// Writes at most one line per reason and second.
void AdmissionState::logRefusal(const wire::Execute &execute, const Verdict &verdict,
                                Duration retryAfter, Time now)
{
    Refusals &known = this->refusals[static_cast<std::size_t>(verdict.reason)];
    if (known.loggedCount > 0 && now - known.loggedAt < refusalLogInterval) {
        return;
    }
    logInfo(LogPart::Request, "requests refused",
            {{"reason", std::string(admissionReasonNames.nameOf(verdict.reason))},
             {"count", std::to_string(known.count - known.loggedCount)},
             {"request", execute.id()},
             {"waitMs", std::to_string(toMilliseconds(verdict.retryAfter))},
             {"retryMs", std::to_string(toMilliseconds(retryAfter))},
             {"passMs",
              std::to_string(toMilliseconds(this->callRoom.passInterval(execute.route_hash())))},
             {"linkOwedBytes",
              std::to_string(static_cast<std::uint64_t>(this->linkMeter.owedBytes(now)))}});
    known.loggedCount = known.count;
    known.loggedAt = now;
}

void AdmissionState::addMetrics(Metrics &metrics, Time now) const
{
    const auto countOf = [this](AdmissionReason reason) {
        return this->refusals[static_cast<std::size_t>(reason)].count;
    };
    metrics.set(Metric::LinkRefusals, countOf(AdmissionReason::LinkFull));
    metrics.set(Metric::CallRefusals, countOf(AdmissionReason::CallsRefused));
    metrics.set(Metric::MemoryRefusals, countOf(AdmissionReason::MemoryFull));
    metrics.set(Metric::LinkOwedBytes, static_cast<std::uint64_t>(this->linkMeter.owedBytes(now)));
    metrics.set(Metric::LinkWait, static_cast<std::uint64_t>(toMilliseconds(
                                          this->linkMeter.wait({.isLarge = true}, now))));
}

// ---- State of the upstream and configuration ----

void AdmissionState::noteHeartbeat(Duration coldLeft, Time now)
{
    const bool wasCold = this->coldGate.isCold(now);
    this->coldGate.noteState(coldLeft, now);
    this->speed.noteHeartbeat(coldLeft, now);
    if (this->coldGate.isCold(now) != wasCold) {
        logInfo(LogPart::Upstream, wasCold ? "upstream is warm" : "upstream is cold",
                {{"coldMs", std::to_string(toMilliseconds(coldLeft))},
                 {"waitMs", std::to_string(toMilliseconds(this->coldGate.wait(now)))}});
    }
}

void AdmissionState::applyEvacuations(Time now)
{
    const bool isClosed = this->view.evacuations().isClosed(this->settings.dataCentre);
    if (this->wasClosed && !isClosed) {
        this->coldGate.noteState(assumedColdTime, now);
    }
    this->wasClosed = isClosed;
}

void AdmissionState::addKeyCapacity(wire::LoadReport &report, const wire::UpstreamLoad &load,
                                    Time now) const
{
    report.set_slots(load.slots());
    report.set_service_ms(load.service_ms());
    report.set_usable_slots(this->slotsForKeys(load, now));
}

// Returns the slots that the key table writer may fill: the usable ones, or while the upstream is
// cold those that the requests that it tolerates keep busy.
std::uint32_t AdmissionState::slotsForKeys(const wire::UpstreamLoad &load, Time now) const
{
    const std::uint32_t usable = load.usable_slots() > 0 ? load.usable_slots() : load.slots();
    if (!this->coldGate.isCold(now)) {
        return usable;
    }
    const double serviceSeconds = load.service_ms() > 0
                                          ? toSeconds(std::chrono::milliseconds(load.service_ms()))
                                          : PlannerSettings{}.assumedServiceSeconds;
    const double slots = this->coldGate.toleratedRate() * serviceSeconds;
    return std::clamp(static_cast<std::uint32_t>(std::lround(slots)), 1U, std::max(1U, usable));
}

void AdmissionState::applyConfiguration()
{
    const ConfigurationPtr configuration = this->view.configuration();
    const ServiceInfo *service =
            configuration ? configuration->service(this->settings.service) : nullptr;
    this->coldGate.setLimits({.perSecond = service != nullptr ? service->coldPerSecond : 0,
                              .excess = this->settings.limits.coldExcess,
                              .slack = this->settings.limits.coldSlack});
    const bool hasLargeAnswers =
            configuration
            && std::any_of(configuration->routes.begin(), configuration->routes.end(),
                           [](const Route &route) { return route.hasLargeAnswers; });
    this->linkMeter.setRate(hasLargeAnswers ? this->settings.limits.linkBytesPerSecond : 0);
}

} // namespace kumquat
