// One of three machines is removed for good as planned; then all processes are killed and come
// back.
#include "system.h"

#include <csignal>

using namespace review;

int main(int argc, char **argv)
{
    constexpr std::int64_t recoveryMs = 15'000;
    Record record(argc > 1 ? argv[1] : "record.txt");
    System system({.machines = {{"testlog", "dkr-port", "dakar"},
                                {"testlog", "dkr-mbao", "dakar"},
                                {"testlog", "ths-mine", "thies"}},
                   .shardedServices = {"testlog"},
                   .work = milliseconds(60)},
                  record);
    if (!system.waitUntilReady(milliseconds(30'000))) {
        return 2;
    }
    sleepMs(4000);
    // Clients of the two machines that stay.
    enum class Period { Before, Between, After };
    std::atomic<Period> period{Period::Before};
    std::mutex mutex;
    std::map<Period, std::pair<int, int>> counts; // sent and served
    std::atomic<bool> isStopping{false};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 8; ++i) {
        clients.emplace_back([&, i] {
            std::mt19937 random(static_cast<unsigned>(i) + 1);
            while (!isStopping) {
                const Period sentIn = period;
                const ClientResult result =
                        sendRequest(record, system.machines[random() % 2].callers,
                                    {.method = "POST",
                                     .target = System::prefix("testlog", false) + "2f",
                                     .body = "bump test result",
                                     .key = static_cast<std::uint32_t>(random() % 65'536),
                                     .deadline = milliseconds(2000)});
                {
                    const std::lock_guard lock(mutex);
                    ++counts[sentIn].first;
                    counts[sentIn].second += result.isSuccess() ? 1 : 0;
                }
                sleepMs(100);
            }
        });
    }
    sleepMs(15'000);
    Machine &removed = system.machines[2];
    if (hasTrouble()) {
        // The endpoint leaves, serves for drain_ms and a little longer, and exits; then its
        // machine's process gets SIGTERM and the machine is gone.
        if (!removed.endpoint->deregister()) {
            return 2;
        }
        sleepMs(3000);
        removed.endpoint->crash();
        system.signalProcess(removed, SIGTERM);
        sleepMs(6000);
        system.killProcess(removed);
    } else {
        sleepMs(9000);
    }
    record.line("-- final fault: all processes are killed");
    period = Period::Between;
    for (Machine &machine : system.machines) {
        system.killProcess(machine);
    }
    sleepMs(1000);
    for (Machine &machine : system.machines) {
        if (machine.endpoint->isUp()) {
            system.startProcess(machine);
        }
    }
    record.line("-- the machines are back");
    sleepMs(recoveryMs);
    period = Period::After;
    sleepMs(20'000);
    isStopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const auto share = [&](Period in) {
        return static_cast<double>(counts[in].second) / std::max(1, counts[in].first);
    };
    const auto text = [&](Period in) {
        return std::to_string(counts[in].second) + " of " + std::to_string(counts[in].first);
    };
    record.line("RESULT served before the final fault: " + text(Period::Before)
                + "; of those sent later than recovery_s after the machines are back: "
                + text(Period::After));
    return share(Period::Before) >= 0.25 && share(Period::After) < 0.25 ? 1 : 0;
}
