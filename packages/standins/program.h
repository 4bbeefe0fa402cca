// Signal handling shared by the stand-in programs.
#pragma once

namespace kumquat {

// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts later. Call this
// before starting threads.
void blockStopSignals();

// Waits for SIGTERM or SIGINT, then exits with status 0 without running destructors.
[[noreturn]] void exitOnStopSignal();

} // namespace kumquat
