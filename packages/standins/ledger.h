// The runs of an upstream, which tests use as the record of what really happened.
//
//   Ledger ledger("certdesk-1", "certdesk");
//   ledger.openFile("build/demo/certdesk-1.ledger"); // optional; survives a kill
//   std::uint64_t number = ledger.begin(run);
//   ledger.end(number, RunResult::Done, readBootTime());
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

enum class RunResult : std::uint8_t {
    Running,   // also: the upstream was killed during the run
    Done,      // answered
    Cancelled, // the connection was closed during the run
    Expired,   // Kumquat-Expires-Ns passed during the run
};

inline constexpr NameTable<RunResult, 4> runResultNames{{{{RunResult::Running, "running"},
                                                          {RunResult::Done, "done"},
                                                          {RunResult::Cancelled, "cancelled"},
                                                          {RunResult::Expired, "expired"}}}};

// One run of one request at one upstream. Times are CLOCK_BOOTTIME.
struct Run
{
    std::uint64_t number = 0; // within the upstream, from 0
    std::string upstream;
    std::string service;
    std::string key;
    std::string token;     // the caller's own mark of the request
    std::string requestId; // Idempotency-Key, empty for idempotent requests
    std::int64_t attempt = 0;
    std::string fence; // Kumquat-Fence as received
    Time start{};
    Time end{};     // equal to start while running
    Time expires{}; // 0 without Kumquat-Expires-Ns
    RunResult result = RunResult::Running;
};

// Formats one run as one line of JSON.
std::string formatRun(const Run &run);

// What several ledgers hold together.
struct Records
{
    std::vector<Run> runs;
    std::map<std::string, std::set<std::string>> upstreams; // by service, also those without runs
};

// Reads the lines of ledgers; a later line replaces an earlier one of the same upstream and number.
// A last line that was cut off by a kill is ignored. Error: any other line that is not a run.
absl::StatusOr<Records> parseRecords(std::string_view text);

// Thread-safe.
class Ledger
{
public:
    Ledger(std::string upstreamName, std::string serviceName);

    // Also writes every run to a file, which keeps its lines when the process is killed.
    absl::Status openFile(const std::string &path);

    // Records the start of a run and returns its number.
    std::uint64_t begin(Run run);
    void end(std::uint64_t number, RunResult result, Time time);

    // Returns a line that names the upstream and all runs as lines of formatRun.
    std::string format() const;
    std::size_t size() const;

private:
    std::string formatName() const;
    void write(const std::string &line) const;

    mutable std::mutex mutex;
    std::string upstream;
    std::string service;
    std::vector<Run> runs;
    int descriptor = -1;
};

} // namespace kumquat
