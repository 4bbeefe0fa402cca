// What an upstream reports about itself with an answer.
#pragma once

#include <cstdint>
#include <optional>

namespace kumquat {

struct UpstreamFigures
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    // 100 is usual; a higher figure means slower work. Changes many times a second.
    std::optional<std::uint32_t> speedPercent;

    bool operator==(const UpstreamFigures &) const = default;
};

} // namespace kumquat
