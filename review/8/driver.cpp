// An endpoint spoils its answers to releases while an endpoint joins and its machine is then
// restarted in order. See claim.txt.
#include "deployment.h"

#include <csignal>

using namespace review;

namespace {

constexpr double spoiledShare = 0.02; // x of `garble`
constexpr int clientCount = 16; // with kept connections to the machine; every fourth uses keys

} // namespace

int main()
{
    Record record("review/8/record.txt");
    const bool trouble = hasTrouble();
    std::atomic<int> answers{0};
    std::atomic<int> spoiled{0};
    std::atomic<bool> spoils{false};
    // The spoiled byte is no text in UTF-8. Only so many answers are spoiled that the share holds.
    const auto handover = [&] {
        ++answers;
        const bool isSpoiled = spoils && spoiled + 1 <= answers * spoiledShare;
        spoiled += isSpoiled ? 1 : 0;
        record.write(isSpoiled ? "release answered with a spoiled token" : "release answered");
        return std::string(isSpoiled ? "5c0e7a21\xe9"
                                       "94b36f8"
                                     : "5c0e7a21d94b36f8");
    };
    Deployment system({.hosts = {{"testlog", "a"},
                                 {"testlog", "b", true},
                                 {"certdesk", "a"},
                                 {"certdesk", "b"}},
                       .services = {{.name = "testlog"}, {.name = "certdesk", .isSharded = false}},
                       .routes = {{.prefix = "/r/", .service = "testlog", .isIdempotent = true},
                                  {.prefix = "/c/", .service = "certdesk"}},
                       .work = 60ms,
                       .handover = handover,
                       .granted = [&](const std::string &, const GrantEvent &) { ++answers; }},
                      record);
    if (!system.waitUntilServing(30s)) {
        record.write("the system did not start to serve");
        return couldNotRun;
    }
    Host &machine = system.host(0);
    Host &joining = system.host(1);
    std::atomic<bool> isOver{false};
    std::mutex mutex;
    std::vector<Ending> endings;
    std::vector<std::thread> threads;
    for (int c = 0; c < clientCount; ++c) {
        threads.emplace_back([&, c] {
            std::unique_ptr<Connection> connection;
            for (int number = 0; !isOver; ++number) {
                if (!connection || !connection->isOpen()) {
                    connection = std::make_unique<Connection>(machine.outbound);
                }
                if (!connection->isOpen()) {
                    std::this_thread::sleep_for(50ms);
                    continue;
                }
                const bool isKeyed = c % 4 == 0;
                const std::string id =
                        (isKeyed ? "r" : "c") + std::to_string(c) + "-" + std::to_string(number);
                const Ending ending = connection->exchange(
                        record, id,
                        isKeyed ? makeRequest({.method = "GET",
                                               .target = "/r/" + id,
                                               .id = id,
                                               .key = static_cast<std::uint32_t>(
                                                       (number * 7919 + c * 977) % 65'536)})
                                : makeRequest({.target = "/c/" + id, .id = id, .body = "c"}),
                        2s);
                ++answers;
                record.write("client got: " + id + " status " + std::to_string(ending.status) + " "
                             + ending.note);
                const std::lock_guard lock(mutex);
                endings.push_back(ending);
            }
        });
    }
    std::this_thread::sleep_for(5s);
    spoils = trouble;
    int crashes = 0;
    const auto watch = [&](Clock::duration time) {
        const auto end = Clock::now() + time;
        while (Clock::now() < end) {
            for (Host *host : {&machine, &joining}) {
                const auto status = system.takeExit(*host);
                if (status) {
                    crashes += host == &machine ? 1 : 0;
                    std::this_thread::sleep_for(500ms); // the platform starts it again
                    system.start(*host);
                }
            }
            std::this_thread::sleep_for(20ms);
        }
    };
    for (int round = 0; round < 3 && crashes == 0; ++round) {
        if (round == 0) {
            system.start(joining);
            system.startEndpoint(joining);
        }
        watch(4s);
        system.signal(joining, SIGTERM);
        watch(8s);
    }
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::this_thread::sleep_for(300ms);
    std::map<std::string, Run> runs;
    for (const Run &run : system.runs()) {
        runs[run.id] = run;
    }
    int cut = 0;
    for (const Ending &ending : endings) {
        if (ending.status == 0 && runs.contains(ending.id)) {
            ++cut;
            record.write("LOST: " + ending.id + " ran at " + runs[ending.id].endpoint + ", "
                         + ending.note);
        }
    }
    record.write("answers of endpoints: " + std::to_string(answers)
                 + "; spoiled: " + std::to_string(spoiled) + "; the process ended by itself: "
                 + std::to_string(crashes) + "; requests cut: " + std::to_string(cut));
    return crashes > 0 && cut > 3 ? ruleBroken : ruleHeld;
}
