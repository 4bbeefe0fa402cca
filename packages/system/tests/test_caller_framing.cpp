// Tests that a process stays within its memory when callers send much that is neither a field nor a
// body of a request: heads that never end, chunk extensions and trailers. The process runs for a
// small share of the time only, so what it has not read counts as well. The checks don't depend on
// the speed of the machine.
#include "raw_caller.h"
#include "raw_crowd.h"
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>

using namespace kumquat;

namespace {

constexpr int crowdSize = 1000;
constexpr int crowdMemoryMb = 80; // of the host
constexpr int crowdTurns = 40;    // in each, the process stands still and then runs for a moment
constexpr Duration runTime = 20ms;
constexpr int maxDescriptors = crowdSize + 100; // of the process, at any time
constexpr std::size_t bytesPerCaller = 1024UL * 1024;
constexpr int maxRounds = 400; // of the ordinary request
constexpr Duration roundPause = 50ms;
constexpr Duration requestTimeout = 1500ms;

const std::string startOfHead = "POST /v/x HTTP/1.1\r\nHost: shop.example\r\n"
                                "X-Attempt-Id: crowd\r\nX-Deadline-Remaining: 1500\r\n";
const std::string chunkedHead = startOfHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string result;
    result.reserve(bytes + text.size());
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

bool servesEventually(const PlatformHost &host)
{
    for (int round = 0; round < maxRounds; ++round) {
        HttpClient client(host.callers);
        const std::string id = "ordinary-" + std::to_string(round);
        const HttpExchange exchange =
                client.send(makeCallerRequest({.id = id, .key = std::nullopt}), requestTimeout);
        if (exchange.result == ExchangeResult::Answered && isAnswerTo(exchange.answer, id)) {
            return true;
        }
        std::this_thread::sleep_for(roundPause);
    }
    return false;
}

// Lets a crowd send a text on each of its connections, then sends an ordinary request.
void testCrowd(const std::string &text)
{
    PlatformCluster cluster({.hosts = 1, .hasKeys = false, .memoryMb = crowdMemoryMb});
    const PlatformHost &host = cluster.host(0);
    REQUIRE(servesEventually(host));
    RawCrowd crowd(host.callers, crowdSize);
    int mostUnread = 0;
    int mostDescriptors = 0;
    for (int turn = 0; turn < crowdTurns && host.process->isRunning(); ++turn) {
        host.process->signal(SIGSTOP);
        crowd.sendUntilBlocked(text);
        mostUnread = std::max(mostUnread, unreadKilobytes(host.callers));
        host.process->signal(SIGCONT);
        std::this_thread::sleep_for(runTime);
        mostDescriptors = std::max(mostDescriptors, countDescriptors(*host.process));
    }
    const bool isServed = servesEventually(host);
    const int resident = peakKilobytes(*host.process);
    UNSCOPED_INFO("resident " << resident << " kB, unread " << mostUnread << " kB, "
                              << crowd.openCount() << " connections open");
    CHECK(host.process->isRunning());
    CHECK(resident > 0);
    CHECK(resident + mostUnread < kilobytesOf(crowdMemoryMb));
    CHECK(mostDescriptors < maxDescriptors);
    CHECK(isServed);
}

} // namespace

// Guards against header fields that are kept before the head is complete and are charged to nobody.
TEST_CASE("heads of many short fields without an end leave a process in its memory", "[hostile]")
{
    constexpr std::size_t headBytes = 15'500; // within the limit of a head
    testCrowd(startOfHead + repeat("a:\r\n", headBytes));
}

// Guards against chunk extensions, which are no part of a body, and against bytes that lie unread
// in the sockets of many connections.
TEST_CASE("chunk extensions without end leave a process in its memory", "[hostile]")
{
    constexpr std::size_t extensionBytes = 4'000;
    const std::string chunk = "1;" + std::string(extensionBytes, 'e') + "\r\nx\r\n";
    testCrowd(chunkedHead + repeat(chunk, bytesPerCaller));
}

// Guards against fields behind a body, which are kept although nobody uses them.
TEST_CASE("trailers of many short fields leave a process in its memory", "[hostile]")
{
    constexpr std::size_t trailerBytes = 60'000;
    testCrowd(chunkedHead + "1\r\nx\r\n0\r\n" + repeat("a:\r\n", trailerBytes));
}

// Guards against bytes that lie unread in the sockets of many connections because the process reads
// slowly or not at all.
TEST_CASE("bodies that a process has not read leave it in its memory", "[hostile]")
{
    const std::string chunk = "10000\r\n" + std::string(64UL * 1024, 'x') + "\r\n";
    testCrowd(chunkedHead + repeat(chunk, bytesPerCaller));
}

// Guards against requests sent ahead, each of which has a fiber and an answer of its own.
TEST_CASE("requests sent ahead without end leave a process in its memory", "[hostile]")
{
    testCrowd(repeat(startOfHead + "Content-Length: 0\r\n\r\n", bytesPerCaller));
}
