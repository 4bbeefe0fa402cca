#include "node/entry_path.h"

#include "base/text.h"
#include "traffic/request_id.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration maxLogWait = 50ms; // limit of the wait for the log offset of another process
constexpr Duration logPollInterval = 2ms;
constexpr Duration routeBackoff = 20ms; // delay before the owner is looked up again

constexpr int serviceUnavailable = 503;
constexpr std::string_view outcomeField = "Kumquat-Outcome";
constexpr std::string_view errorField = "Kumquat-Error";

// A request that is ready for routing, or the error that prevents it.
struct PreparedRequest
{
    RoutedRequest request;
    ErrorKind error = ErrorKind::None;
    std::string message;
};

PreparedRequest refusePrepared(const absl::Status &status)
{
    PreparedRequest prepared;
    prepared.error = errorKindOf(status);
    prepared.message = std::string(toStd(status.message()));
    return prepared;
}

PreparedRequest prepare(const Rule &rule, const HttpRequest &http, Time now)
{
    const auto findHeader = [&http](std::string_view name) -> std::optional<std::string_view> {
        for (const HttpField &field : http.fields) {
            if (isSameFieldName(field.name, name)) {
                return field.value;
            }
        }
        return std::nullopt;
    };
    const auto key = extractKey(rule, http.target, findHeader);
    if (!key.ok()) {
        return refusePrepared(key.status());
    }
    PreparedRequest prepared;
    RoutedRequest &request = prepared.request;
    request.service = rule.service;
    request.keyHash = hashKey(rule.service, *key);
    request.deadline = now + rule.timeout;
    request.idempotent = rule.idempotent;
    request.fingerprint = fingerprintRequest(http.method, http.target, *key, http.body);
    if (!rule.idempotent) {
        const auto id = RequestId::parse(http.field("Idempotency-Key"));
        if (!id.ok()) {
            return refusePrepared(id.status());
        }
        request.id = *id;
    }
    request.http = http;
    std::erase_if(request.http.fields,
                  [](const HttpField &field) { return isConnectionField(field.name); });
    return prepared;
}

HttpResponse toResponse(RoutedAnswer &&answer)
{
    if (answer.error != ErrorKind::None) {
        return makeErrorResponse(answer.error, answer.message);
    }
    std::erase_if(answer.http.fields, [](const HttpField &field) {
        return isConnectionField(field.name) || isSameFieldName(field.name, outcomeField)
               || isSameFieldName(field.name, errorField);
    });
    answer.http.fields.push_back(
            {std::string(outcomeField), std::string(outcomeName(Outcome::Done))});
    return std::move(answer.http);
}

} // namespace

