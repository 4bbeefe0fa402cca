// Blocking of signals, for programs that receive them with sigwait().
//
//   const sigset_t signals = blockSignals({SIGTERM, SIGINT}); // before any thread starts
//   sigwait(&signals, &number);
#pragma once

#include <csignal>
#include <initializer_list>

namespace kumquat {

// Blocks the signals in the calling thread and in all threads that it starts later. Returns the set
// of the signals.
inline sigset_t blockSignals(std::initializer_list<int> numbers)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : numbers) {
        sigaddset(&signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace kumquat
