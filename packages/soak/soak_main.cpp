// Runs soaks with one seed or several, prints what was found, and exits with 1 if anything was.
#include "base/durations.h"
#include "soak/soak_run.h"

#include <docopt/docopt.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr char usage[] =
        R"(Soak test: real processes on loopback, random faults, checks of what callers and upstreams saw.

Usage:
  soak [--seed=N] [--runs=K] [--seconds=S] [--hosts=H] [--callers=C] [--directory=PATH]
       [--grants=WAY]
  soak --regressions=FILE [--callers=C] [--directory=PATH]

Options:
  --seed=N          First seed; the further runs count up from it [default: 1].
  --runs=K          Number of runs [default: 1].
  --seconds=S       Length of the faults of one run [default: 30].
  --hosts=H         Hosts of one run, each with a process and an upstream [default: 6].
  --callers=C       Threads that send requests [default: 8].
  --regressions=FILE  Plays the seeds of a file: seed, seconds and hosts in a line.
  --grants=WAY      How keys are granted to upstreams: call or heartbeat [default: call].
  --directory=PATH  Where settings, logs and timelines go, a folder a seed [default: soak].
)";

bool runSeed(std::uint64_t seed, const kumquat::SoakSettings &base)
{
    kumquat::SoakSettings settings = base;
    settings.seed = seed;
    settings.directory = base.directory + "/" + std::to_string(seed);
    std::filesystem::remove_all(settings.directory);
    std::filesystem::create_directories(settings.directory);
    const kumquat::SoakReport report = kumquat::runSoak(settings);
    std::cout << "seed " << seed << ": " << report.events.size() << " faults";
    for (const auto &[end, count] : report.ends) {
        std::cout << ", " << count << " " << kumquat::soakEndNames.nameOf(end);
    }
    std::cout << ", served again after " << kumquat::toMilliseconds(report.recovery)
              << " ms, faults at most " << kumquat::toMilliseconds(report.latestAction)
              << " ms late, " << report.findings.size() << " findings\n";
    if (!report.findings.empty()) {
        for (const kumquat::SoakEvent &event : report.events) {
            std::cout << "  fault: " << event.text() << "\n";
        }
    }
    for (const std::string &finding : report.findings) {
        std::cout << "  finding: " << finding << "\n";
    }
    std::cout.flush();
    return report.findings.empty();
}

bool runRegressions(const std::string &path, kumquat::SoakSettings settings)
{
    std::ifstream file(path);
    bool holds = file.is_open();
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::uint64_t seed = 0;
        long seconds = 0;
        std::string way;
        if (fields >> seed >> seconds >> settings.hosts >> settings.faultKinds >> settings.linkKinds
            >> way) {
            const auto known = kumquat::grantModeNames.valueOf(way);
            holds = holds && known.has_value();
            settings.grantWay = known.value_or(kumquat::GrantMode::Call);
            settings.length = std::chrono::seconds(seconds);
            holds = runSeed(seed, settings) && holds;
        }
    }
    return holds;
}

} // namespace

int main(int argc, const char **argv)
{
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const std::string way = options["--grants"] ? options["--grants"].asString() : "call";
    if (!kumquat::grantModeNames.valueOf(way)) {
        std::cerr << "--grants: " << way << "; expected call or heartbeat\n";
        return EXIT_FAILURE;
    }
    const kumquat::SoakSettings base{.length = std::chrono::seconds(options["--seconds"].asLong()),
                                     .hosts = static_cast<int>(options["--hosts"].asLong()),
                                     .callers = static_cast<int>(options["--callers"].asLong()),
                                     .directory = options["--directory"].asString(),
                                     .grantWay = *kumquat::grantModeNames.valueOf(way)};
    if (options["--regressions"]) {
        const bool holds = runRegressions(options["--regressions"].asString(), base);
        return holds ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    const auto first = static_cast<std::uint64_t>(options["--seed"].asLong());
    const long runs = options["--runs"].asLong();
    bool holds = true;
    for (long run = 0; run < runs; ++run) {
        holds = runSeed(first + static_cast<std::uint64_t>(run), base) && holds;
    }
    return holds ? EXIT_SUCCESS : EXIT_FAILURE;
}
