// Load generator that sends reads and writes at a fixed rate to several entry addresses, with a
// limited number of threads.
//
//   LoadGenerator load(options);
//   std::vector<Attempt> attempts = load.run(); // blocks for slightly longer than options.duration
#pragma once

#include "base/address.h"
#include "base/errors.h"
#include "base/time.h"
#include "standins/http.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

struct LoadOptions
{
    std::vector<Address> entries;      // listen addresses for callers of the kumquatstage processes
    std::vector<std::string> services; // requests are divided evenly among them
    double rate = 200;                 // requests/s, independent of the answers
    Duration duration = 5s;
    int keys = 200;        // per service
    double skew = 0.9;     // exponent of the Zipf distribution of keys; 0: uniform
    int writePercent = 30; // share of non-idempotent requests
    int threads = 64;
    Duration timeout = 2s;
    std::uint64_t seed = 1;
    bool repeatsUnknown = true;   // repeats a write of unknown outcome once under the same id
    bool probesFailedKeys = true; // reads a failed key every 50 ms until it is served again
};

// One attempt to send a request, as its caller saw it.
struct Attempt
{
    std::string token;     // unique per request, shared by its attempts
    std::string requestId; // empty for reads
    int number = 0;        // 0 for the first attempt
    bool isProbe = false;
    std::string service;
    std::string key;
    Time due{};      // scheduled time of sending
    Time finished{}; // time of the complete answer or of the failure
    Outcome outcome = Outcome::Unknown;
    std::string error;          // Kumquat-Error, or the kind of connection failure
    int httpStatus = 0;         // 0 without an answer
    bool isAnswerWrong = false; // answer to another request, truncated or without an outcome
};

// Returns a new version 7 UUID with the timestamp `now`.
std::string makeRequestId(WallTime now, std::mt19937_64 &random);

// Returns the request of a read or a write that the demo's rules accept.
HttpRequest makeRead(const Attempt &attempt);
HttpRequest makeWrite(const Attempt &attempt);

// Fills in outcome, error, status and correctness from an exchange.
void readOutcome(const HttpExchange &exchange, Attempt &attempt);

// Waits until every entry answers reads of several keys of every service. Returns false if the
// timeout expires first.
bool waitUntilServed(const LoadOptions &options, Duration timeout);

class LoadGenerator
{
public:
    explicit LoadGenerator(const LoadOptions &initialOptions);

    // Sends all requests and returns all attempts, ordered by due time.
    std::vector<Attempt> run();

    // Makes run() return early.
    void stop() { this->isStopping = true; }

private:
    struct Sender; // connections, random generator and attempts of one thread

    void sendAll(Sender &sender);
    void sendOne(Sender &sender, std::uint64_t index, Time due);

    // Sends an attempt to the next entry that accepts the connection.
    void send(Sender &sender, Attempt &attempt);

    // Reads the key until it is served. At most one thread probes a key at a time.
    void probe(Sender &sender, const Attempt &failed);
    bool claimProbe(const Attempt &failed);
    void releaseProbe(const Attempt &failed);

    const LoadOptions options;
    const std::string tokenPrefix;
    std::vector<double> keyShares; // cumulative distribution by key rank
    Time start{};
    std::atomic<std::uint64_t> nextIndex{0};
    std::atomic<bool> isStopping{false};
    std::mutex mutex; // guards the members below
    std::set<std::string> probedKeys;
    std::vector<Attempt> attempts;
};

} // namespace kumquat
