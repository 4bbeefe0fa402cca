#include "path_bench/cost.h"

#include "system/child.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <unistd.h>

namespace kumquat {
namespace {

constexpr int userTimeField = 11; // index in /proc/PID/stat, counted after the name
constexpr int systemTimeField = 12;
constexpr int idleField = 3; // index in the first line of /proc/stat, counted after the name
constexpr int stolenField = 7;
constexpr std::uint64_t headerBytes = 20 + 32; // IPv4, and TCP with time stamps
constexpr std::size_t pipeBytes = 65'536;
constexpr int localField = 3; // index in a line of the output of ss
constexpr int remoteField = 4;

// Returns the number after `name` in a line, or 0.
std::uint64_t findNumber(const std::string &line, const std::string &name)
{
    const std::size_t start = line.find(name);
    return start == std::string::npos
                   ? 0
                   : std::strtoull(line.c_str() + start + name.size(), nullptr, 10);
}

int portOf(const std::string &address)
{
    int port = 0;
    static_cast<void>(absl::SimpleAtoi(address.substr(address.rfind(':') + 1), &port));
    return port;
}

} // namespace

Duration parseProcessorTime(const std::string &text)
{
    // The name is in parentheses and may contain spaces.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string field;
    std::int64_t ticks = 0;
    for (int index = 0; fields >> field && index <= systemTimeField; ++index) {
        if (index == userTimeField || index == systemTimeField) {
            ticks += std::strtoll(field.c_str(), nullptr, 10);
        }
    }
    return Duration(1s) * ticks / sysconf(_SC_CLK_TCK);
}

Duration readProcessorTime(int processId)
{
    return parseProcessorTime(readFile(absl::StrCat("/proc/", processId, "/stat")));
}

MachineTimes parseMachineTimes(const std::string &text)
{
    std::istringstream fields(text);
    std::string field;
    fields >> field; // the name "cpu"
    MachineTimes times;
    for (int index = 0; index <= stolenField && fields >> field; ++index) {
        const Duration time =
                Duration(1s) * std::strtoll(field.c_str(), nullptr, 10) / sysconf(_SC_CLK_TCK);
        if (index == idleField) {
            times.idle = time;
        } else if (index == stolenField) {
            times.stolen = time;
        }
    }
    return times;
}

MachineTimes readMachineTimes()
{
    return parseMachineTimes(readFile("/proc/stat"));
}

std::uint64_t readResidentBytes(int processId)
{
    std::istringstream fields(readFile(absl::StrCat("/proc/", processId, "/statm")));
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    fields >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t readHostMemory()
{
    return findNumber(readFile("/proc/meminfo"), "MemTotal:") * 1024;
}

std::array<double, 3> readLoadAverage()
{
    std::array<double, 3> load{};
    if (getloadavg(load.data(), static_cast<int>(load.size())) < 0) {
        load.fill(0);
    }
    return load;
}

std::string describeLoadAverage()
{
    const auto load = readLoadAverage();
    return absl::StrFormat("%.2f %.2f %.2f", load[0], load[1], load[2]);
}

// --- sockets

std::uint64_t SocketCounters::wireBytes() const
{
    return this->sentBytes + this->receivedBytes
           + headerBytes * (this->sentSegments + this->receivedSegments);
}

SocketCounters operator-(const SocketCounters &now, const SocketCounters &before)
{
    return {now.sentBytes - before.sentBytes, now.receivedBytes - before.receivedBytes,
            now.sentSegments - before.sentSegments, now.receivedSegments - before.receivedSegments,
            now.sockets};
}

SocketCounters sumSockets(const std::string &text, const std::set<int> &processIds,
                          const std::set<int> &ports)
{
    SocketCounters sum;
    for (const auto lineView : absl::StrSplit(text, '\n')) {
        const std::string line(lineView);
        const auto processId = static_cast<int>(findNumber(line, "pid="));
        const std::vector<std::string> fields = absl::StrSplit(line, ' ', absl::SkipEmpty());
        const bool isWanted = fields.size() > remoteField && processIds.contains(processId)
                              && (ports.contains(portOf(fields[localField]))
                                  || ports.contains(portOf(fields[remoteField])));
        if (isWanted) {
            sum.sentBytes += findNumber(line, " bytes_sent:") - findNumber(line, " bytes_retrans:");
            sum.receivedBytes += findNumber(line, " bytes_received:");
            sum.sentSegments += findNumber(line, " segs_out:");
            sum.receivedSegments += findNumber(line, " segs_in:");
            ++sum.sockets;
        }
    }
    return sum;
}

std::string listSockets()
{
    std::string text;
    FILE *pipe = popen("ss -tinHOp 2>/dev/null", "r");
    if (pipe == nullptr) {
        return text;
    }
    std::string part(pipeBytes, '\0');
    while (const std::size_t count = fread(part.data(), 1, part.size(), pipe)) {
        text.append(part, 0, count);
    }
    pclose(pipe);
    return text;
}

} // namespace kumquat
