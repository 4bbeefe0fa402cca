// IP addresses with a port, in the text form that settings and records use.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

struct Address
{
    std::string ip;         // numeric, IPv4 or IPv6 without brackets
    std::uint16_t port = 0; // 1 to 65535

    // Parses "127.0.0.1:80" or "[::1]:80". Host names are invalid. Error: SettingsInvalid.
    static absl::StatusOr<Address> parse(std::string_view text);

    // Returns the text form that parse() accepts.
    std::string toString() const;

    bool operator==(const Address &) const = default;
};

} // namespace kumquat
