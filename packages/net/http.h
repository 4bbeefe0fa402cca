// HTTP messages as plain data, so that only the net package includes Boost.Beast.
#pragma once

#include "base/time.h"
#include "net/byte_budget.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

struct HttpField
{
    std::string name;
    std::string value;
};

// Compares header field names without regard to case.
bool isSameFieldName(std::string_view first, std::string_view second);

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; // path and query
    std::vector<HttpField> fields;
    std::string body;
    SharedBody sharedBody;              // sent in place of `body` if it is not empty
    std::shared_ptr<ByteCharge> charge; // for `body`, set by a server with a budget
    Time receivedAt{};                  // when the first bytes arrived
    Duration readTime{};                // from receivedAt until the whole request was read
    Duration unreadTime{};              // from receivedAt until its first bytes were read
    Duration waitTime{};                // from that read until the reading fiber got processor time
    std::string callerIp;       // address of the other end of the connection; empty: unknown
    bool isFromOwnHost = false; // that address is also the one of this end

    // Returns the value of the first field with this name, or an empty view.
    std::string_view field(std::string_view name) const;

    std::string_view bodyView() const
    {
        return this->sharedBody.size() > 0 ? this->sharedBody.view() : std::string_view(this->body);
    }
};

struct HttpResponse
{
    int status = 200;
    std::vector<HttpField> fields; // without Content-Length and Connection
    std::string body;
    std::shared_ptr<ByteCharge> charge; // for `body`, set by a client with a budget

    std::string_view field(std::string_view name) const;
};

// Returns whether a header field applies to one connection only and must not be forwarded.
bool isConnectionField(std::string_view name);

} // namespace kumquat
