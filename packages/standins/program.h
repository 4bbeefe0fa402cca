// What the stand-in programs share.
#pragma once

namespace kumquat {

// Blocks SIGTERM and SIGINT in this and later threads; call before starting threads.
void blockStopSignals();

// Waits for SIGTERM or SIGINT, then ends the process with status 0 without destroying objects.
[[noreturn]] void exitOnStopSignal();

} // namespace kumquat
