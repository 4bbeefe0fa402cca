#include "base/errors.h"

#include "base/text.h"

#include <absl/strings/cord.h>

#include <array>
#include <cassert>
#include <string>

namespace kumquat {
namespace {

using absl::StatusCode;

constexpr std::string_view kindPayload = "kumquat.error-kind";

constexpr std::array<ErrorInfo, errorKindCount> errorTable{{
        {ErrorKind::None, "none", 200, Outcome::Done, StatusCode::kOk, ""},
        {ErrorKind::BadRequest, "bad-request", 400, Outcome::NotRun, StatusCode::kInvalidArgument,
         "correct the request"},
        {ErrorKind::MissingKey, "missing-key", 400, Outcome::NotRun, StatusCode::kInvalidArgument,
         "send the key that the rule names"},
        {ErrorKind::MissingRequestId, "missing-request-id", 400, Outcome::NotRun,
         StatusCode::kInvalidArgument, "send a version 7 UUID in Idempotency-Key"},
        {ErrorKind::NoRule, "no-rule", 404, Outcome::NotRun, StatusCode::kNotFound,
         "publish a rule for this method and path"},
        {ErrorKind::HeaderTooLarge, "header-too-large", 431, Outcome::NotRun,
         StatusCode::kInvalidArgument, "send at most 16 KiB of header"},
        {ErrorKind::BodyTooLarge, "body-too-large", 413, Outcome::NotRun,
         StatusCode::kInvalidArgument, "send at most 1 MiB of body"},
        {ErrorKind::RulesMissing, "rules-missing", 503, Outcome::NotRun, StatusCode::kUnavailable,
         "publish rules, or check that the process reads the log"},
        {ErrorKind::NoOwner, "no-owner", 503, Outcome::NotRun, StatusCode::kUnavailable,
         "wait for a takeover; check the log service and the upstreams"},
        {ErrorKind::NotOwner, "not-owner", 503, Outcome::NotRun, StatusCode::kUnavailable,
         "try again; the slot has moved"},
        {ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun, StatusCode::kResourceExhausted,
         "try later, or add upstreams"},
        {ErrorKind::Draining, "draining", 503, Outcome::NotRun, StatusCode::kUnavailable,
         "send the request to another process"},
        {ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, Outcome::NotRun,
         StatusCode::kDeadlineExceeded, "try again with a longer deadline"},
        {ErrorKind::UpstreamUnreachable, "upstream-unreachable", 503, Outcome::NotRun,
         StatusCode::kUnavailable, "check the upstream process on the owner's host"},
        {ErrorKind::UpstreamRefused, "upstream-refused", 503, Outcome::NotRun,
         StatusCode::kUnavailable, "the upstream sheds load or refuses the fence; try later"},
        {ErrorKind::RequestQuarantined, "request-quarantined", 422, Outcome::NotRun,
         StatusCode::kFailedPrecondition, "do not send again; this request crashed upstreams"},
        {ErrorKind::RequestInProgress, "request-in-progress", 409, Outcome::Unknown,
         StatusCode::kAlreadyExists, "wait for the first attempt"},
        {ErrorKind::DuplicateRequest, "duplicate-request", 409, Outcome::Unknown,
         StatusCode::kAlreadyExists, "look up whether the first attempt took effect"},
        {ErrorKind::RequestIdExpired, "request-id-expired", 409, Outcome::Unknown,
         StatusCode::kOutOfRange,
         "look up whether an earlier attempt took effect; check the caller's clock"},
        {ErrorKind::OwnerLost, "owner-lost", 502, Outcome::Unknown, StatusCode::kUnavailable,
         "look up whether the request took effect"},
        {ErrorKind::UpstreamLost, "upstream-lost", 502, Outcome::Unknown, StatusCode::kUnavailable,
         "look up whether the request took effect"},
        {ErrorKind::UpstreamTimeout, "upstream-timeout", 504, Outcome::Unknown,
         StatusCode::kDeadlineExceeded, "look up whether the request took effect"},
        {ErrorKind::Internal, "internal", 500, Outcome::Unknown, StatusCode::kInternal,
         "report the log lines of the process"},
        {ErrorKind::RulesRefused, "rules-refused", 422, Outcome::NotRun,
         StatusCode::kInvalidArgument, "correct the lines that are named"},
        {ErrorKind::RulesConflict, "rules-conflict", 409, Outcome::NotRun, StatusCode::kAborted,
         "read the newer rules and publish again"},
        {ErrorKind::SettingsInvalid, "settings-invalid", 0, Outcome::NotRun,
         StatusCode::kInvalidArgument, "correct the settings that are named"},
        {ErrorKind::LogUnavailable, "log-unavailable", 503, Outcome::Unknown,
         StatusCode::kUnavailable, "check the log service"},
}};

} // namespace

const ErrorInfo &errorInfo(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < errorTable.size() && "add a row for the new kind to errorTable");
    assert(errorTable[index].kind == kind && "keep errorTable in the order of ErrorKind");
    return errorTable[index];
}

std::optional<ErrorKind> findErrorKind(std::string_view name)
{
    for (const ErrorInfo &info : errorTable) {
        if (info.name == name) {
            return info.kind;
        }
    }
    return std::nullopt;
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

absl::Status makeError(ErrorKind kind, std::string_view message)
{
    const ErrorInfo &info = errorInfo(kind);
    absl::Status status(info.code, toAbsl(message));
    status.SetPayload(toAbsl(kindPayload), absl::Cord(std::string(info.name)));
    return status;
}

ErrorKind errorKindOf(const absl::Status &status)
{
    if (status.ok()) {
        return ErrorKind::None;
    }
    const auto payload = status.GetPayload(toAbsl(kindPayload));
    if (!payload) {
        return ErrorKind::Internal;
    }
    return findErrorKind(std::string(*payload)).value_or(ErrorKind::Internal);
}

} // namespace kumquat
