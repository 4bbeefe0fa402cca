#include "standins/program.h"

#include <csignal>
#include <cstdlib>

namespace kumquat {
namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void exitOnStopSignal()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0);
}

} // namespace kumquat
