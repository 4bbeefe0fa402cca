// Output of benchmark results as tables, JSON, a comparison and a plot.
#pragma once

#include "bench/model.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kumquat::bench {

// Returns one table per trace, with a row per service and strategy.
std::string formatTables(const std::vector<Result> &results);

// Returns all results as JSON, without their series.
std::string formatJson(const std::vector<Result> &results, std::uint64_t seed);

// Returns a line for each measurement that differs by more than 1 % from that of an earlier run.
// `earlier` is the output of formatJson(). Error: SettingsInvalid if it is not.
absl::StatusOr<std::string> formatComparison(const std::vector<Result> &results,
                                             const std::string &earlier);

// Returns an SVG plot of the ratio of peak to mean load over time, with a line per strategy. All
// results belong to one trace and service. `step` is the length of a step in s.
std::string drawSvg(const std::vector<Result> &results, double step);

} // namespace kumquat::bench
