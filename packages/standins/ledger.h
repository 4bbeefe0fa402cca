// Record of the requests that an upstream ran. Tests compare it with what callers were told.
//
//   Ledger ledger("certdesk-1", "certdesk");
//   ledger.openFile("build/demo/certdesk-1.ledger"); // optional; the file survives a kill
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
    Running,   // still running, or the upstream was killed during the run
    Done,      // the request was answered
    Cancelled, // the caller closed the connection during the run
    Expired,   // Kumquat-Expires-Ns passed during the run
};

inline constexpr NameTable<RunResult, 4> runResultNames{{{{RunResult::Running, "running"},
                                                          {RunResult::Done, "done"},
                                                          {RunResult::Cancelled, "cancelled"},
                                                          {RunResult::Expired, "expired"}}}};

// One run of one request at one upstream. Times are CLOCK_BOOTTIME.
struct Run
{
    std::uint64_t number = 0; // counts the runs of the upstream from 0
    std::string upstream;
    std::string service;
    std::string key;
    std::string token;     // identifies the request in the caller's records
    std::string requestId; // Idempotency-Key; empty for idempotent requests
    std::int64_t attempt = 0;
    std::string fence; // Kumquat-Fence as received
    Time start{};
    Time end{};     // equals start while running
    Time expires{}; // 0 without Kumquat-Expires-Ns
    RunResult result = RunResult::Running;
};

// Formats one run as one line of JSON.
std::string formatRun(const Run &run);

// Merged content of several ledgers.
struct Records
{
    std::vector<Run> runs;
    // Upstreams by service, including upstreams without runs.
    std::map<std::string, std::set<std::string>> upstreams;
};

// Parses the lines of ledgers. A later line replaces an earlier line with the same upstream and run
// number. An incomplete last line, which a killed upstream leaves behind, is ignored. Error: any
// other line is not a run.
absl::StatusOr<Records> parseRecords(std::string_view text);

// Thread-safe.
class Ledger
{
public:
    Ledger(std::string upstreamName, std::string serviceName);

    // Also writes every run to a file. Written lines survive if the process is killed.
    // Error: the file cannot be opened.
    absl::Status openFile(const std::string &path);

    // Records the start of a run and returns its number.
    std::uint64_t begin(Run run);
    void end(std::uint64_t number, RunResult result, Time time);

    // Returns one line with the names of the upstream and its service, followed by one line of
    // formatRun per run.
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
