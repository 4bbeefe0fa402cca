// Measures the path of requests: direct, through one process and through two.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "path_bench/caller.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kumquat {

enum class PathType : std::uint8_t { Direct, One, Two }; // kumquatstage processes on the path

struct PathOptions
{
    std::string directory;
    std::string selfPath;
    Duration duration = 3s; // of each measurement; five rounds of an open loop share it
    std::vector<PathType> paths{PathType::Direct, PathType::One, PathType::Two};
    std::vector<RequestType> types{RequestType::Read, RequestType::Write};
    double fixedRate = 5'000; // requests/s of the second open loop
};

// Names of paths and types on the command line, in the order of the enumerations.
inline constexpr NameTable<PathType, 3> pathNames{
        {{{PathType::Direct, "direct"}, {PathType::One, "one"}, {PathType::Two, "two"}}}};
inline constexpr NameTable<RequestType, 2> typeNames{
        {{{RequestType::Read, "read"}, {RequestType::Write, "write"}}}};

// Closed loop with a number of connections.
struct ClosedRow
{
    PathType path = PathType::Direct;
    RequestType type = RequestType::Read;
    int connections = 0;
    LoadResult load;
    double stageMicroseconds = 0;    // processor time of all kumquatstage processes per answer
    double upstreamMicroseconds = 0; // processor time of the upstream per answer
    double meshMessages = 0;         // messages that the processes sent to each other per answer
    std::string loadAverage;

    // Returns answers per second of processor time spent by the processes and the upstream.
    double perCore() const;
};

// One open loop on the path and one directly at the same rate, just before.
struct OpenRound
{
    LoadResult load;
    LoadResult direct;

    Duration added(double share) const
    {
        return this->load.quantile(share) - this->direct.quantile(share);
    }

    // Returns why the latencies say little about the path; empty if they do not.
    std::string describeDisturbance() const;
};

// Open loop at half of the path's own closed-loop throughput or at the fixed rate.
struct OpenRow
{
    PathType path = PathType::Direct;
    RequestType type = RequestType::Read;
    double rate = 0; // requests/s
    std::vector<OpenRound> rounds;
    std::string loadAverage;

    int validRounds() const; // without a disturbance

    // Returns the round with the median added p99 of the valid rounds, or of all if none is valid.
    const OpenRound &median() const;
};

struct PathResult
{
    std::vector<ClosedRow> closed;
    std::vector<OpenRow> open;
};

// Starts a cluster of 4 processes, of which one owns all keys of the measured service, and
// measures. Error: the cluster did not start.
absl::StatusOr<PathResult> measurePath(const PathOptions &options);

std::string formatTable(const PathResult &result);
std::string formatJson(const PathResult &result);

} // namespace kumquat
