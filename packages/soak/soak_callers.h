// Callers of a soak run: threads that send requests over kept connections to random hosts until the
// connection is gone, and remember how each ended.
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

enum class SoakEnd : std::uint8_t {
    Answered, // 200 with the own id
    Refused,  // 503: has not run and never will
    Failed,   // another status of the process, which promises nothing
    Lost,     // the connection ended or was silent after the request was sent
    Unsent,   // no connection
    Wrong     // 200 with another request's id or body
};

inline constexpr NameTable<SoakEnd, 6> soakEndNames{{{{SoakEnd::Answered, "answered"},
                                                      {SoakEnd::Refused, "refused"},
                                                      {SoakEnd::Failed, "failed"},
                                                      {SoakEnd::Lost, "lost"},
                                                      {SoakEnd::Unsent, "unsent"},
                                                      {SoakEnd::Wrong, "wrong"}}}};

struct SoakRequest
{
    std::string id;
    std::size_t host = 0;
    std::uint32_t key = 0;
    bool isIdempotent = false;
    Time sent{};
    Time ended{};
    SoakEnd end = SoakEnd::Unsent;
    int status = 0;
};

// ---- SoakCallers ----

struct SoakCallerSettings
{
    int threads = 8;
    std::uint64_t seed = 1;
    Duration pause = 4ms;    // between two requests of one thread
    double hotShare = 0.3;   // of the requests, for a few keys that are next to each other
    int connectionUses = 50; // requests before a thread goes to another host
};

class SoakCallers
{
public:
    SoakCallers(PlatformCluster &callerCluster, SoakCallerSettings callerSettings);
    ~SoakCallers();

    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    void start();

    // Waits for the requests under way.
    void stop();

    // Returns all requests that have ended; call after stop.
    const std::vector<SoakRequest> &requests() const { return this->ended; }

    // Sends one request in the calling thread.
    static SoakRequest send(HttpClient &client, SoakRequest request);

private:
    void run(int thread);

    std::vector<Address> addresses; // by host
    SoakCallerSettings settings;
    std::atomic<bool> isStopping{false};
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::vector<SoakRequest> ended;
};

} // namespace kumquat
