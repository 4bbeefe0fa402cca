// The report as JSON. Rates and causes are derived from the counts and are only read by people
// and scripts; parsing takes the counts.
//
// Sections: writing, reading
#include "base/text.h"
#include "report/report.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr Duration longestDuration = std::chrono::hours(24 * 365 * 10); // any value is below

// --- writing ---

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Json writeKinds(const KindCounts &counts, std::string_view (*nameOf)(ErrorKind))
{
    Json json = Json::object();
    for (std::size_t index = 0; index < counts.size(); ++index) {
        if (counts[index] > 0) {
            json[std::string(nameOf(static_cast<ErrorKind>(index)))] = counts[index];
        }
    }
    return json;
}

std::string_view kindName(ErrorKind kind)
{
    return errorInfo(kind).name;
}

Json writePrefix(const PrefixReport &entry)
{
    return {{"prefix", entry.prefix},
            {"requests", entry.requests()},
            {"kinds", writeKinds(entry.kinds, kindName)},
            {"upstreamFailures", entry.upstreamFailures},
            {"latencySumSeconds", entry.latencySum},
            {"latencyMs",
             {{"p50", toMs(entry.latency.p50)},
              {"p99", toMs(entry.latency.p99)},
              {"p99.9", toMs(entry.latency.p999)}}}};
}

Json writeWindow(const ObjectiveReport &entry, int window)
{
    const WindowCounts &counts = entry.windows.at(window);
    return {{"window", burnWindows.at(window).name},
            {"requests", counts.requests},
            {"failed", counts.failed},
            {"slow", counts.slow},
            {"causes", writeKinds(counts.causes, causeName)},
            {"availabilityBurn", entry.burnRate(Measure::Availability, window)},
            {"latencyBurn", entry.burnRate(Measure::Latency, window)}};
}

Json writeMeasure(const ObjectiveReport &entry, Measure measure)
{
    const std::optional<Duration> burning = entry.burningFor(measure);
    return {{"burning", burning.has_value()},
            {"burningForMs", toMs(burning.value_or(Duration::zero()))},
            {"aboveForMs", toMs(entry.aboveFor.at(static_cast<std::size_t>(measure)))},
            {"largestCause", entry.largestCause(measure)}};
}

Json writeObjective(const ObjectiveReport &entry)
{
    const Objective &objective = entry.objective;
    Json json = {{"name", objective.name},
                 {"pathPrefix", objective.pathPrefix},
                 {"availability", objective.availability},
                 {"latencyMs", toMs(objective.latency)},
                 {"latencyShare", objective.latencyShare},
                 {"windows", Json::array()}};
    for (int window = 0; window < burnWindowCount; ++window) {
        json["windows"].push_back(writeWindow(entry, window));
    }
    for (const Measure measure : allMeasures) {
        json["burns"][std::string(measureNames.nameOf(measure))] = writeMeasure(entry, measure);
    }
    return json;
}

// --- reading ---

// Thrown and caught in this file, together with the library's own exceptions.
struct ReadError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

double readNumber(const Json &json, double highest)
{
    const double number = json.get<double>();
    if (!(number >= 0 && number <= highest)) {
        throw ReadError("a number is out of range");
    }
    return number;
}

// Returns a share below 1: burn rates divide by the rest.
double readShare(const Json &json)
{
    return readNumber(json, std::nextafter(1.0, 0.0));
}

Duration readMs(const Json &json)
{
    const double ms = readNumber(json, toMs(longestDuration));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

std::uint64_t readCount(const Json &json)
{
    if (!json.is_number_unsigned()) {
        throw ReadError("a count is not a whole number");
    }
    return json.get<std::uint64_t>();
}

// Counts of a kind that this version does not know are added to Internal.
KindCounts readKinds(const Json &json)
{
    KindCounts counts{};
    for (const auto &[name, value] : json.items()) {
        const bool isAnswer = name == causeName(ErrorKind::None);
        const ErrorKind kind =
                isAnswer ? ErrorKind::None : findErrorKind(name).value_or(ErrorKind::Internal);
        counts.at(static_cast<std::size_t>(kind)) += readCount(value);
    }
    return counts;
}

PrefixReport readPrefix(const Json &json)
{
    PrefixReport entry;
    entry.prefix = json.at("prefix").get<std::string>();
    entry.kinds = readKinds(json.at("kinds"));
    entry.upstreamFailures = readCount(json.at("upstreamFailures"));
    entry.latencySum = readNumber(json.at("latencySumSeconds"), std::numeric_limits<double>::max());
    const Json &latency = json.at("latencyMs");
    entry.latency = {readMs(latency.at("p50")), readMs(latency.at("p99")),
                     readMs(latency.at("p99.9"))};
    return entry;
}

WindowCounts readWindow(const Json &json)
{
    WindowCounts counts;
    counts.requests = readCount(json.at("requests"));
    counts.failed = readCount(json.at("failed"));
    counts.slow = readCount(json.at("slow"));
    counts.causes = readKinds(json.at("causes"));
    if (counts.failed > counts.requests) {
        throw ReadError("a window has more failures than requests");
    }
    return counts;
}

ObjectiveReport readObjective(const Json &json)
{
    ObjectiveReport entry;
    entry.objective = {json.at("name").get<std::string>(), json.at("pathPrefix").get<std::string>(),
                       readShare(json.at("availability")), readMs(json.at("latencyMs")),
                       readShare(json.at("latencyShare"))};
    for (std::size_t index = 0; index < entry.windows.size(); ++index) {
        entry.windows.at(index) = readWindow(json.at("windows").at(index));
    }
    for (const Measure measure : allMeasures) {
        const Json &burn = json.at("burns").at(std::string(measureNames.nameOf(measure)));
        entry.aboveFor.at(static_cast<std::size_t>(measure)) = readMs(burn.at("aboveForMs"));
    }
    return entry;
}

} // namespace

std::string formatReportJson(const Report &report)
{
    Json json = {{"prefixes", Json::array()}, {"objectives", Json::array()}};
    for (const PrefixReport &entry : report.prefixes) {
        json["prefixes"].push_back(writePrefix(entry));
    }
    for (const ObjectiveReport &entry : report.objectives) {
        json["objectives"].push_back(writeObjective(entry));
    }
    return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<Report> parseReportJson(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        Report report;
        for (const Json &entry : json.at("prefixes")) {
            report.prefixes.push_back(readPrefix(entry));
        }
        for (const Json &entry : json.at("objectives")) {
            report.objectives.push_back(readObjective(entry));
        }
        std::sort(report.prefixes.begin(), report.prefixes.end(),
                  [](const PrefixReport &a, const PrefixReport &b) { return a.prefix < b.prefix; });
        return report;
    } catch (const std::exception &error) {
        return makeError(ErrorKind::Internal, toStd(absl::StrCat("not a report: ", error.what())));
    }
}

} // namespace kumquat
