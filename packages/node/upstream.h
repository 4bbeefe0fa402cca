// One upstream: its limiter, retry budget, connections and failure detection. Upstreams share no
// state, so a failure of one does not affect another.
#pragma once

#include "net/fibers.h"
#include "net/http_client.h"
#include "node/request.h"
#include "ownership/cluster_state.h"
#include "traffic/crash_guard.h"
#include "traffic/limiter.h"
#include "traffic/retry.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat {

// The data that an upstream sends in POST /announce.
struct Announcement
{
    std::string service;
    Address address;
    bool checksGrants = false;
    std::uint32_t slots = 10;       // requests that it runs at the same time
    std::uint32_t connections = 70; // connections that it accepts
    bool draining = false;
};

struct UpstreamSettings
{
    std::size_t queueLength = 128;
    std::uint32_t initialConcurrency = 0; // 0: the slots that the upstream announces
};

class Upstream;

// Both hooks may be called on any worker thread.
struct UpstreamHooks
{
    std::function<void(const std::vector<Fingerprint> &running)> reportCrash;
    // The upstream refuses connections or no longer answers.
    std::function<void(const Upstream *lost)> reportLost;
};

// Fence and expiry that are sent with a request.
struct UpstreamGrant
{
    Slot slot = 0;
    Epoch epoch = 0;
    Time expires{}; // CLOCK_BOOTTIME, which the process and the upstream share
};

class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
    static std::shared_ptr<Upstream> create(const Announcement &announcement,
                                            UpstreamSettings settings,
                                            const std::vector<FiberThread *> &workers,
                                            UpstreamHooks hooks);
    ~Upstream();

    // Returns whether an announcement has the service and the address of this upstream, and this
    // upstream is not lost.
    bool isSameAs(const Announcement &announcement) const;

    // Applies a repeated announcement.
    void announce(const Announcement &announcement);

    // Waits until the limiter admits the request. Returns None, or the reason why the request must
    // not be sent. After None, the caller must end the request with call() or finish().
    ErrorKind admit(asio::io_context &io, RequestNumber number, Time deadline);

    // Sends an admitted request, waits for the answer and ends the request.
    RoutedAnswer call(std::size_t worker, RequestNumber number, const RoutedRequest &request,
                      const UpstreamGrant &grant);

    // Ends an admitted request that was not sent.
    void finish(RequestNumber number, CallEnd end);

    void noteFirstAttempt(Time now);
    bool mayRetry(const RetryContext &context);
    Duration serviceTime() const;
    double utilisation() const;

private:
    struct Waiter;

    Upstream(const Announcement &announcement, UpstreamSettings settings,
             const std::vector<FiberThread *> &workers, UpstreamHooks hooks);
    void wakeAdmitted();
    void noteEnd(std::size_t worker, CallEnd end);
    // Marks the upstream as lost if it is frozen. Returns true only at that change. Call with
    // `mutex` held.
    bool markLostIfFrozen();
    void reportFrozen();
    void startProbe(std::size_t worker, bool suspectRunning);
    void probe(std::size_t worker, std::vector<Fingerprint> running);
    void waitForFirstAttempt(std::size_t worker);

    Announcement info;
    UpstreamHooks hooks;
    std::vector<FiberThread *> workers;
    std::vector<std::unique_ptr<HttpClient>> clients; // one per worker
    mutable std::mutex mutex;                         // guards the members below
    EndpointLimiter limiter;
    RetryBudget retryBudget;
    std::unordered_map<RequestNumber, std::shared_ptr<Waiter>> waiters;
    std::unordered_map<RequestNumber, Fingerprint> running;
    int consecutiveTimeouts = 0;
    std::optional<Time> silentSince; // start of the time without an answer while calls run
    bool probing = false;
    bool firstAttemptDone = false; // whether the first attempt of the current probe has ended
    bool lost = false;
};

// Returns a random number from the system.
std::uint64_t makeRandomNumber();

} // namespace kumquat
