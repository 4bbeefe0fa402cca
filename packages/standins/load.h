// Bounded load generator: mixed requests at a fixed rate over several entry addresses.
//
//   LoadGenerator load(options);
//   std::vector<Attempt> attempts = load.run(); // blocks for options.duration and a little more
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
    std::vector<Address> entries;      // callers' addresses of kumquatstage processes
    std::vector<std::string> services; // requests are divided evenly
    double rate = 200;                 // requests/s, kept up whatever the answers are
    Duration duration = 5s;
    int keys = 200;        // per service
    double skew = 0.9;     // exponent of the Zipf distribution of keys; 0: uniform
    int writePercent = 30; // share of non-idempotent requests
    int threads = 64;
    Duration timeout = 2s;
    std::uint64_t seed = 1;
    bool repeatsUnknown = true;   // sends a write of unknown outcome again under the same id
    bool probesFailedKeys = true; // reads a key that failed every 50 ms until it is served again
};

// One sending of one request, as its caller saw it.
struct Attempt
{
    std::string token;     // unique per request, shared by its attempts
    std::string requestId; // empty for reads
    int number = 0;        // 0 for the first sending
    bool isProbe = false;
    std::string service;
    std::string key;
    Time due{};      // when it should have been sent
    Time finished{}; // when the answer was complete or was given up
    Outcome outcome = Outcome::Unknown;
    std::string error;          // Kumquat-Error, or what the connection did
    int httpStatus = 0;         // 0 without an answer
    bool isAnswerWrong = false; // an answer for another request, cut short or without an outcome
};

// Returns a new version 7 UUID for the time.
std::string makeRequestId(WallTime now, std::mt19937_64 &random);

// Makes a read or a write as the demo's rules expect them.
HttpRequest makeRead(const Attempt &attempt);
HttpRequest makeWrite(const Attempt &attempt);

// Fills in outcome, error, status and correctness from an exchange.
void readOutcome(const HttpExchange &exchange, Attempt &attempt);

// Waits until every entry answers reads of several keys of every service; false after `longest`.
bool waitUntilServed(const LoadOptions &options, Duration longest);

class LoadGenerator
{
public:
    explicit LoadGenerator(const LoadOptions &initialOptions);

    // Sends all requests and returns every attempt, ordered by due time.
    std::vector<Attempt> run();

    // Makes run() return early.
    void stop() { this->isStopping = true; }

private:
    struct Sender; // one thread's connections and random numbers

    void sendAll(Sender &sender);
    void sendOne(Sender &sender, std::uint64_t index, Time due);

    // Sends an attempt to the next entry that accepts the connection.
    void send(Sender &sender, Attempt &attempt);

    // Reads the key until it is served; at most one thread does this per key.
    void probe(Sender &sender, const Attempt &failed);
    bool claimProbe(const Attempt &failed);
    void returnProbe(const Attempt &failed);

    const LoadOptions options;
    const std::string tokenPrefix;
    std::vector<double> keyShares; // cumulative
    Time start{};
    std::atomic<std::uint64_t> nextIndex{0};
    std::atomic<bool> isStopping{false};
    std::mutex mutex; // guards the members below
    std::set<std::string> probedKeys;
    std::vector<Attempt> attempts;
};

} // namespace kumquat
