// Requests of a caller on the users' platform and checks of their answers, with the platform's
// header names.
//
//   HttpExchange exchange = client.send(makeCallerRequest({.id = "c-1", .key = 7}), 2s);
//   bool isComplete = isAnswerTo(exchange.answer, "c-1");
#pragma once

#include "standins/http.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

// One request of the stand-ins' configuration. Idempotent requests (reads) may run more than once;
// other requests (writes) must not.
struct CallerRequest
{
    std::string id;
    std::optional<std::uint32_t> key = 0; // no value: the service is not divided by key
    bool isIdempotent = false;
    std::string prefix;                      // path prefix; empty: the prefix of the default route
    std::chrono::milliseconds timeout{1500}; // sent as X-Deadline-Remaining
};

HttpRequest makeCallerRequest(const CallerRequest &request);

// Returns whether a successful answer is the complete answer of PlatformEndpoint to the request
// with this id.
bool isAnswerTo(const HttpAnswer &answer, const std::string &id);

} // namespace kumquat
