// Generates caller load in a closed or an open loop over blocking connections, with one thread per
// connection.
//
//   LoadPlan plan{.target = {"127.0.0.1", 8080}, .connections = 16, .duration = 3s};
//   LoadResult closed = runLoad(plan);
//   plan.rate = closed.throughput() / 2;
//   LoadResult open = runLoad(plan); // latency is measured from the intended send time
#pragma once

#include "base/address.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace kumquat {

// --- one connection

struct CallerAnswer
{
    int status = 0;    // 0: no complete answer
    std::string error; // Kumquat-Error
    std::string body;
};

// A keep-alive connection with blocking calls. It parses only what the measured programs send:
// status line, Content-Length, Kumquat-Error, Connection and body.
class CallerConnection
{
public:
    explicit CallerConnection(Address address);
    ~CallerConnection();

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    // Sends the bytes of one request and reads the answer. Connects first if necessary.
    CallerAnswer exchange(const std::string &request);

    // Sends GET, or POST if there is a body.
    CallerAnswer send(const std::string &target, const std::string &body = "");

private:
    bool open();
    void close();
    bool receiveMore();

    Address address;
    int descriptor = -1;
    std::string received;
};

// Length of an answer's header, including the empty line, and of its body. Both are 0 until the
// header is complete.
struct AnswerSize
{
    std::size_t header = 0;
    std::size_t body = 0;
};
AnswerSize measureAnswer(const std::string &received);

// --- requests

enum class RequestType : std::uint8_t { Read, Write };

// Returns a version 7 UUID for the time.
std::string makeUuid(WallTime now, std::mt19937_64 &random);

// Returns the bytes of a request for a key; a write gets a new Idempotency-Key.
std::string makeRequest(RequestType type, int key, std::mt19937_64 &random);

// --- load

struct LoadPlan
{
    Address target;
    RequestType type = RequestType::Read;
    int connections = 16;
    int keys = 1'000;
    Duration warmUp{}; // before `duration`; answers of the warm-up are not in the result
    Duration duration = 3s;
    double rate = 0; // requests/s of the open loop; 0: closed loop
};

struct LoadResult
{
    std::vector<Duration> latencies; // of answers with status 200, ascending
    // Delays caused by the caller, ascending: from the time when a request was due and its thread
    // had received its previous answer, to the send. The latencies of the open loop include this
    // delay, although the path does not cause it.
    std::vector<Duration> lags;
    std::map<std::string, std::uint64_t> failures;
    Duration elapsed{};
    Duration stolen{};    // sum over all cores of the machine, see MachineTimes
    double idleCores = 0; // of the machine, on average

    double throughput() const;                // answers with status 200 per second
    Duration quantile(double share) const;    // of the latencies
    Duration lagQuantile(double share) const; // of the lags
};

// Returns the quantile of ascending values: the smallest value that at least this share of the
// values does not exceed. Returns 0 if there are no values.
Duration findQuantile(const std::vector<Duration> &values, double share);

// Opens all connections, runs the load and waits for the last answers.
LoadResult runLoad(const LoadPlan &plan);

} // namespace kumquat
