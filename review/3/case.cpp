// A request that crashes each endpoint that runs it comes again and again, at all machines.
#include "system.h"

using namespace review;

int main(int argc, char **argv)
{
    constexpr std::int64_t contactMs = 4000;
    constexpr int allowedRetries = 3;
    constexpr std::int64_t downMs = 3000; // "the endpoint is back after some seconds"
    Record record(argc > 1 ? argv[1] : "record.txt");
    System system({.machines = {{"certdesk", "dkr-port", "dakar"},
                                {"certdesk", "dkr-mbao", "dakar"},
                                {"certdesk", "ths-mine", "thies"},
                                {"certdesk", "ths-tivaouane", "thies"},
                                {"certdesk", "stl-river", "saint-louis"},
                                {"certdesk", "stl-delta", "saint-louis"}},
                   .work = milliseconds(60)},
                  record);
    const std::string poison = System::prefix("certdesk", false) + "poison";
    std::mutex mutex;
    std::vector<std::int64_t> crashes; // times, in ms of the record
    for (Machine &machine : system.machines) {
        Endpoint &endpoint = *machine.endpoint;
        endpoint.onRun = [&](const kumquat::HttpRequest &request) {
            if (request.target != poison || !hasTrouble()) {
                return RunEffect::Answer;
            }
            const std::lock_guard lock(mutex);
            crashes.push_back(record.now());
            std::thread([&endpoint] {
                endpoint.crash();
                sleepMs(downMs);
                endpoint.start();
            }).detach();
            return RunEffect::Crash;
        };
    }
    if (!system.waitUntilReady(milliseconds(30'000))) {
        return 2;
    }
    sleepMs(5000);
    const auto makeOrdinary = [&](std::mt19937 &random, kumquat::Address &address) {
        address = system.machines[random() % system.machines.size()].callers;
        return ClientRequest{.method = "PUT",
                             .target = System::prefix("certdesk", false) + std::to_string(random()),
                             .body = "certificate",
                             .deadline = milliseconds(1200)};
    };
    Clients clients(record, 6, milliseconds(140), makeOrdinary);
    sleepMs(2000);
    // One client sends the request; after each failure it sends it again at the next machine.
    for (int i = 0; i < 40; ++i) {
        sendRequest(record, system.machines[static_cast<std::size_t>(i) % 6].callers,
                    {.method = "PUT",
                     .target = poison,
                     .body = "certificate 7",
                     .deadline = milliseconds(1200)});
        sleepMs(1000);
    }
    clients.stop();
    sleepMs(downMs + 500);
    const std::lock_guard lock(mutex);
    int late = 0;
    for (const std::int64_t at : crashes) {
        late += crashes.size() > 2 && at > crashes[2] + contactMs ? 1 : 0;
    }
    record.line("RESULT the request crashed endpoints " + std::to_string(crashes.size())
                + " times; retries that reached an endpoint later than contact_ms after the third "
                  "crash: "
                + std::to_string(late) + "; ordinary requests: " + std::to_string(clients.sent())
                + " sent, " + std::to_string(clients.succeeded()) + " answered with success");
    return late > allowedRetries ? 1 : 0;
}
