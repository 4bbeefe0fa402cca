// What a caller on the users' platform sends and expects, in the platform's names.
//
//   HttpExchange exchange = client.send(makeCallerRequest({.id = "c-1", .key = 7}), 2s);
//   bool isOwn = isAnswerTo(exchange.answer, "c-1");
#pragma once

#include "standins/http.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

// One request of the stand-ins' configuration: reads may run twice, writes may not.
struct CallerRequest
{
    std::string id;
    std::optional<std::uint32_t> key = 0; // none: for a service that is not divided by key
    bool isIdempotent = false;
    std::string prefix; // of the path; empty: that of the route of such requests
    std::chrono::milliseconds timeout{1500};
};

HttpRequest makeCallerRequest(const CallerRequest &request);

// Says whether a success is the whole answer of PlatformEndpoint to the request with this id.
bool isAnswerTo(const HttpAnswer &answer, const std::string &id);

} // namespace kumquat
