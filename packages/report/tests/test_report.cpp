#include "report/collector.h"
#include "report/exposition.h"
#include "report/table.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace kumquat;

namespace {

const Objective reads{"reads", "/testlog/", 0.99, 9ms, 0.9};

// Records `count` requests, one per second, and advances `now`.
void recordMany(ReportCollector &collector, int count, ErrorKind kind, Time &now,
                Duration latency = 1ms)
{
    for (int index = 0; index < count; ++index) {
        collector.record({"/testlog/", kind, 200, latency}, now);
        now += 1s;
    }
}

// Returns the ratio of the estimate to the true quantile for p50, p99 and p99.9.
std::vector<double> estimateErrors(std::vector<double> values)
{
    LatencyWindow window;
    for (const double value : values) {
        window.add(Duration(std::llround(value)), 0s);
    }
    std::sort(values.begin(), values.end());
    const auto trueAt = [&values](double p) {
        return values[static_cast<std::size_t>(p * values.size())];
    };
    const LatencyQuantiles found = window.quantiles(0s);
    return {found.p50.count() / trueAt(0.5), found.p99.count() / trueAt(0.99),
            found.p999.count() / trueAt(0.999)};
}

} // namespace

// Guards against estimates that are wrong at the tail of the distribution.
TEST_CASE("quantiles are accurate for smooth and for bimodal latencies")
{
    std::mt19937_64 random(1);
    std::lognormal_distribution<double> smooth(std::log(2e6), 0.8);
    std::vector<double> values(200'000);
    std::generate(values.begin(), values.end(), [&] { return smooth(random); });
    const auto errors = estimateErrors(values);
    CAPTURE(errors);
    REQUIRE(std::all_of(errors.begin(), errors.end(),
                        [](double e) { return std::abs(e - 1) < 0.05; }));
    std::bernoulli_distribution isSlow(0.02);
    std::generate(values.begin(), values.end(),
                  [&] { return smooth(random) * (isSlow(random) ? 100 : 1); });
    const auto bimodalErrors = estimateErrors(values);
    CAPTURE(bimodalErrors);
    REQUIRE(std::all_of(bimodalErrors.begin(), bimodalErrors.end(),
                        [](double e) { return std::abs(e - 1) < 0.15; }));
}

TEST_CASE("quantiles of few values are exact and old values leave the window")
{
    LatencyWindow window;
    for (int ms = 1; ms <= 100; ++ms) {
        window.add(ms * 1ms, 10s);
    }
    REQUIRE(window.quantiles(10s).p50 == 50ms);
    REQUIRE(window.quantiles(10s).p99 == 99ms);
    window.add(7ms, 70s);
    REQUIRE(window.quantiles(70s).p999 == 100ms);
    REQUIRE(window.quantiles(130s).p50 == 7ms);
    REQUIRE(window.quantiles(300s).p50 == 0ms);
}

// Guards against a burn that is not detected, does not end, or has the wrong cause.
TEST_CASE("an objective burns while the burn rates of both short windows are above 1")
{
    ReportCollector collector({reads});
    Time now = 0s;
    recordMany(collector, 3600, ErrorKind::None, now);
    REQUIRE_FALSE(collector.makeReport(now).objectives[0].burningFor(Measure::Availability));
    recordMany(collector, 30, ErrorKind::UpstreamLost, now);
    const auto early = collector.makeReport(now).objectives[0];
    REQUIRE(early.burnRate(Measure::Availability, 0) == Approx(0.1 / 0.01).epsilon(0.05));
    REQUIRE_FALSE(early.burningFor(Measure::Availability)); // 30 of 3,600 are below 1 %
    recordMany(collector, 20, ErrorKind::Overloaded, now);
    const auto burning = collector.makeReport(now).objectives[0];
    REQUIRE(burning.burningFor(Measure::Availability) == Duration(50s));
    REQUIRE(burning.largestCause(Measure::Availability) == "upstream-lost");
    const std::string text = formatReport(collector.makeReport(now));
    CAPTURE(text);
    REQUIRE(text.find("reads      availability  99 % ") != std::string::npos);
    REQUIRE(text.find("50 s         upstream-lost\n") != std::string::npos);
    REQUIRE_FALSE(burning.burningFor(Measure::Latency));
    recordMany(collector, 300, ErrorKind::None, now);
    REQUIRE_FALSE(collector.makeReport(now).objectives[0].burningFor(Measure::Availability));
    REQUIRE(collector.makeReport(now).objectives[0].windows[2].failed == 50);
    recordMany(collector, 20, ErrorKind::OwnerLost, now);
    const auto again = collector.makeReport(now).objectives[0];
    REQUIRE(again.burningFor(Measure::Availability) == Duration(20s));
    REQUIRE(again.largestCause(Measure::Availability) == "owner-lost");
    REQUIRE(collector.makeReport(now + 6h).objectives[0].windows[2].requests == 0);
}

TEST_CASE("the start of a burn does not depend on when reports are made")
{
    ReportCollector collector({reads});
    Time now = 0s;
    recordMany(collector, 100, ErrorKind::None, now);
    recordMany(collector, 100, ErrorKind::None, now, 10ms);
    REQUIRE(collector.makeReport(now).objectives[0].burningFor(Measure::Latency) == Duration(90s));
    REQUIRE(collector.makeReport(now).objectives[0].largestCause(Measure::Latency)
            == "slow answers");
}

// Guards against faults of callers that start or hide a burn.
TEST_CASE("only server faults count against an objective")
{
    ReportCollector collector({reads});
    for (int index = 0; index < errorKindCount; ++index) {
        collector.record({"/testlog/x/", static_cast<ErrorKind>(index), 200, 1ms}, 0s);
    }
    collector.record({"/testlog/", ErrorKind::None, 503, 1ms}, 0s);
    collector.record({"/certdesk/", ErrorKind::Internal, 500, 1ms}, 0s);
    const Report report = collector.makeReport(0s);
    const WindowCounts &counts = report.objectives[0].windows[0];
    REQUIRE(counts.requests - counts.failed == 1);
    REQUIRE(counts.causes[static_cast<std::size_t>(ErrorKind::None)] == 1);
    REQUIRE(counts.causes[static_cast<std::size_t>(ErrorKind::BadRequest)] == 0);
    REQUIRE(counts.causes[static_cast<std::size_t>(ErrorKind::DeadlineExceeded)] == 1);
    REQUIRE(report.prefixes.size() == 3);
    REQUIRE(report.prefixes[1].upstreamFailures == 1);
}

// Guards against memory usage that grows with each change of the rules.
TEST_CASE("the number of prefixes is limited")
{
    ReportCollector collector({});
    for (int index = 0; index < 3000; ++index) {
        collector.record({"/" + std::to_string(index), ErrorKind::None, 200, 1ms}, 0s);
    }
    REQUIRE(collector.makeReport(0s).prefixes.size() == maxReportPrefixes + 1);
    REQUIRE(collector.makeReport(0s).prefixes.front().requests() == 3000 - maxReportPrefixes);
}

TEST_CASE("reports of several processes are merged from their JSON")
{
    ReportCollector first({reads});
    ReportCollector second({reads});
    Time now = 0s;
    recordMany(first, 100, ErrorKind::None, now, 2ms);
    recordMany(second, 60, ErrorKind::OwnerLost, now, 5ms);
    second.record({"/a", ErrorKind::None, 200, 1ms}, now);
    Report sum = *parseReportJson(formatReportJson(first.makeReport(now)));
    sum.merge(*parseReportJson(formatReportJson(second.makeReport(now))));
    REQUIRE(sum.prefixes.size() == 2);
    REQUIRE(sum.prefixes[1].requests() == 160);
    REQUIRE(sum.prefixes[1].latency.p50 == 5ms);
    REQUIRE(sum.objectives.size() == 1);
    REQUIRE(sum.objectives[0].windows[0].requests == 160);
    REQUIRE(sum.objectives[0].largestCause(Measure::Availability) == "owner-lost");
    REQUIRE(sum.objectives[0].burningFor(Measure::Availability) == Duration(60s));
    for (const char *text : {"", "[]", "{\"prefixes\": [1], \"objectives\": []}",
                             "{\"prefixes\": [], \"objectives\": [{}]}"}) {
        REQUIRE(errorKindOf(parseReportJson(text).status()) == ErrorKind::Internal);
    }
    rc::prop("random text is rejected",
             [](const std::string &text) { RC_ASSERT(!parseReportJson(text).ok()); });
}

TEST_CASE("the exposition escapes labels and writes the header of each family")
{
    ExpositionWriter writer;
    writer.addFamily("x", "gauge", "a\nb");
    writer.addSample("x", {{"l", "\"\\\n"}}, 0.5);
    writer.addSample("x", {}, 3);
    REQUIRE(writer.text() == "# HELP x a\\nb\n# TYPE x gauge\nx{l=\"\\\"\\\\\\n\"} 0.5\nx 3\n");
    ReportCollector collector({{"half", "/testlog/", 0.5, 9ms, 0.5}});
    collector.record({"/testlog/", ErrorKind::OwnerLost, 502, 250ms}, 0s);
    ExpositionWriter reportWriter;
    writeReport(reportWriter, collector.makeReport(0s));
    for (const char *line :
         {"kumquat_requests_total{prefix=\"/testlog/\",kind=\"owner-lost\"} 1\n",
          "kumquat_request_seconds{prefix=\"/testlog/\",quantile=\"0.99\"} 0.25\n",
          "kumquat_request_seconds_count{prefix=\"/testlog/\"} 1\n",
          "kumquat_objective_burn_rate{objective=\"half\",measure=\"availability\","
          "window=\"1h\"} 2\n"}) {
        CAPTURE(reportWriter.text());
        REQUIRE(reportWriter.text().find(line) != std::string::npos);
    }
}

TEST_CASE("tables align numbers to the right and text to the left")
{
    TextTable table({"NAME", "COUNT"});
    table.addRow({"Thi\xc3\xa8s", "7"});
    table.addRow({"", "1200"});
    REQUIRE(table.toString() == "NAME   COUNT\nThi\xc3\xa8s      7\n-       1200\n");
}
