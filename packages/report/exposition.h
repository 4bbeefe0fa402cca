// Writer for the Prometheus text exposition format, version 0.0.4.
//
//   ExpositionWriter writer;
//   writer.addFamily("kumquat_slots", "gauge", "Slots that this process owns.");
//   writer.addSample("kumquat_slots", {{"service", "testlog"}}, 30);
//   writeReport(writer, report);
//   writer.text();
#pragma once

#include "report/report.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// Content-Type of the answer to GET /metrics.
inline constexpr std::string_view expositionContentType = "text/plain; version=0.0.4";

struct ExpositionLabel
{
    std::string_view name; // letters, digits and "_"
    std::string value;     // any text; escaped in the output
};

class ExpositionWriter
{
public:
    // Starts a family of samples. Type: counter, gauge, summary or untyped.
    void addFamily(std::string_view name, std::string_view type, std::string_view help);

    // Adds a sample to the family that was started last.
    void addSample(std::string_view name, const std::vector<ExpositionLabel> &labels, double value);

    const std::string &text() const { return this->output; }

private:
    std::string output;
};

// Adds the metric families of a report: kumquat_requests_total, kumquat_upstream_failures_total,
// kumquat_request_seconds, kumquat_objective_burn_rate and kumquat_objective_burning_seconds.
void writeReport(ExpositionWriter &writer, const Report &report);

} // namespace kumquat
