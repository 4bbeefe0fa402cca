// Name tables for enum classes.
//
//   inline constexpr NameTable<Mode, 2> modeNames{{{{Mode::Fast, "fast"}, {Mode::Safe, "safe"}}}};
//   modeNames.nameOf(Mode::Fast);     // "fast"
//   modeNames.valueOf("safe");        // std::optional<Mode>
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace kumquat {

template <typename Enum>
struct NameEntry
{
    Enum value;
    std::string_view name;
};

template <typename Enum, std::size_t Count>
struct NameTable
{
    std::array<NameEntry<Enum>, Count> entries;

    // Returns the name, or "?" for a value that is not in the table.
    constexpr std::string_view nameOf(Enum value) const
    {
        for (const auto &entry : this->entries) {
            if (entry.value == value) {
                return entry.name;
            }
        }
        return "?";
    }

    // Returns the value, or std::nullopt for an unknown name.
    constexpr std::optional<Enum> valueOf(std::string_view name) const
    {
        for (const auto &entry : this->entries) {
            if (entry.name == name) {
                return entry.value;
            }
        }
        return std::nullopt;
    }
};

} // namespace kumquat
