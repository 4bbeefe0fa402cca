#include "base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <string>

namespace kumquat {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashKey(std::string_view service, std::string_view key)
{
    std::string bytes;
    bytes.reserve(service.size() + 1 + key.size());
    bytes.append(service);
    bytes.push_back('\0');
    bytes.append(key);
    return hashBytes(bytes);
}

std::uint64_t hashPair(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> pair{first, second};
    return XXH64(pair.data(), sizeof(pair), 0);
}

} // namespace kumquat
