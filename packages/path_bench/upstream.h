// HTTP upstream that answers immediately, so that the benchmark measures the path to it.
#pragma once

#include "base/address.h"

#include <absl/status/status.h>

#include <string>

namespace kumquat {

struct BenchUpstreamOptions
{
    Address listen;
    std::string announceFile; // lines "SERVICE IP:PORT" with the admin address of a process
    int threads = 2;
    int slots = 64; // announced to each process
    int connections = 130;
};

// Serves requests until SIGTERM or SIGINT, and announces itself every 2 s to each process listed in
// the file. Error: the file has an invalid address, or the port cannot be opened.
absl::Status serveUpstream(const BenchUpstreamOptions &options);

} // namespace kumquat
