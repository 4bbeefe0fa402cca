// HTTP upstream that answers at once, so that the path around it is what is measured.
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
    int slots = 64; // announced
    int connections = 130;
};

// Serves and announces itself every 2 s to each process of the file until SIGTERM or SIGINT.
absl::Status serveUpstream(const BenchUpstreamOptions &options);

} // namespace kumquat
