// An endpoint that has left with DELETE gets requests again after the process beside it restarted
// and a heartbeat of before the leave arrives late.
#include "system.h"

using namespace review;

int main(int argc, char **argv)
{
    constexpr std::int64_t drainMs = 2500;
    constexpr std::int64_t contactMs = 4000;
    Record record(argc > 1 ? argv[1] : "record.txt");
    System system({.machines = {{"certdesk", "dkr-port", "dakar"},
                                {"testlog", "dkr-port", "dakar"},
                                {"certdesk", "ths-mine", "thies"},
                                {"certdesk", "stl-river", "saint-louis"}},
                   .work = milliseconds(60),
                   .drainMs = drainMs},
                  record);
    Machine &leaving = system.machines[0];
    std::mutex mutex;
    std::vector<std::int64_t> runs; // at the endpoint that leaves
    leaving.endpoint->onRun = [&](const kumquat::HttpRequest &) {
        const std::lock_guard lock(mutex);
        runs.push_back(record.now());
        return RunEffect::Answer;
    };
    if (!system.waitUntilReady(milliseconds(30'000))) {
        return 2;
    }
    sleepMs(4000);
    // Clients on the other machine of the zone only: it is in touch all the time.
    Clients clients(record, 4, milliseconds(60), [&](std::mt19937 &, kumquat::Address &address) {
        address = system.machines[1].callers;
        return ClientRequest{.method = "PUT",
                             .target = System::prefix("certdesk", false) + "2f",
                             .body = "certificate",
                             .deadline = milliseconds(1200)};
    });
    sleepMs(4000);
    if (hasTrouble()) {
        leaving.endpoint->holdNextHeartbeat();
        while (!leaving.endpoint->hasHeldHeartbeat()) {
            sleepMs(5);
        }
    }
    if (!leaving.endpoint->deregister()) {
        return 2;
    }
    const std::int64_t acknowledgedAt = record.now();
    std::int64_t inTouchFrom = acknowledgedAt;
    if (hasTrouble()) {
        sleepMs(500);
        system.killProcess(leaving);
        sleepMs(500);
        system.startProcess(leaving);
        inTouchFrom = record.now() + contactMs;
        sleepMs(1000);
        leaving.endpoint->releaseHeartbeat();
    }
    // The endpoint serves on for many seconds and then exits.
    sleepMs(acknowledgedAt + 18'000 - record.now());
    leaving.endpoint->crash();
    clients.stop();
    const std::lock_guard lock(mutex);
    int late = 0;
    std::int64_t last = 0;
    for (const std::int64_t at : runs) {
        const bool isLate = at > acknowledgedAt + drainMs && at > inTouchFrom;
        late += isLate ? 1 : 0;
        last = std::max(last, at);
    }
    record.line("RESULT requests that reached the endpoint later than drain_ms after the "
                "acknowledgement, sent on by machines in touch: "
                + std::to_string(late) + "; the last one " + std::to_string(last - acknowledgedAt)
                + " ms after it; requests: " + std::to_string(clients.sent()) + " sent, "
                + std::to_string(clients.succeeded()) + " answered with success");
    return late > 0 ? 1 : 0;
}
