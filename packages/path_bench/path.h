// Measures the request path: directly to the upstream, through one kumquatstage process and through
// two.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "path_bench/caller.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kumquat {

// Number of kumquatstage processes between the caller and the upstream.
enum class PathType : std::uint8_t { Direct, One, Two };

struct PathOptions
{
    std::string directory;
    std::string programPath;
    Duration duration = 3s; // of each measurement; the five rounds of an open loop share it
    std::vector<PathType> paths{PathType::Direct, PathType::One, PathType::Two};
    std::vector<RequestType> types{RequestType::Read, RequestType::Write};
    double fixedRate = 5'000; // requests/s of the second open loop
};

// Names of paths and request types on the command line and in the output.
inline constexpr NameTable<PathType, 3> pathNames{
        {{{PathType::Direct, "direct"}, {PathType::One, "one"}, {PathType::Two, "two"}}}};
inline constexpr NameTable<RequestType, 2> typeNames{
        {{{RequestType::Read, "read"}, {RequestType::Write, "write"}}}};

// Result of a closed loop with a number of connections.
struct ClosedRow
{
    PathType path = PathType::Direct;
    RequestType type = RequestType::Read;
    int connections = 0;
    LoadResult load;
    double stageMicroseconds = 0;    // processor time of all kumquatstage processes per answer
    double upstreamMicroseconds = 0; // processor time of the upstream per answer
    double meshMessages = 0;         // messages between the processes per answer
    std::string loadAverage;

    // Returns answers per second of processor time spent by the processes and the upstream.
    double perCore() const;
};

// One open loop on the measured path, and one at the same rate on the direct path just before it.
struct OpenRound
{
    LoadResult load;
    LoadResult direct;

    Duration added(double share) const
    {
        return this->load.quantile(share) - this->direct.quantile(share);
    }

    // Returns which disturbances of the machine or the caller make the latencies invalid; empty if
    // the round is valid.
    std::string describeDisturbance() const;
};

// Result of an open loop at half of the closed-loop throughput of the path or at the fixed rate.
struct OpenRow
{
    PathType path = PathType::Direct;
    RequestType type = RequestType::Read;
    double rate = 0; // requests/s
    std::vector<OpenRound> rounds;
    std::string loadAverage;

    int validRounds() const; // number of rounds without a disturbance

    // Returns the round with the median added p99 of the valid rounds, or of all if none is valid.
    const OpenRound &median() const;
};

struct PathResult
{
    std::vector<ClosedRow> closed;
    std::vector<OpenRow> open;
};

// Starts a cluster of 4 processes, one of which owns all keys of the measured service, and measures
// all paths and types. Error: the cluster did not start, or the session peers did not settle.
absl::StatusOr<PathResult> measurePath(const PathOptions &options);

std::string formatTable(const PathResult &result);
std::string formatJson(const PathResult &result);

} // namespace kumquat
