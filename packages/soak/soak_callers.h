// Callers of a soak run. Each thread sends requests to random hosts over persistent connections,
// takes another host when the connection is lost, and records the outcome of every request.
//
//   SoakCallers callers(cluster, {.threads = 8, .seed = 1});
//   callers.start();
//   callers.stop();
//   for (const SoakRequest &request : callers.requests()) { ... }
//
// Sections: requests, SoakCallers.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "system/platform_cluster.h"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace kumquat {

// ---- Requests ----

enum class SoakOutcome : std::uint8_t {
    Answered, // status 200 with the id of the request
    Refused,  // status 503: the request has not run and will not run
    Failed,   // another status: the request may or may not have run
    Lost,     // the connection ended or timed out after the request was sent
    Unsent,   // the connection failed before the request was sent
    Wrong     // status 200 with the id or body of another request
};

inline constexpr NameTable<SoakOutcome, 6> soakOutcomeNames{{{{SoakOutcome::Answered, "answered"},
                                                              {SoakOutcome::Refused, "refused"},
                                                              {SoakOutcome::Failed, "failed"},
                                                              {SoakOutcome::Lost, "lost"},
                                                              {SoakOutcome::Unsent, "unsent"},
                                                              {SoakOutcome::Wrong, "wrong"}}}};

struct SoakRequest
{
    std::string id;
    std::size_t host = 0;
    std::uint32_t key = 0;
    bool isIdempotent = false;
    Time sent{};
    Time ended{};
    SoakOutcome outcome = SoakOutcome::Unsent;
    int status = 0;
};

// ---- SoakCallers ----

struct SoakCallerSettings
{
    int threads = 8;
    std::uint64_t seed = 1;
    Duration pause = 4ms;    // between two requests of one thread
    double hotShare = 0.3;   // share of requests for a small range of adjacent keys
    int connectionUses = 50; // requests per connection before a thread changes the host
};

class SoakCallers
{
public:
    SoakCallers(PlatformCluster &callerCluster, SoakCallerSettings callerSettings);
    ~SoakCallers();

    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    void start();

    // Stops sending and waits for the requests in flight.
    void stop();

    // Returns all requests that have ended. Call this after stop().
    const std::vector<SoakRequest> &requests() const { return this->endedRequests; }

    // Sends one request in the calling thread.
    static SoakRequest send(HttpClient &client, SoakRequest request);

private:
    void run(int thread);

    std::vector<Address> addresses; // indexed by host
    SoakCallerSettings settings;
    std::atomic<bool> isStopping{false};
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::vector<SoakRequest> endedRequests;
};

} // namespace kumquat
