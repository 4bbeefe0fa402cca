// Sections: one connection, requests, load.
#include "path_bench/caller.h"

#include "base/text.h"
#include "path_bench/cost.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cmath>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t receiveBytes = 16'384;
constexpr timeval receiveTimeout{2, 0}; // seconds; longer than any rule's timeout
constexpr int okStatus = 200;
constexpr int bodyBytes = 64; // body of a write request

// Returns the value of a header field, or an empty string.
std::string findValue(const std::string &header, const std::string &name)
{
    std::size_t start = header.find("\r\n");
    while (start != std::string::npos && start + 2 < header.size()) {
        const std::size_t end = header.find("\r\n", start + 2);
        const std::string line = header.substr(start + 2, end - start - 2);
        if (absl::StartsWithIgnoreCase(line, name + ":")) {
            const std::size_t value = line.find_first_not_of(' ', name.size() + 1);
            return value == std::string::npos ? "" : line.substr(value);
        }
        start = end;
    }
    return {};
}

} // namespace

// --- one connection

CallerConnection::CallerConnection(Address newAddress)
    : address(std::move(newAddress))
{}

CallerConnection::~CallerConnection()
{
    this->close();
}

bool CallerConnection::open()
{
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(this->address.port);
    inet_pton(AF_INET, this->address.ip.c_str(), &target.sin_addr);
    if (connect(this->descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target))
        != 0) {
        this->close();
        return false;
    }
    const int on = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
    return true;
}

void CallerConnection::close()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
    this->descriptor = -1;
    this->received.clear();
}

bool CallerConnection::receiveMore()
{
    const std::size_t before = this->received.size();
    this->received.resize(before + receiveBytes);
    const ssize_t count = recv(this->descriptor, this->received.data() + before, receiveBytes, 0);
    this->received.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return count > 0;
}

CallerAnswer CallerConnection::exchange(const std::string &request)
{
    CallerAnswer answer;
    if (this->descriptor < 0 && !this->open()) {
        return answer;
    }
    const ssize_t sent = ::send(this->descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    AnswerSize size;
    bool isConnected = sent == static_cast<ssize_t>(request.size());
    while (isConnected && (size.header == 0 || this->received.size() < size.header + size.body)) {
        isConnected = this->receiveMore();
        size = measureAnswer(this->received);
    }
    if (!isConnected) {
        this->close();
        return answer;
    }
    const std::string header = this->received.substr(0, size.header);
    answer.body = this->received.substr(size.header, size.body);
    answer.error = findValue(header, "Kumquat-Error");
    const std::size_t space = header.find(' ');
    static_cast<void>(absl::SimpleAtoi(header.substr(space + 1, 3), &answer.status));
    this->received.erase(0, size.header + size.body);
    if (absl::EqualsIgnoreCase(findValue(header, "Connection"), "close")) {
        this->close();
    }
    return answer;
}

CallerAnswer CallerConnection::send(const std::string &target, const std::string &body)
{
    const std::string method = body.empty() ? "GET " : "POST ";
    return this->exchange(absl::StrCat(method, target, " HTTP/1.1\r\nHost: bench\r\n",
                                       "Content-Length: ", body.size(), "\r\n\r\n", body));
}

AnswerSize measureAnswer(const std::string &received)
{
    AnswerSize size;
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return size;
    }
    size.header = end + 4;
    const std::string header = received.substr(0, size.header);
    static_cast<void>(absl::SimpleAtoi(findValue(header, "Content-Length"), &size.body));
    return size;
}

// --- requests

std::string makeUuid(WallTime now, std::mt19937_64 &random)
{
    const auto time = static_cast<std::uint64_t>(now.count());
    const std::uint64_t first = random();
    const std::uint64_t second = random();
    return absl::StrFormat("%08x-%04x-7%03x-%04x-%012x", time >> 16, time & 0xffff, first & 0xfff,
                           0x8000 | ((first >> 12) & 0x3fff), second & 0xffff'ffff'ffff);
}

std::string makeRequest(RequestType type, int key, std::mt19937_64 &random)
{
    if (type == RequestType::Read) {
        return absl::StrCat("GET /bench/K-", key, " HTTP/1.1\r\nHost: bench\r\n\r\n");
    }
    return absl::StrCat("POST /bench/record HTTP/1.1\r\nHost: bench\r\nBench-Key: K-", key,
                        "\r\nIdempotency-Key: ", makeUuid(readWallTime(), random),
                        "\r\nContent-Length: ", bodyBytes, "\r\n\r\n", std::string(bodyBytes, 'x'));
}

