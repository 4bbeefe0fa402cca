// A caller's request on its way from the entry process to the owner, and its answer.
#pragma once

#include "base/errors.h"
#include "base/time.h"
#include "net/http.h"
#include "traffic/request_id.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// What the owner needs to run a request.
struct RoutedRequest
{
    std::string service;
    std::uint64_t keyHash = 0;
    Time deadline{}; // CLOCK_BOOTTIME of this host
    bool idempotent = false;
    RequestId id; // for a non-idempotent request only
    std::uint64_t fingerprint = 0;
    HttpRequest http;
};

// The owner that another process named when it refused a request.
struct OwnerHint
{
    std::uint64_t session = 0; // 0: no owner was named
    std::string meshAddress;
};

// The answer to one attempt.
struct RoutedAnswer
{
    ErrorKind error = ErrorKind::None; // None: `http` is the upstream's answer
    std::string message;               // for human readers, if there is an error
    HttpResponse http;
    std::uint64_t logOffset = 0; // next offset that the answering process will read
    OwnerHint owner;             // with a refusal; the owner according to the log up to `logOffset`
};

inline RoutedAnswer makeFailure(ErrorKind error, std::string_view message)
{
    RoutedAnswer answer;
    answer.error = error;
    answer.message = message;
    return answer;
}

} // namespace kumquat