HttpResponse makeErrorResponse(ErrorKind kind, std::string_view message)
{
    const ErrorInfo &info = errorInfo(kind);
    HttpResponse response;
    response.status = info.httpStatus;
    response.fields = {{"Content-Type", "application/json"},
                       {std::string(outcomeField), std::string(outcomeName(info.outcome))},
                       {std::string(errorField), std::string(info.name)}};
    if (info.httpStatus == serviceUnavailable) {
        response.fields.push_back({"Retry-After", "1"});
    }
    const nlohmann::json body = {{"error", info.name},
                                 {"outcome", outcomeName(info.outcome)},
                                 {"message", message},
                                 {"remedy", info.remedy}};
    response.body = body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

EntryPath::EntryPath(OwnershipDriver &ownershipDriver, OwnerPath &ownerPath,
                     Forwarder &requestForwarder,
                     std::function<void(const RequestSample &, Time)> reportHook)
    : driver(ownershipDriver)
    , owner(ownerPath)
    , forwarder(requestForwarder)
    , report(std::move(reportHook))
{}

HttpResponse EntryPath::handle(std::size_t worker, asio::io_context &io, const HttpRequest &request)
{
    ++this->open;
    const Time start = readBootTime();
    const std::shared_ptr<const RuleSet> rules = this->driver.rules();
    const Rule *rule = rules ? rules->match(request.method, request.target) : nullptr;
    RoutedAnswer answer;
    if (!rules) {
        answer = makeFailure(ErrorKind::RulesMissing, "no rules have been read yet");
    } else if (rule == nullptr) {
        answer = makeFailure(ErrorKind::NoRule, "no rule matches this method and path");
    } else {
        const PreparedRequest prepared = prepare(*rule, request, start);
        answer = prepared.error == ErrorKind::None ? this->route(worker, io, prepared.request)
                                                   : makeFailure(prepared.error, prepared.message);
    }
    const ErrorKind kind = answer.error;
    HttpResponse response = toResponse(std::move(answer));
    const Time now = readBootTime();
    this->report({rule == nullptr ? std::string_view() : std::string_view(rule->prefix), kind,
                  response.status, now - start},
                 now);
    --this->open;
    return response;
}

HttpResponse EntryPath::refuse(ErrorKind kind)
{
    this->report({std::string_view(), kind, errorInfo(kind).httpStatus, Duration::zero()},
                 readBootTime());
    return makeErrorResponse(kind, "the request could not be read");
}

RoutedAnswer EntryPath::route(std::size_t worker, asio::io_context &io,
                              const RoutedRequest &request)
{
    {
        const std::lock_guard lock(this->budgetMutex);
        this->retryBudget.noteFirstAttempt(readBootTime());
    }
    bool mayHaveRun = false;
    RoutedAnswer answer = this->attempt(worker, io, request);
    for (int attempts = 1;; ++attempts) {
        const ErrorKind kind = answer.error;
        const bool isUnknown = errorInfo(kind).outcome == Outcome::Unknown;
        mayHaveRun = mayHaveRun || (kind != ErrorKind::None && isUnknown);
        if (kind == ErrorKind::None || !this->mayRetry(request, answer, attempts)) {
            // An earlier attempt may have run, so the answer must not have the outcome "not run".
            const bool mustReportUnknown = mayHaveRun && errorInfo(kind).outcome == Outcome::NotRun;
            return mustReportUnknown
                           ? makeFailure(ErrorKind::OwnerLost, "an earlier attempt may have run")
                           : std::move(answer);
        }
        answer = this->retry(worker, io, request, answer);
    }
}

RoutedAnswer EntryPath::retry(std::size_t worker, asio::io_context &io,
                              const RoutedRequest &request, const RoutedAnswer &refusal)
{
    const Duration remaining = request.deadline - readBootTime();
    if (refusal.logOffset <= this->driver.nextOffset()) {
        sleepFor(io, std::min(remaining, routeBackoff));
        return this->attempt(worker, io, request);
    }
    if (refusal.owner.session != 0 && refusal.owner.session != this->driver.session()) {
        RouteAnswer target;
        target.meshAddress = refusal.owner.meshAddress;
        target.session = refusal.owner.session;
        return this->forwarder.forward(io, target, request, refusal.logOffset);
    }
    this->waitForLog(io, refusal.logOffset, std::min(remaining, maxLogWait));
    return this->attempt(worker, io, request);
}

RoutedAnswer EntryPath::attempt(std::size_t worker, asio::io_context &io,
                                const RoutedRequest &request)
{
    const RouteAnswer target = this->driver.route(request.service, request.keyHash);
    if (target.node.empty()) {
        return makeFailure(ErrorKind::NoOwner, "the key has no owner");
    }
    if (target.own) {
        RoutedAnswer answer = this->owner.serve(worker, request);
        answer.logOffset = this->driver.nextOffset();
        return answer;
    }
    return this->forwarder.forward(io, target, request, this->driver.nextOffset());
}

bool EntryPath::mayRetry(const RoutedRequest &request, const RoutedAnswer &answer, int attempts)
{
    const RetryContext context{.error = answer.error,
                               .idempotent = request.idempotent,
                               .attempts = attempts,
                               .remaining = request.deadline - readBootTime(),
                               .needed = routeBackoff};
    const std::lock_guard lock(this->budgetMutex);
    return decideRetry(context, this->retryBudget, readBootTime()) == RetryDecision::Retry;
}

RoutedAnswer EntryPath::handleForward(std::size_t worker, asio::io_context &io,
                                      const wire::Forward &forward)
{
    const RoutedRequest request = fromForward(forward, readBootTime());
    if (forward.log_offset() > this->driver.nextOffset()) {
        this->waitForLog(io, forward.log_offset(),
                         std::min<Duration>(request.deadline - readBootTime(), maxLogWait));
    }
    RoutedAnswer answer = this->owner.serve(worker, request);
    answer.owner = this->findOwnerHint(request, answer.error);
    answer.logOffset = this->driver.nextOffset();
    return answer;
}

OwnerHint EntryPath::findOwnerHint(const RoutedRequest &request, ErrorKind refusal) const
{
    if (refusal != ErrorKind::NotOwner && refusal != ErrorKind::Draining) {
        return {};
    }
    const RouteAnswer route = this->driver.route(request.service, request.keyHash);
    if (route.own || route.node.empty()) {
        return {};
    }
    return {route.session, route.meshAddress};
}

void EntryPath::waitForLog(asio::io_context &io, Offset offset, Duration limit)
{
    const Time until = readBootTime() + limit;
    while (this->driver.nextOffset() < offset && readBootTime() < until) {
        sleepFor(io, logPollInterval);
    }
}

} // namespace kumquat