// --- load

namespace {

// State of a load run that all threads share.
struct LoadRun
{
    const LoadPlan &plan;
    Time start;
    std::atomic<std::uint64_t> nextIndex{0};
};

// Results of one thread.
struct CallerThread
{
    std::vector<Duration> latencies;
    std::vector<Duration> lags;
    std::map<std::string, std::uint64_t> failures;

    void record(const CallerAnswer &answer, Duration latency, Duration lag)
    {
        this->lags.push_back(lag);
        if (answer.status == okStatus) {
            this->latencies.push_back(latency);
        } else if (answer.status == 0) {
            ++this->failures["no answer"];
        } else {
            ++this->failures[absl::StrCat(answer.status, " ", answer.error)];
        }
    }
};

// Returns the time at which the next request of the run is due.
Time takeNextDue(LoadRun &run)
{
    if (run.plan.rate <= 0) {
        return readBootTime();
    }
    const auto index = static_cast<double>(run.nextIndex++);
    return run.start + Duration(std::llround(index / run.plan.rate * 1e9));
}

void sendUntilEnd(LoadRun &run, CallerThread &thread, int threadIndex)
{
    // The default timer slack of 50 us would add to every open-loop latency.
    prctl(PR_SET_TIMERSLACK, 1);
    std::mt19937_64 random(static_cast<std::uint64_t>(run.start.count() + threadIndex));
    std::uniform_int_distribution<int> keys(0, run.plan.keys - 1);
    CallerConnection connection(run.plan.target);
    const Time measureFrom = run.start + run.plan.warmUp;
    const Time end = measureFrom + run.plan.duration;
    for (Time due = takeNextDue(run); due < end; due = takeNextDue(run)) {
        const std::string request = makeRequest(run.plan.type, keys(random), random);
        const Time ready = std::max(due, readBootTime());
        if (const Duration wait = due - readBootTime(); wait > Duration::zero()) {
            std::this_thread::sleep_for(wait);
        }
        const Time sent = readBootTime();
        const CallerAnswer answer = connection.exchange(request);
        const Time done = readBootTime();
        if (due >= measureFrom) {
            thread.record(answer, done - due, sent - ready);
        }
    }
}

} // namespace

LoadResult runLoad(const LoadPlan &plan)
{
    LoadRun run{plan, readBootTime()};
    std::vector<CallerThread> callers(static_cast<std::size_t>(plan.connections));
    std::vector<std::jthread> threads;
    for (int threadIndex = 0; threadIndex < plan.connections; ++threadIndex) {
        CallerThread &caller = callers[static_cast<std::size_t>(threadIndex)];
        threads.emplace_back(
                [&run, &caller, threadIndex] { sendUntilEnd(run, caller, threadIndex); });
    }
    std::this_thread::sleep_for(plan.warmUp);
    const MachineTimes before = readMachineTimes();
    threads.clear(); // joins them
    LoadResult result;
    result.elapsed = readBootTime() - run.start - plan.warmUp;
    const MachineTimes after = readMachineTimes();
    result.stolen = after.stolen - before.stolen;
    result.idleCores = std::chrono::duration<double>(after.idle - before.idle)
                       / std::chrono::duration<double>(result.elapsed);
    for (const CallerThread &caller : callers) {
        result.latencies.insert(result.latencies.end(), caller.latencies.begin(),
                                caller.latencies.end());
        result.lags.insert(result.lags.end(), caller.lags.begin(), caller.lags.end());
        for (const auto &[reason, count] : caller.failures) {
            result.failures[reason] += count;
        }
    }
    std::sort(result.latencies.begin(), result.latencies.end());
    std::sort(result.lags.begin(), result.lags.end());
    return result;
}

double LoadResult::throughput() const
{
    const double seconds = std::chrono::duration<double>(this->elapsed).count();
    return seconds > 0 ? static_cast<double>(this->latencies.size()) / seconds : 0;
}

Duration LoadResult::quantile(double share) const
{
    return findQuantile(this->latencies, share);
}

Duration LoadResult::lagQuantile(double share) const
{
    return findQuantile(this->lags, share);
}

Duration findQuantile(const std::vector<Duration> &values, double share)
{
    if (values.empty()) {
        return {};
    }
    const auto rank =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace kumquat
