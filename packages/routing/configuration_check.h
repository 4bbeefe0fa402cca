// Checks a configuration before an operator publishes it, and compares it with the one in force.
//
//   for (const ConfigurationFinding &finding : checkConfiguration(configuration)) { ... }
//   std::vector<ConfigurationFinding> changes = compareConfigurations(inForce, configuration);
//
// Sections: findings, checks.
#pragma once

#include "base/names.h"
#include "routing/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// ---- Findings ----

enum class FindingKind : std::uint8_t {
    Error,         // the configuration does not do what it says
    Unreachable,   // an entry that no request can match or use
    Contradiction, // limits of which one makes the other useless
    Change,        // differs from the configuration in force
};

inline constexpr NameTable<FindingKind, 4> findingKindNames{
        {{{FindingKind::Error, "error"},
          {FindingKind::Unreachable, "unreachable"},
          {FindingKind::Contradiction, "contradiction"},
          {FindingKind::Change, "change"}}}};

struct ConfigurationFinding
{
    FindingKind kind = FindingKind::Error;
    std::string subject; // "route NAME", "service NAME", "limits" or "version"
    std::string text;

    bool operator==(const ConfigurationFinding &) const = default;
};

// ---- Checks ----

// Returns errors, entries that can never match and limits that contradict each other.
std::vector<ConfigurationFinding> checkConfiguration(const Configuration &configuration);

// Returns the changes from the configuration in force, and an error for a version that would not
// replace it.
std::vector<ConfigurationFinding> compareConfigurations(const Configuration &inForce,
                                                        const Configuration &next);

} // namespace kumquat
