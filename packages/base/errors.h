// The complete list of error kinds, and the table that maps each kind to the answer for the caller.
//
//   absl::Status status = makeError(ErrorKind::NoRule, "no rule for /x");
//   errorInfo(errorKindOf(status)).httpStatus; // 404
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace kumquat {

// What a caller may conclude from the answer to one attempt.
enum class Outcome : std::uint8_t {
    Done,    // the upstream ran the request, and the answer is complete
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

inline constexpr int errorKindCount = 27; // including None

// One row of the table that maps kinds to answers.
struct ErrorInfo
{
    ErrorKind kind = ErrorKind::None;
    std::string_view name;                         // value of Kumquat-Error, also used in logs
    int httpStatus = 200;                          // 0: never sent over HTTP
    Outcome outcome = Outcome::Done;               // value of Kumquat-Outcome
    absl::StatusCode code = absl::StatusCode::kOk; // code of the absl::Status that carries the kind
    std::string_view remedy;                       // advice for operators
};

// Returns the row of a kind. Every kind has a row.
const ErrorInfo &errorInfo(ErrorKind kind);

// Returns the kind with this name, or std::nullopt.
std::optional<ErrorKind> findErrorKind(std::string_view name);

// Returns "done", "not-run" or "unknown".
std::string_view outcomeName(Outcome outcome);

// Makes a status that carries the kind. The message is for human readers.
absl::Status makeError(ErrorKind kind, std::string_view message);

// Returns the kind that makeError() stored, None for an OK status, and Internal for any other
// status.
ErrorKind errorKindOf(const absl::Status &status);

} // namespace kumquat
