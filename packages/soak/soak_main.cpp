// Runs soak tests with one or more seeds and prints the findings. Exits with 1 if there are any.
#include "base/durations.h"
#include "soak/soak_run.h"

#include <docopt/docopt.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr char usage[] =
        R"(Soak test: runs real processes on loopback with random faults and checks the
results of callers and upstreams.

Usage:
  soak [--seed=N] [--runs=K] [--seconds=S] [--hosts=H] [--callers=C] [--directory=PATH]
       [--grants=MODE]
  soak --regressions=FILE [--callers=C] [--directory=PATH]

Options:
  --seed=N          First seed; each further run uses the next number [default: 1].
  --runs=K          Number of runs [default: 1].
  --seconds=S       Length of the fault period of one run in seconds [default: 30].
  --hosts=H         Hosts of one run, each with a process and an upstream [default: 6].
  --callers=C       Threads that send requests [default: 8].
  --regressions=FILE  Runs the seeds of a file; regressions.txt describes the columns.
  --grants=MODE     How keys are granted to upstreams: call or heartbeat [default: call].
  --directory=PATH  Folder for settings, logs and timelines, a subfolder per seed [default: soak].
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
    for (const auto &[outcome, count] : report.outcomes) {
        std::cout << ", " << count << " " << kumquat::soakOutcomeNames.nameOf(outcome);
    }
    std::cout << ", served again after " << kumquat::toMilliseconds(report.recoveryTime)
              << " ms, faults at most " << kumquat::toMilliseconds(report.maxActionDelay)
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
    bool hasPassed = file.is_open();
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::uint64_t seed = 0;
        long seconds = 0;
        std::string mode;
        if (fields >> seed >> seconds >> settings.hosts >> settings.faultKinds >> settings.linkKinds
            >> mode) {
            const auto parsedMode = kumquat::grantModeNames.valueOf(mode);
            hasPassed = hasPassed && parsedMode.has_value();
            settings.grantMode = parsedMode.value_or(kumquat::GrantMode::Call);
            settings.length = std::chrono::seconds(seconds);
            hasPassed = runSeed(seed, settings) && hasPassed;
        }
    }
    return hasPassed;
}

} // namespace

int main(int argc, const char **argv)
{
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const std::string mode = options["--grants"] ? options["--grants"].asString() : "call";
    if (!kumquat::grantModeNames.valueOf(mode)) {
        std::cerr << "--grants: " << mode << "; expected call or heartbeat\n";
        return EXIT_FAILURE;
    }
    const kumquat::SoakSettings base{.length = std::chrono::seconds(options["--seconds"].asLong()),
                                     .hosts = static_cast<int>(options["--hosts"].asLong()),
                                     .callers = static_cast<int>(options["--callers"].asLong()),
                                     .directory = options["--directory"].asString(),
                                     .grantMode = *kumquat::grantModeNames.valueOf(mode)};
    if (options["--regressions"]) {
        const bool hasPassed = runRegressions(options["--regressions"].asString(), base);
        return hasPassed ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    const auto first = static_cast<std::uint64_t>(options["--seed"].asLong());
    const long runs = options["--runs"].asLong();
    bool hasPassed = true;
    for (long run = 0; run < runs; ++run) {
        hasPassed = runSeed(first + static_cast<std::uint64_t>(run), base) && hasPassed;
    }
    return hasPassed ? EXIT_SUCCESS : EXIT_FAILURE;
}
