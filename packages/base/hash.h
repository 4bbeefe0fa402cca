// Key hashing. All processes, also of different versions, must map a key to the same slot, so the
// results of these functions must never change.
#pragma once

#include <cstdint>
#include <string_view>

namespace kumquat {

using Slot = std::uint32_t;

inline constexpr Slot hashedSlotCount = 16'384; // slots that keys hash to
inline constexpr Slot dedicatedSlotCount = 64;  // slots that single hot keys can be bound to
inline constexpr Slot slotCount = hashedSlotCount + dedicatedSlotCount;

// Hashes bytes with xxHash64.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Hashes service, a zero byte and key.
std::uint64_t hashKey(std::string_view service, std::string_view key);

// Hashes two integers to one, for rendezvous hashing.
std::uint64_t hashPair(std::uint64_t first, std::uint64_t second);

// Returns the slot that a key hashes to, 0 to hashedSlotCount - 1.
constexpr Slot slotOf(std::uint64_t keyHash)
{
    return static_cast<Slot>(keyHash % hashedSlotCount);
}

} // namespace kumquat
