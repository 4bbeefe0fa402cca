#include "standins/program.h"

#include "base/signals.h"

#include <cstdlib>

namespace kumquat {

void blockStopSignals()
{
    blockSignals({SIGTERM, SIGINT});
}

void exitOnStopSignal()
{
    const sigset_t signals = blockSignals({SIGTERM, SIGINT});
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0);
}

} // namespace kumquat
