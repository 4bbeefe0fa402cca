// A small blocking HTTP client with deadlines, for one request per connection.
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
    std::string target = "/"; // path and query, already encoded
    std::string contentType;  // of the body; no header if empty
    std::string body;
};

struct HttpLimits
{
    Duration connect = 1s;
    Duration answer = 3s; // from the connection to the end of the answer
};

// What is known about the delivery of a call.
enum class Delivery : std::uint8_t {
    Answered, // a whole answer was read
    NotSent,  // no connection
    Unknown,  // the connection broke or the deadline passed after the connection
};

struct HttpResult
{
    Delivery delivery = Delivery::NotSent;
    int status = 0;        // of the answer
    std::string errorKind; // header Kumquat-Error of the answer
    std::string body;      // of the answer
    std::string reason;    // for a person, if there is no answer
};

// Sends a call and waits for the answer.
HttpResult exchange(const HttpCall &call, const HttpLimits &limits);

// Sends many calls at once and waits for all; results are in the order of the calls.
std::vector<HttpResult> exchangeAll(const std::vector<HttpCall> &calls, const HttpLimits &limits);

// Encodes text for a query value: letters, digits and "-_.~" stay.
std::string encodeQueryValue(const std::string &text);

} // namespace kumquat
