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

inline constexpr WallTime maxRequestIdAge = 120s; // oldest id that is accepted
inline constexpr WallTime maxRequestIdSkew = 60s; // bound of the error of two wall clocks
inline constexpr Duration requestIdLifetime =
        200s; // > past + ahead, so no accepted id is forgotten

// A version 7 UUID in two halves; its first 48 bits are Unix milliseconds of the caller.
struct RequestId
{
    std::uint64_t high = 0; // bits 127 to 64
    std::uint64_t low = 0;  // bits 63 to 0

    // Parses the form with four hyphens, in either case. Error: MissingRequestId.
    static absl::StatusOr<RequestId> parse(std::string_view text);

    // Returns the form that parse takes, in lower case.
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

// Checks that the id is from maxRequestIdAge before to maxRequestIdSkew after now.
// Error in both directions: RequestIdExpired, because a process with another clock may have run it.
absl::Status checkAge(const RequestId &id, WallTime now);

// Hashes a request without its id; equal requests have equal fingerprints in every process.
std::uint64_t fingerprintRequest(std::string_view method, std::string_view path,
                                 std::string_view key, std::string_view body);

} // namespace kumquat
