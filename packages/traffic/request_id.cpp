#include "traffic/request_id.h"

#include "base/errors.h"
#include "base/hash.h"

#include <array>
#include <optional>

namespace kumquat {
namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::array<std::size_t, 4> hyphenPositions{8, 13, 18, 23};
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr std::uint64_t uuidVersion = 7;
constexpr std::uint64_t uuidVariant = 2; // RFC 9562: top two bits of the lower half

// Returns 0 to 15, or nothing if the character is not a hexadecimal digit.
std::optional<std::uint64_t> hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return static_cast<std::uint64_t>(digit - '0');
    }
    if (digit >= 'a' && digit <= 'f') {
        return static_cast<std::uint64_t>(digit - 'a' + 10);
    }
    if (digit >= 'A' && digit <= 'F') {
        return static_cast<std::uint64_t>(digit - 'A' + 10);
    }
    return std::nullopt;
}

bool isHyphenPosition(std::size_t position)
{
    for (const std::size_t hyphen : hyphenPositions) {
        if (hyphen == position) {
            return true;
        }
    }
    return false;
}

absl::Status makeIdError()
{
    return makeError(ErrorKind::MissingRequestId, "the request id is not a version 7 UUID");
}

// Adds one part with its length, so that moving bytes between parts changes the fingerprint.
std::uint64_t addPart(std::uint64_t hash, std::string_view part)
{
    return hashPair(hash, hashBytes(part, part.size()));
}

} // namespace

absl::StatusOr<RequestId> RequestId::parse(std::string_view text)
{
    if (text.size() != uuidLength) {
        return makeIdError();
    }
    std::array<std::uint64_t, 2> halves{};
    std::size_t digits = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (isHyphenPosition(position)) {
            if (text[position] != '-') {
                return makeIdError();
            }
            continue;
        }
        const std::optional<std::uint64_t> value = hexValue(text[position]);
        if (!value) {
            return makeIdError();
        }
        std::uint64_t &half = halves[digits / 16];
        half = half << 4 | *value;
        ++digits;
    }
    const RequestId id{.high = halves[0], .low = halves[1]};
    if ((id.high >> 12 & 0xf) != uuidVersion || id.low >> 62 != uuidVariant) {
        return makeIdError();
    }
    return id;
}

std::string RequestId::toString() const
{
    std::string text;
    text.reserve(uuidLength);
    for (std::size_t digit = 0; digit < 32; ++digit) {
        if (isHyphenPosition(text.size())) {
            text += '-';
        }
        const std::uint64_t half = digit < 16 ? this->high : this->low;
        text += hexDigits[half >> (60 - 4 * (digit % 16)) & 0xf];
    }
    return text;
}

std::size_t RequestIdHash::operator()(const RequestId &id) const noexcept
{
    return hashPair(id.high, id.low);
}

absl::Status checkAge(const RequestId &id, WallTime now)
{
    if (id.time() < now - maxRequestIdAge) {
        return makeError(ErrorKind::RequestIdExpired, "the request id is older than 120 s");
    }
    if (id.time() > now + maxRequestIdSkew) {
        return makeError(ErrorKind::RequestIdExpired, "the request id is more than 60 s ahead");
    }
    return absl::OkStatus();
}

std::uint64_t fingerprintRequest(std::string_view method, std::string_view path,
                                 std::string_view key, std::string_view body)
{
    std::uint64_t hash = hashBytes(method);
    hash = addPart(hash, path);
    hash = addPart(hash, key);
    return addPart(hash, body);
}

} // namespace kumquat
