// The closed list of error kinds and the one table from kind to answer.
//
//   absl::Status status = makeError(ErrorKind::NoRule, "no rule for /x");
//   errorInfo(errorKindOf(status)).httpStatus; // 404
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace kumquat {

// What a caller may conclude about one attempt.
enum class Outcome : std::uint8_t {
    Done,    // the upstream ran the request and the whole answer follows
    NotRun,  // no upstream ran the request
    Unknown, // the request may have run
};

enum class ErrorKind : std::uint8_t {
    None,
    BadRequest,
    MissingKey,
    MissingRequestId,
    NoRule,
    HeaderTooLarge,
    BodyTooLarge,
    RulesMissing,
    NoOwner,
    NotOwner,
    Overloaded,
    Draining,
    DeadlineExceeded,
    UpstreamUnreachable,
    UpstreamRefused,
    RequestQuarantined,
    RequestInProgress,
    DuplicateRequest,
    RequestIdExpired,
    OwnerLost,
    UpstreamLost,
    UpstreamTimeout,
    Internal,
    RulesRefused,
    RulesConflict,
    SettingsInvalid,
    LogUnavailable,
};

inline constexpr int errorKindCount = 27; // with None

// One row of the table from kind to answer.
struct ErrorInfo
{
    ErrorKind kind = ErrorKind::None;
    std::string_view name;                         // in Kumquat-Error and in logs
    int httpStatus = 200;                          // 0: never answered over HTTP
    Outcome outcome = Outcome::Done;               // in Kumquat-Outcome
    absl::StatusCode code = absl::StatusCode::kOk; // of the status that carries the kind
    std::string_view remedy;                       // for operators
};

// Returns the row of a kind; every kind has one.
const ErrorInfo &errorInfo(ErrorKind kind);

// Returns the kind with this name, or nothing.
std::optional<ErrorKind> findErrorKind(std::string_view name);

// Returns "done", "not-run" or "unknown".
std::string_view outcomeName(Outcome outcome);

// Makes a status that carries the kind. The message is for a person.
absl::Status makeError(ErrorKind kind, std::string_view message);

// Returns the kind that makeError stored, None for an ok status, Internal for any other.
ErrorKind errorKindOf(const absl::Status &status);

} // namespace kumquat
