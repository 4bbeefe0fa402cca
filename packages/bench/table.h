// Tables, JSON, comparison and plot of benchmark results.
#pragma once

#include "bench/model.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kumquat::bench {

// Returns one table per trace, with a row per service and strategy.
std::string formatTables(const std::vector<Result> &results);

// Returns all results without the series.
std::string formatJson(const std::vector<Result> &results, std::uint64_t seed);

// Returns a line for each measure that differs by more than 1 % from an earlier JSON. Error:
// SettingsInvalid if the text is not such a JSON.
absl::StatusOr<std::string> formatComparison(const std::vector<Result> &results,
                                             const std::string &earlier);

// Returns an SVG of peak over mean over time, one line per strategy. The results are those of one
// trace and service.
std::string drawSvg(const std::vector<Result> &results, double step);

} // namespace kumquat::bench
