// A small blocking HTTP client with deadlines that uses a new connection for each request.
//
//   HttpResult result = exchange({address, "GET", "/status"}, {});
//   if (result.delivery == Delivery::Answered && result.status == 200) { ... result.body ... }
#pragma once

#include "base/address.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

struct HttpCall
{
    Address server;
    std::string method = "GET";
    std::string target = "/"; // encoded path and query
    std::string contentType;  // of the body; no header if empty
    std::string body;
};

struct HttpLimits
{
    Duration connect = 1s;
    Duration answer = 3s; // from the connect to the end of the answer
};

// What the caller knows about the delivery of a call.
enum class Delivery : std::uint8_t {
    Answered, // a complete answer was read
    NotSent,  // no connection was opened
    Unknown,  // the connection broke or the deadline passed after the connect
};

struct HttpResult
{
    Delivery delivery = Delivery::NotSent;
    int status = 0;        // of the answer
    std::string errorKind; // header Kumquat-Error of the answer
    std::string body;      // of the answer
    std::string reason;    // error message if there is no answer
};

// Sends a call and waits for the answer.
HttpResult exchange(const HttpCall &call, const HttpLimits &limits);

// Sends many calls concurrently and waits for all. Results are in the order of the calls.
std::vector<HttpResult> exchangeAll(const std::vector<HttpCall> &calls, const HttpLimits &limits);

// Percent-encodes text for a query value. Letters, digits and "-_.~" are not changed.
std::string encodeQueryValue(const std::string &text);

} // namespace kumquat
