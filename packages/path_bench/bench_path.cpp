// Benchmark of the request path and of idle processes, with real processes.
#include "base/log.h"
#include "base/signals.h"
#include "base/text.h"
#include "path_bench/idle.h"
#include "path_bench/path.h"
#include "path_bench/upstream.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <docopt/docopt.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace kumquat {
namespace {

constexpr const char *usage = R"(Benchmark of the path and of the idle cost with real processes.

Usage:
  bench_path path [--seconds N] [--paths LIST] [--types LIST] [--rate N] [--json FILE]
  bench_path idle [--processes LIST] [--endpoints N] [--seconds N] [--json FILE]
  bench_path upstream --listen ADDRESS --announce FILE [--slots N]
  bench_path --help

path measures requests to an upstream directly, through one kumquatstage and through two.
idle measures processes without requests. upstream serves the requests; path and idle start it.

Options:
  --seconds N       Length of one measurement; default 3 for path and 60 for idle.
  --paths LIST      Paths, from direct, one and two (processes) [default: direct,one,two].
  --types LIST      Request types, from read and write [default: read,write].
  --rate N          Requests/s of the open loop at a fixed rate [default: 5000].
  --processes LIST  Numbers of processes, measured one after the other [default: 10].
  --endpoints N     Processes per service [default: 10].
  --json FILE       Also write the results to this file.
  --listen ADDRESS  IP:port of the upstream.
  --announce FILE   Lines "SERVICE IP:PORT" with the admin addresses to announce to.
  --slots N         Slots that the upstream announces [default: 64].
)";

constexpr long pathSeconds = 3;
constexpr long idleSeconds = 60;
constexpr int maxProcesses = 400; // the benchmark uses ports up to 32,000

using Arguments = std::map<std::string, docopt::value>;

Duration secondsOf(const Arguments &arguments, long defaultSeconds)
{
    const docopt::value &value = arguments.at("--seconds");
    return std::chrono::seconds(value ? value.asLong() : defaultSeconds);
}

int reportError(const absl::Status &status)
{
    std::cerr << toStd(status.message()) << '\n';
    return 1;
}

void writeJson(const Arguments &arguments, const std::string &json)
{
    if (const docopt::value &file = arguments.at("--json")) {
        writeFile(file.asString(), json);
    }
}

int runUpstream(const Arguments &arguments)
{
    BenchUpstreamOptions options;
    const auto listen = Address::parse(arguments.at("--listen").asString());
    if (!listen.ok()) {
        return reportError(listen.status());
    }
    options.listen = *listen;
    options.announceFile = arguments.at("--announce").asString();
    options.slots = static_cast<int>(arguments.at("--slots").asLong());
    const absl::Status status = serveUpstream(options);
    return status.ok() ? 0 : reportError(status);
}

// Returns the values for the names in a comma-separated list. Prints an error and returns an empty
// list if a name is unknown.
template <typename Enum, std::size_t Count>
std::vector<Enum> parseList(const NameTable<Enum, Count> &table, const std::string &list)
{
    std::vector<Enum> values;
    for (const auto name : absl::StrSplit(list, ',')) {
        const auto value = table.valueOf(toStd(name));
        if (!value) {
            std::cerr << "unknown name: " << name << '\n';
            return {};
        }
        values.push_back(*value);
    }
    return values;
}

int runPath(const Arguments &arguments, const std::filesystem::path &program)
{
    const auto paths = parseList(pathNames, arguments.at("--paths").asString());
    const auto types = parseList(typeNames, arguments.at("--types").asString());
    const long rate = arguments.at("--rate").asLong();
    if (rate < 1) {
        std::cerr << "--rate must be 1 or more\n";
    }
    if (paths.empty() || types.empty() || rate < 1) {
        return 2;
    }
    const auto result = measurePath({.directory = program.parent_path() / "../path_bench/path",
                                     .programPath = program,
                                     .duration = secondsOf(arguments, pathSeconds),
                                     .paths = paths,
                                     .types = types,
                                     .fixedRate = static_cast<double>(rate)});
    if (!result.ok()) {
        return reportError(result.status());
    }
    std::cout << formatTable(*result);
    writeJson(arguments, formatJson(*result));
    return 0;
}

int runIdle(const Arguments &arguments, const std::filesystem::path &program)
{
    const std::string list = arguments.at("--processes").asString();
    const int endpoints = std::max(1, static_cast<int>(arguments.at("--endpoints").asLong()));
    std::vector<IdleRow> rows;
    for (const auto text : absl::StrSplit(list, ',')) {
        int processes = 0;
        if (!absl::SimpleAtoi(text, &processes) || processes < 1 || processes > maxProcesses) {
            std::cerr << "--processes must list numbers from 1 to " << maxProcesses << '\n';
            return 2;
        }
        const auto row =
                measureIdle({.directory = program.parent_path()
                                          / ("../path_bench/idle-" + std::to_string(processes)),
                             .programPath = program,
                             .processes = processes,
                             .endpoints = endpoints,
                             .duration = secondsOf(arguments, idleSeconds)});
        if (!row.ok()) {
            return reportError(row.status());
        }
        rows.push_back(*row);
    }
    std::cout << formatTable(rows);
    writeJson(arguments, formatJson(rows));
    return 0;
}

// Starts a thread that kills the child processes by their ids and exits when this program receives
// SIGTERM or SIGINT. Both signals are blocked in all threads. The child programs receive them
// with sigwait() themselves.
void killChildrenOnSignal()
{
    const sigset_t signals = blockSignals({SIGTERM, SIGINT});
    std::thread([signals] {
        int received = 0;
        sigwait(&signals, &received);
        std::istringstream children(readFile("/proc/self/task/" + std::to_string(getpid())
                                             + "/children")); // of the main thread
        for (int child = 0; children >> child;) {
            kill(child, SIGKILL);
        }
        _exit(1);
    }).detach();
}

} // namespace
} // namespace kumquat

int main(int argc, char **argv)
{
    using namespace kumquat;
    setUpLogging(LogLevel::Warning);
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    if (arguments.at("upstream").asBool()) {
        return runUpstream(arguments);
    }
    killChildrenOnSignal();
    const std::filesystem::path program = std::filesystem::read_symlink("/proc/self/exe");
    return arguments.at("idle").asBool() ? runIdle(arguments, program)
                                         : runPath(arguments, program);
}
