// The program kumquatstage: reads the command line and the settings and runs the process.
#include "base/log.h"
#include "base/signals.h"
#include "base/text.h"
#include "node/process.h"
#include "platform/names.h"
#include "settings/settings.h"
#include "stage/settings.h"
#include "stage/stage.h"

#include <docopt/docopt.h>

#include <malloc.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr const char *versionText = "kumquatstage 0.1.0";

constexpr const char *usageText = R"(kumquatstage: routes each request to the only owner of its key.

Usage:
  kumquatstage --config FILE [--trace FILE]
  kumquatstage --check-config FILE
  kumquatstage --platform [FILE]
  kumquatstage --version
  kumquatstage --help

Options:
  --config FILE        Run with these settings (JSON).
  --trace FILE         Record the inputs of the ownership engine in FILE, for replay.
  --check-config FILE  Check the settings and exit; all faults are printed.
  --platform           Run on the platform of the users, with the settings FILE or, without it,
                       the file that KUMQUATSTAGE_CONFIG names.
  --version            Print the version.
  --help               Print this text.

Exit status: 0 success, 1 invalid settings or failed start (with the reasons), 2 invalid usage.
SIGTERM and SIGINT drain: slots are handed over and no request in flight is interrupted.
)";

int checkConfig(const std::string &path)
{
    const auto settings = kumquat::loadSettings(path);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return exitFailure;
    }
    std::cout << path << ": settings are valid\n";
    return exitSuccess;
}

int runProcess(const std::string &path, const std::string &tracePath)
{
    auto settings = kumquat::loadSettings(path);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return exitFailure;
    }
    kumquat::setUpLogging(settings->logLevel);
    auto process = kumquat::Process::create(*std::move(settings));
    if (!process.ok()) {
        kumquat::logError(kumquat::LogPart::Main, kumquat::toStd(process.status().message()));
        return exitFailure;
    }
    const absl::Status tracing =
            tracePath.empty() ? absl::OkStatus() : (*process)->recordTrace(tracePath);
    if (!tracing.ok()) {
        kumquat::logError(kumquat::LogPart::Main, kumquat::toStd(tracing.message()));
        return exitFailure;
    }
    (*process)->run();
    // Fibers of idle connections never end, so the process exits without joining its threads.
    std::quick_exit(exitSuccess);
}

// Lets the system have the memory of large bodies back as soon as they are freed. By default the
// limit grows to the size of the largest body, and later bodies leave gaps in the heap: a process
// that held 77 MB had a resident size of 246 MB.
void returnFreedBodies()
{
    constexpr int separateBytes = 1024 * 1024;   // blocks from this size are mapped on their own
    constexpr int keptBytes = 4 * separateBytes; // free bytes that the end of the heap may keep
    mallopt(M_MMAP_THRESHOLD, separateBytes);
    mallopt(M_TRIM_THRESHOLD, keptBytes);
}

int runStage(const std::string &path)
{
    returnFreedBodies();
    auto settings = kumquat::loadStageSettings(path);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return exitFailure;
    }
    kumquat::setUpLogging(kumquat::LogLevel::Info, kumquat::LogTarget::StandardOutput);
    auto stage = kumquat::Stage::create(*std::move(settings), path);
    if (!stage.ok()) {
        kumquat::logError(kumquat::LogPart::Main, kumquat::toStd(stage.status().message()));
        kumquat::flushLog();
        return exitFailure;
    }
    (*stage)->run();
    return exitSuccess;
}

std::string stageSettingsPath(const docopt::value &option)
{
    const char *fromEnvironment = std::getenv(kumquat::platform::settingsVariable);
    if (option.isString()) {
        return option.asString();
    }
    return fromEnvironment == nullptr ? "" : fromEnvironment;
}

} // namespace

int main(int argc, char **argv)
{
    // Signals are blocked first, so that a signal during startup does not kill the process.
    kumquat::blockSignals({SIGTERM, SIGINT, SIGHUP});
    std::map<std::string, docopt::value> options;
    try {
        options = docopt::docopt_parse(usageText, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usageText;
        return exitSuccess;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << versionText << "\n";
        return exitSuccess;
    } catch (const std::exception &error) {
        std::cerr << "invalid usage: " << error.what() << "\n\n" << usageText;
        return exitUsage;
    }
    if (options["--check-config"].isString()) {
        return checkConfig(options["--check-config"].asString());
    }
    if (options["--platform"].asBool()) {
        return runStage(stageSettingsPath(options["FILE"]));
    }
    const docopt::value &trace = options["--trace"];
    return runProcess(options["--config"].asString(), trace.isString() ? trace.asString() : "");
}
