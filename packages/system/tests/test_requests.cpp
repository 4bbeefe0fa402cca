// Tests malformed, repeated and crashing requests and the publishing of rules with the real
// programs.
#include "system/tests/scenario.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace kumquat;

namespace {

constexpr Duration recoveryLimit = 5s;
constexpr std::size_t mebibyte = 1U << 20U;

// Sends bytes over a new connection and returns the data received up to the end of the header. Each
// read times out after 2 s.
std::string sendBytes(const Address &address, const std::string &bytes)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0);
    const timeval limit{2, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    // The receiver may close the connection before it has read everything.
    static_cast<void>(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    std::string answer;
    std::string buffer(4096, '\0');
    while (answer.find("\r\n\r\n") == std::string::npos) {
        const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        answer.append(buffer, 0, static_cast<std::size_t>(count));
    }
    close(descriptor);
    return answer;
}

Attempt makeWriteAttempt(const std::string &token, const std::string &key,
                         WallTime time = readWallTime())
{
    static std::mt19937_64 random(std::random_device{}());
    Attempt attempt;
    attempt.service = "certdesk";
    attempt.key = key;
    attempt.token = token;
    attempt.requestId = makeRequestId(time, random);
    return attempt;
}

// Sends a write through a host and fills in its outcome.
Attempt sendWrite(const Host &host, Attempt attempt)
{
    attempt.isAnswerWrong = false;
    readOutcome(Cluster::send(host.callers, makeWrite(attempt)), attempt);
    return attempt;
}

std::vector<Run> findRuns(const Cluster &cluster, const std::string &token)
{
    std::vector<Run> runs;
    for (const Run &run : cluster.collectRuns()) {
        if (run.token == token) {
            runs.push_back(run);
        }
    }
    return runs;
}

// Waits until the host's upstream has been announced again and the key is served.
bool waitUntilServed(Cluster &cluster, const Host &host, const std::string &service,
                     const std::string &key)
{
    const Time deadline = readBootTime() + recoveryLimit;
    while (readBootTime() < deadline) {
        if (cluster.read(host, service, key).outcome == Outcome::Done) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

TEST_CASE("faulty requests are refused with their error and are not run")
{
    struct Fault
    {
        std::string bytes;
        std::string status;
        std::string error;
    };

    Cluster cluster("faulty");
    startServing(cluster);
    const std::string end = "\r\nHost: x\r\n\r\n";
    const std::string longField = "\r\nX-Long: " + std::string(20'000, 'a');
    const std::string longBody = absl::StrCat("\r\nContent-Length: ", 2 * mebibyte);
    const std::string id = "\r\nIdempotency-Key: " + makeWriteAttempt("", "").requestId;
    const std::vector<Fault> faults{
            {"NOT HTTP AT ALL\r\n\r\n", "400", "bad-request"},
            {"GET /testlog/D-1 HTTP/1.1" + longField + end, "431", "header-too-large"},
            {"POST /testlog/r HTTP/1.1\r\nDetector-Id: D-1" + id + longBody + end
                     + std::string(2 * mebibyte, 'b'),
             "413", "body-too-large"},
            {"GET /elsewhere HTTP/1.1" + end, "404", "no-rule"},
            {"POST /testlog/r HTTP/1.1\r\nContent-Length: 0" + id + end, "400", "missing-key"},
            {"POST /testlog/r HTTP/1.1\r\nContent-Length: 0\r\nDetector-Id: D-1" + end, "400",
             "missing-request-id"},
            {"POST /testlog/r HTTP/1.1\r\nContent-Length: 0\r\nDetector-Id: D-1\r\n"
             "Idempotency-Key: 6"
                     + end,
             "400", "missing-request-id"},
    };
    const std::size_t runsBefore = cluster.collectRuns().size();
    for (const auto &host : cluster.hosts()) {
        for (const Fault &fault : faults) {
            const std::string answer = sendBytes(host->callers, fault.bytes);
            INFO(fault.bytes.substr(0, 80) << "\n" << answer);
            CHECK(answer.substr(0, 12) == "HTTP/1.1 " + fault.status);
            CHECK(answer.find("Kumquat-Error: " + fault.error + "\r\n") != std::string::npos);
            CHECK(answer.find("Kumquat-Outcome: not-run\r\n") != std::string::npos);
        }
    }
    REQUIRE(cluster.collectRuns().size() == runsBefore);
    REQUIRE(cluster.waitUntilServed(2s));
}

TEST_CASE("garbage on any port neither stops a process nor its service")
{
    Cluster cluster("garbage");
    startServing(cluster);
    // A ZMTP 3.0 greeting, so that the garbage that follows reaches the frame parser.
    const std::string greeting =
            std::string("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL", 16) + std::string(48, '\0');
    std::mt19937 random(1);
    for (const auto &host : cluster.hosts()) {
        for (const Address &address : {host->mesh, host->admin, host->callers}) {
            std::string garbage(65'536, '\0');
            for (char &byte : garbage) {
                byte = static_cast<char>(random());
            }
            sendBytes(address, garbage);
            sendBytes(address, greeting + garbage);
        }
    }
    for (const auto &host : cluster.hosts()) {
        INFO(host->name << "\n" << host->process->output());
        REQUIRE(host->process->isRunning());
    }
    REQUIRE(cluster.waitUntilServed(2s));
}

TEST_CASE("a request id runs once, through whichever processes it is sent")
{
    Cluster cluster("duplicate");
    startServing(cluster);
    const Attempt first = sendWrite(cluster.host("t1"), makeWriteAttempt("once", "D-7"));
    REQUIRE(first.outcome == Outcome::Done);
    for (const auto &host : cluster.hosts()) {
        const Attempt again = sendWrite(*host, first);
        INFO(host->name << " " << again.error);
        CHECK((again.outcome == Outcome::Done || again.error == "duplicate-request"));
        CHECK_FALSE(again.isAnswerWrong);
    }
    REQUIRE(findRuns(cluster, "once").size() == 1);

    const Attempt parallel = makeWriteAttempt("parallel", "D-8");
    std::vector<std::future<Attempt>> answers;
    for (const auto &host : cluster.hosts()) {
        answers.push_back(
                std::async(std::launch::async, [&] { return sendWrite(*host, parallel); }));
    }
    int done = 0;
    for (auto &answer : answers) {
        const Attempt attempt = answer.get();
        done += attempt.outcome == Outcome::Done ? 1 : 0;
        CHECK(attempt.outcome != Outcome::NotRun);
    }
    CHECK(done >= 1);
    REQUIRE(findRuns(cluster, "parallel").size() == 1);

    const Attempt expired = sendWrite(cluster.host("t1"),
                                      makeWriteAttempt("expired", "D-9", readWallTime() - 200s));
    CHECK(expired.error == "request-id-expired");
    REQUIRE(findRuns(cluster, "expired").empty());
}

// Guards against a new owner that lacks the request memory of the lost owner.
TEST_CASE("a request id runs once across a takeover")
{
    Cluster cluster("duplicate-takeover");
    startServing(cluster);
    const Attempt first = sendWrite(cluster.host("t1"), makeWriteAttempt("once", "D-7"));
    REQUIRE(first.outcome == Outcome::Done);
    Host &owner = cluster.findOwner("certdesk", "D-7");
    owner.process->kill();
    const Time deadline = readBootTime() + recoveryLimit;
    Attempt again;
    while (again.error != "duplicate-request" && readBootTime() < deadline) {
        again = sendWrite(cluster.host("t1"), first);
        std::this_thread::sleep_for(50ms);
    }
    CHECK(again.error == "duplicate-request");
    CHECK(again.outcome == Outcome::Unknown);
    REQUIRE(findRuns(cluster, "once").size() == 1);
    // A request with a new id for the same key runs.
    const Attempt next = sendWrite(cluster.host("t1"), makeWriteAttempt("next", "D-7"));
    INFO(next.error);
    CHECK(next.outcome == Outcome::Done);
    REQUIRE(findRuns(cluster, "next").size() == 1);
}

TEST_CASE("a request that crashed two upstreams is not run again")
{
    Cluster cluster("crash");
    startServing(cluster);
    const Host &entry = cluster.host("t1");
    HttpRequest crash{"GET", "/certdesk/D-5", {{"X-Crash", "1"}, {"X-Token", "crash"}}, {}, {}};
    Attempt attempt;
    attempt.token = "crash";
    for (std::size_t count = 1; count <= 2; ++count) {
        cluster.read(entry, "certdesk", "D-5");
        Host &owner = cluster.findOwner("certdesk", "D-5");
        readOutcome(Cluster::send(entry.callers, crash), attempt);
        INFO(attempt.error);
        CHECK(attempt.outcome == Outcome::Unknown);
        REQUIRE(owner.upstream->waitForExit(2s) == 3);
        REQUIRE(findRuns(cluster, "crash").size() == count);
        cluster.startUpstream(owner);
        REQUIRE(waitUntilServed(cluster, entry, "certdesk", "D-5"));
    }
    readOutcome(Cluster::send(entry.callers, crash), attempt);
    CHECK(attempt.error == "request-quarantined");
    CHECK(attempt.outcome == Outcome::NotRun);
    // Every process must learn of the quarantine through the log.
    std::this_thread::sleep_for(1500ms);
    for (const auto &host : cluster.hosts()) {
        readOutcome(Cluster::send(host->callers, crash), attempt);
        CHECK(attempt.error == "request-quarantined");
    }
    REQUIRE(findRuns(cluster, "crash").size() == 2);
    REQUIRE(cluster.read(entry, "certdesk", "D-5").outcome == Outcome::Done);
}

// Guards against the quarantine of a request that merely ran concurrently with a crashing request
// in two crashes.
TEST_CASE("a request that ran during two crashes of another one is still served")
{
    Cluster cluster("bystander");
    startServing(cluster);
    const Host &entry = cluster.host("t1");
    HttpRequest crash{
            "GET", "/certdesk/D-5?crash=1", {{"X-Crash", "1"}, {"X-Token", "crash"}}, {}, {}};
    HttpRequest bystander{"GET", "/certdesk/D-5", {{"X-Token", "bystander"}}, {}, {}};
    Attempt attempt;
    attempt.token = "crash";
    for (std::size_t count = 1; count <= 2; ++count) {
        cluster.read(entry, "certdesk", "D-5");
        Host &owner = cluster.findOwner("certdesk", "D-5");
        Cluster::controlUpstream(owner, "set?service_ms=200");
        auto other = std::async(std::launch::async,
                                [&] { return Cluster::send(entry.callers, bystander); });
        std::this_thread::sleep_for(50ms);
        readOutcome(Cluster::send(entry.callers, crash), attempt);
        INFO(attempt.error);
        CHECK(attempt.outcome == Outcome::Unknown);
        REQUIRE(owner.upstream->waitForExit(2s) == 3);
        REQUIRE(findRuns(cluster, "crash").size() == count);
        other.get();
        cluster.startUpstream(owner);
        REQUIRE(waitUntilServed(cluster, entry, "certdesk", "D-5"));
    }
    readOutcome(Cluster::send(entry.callers, crash), attempt);
    CHECK(attempt.error == "request-quarantined");
    attempt.token = "bystander";
    readOutcome(Cluster::send(entry.callers, bystander), attempt);
    INFO(attempt.error);
    REQUIRE(attempt.outcome == Outcome::Done);
}

TEST_CASE("of two rules files published on one base, exactly one is accepted")
{
    Cluster cluster("publish");
    startServing(cluster);
    const std::string extra = "route GET /extra/ service=testlog key=segment:2 idempotent=yes "
                              "timeout=100ms  # asked by Awa Ndiaye\n";
    writeFile(cluster.rulesPath() + "-a", readFile(cluster.rulesPath()) + extra);
    writeFile(cluster.rulesPath() + "-b", readFile(cluster.rulesPath()) + "# second\n" + extra);
    // The delay makes both commands read their base version before the first append takes effect.
    cluster.controlLog("delay?append_ms=800");
    const auto first = cluster.startCtl({"publish", cluster.rulesPath() + "-a"});
    const auto second = cluster.startCtl({"publish", cluster.rulesPath() + "-b"});
    const int firstStatus = first->waitForExit(10s).value_or(-1);
    const int secondStatus = second->waitForExit(10s).value_or(-1);
    cluster.controlLog("delay?append_ms=0");
    INFO(first->output() << "\n" << second->output());
    CHECK(firstStatus + secondStatus == 1);
    const std::string refused = firstStatus == 0 ? second->output() : first->output();
    CHECK(refused.find("rules-conflict") != std::string::npos);
    // kumquatctl publish returns once every process has the rules, so they are in force now.
    for (const auto &host : cluster.hosts()) {
        CHECK(cluster.read(*host, "extra", "D-1").outcome == Outcome::Done);
    }
}

TEST_CASE("rules are published although the reply is lost, and faulty rules are not")
{
    Cluster cluster("publish-faults");
    startServing(cluster);
    const std::string extra = "route GET /extra/ service=testlog key=segment:2 idempotent=yes "
                              "timeout=100ms  # asked by Awa Ndiaye\n";
    writeFile(cluster.rulesPath() + "-a", readFile(cluster.rulesPath()) + extra);
    cluster.controlLog("lose-replies?count=1");
    std::string output;
    INFO(output);
    CHECK(cluster.runCtl({"publish", cluster.rulesPath() + "-a"}, &output) == 0);
    CHECK(cluster.read(cluster.host("t1"), "extra", "D-1").outcome == Outcome::Done);

    const std::string faulty = cluster.rulesPath() + "-faulty";
    writeFile(faulty, readFile(cluster.rulesPath()) + "route GET /x/ service=testlog\nnonsense\n");
    CHECK(cluster.runCtl({"publish", faulty}, &output) == 1);
    CHECK(output.find("rules-faulty:6: ") != std::string::npos);
    CHECK(output.find("rules-faulty:7: ") != std::string::npos);
    CHECK(cluster.read(cluster.host("t1"), "extra", "D-1").outcome == Outcome::Done);
}
