// Plain HTTP messages, so that only the net package includes Boost.Beast.
#pragma once

#include "base/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

struct HttpField
{
    std::string name;
    std::string value;
};

// Compares header names as HTTP does, without regard to case.
bool isSameFieldName(std::string_view first, std::string_view second);

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; // path and query
    std::vector<HttpField> fields;
    std::string body;
    Time receivedAt{};   // when a server read its first bytes
    Duration readTime{}; // from then until it had read the whole request
    Duration waitTime{}; // in which its bytes were there and its reader waited for the thread

    // Returns the value of the first field with this name, or an empty view.
    std::string_view field(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    std::vector<HttpField> fields; // without Content-Length and Connection
    std::string body;

    std::string_view field(std::string_view name) const;
};

// Says whether a field belongs to one connection and must not be passed on.
bool isConnectionField(std::string_view name);

} // namespace kumquat
