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
    Duration duration = 3s; // of each measurement
    std::vector<PathType> paths{PathType::Direct, PathType::One, PathType::Two};
    std::vector<RequestType> types{RequestType::Read, RequestType::Write};
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

// Open loop at half of a closed-loop throughput, on the path and directly at the same rate.
struct OpenRow
{
    PathType path = PathType::Direct;
    RequestType type = RequestType::Read;
    double rate = 0; // requests/s
    LoadResult load;
    LoadResult direct; // the upstream alone at this rate, measured just before
    std::string loadAverage;

    Duration added(double share) const
    {
        return this->load.quantile(share) - this->direct.quantile(share);
    }
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
