// Ids of non-idempotent requests and fingerprints of requests.
//
//   absl::StatusOr<RequestId> id = RequestId::parse("01890a5d-ac96-774b-bcce-b302099a8057");
//   absl::Status age = checkAge(*id, readWallTime());
#pragma once

#include "base/time.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

inline constexpr WallTime maxRequestIdAge = 120s; // age of the oldest accepted id
inline constexpr WallTime maxRequestIdSkew = 60s; // bound on the difference of two wall clocks
// Longer than maxRequestIdAge + maxRequestIdSkew, so that no accepted id is forgotten.
inline constexpr Duration requestIdLifetime = 200s;

// A version 7 UUID in two halves. Its first 48 bits are the caller's time in Unix milliseconds.
struct RequestId
{
    std::uint64_t high = 0; // bits 127 to 64
    std::uint64_t low = 0;  // bits 63 to 0

    // Parses the form with four hyphens, in upper or lower case. Error: MissingRequestId.
    static absl::StatusOr<RequestId> parse(std::string_view text);

    // Returns the form that parse accepts, in lower case.
    std::string toString() const;

    // Returns the caller's time.
    WallTime time() const { return WallTime(this->high >> 16); }

    bool operator==(const RequestId &) const = default;

    bool operator<(const RequestId &other) const
    {
        return this->high != other.high ? this->high < other.high : this->low < other.low;
    }
};

struct RequestIdHash
{
    std::size_t operator()(const RequestId &id) const noexcept;
};

// Checks that the time of the id lies between maxRequestIdAge before and maxRequestIdSkew after
// now. An id on either side gives RequestIdExpired, because a process with a different clock may
// have run the request.
absl::Status checkAge(const RequestId &id, WallTime now);

// Hashes a request without its id. Equal requests have equal fingerprints in all processes.
std::uint64_t fingerprintRequest(std::string_view method, std::string_view path,
                                 std::string_view key, std::string_view body);

} // namespace kumquat
