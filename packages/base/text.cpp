#include "base/text.h"

#include <cstddef>
#include <cstdint>

namespace kumquat {
namespace {

// The smallest code point that needs a sequence of each length. Longer encodings are not valid.
constexpr std::uint32_t smallestOf[]{0, 0, 0x80, 0x800, 0x10000};
constexpr std::uint32_t largestCodePoint = 0x10ffff;
constexpr std::uint32_t firstSurrogate = 0xd800;
constexpr std::uint32_t lastSurrogate = 0xdfff;

// Returns the length of the sequence that begins with this byte, 0 if none does.
std::size_t sequenceLength(unsigned char first)
{
    if (first < 0x80) {
        return 1;
    }
    if ((first & 0xe0) == 0xc0) {
        return 2;
    }
    if ((first & 0xf0) == 0xe0) {
        return 3;
    }
    return (first & 0xf8) == 0xf0 ? 4 : 0;
}

bool isContinuation(unsigned char byte)
{
    return (byte & 0xc0) == 0x80;
}

// Returns the code point of a sequence of at least two bytes, whose first byte has the right form.
std::uint32_t codePointOf(std::string_view sequence)
{
    std::uint32_t point = static_cast<unsigned char>(sequence[0]) & (0x7f >> sequence.size());
    for (const char byte : sequence.substr(1)) {
        point = point << 6 | (static_cast<unsigned char>(byte) & 0x3f);
    }
    return point;
}

} // namespace

bool isUtf8(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t length = sequenceLength(static_cast<unsigned char>(bytes[0]));
        if (length == 0 || length > bytes.size()) {
            return false;
        }
        for (std::size_t i = 1; i < length; ++i) {
            if (!isContinuation(static_cast<unsigned char>(bytes[i]))) {
                return false;
            }
        }
        if (length > 1) {
            const std::uint32_t point = codePointOf(bytes.substr(0, length));
            const bool isSurrogate = point >= firstSurrogate && point <= lastSurrogate;
            if (point < smallestOf[length] || point > largestCodePoint || isSurrogate) {
                return false;
            }
        }
        bytes.remove_prefix(length);
    }
    return true;
}

} // namespace kumquat
