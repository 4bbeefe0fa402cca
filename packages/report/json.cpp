// The report as JSON. Burn rates and largest causes are derived from the counts and are written for
// people and scripts only. The parser reads the counts and ignores the derived values.
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

constexpr Duration maxDuration = std::chrono::hours(24 * 365 * 10); // upper limit of valid input

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

// Thrown and caught within this file, like the exceptions of the JSON library.
struct ReadError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

double readNumber(const Json &json, double maxValue)
{
    const double number = json.get<double>();
    if (!(number >= 0 && number <= maxValue)) {
        throw ReadError("a number is negative or too large");
    }
    return number;
}

// Returns a share below 1, because burn rates divide by (1 - share).
double readShare(const Json &json)
{
    return readNumber(json, std::nextafter(1.0, 0.0));
}

Duration readMs(const Json &json)
{
    const double ms = readNumber(json, toMs(maxDuration));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

std::uint64_t readCount(const Json &json)
{
    if (!json.is_number_unsigned()) {
        throw ReadError("a count is not an unsigned integer");
    }
    return json.get<std::uint64_t>();
}

// Counts of an error kind that is unknown to this version are added to Internal.
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
        return makeError(ErrorKind::Internal,
                         toStd(absl::StrCat("invalid report JSON: ", error.what())));
    }
}

} // namespace kumquat
