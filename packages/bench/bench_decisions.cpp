// Benchmark of placement decisions: replays traces through the placement code in virtual time and
// prints load balance, churn, availability and control traffic. Also runs the engine traces.
#include "bench/engine_trace.h"
#include "bench/table.h"

#include <docopt/docopt.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

using namespace kumquat;
using namespace kumquat::bench;

namespace {

constexpr const char *usage = R"(Benchmark of placement decisions in virtual time.

Usage:
  bench_decisions [--json] [--short] [--compare FILE] [--plot FILE] [--seed N] [--trace NAME]
                  [--weight W] [--threads N]
  bench_decisions --help

Options:
  --json          Print JSON instead of tables.
  --short         Replay short versions of the traces.
  --compare FILE  Also print what differs from this earlier JSON.
  --plot FILE     Write an SVG of the trace hot-keys-550.
  --seed N        Seed of all traces [default: 20261204].
  --trace NAME    Replay only this trace.
  --weight W      Setting weightUnavailable [default: 0.5].
  --threads N     Traces that run at once [default: 4].
)";

constexpr std::size_t strategyCount = 3;

// Runs jobs 0 to count - 1 on the given number of threads.
void runJobs(std::size_t count, long threads, const std::function<void(std::size_t)> &run)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t job = next++; job < count; job = next++) {
            run(job);
        }
    };
    std::vector<std::jthread> workers;
    for (long thread = 0; thread < threads; ++thread) {
        workers.emplace_back(work);
    }
}

// Runs every trace with every strategy. The order of the results is that of the traces and does not
// depend on the number of threads.
std::vector<Result> runAll(const std::vector<Trace> &traces, const PlacementSettings &settings,
                           long threads)
{
    std::vector<Result> results(traces.size() * strategyCount);
    runJobs(results.size(), threads, [&](std::size_t job) {
        // The last trace is the longest, so it starts first.
        const std::size_t index = results.size() - 1 - job;
        const Trace &trace = traces[index / strategyCount];
        const auto strategy = static_cast<Strategy>(index % strategyCount);
        results[index] = Simulation(trace, strategy, settings, ModelTimes{}).run();
    });
    return results;
}

std::vector<EngineResult> runEngines(std::uint64_t seed, long threads)
{
    constexpr int busyLogNodes = 120; // 25 s of processor time
    std::vector<EngineTrace> traces = makeEngineTraces(seed);
    traces.push_back(makeBusyLogTrace(busyLogNodes, seed));
    std::vector<EngineResult> results(traces.size());
    runJobs(traces.size(), threads,
            [&](std::size_t job) { results[job] = EngineSimulation(traces[job]).run(); });
    return results;
}

void writePlot(const std::string &path, const std::vector<Result> &results)
{
    std::vector<Result> plotted;
    for (const Result &result : results) {
        if (result.trace == "hot-keys-550") {
            plotted.push_back(result);
        }
    }
    std::ofstream(path) << drawSvg(plotted, 1);
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto started = std::chrono::steady_clock::now();
    const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    PlacementSettings settings;
    settings.weightUnavailable = std::stod(arguments["--weight"].asString());
    std::vector<Trace> traces = makeTraces(seed, arguments["--short"].asBool());
    if (arguments["--trace"]) {
        const std::string name = arguments["--trace"].asString();
        std::erase_if(traces, [&name](const Trace &trace) { return trace.name != name; });
    }
    const auto results = runAll(traces, settings, arguments["--threads"].asLong());
    if (arguments["--json"].asBool()) {
        std::cout << formatJson(results, seed) << '\n';
    } else {
        std::cout << "seed " << seed << ", weightUnavailable " << settings.weightUnavailable << '\n'
                  << formatTables(results);
        if (!arguments["--trace"]) {
            std::cout << formatEngineTable(runEngines(seed, arguments["--threads"].asLong()));
        }
    }
    if (arguments["--plot"]) {
        writePlot(arguments["--plot"].asString(), results);
    }
    if (arguments["--compare"]) {
        std::ifstream file(arguments["--compare"].asString());
        std::ostringstream text;
        text << file.rdbuf();
        const auto comparison = formatComparison(results, text.str());
        std::cerr << (comparison.ok() ? *comparison : comparison.status().ToString() + "\n");
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
    std::fprintf(stderr, "took %.1f s\n", took.count());
    return 0;
}
