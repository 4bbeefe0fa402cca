#include "base/address.h"

#include "base/errors.h"
#include "base/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>

namespace kumquat {
namespace {

bool isNumericIp(const std::string &ip)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, ip.c_str(), &buffer) == 1
           || inet_pton(AF_INET6, ip.c_str(), &buffer) == 1;
}

std::string stripBrackets(std::string_view host)
{
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        return std::string(host.substr(1, host.size() - 2));
    }
    return std::string(host);
}

} // namespace

absl::StatusOr<Address> Address::parse(std::string_view text)
{
    const auto invalid = [text] {
        return makeError(ErrorKind::SettingsInvalid,
                         absl::StrCat("'", toAbsl(text), "' is not an IP address with a port"));
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid();
    }
    Address address;
    address.ip = stripBrackets(text.substr(0, colon));
    int port = 0;
    if (!isNumericIp(address.ip) || !absl::SimpleAtoi(toAbsl(text.substr(colon + 1)), &port)) {
        return invalid();
    }
    if (port < 1 || port > UINT16_MAX) {
        return invalid();
    }
    address.port = static_cast<std::uint16_t>(port);
    return address;
}

std::string Address::toString() const
{
    const bool isIpv6 = this->ip.find(':') != std::string::npos;
    return isIpv6 ? absl::StrCat("[", this->ip, "]:", this->port)
                  : absl::StrCat(this->ip, ":", this->port);
}

} // namespace kumquat
