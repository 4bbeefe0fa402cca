#include "bench/table.h"

#include "base/errors.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace kumquat::bench {

namespace {

using nlohmann::json;

struct Column
{
    const char *name; // JSON key
    const char *title;
    const char *format;
    double Result::*value;
    double scale;
};

constexpr std::array<Column, 13> columns{{
        {"imbalance_p50", "p50", "%7.3f", &Result::imbalanceP50, 1},
        {"imbalance_worst", "worst", "%7.3f", &Result::imbalanceWorst, 1},
        {"settle_seconds", "settle s", "%9.0f", &Result::settleWorst, 1},
        {"settled_worst", "settled", "%8.3f", &Result::settledWorst, 1},
        {"churn_per_hour", "churn %/h", "%10.2f", &Result::churnPerHour, 100},
        {"unavailable_key_seconds", "unavail key-s", "%14.0f", &Result::unavailable, 1},
        {"done", "done k", "%10.0f", &Result::done, 1e-3},
        {"not_run", "not run k", "%10.1f", &Result::notRun, 1e-3},
        {"unknown", "unknown k", "%10.1f", &Result::unknown, 1e-3},
        {"region_bytes", "region MB", "%10.0f", &Result::regionBytes, 1e-6},
        {"log_appends", "appends", "%8.0f", &Result::logAppends, 1},
        {"control_bytes_per_node_second", "ctl B/s", "%8.1f", &Result::controlBytes, 1},
        {"largest_key_share", "top key", "%8.2f", &Result::largestKeyShare, 1},
}};

std::string formatNumber(const char *format, double value)
{
    std::array<char, 64> buffer{};
    std::snprintf(buffer.data(), buffer.size(), format, value);
    return buffer.data();
}

std::string padRight(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

std::string padLeft(const std::string &text, std::size_t width)
{
    return std::string(width > text.size() ? width - text.size() : 0, ' ') + text;
}

std::string formatHeader()
{
    std::string line = padRight("service", 11) + padRight("strategy", 14);
    for (const Column &column : columns) {
        line += padLeft(column.title, formatNumber(column.format, 0).size());
    }
    return line + "  targets\n";
}

std::string formatRow(const Result &result)
{
    std::string line = padRight(result.service, 11)
                       + padRight(std::string(strategyNames.nameOf(result.strategy)), 14);
    for (const Column &column : columns) {
        line += formatNumber(column.format, result.*column.value * column.scale);
    }
    return line + "  " + result.verdict() + '\n';
}

json toJson(const Result &result)
{
    json entry;
    entry["trace"] = result.trace;
    entry["service"] = result.service;
    entry["strategy"] = strategyNames.nameOf(result.strategy);
    entry["seed"] = result.seed;
    entry["targets"] = result.verdict();
    entry["missed_seconds"] = result.missed.total;
    entry["missed_seconds_without_log"] = result.missed.withoutLog;
    entry["missed_seconds_one_key"] = result.missed.oneKey;
    entry["missed_seconds_hot_keys"] = result.missed.hotKeys;
    for (const Column &column : columns) {
        entry[column.name] = result.*column.value;
    }
    return entry;
}

bool matches(const json &entry, const Result &result)
{
    return entry.value("trace", "") == result.trace && entry.value("service", "") == result.service
           && entry.value("strategy", "") == strategyNames.nameOf(result.strategy);
}

} // namespace

std::string formatTables(const std::vector<Result> &results)
{
    std::vector<std::string> traces;
    for (const Result &result : results) {
        if (std::find(traces.begin(), traces.end(), result.trace) == traces.end()) {
            traces.push_back(result.trace);
        }
    }
    std::string text;
    for (const std::string &trace : traces) {
        text += "\n" + trace + "\n" + formatHeader();
        for (const Result &result : results) {
            text += result.trace == trace ? formatRow(result) : "";
        }
    }
    return text;
}

std::string formatJson(const std::vector<Result> &results, std::uint64_t seed)
{
    json document;
    document["seed"] = seed;
    document["results"] = json::array();
    for (const Result &result : results) {
        document["results"].push_back(toJson(result));
    }
    return document.dump(1);
}

absl::StatusOr<std::string> formatComparison(const std::vector<Result> &results,
                                             const std::string &earlier)
{
    constexpr double minChange = 0.01; // relative; smaller differences are not printed
    const json document = json::parse(earlier, nullptr, false);
    if (!document.is_object() || !document.contains("results")) {
        return makeError(ErrorKind::SettingsInvalid, "not a JSON file of bench_decisions");
    }
    std::string text = "\ncompared with the earlier run\n";
    for (const Result &result : results) {
        for (const json &entry : document["results"]) {
            if (!matches(entry, result)) {
                continue;
            }
            for (const Column &column : columns) {
                const double before = entry.value(column.name, 0.0);
                const double after = result.*column.value;
                if (std::abs(after - before) > minChange * std::max(std::abs(before), 1e-9)) {
                    text += padRight(result.trace, 18) + padRight(result.service, 11)
                            + padRight(std::string(strategyNames.nameOf(result.strategy)), 14)
                            + padRight(column.title, 14)
                            + formatNumber(column.format, before * column.scale) + " -> "
                            + formatNumber(column.format, after * column.scale) + '\n';
                }
            }
        }
    }
    return text;
}

// --- plot ---

namespace {

constexpr double plotWidth = 900;
constexpr double plotHeight = 360;
constexpr double plotMargin = 50;

std::string formatText(double x, double y, const std::string &text, const char *colour)
{
    return "<text x=\"" + formatNumber("%.0f", x) + "\" y=\"" + formatNumber("%.0f", y)
           + "\" font-size=\"12\" font-family=\"sans-serif\" fill=\"" + colour + "\">" + text
           + "</text>\n";
}

std::string formatLine(const std::string &points, const char *colour, const char *dash)
{
    return std::string("<polyline fill=\"none\" stroke=\"") + colour + "\" stroke-dasharray=\""
           + dash + "\" points=\"" + points + "\"/>\n";
}

} // namespace

std::string drawSvg(const std::vector<Result> &results, double step)
{
    constexpr std::array<const char *, 3> colours{"#888888", "#d9822b", "#1f6fb2"};
    double maxRatio = 1.2;
    std::size_t length = 2;
    for (const Result &result : results) {
        maxRatio = std::max(maxRatio, result.imbalanceWorst);
        length = std::max(length, result.series.size());
    }
    const auto toX = [length](std::size_t index) {
        return plotMargin
               + plotWidth * static_cast<double>(index) / static_cast<double>(length - 1);
    };
    const auto toY = [maxRatio](double value) {
        return plotMargin + plotHeight * (maxRatio - value) / (maxRatio - 1);
    };
    const auto toPoint = [&](std::size_t index, double value) {
        return formatNumber("%.1f", toX(index)) + ',' + formatNumber("%.1f", toY(value)) + ' ';
    };
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"1000\" height=\"460\">\n"
                      "<rect width=\"1000\" height=\"460\" fill=\"white\"/>\n";
    for (double level = 1; level <= maxRatio; level += 0.25) {
        svg += formatText(10, toY(level) + 4, formatNumber("%.2f", level), "black");
        svg += formatLine(toPoint(0, level) + toPoint(length - 1, level), "#dddddd", "none");
    }
    svg += formatLine(toPoint(0, 1.15) + toPoint(length - 1, 1.15), "#b00020", "6 4");
    for (const Result &result : results) {
        const auto strategyIndex = static_cast<std::size_t>(result.strategy);
        std::string points;
        for (std::size_t index = 0; index < result.series.size(); ++index) {
            points += toPoint(index, result.series[index]);
        }
        svg += formatLine(points, colours[strategyIndex], "none");
        svg += formatText(plotMargin + 150 * static_cast<double>(strategyIndex), 20,
                          std::string(strategyNames.nameOf(result.strategy)),
                          colours[strategyIndex]);
    }
    svg += formatText(plotMargin, 440,
                      "peak over mean load, 0 to "
                              + formatNumber("%.0f", step * static_cast<double>(length))
                              + " s; dashed: target 1.15",
                      "black");
    return svg + "</svg>\n";
}

} // namespace kumquat::bench
