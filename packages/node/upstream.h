// One upstream: its limiter, retry budget, connections and signs of failure. Nothing here is shared
// with another upstream, so trouble of one does not reach another.
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

// What an upstream says about itself in POST /announce.
struct Announcement
{
    std::string service;
    Address address;
    bool checksGrants = false;
    std::uint32_t slots = 10;       // requests that it runs at a time
    std::uint32_t connections = 70; // that it accepts
    bool draining = false;
};

struct UpstreamSettings
{
    std::size_t queueLength = 128;
    std::uint32_t initialConcurrency = 0; // 0: the announced slots
};

class Upstream;

// Both may be called on any worker thread.
struct UpstreamHooks
{
    std::function<void(const std::vector<Fingerprint> &running)> reportCrash;
    // The upstream refuses connections or does not answer any more.
    std::function<void(const Upstream *lost)> reportLost;
};

// Fence and deadline that go along with a request.
struct UpstreamGrant
{
    Slot slot = 0;
    Epoch epoch = 0;
    Time expires{}; // CLOCK_BOOTTIME, which process and upstream share
};

class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
    static std::shared_ptr<Upstream> create(const Announcement &announcement,
                                            UpstreamSettings settings,
                                            const std::vector<FiberThread *> &workers,
                                            UpstreamHooks hooks);
    ~Upstream();

    // Returns whether an announcement is from this upstream and not from another one in its place.
    bool isSameAs(const Announcement &announcement) const;

    // Notes a repeated announcement.
    void announce(const Announcement &announcement);

    // Waits for room. Returns None, or why the request is not dispatched. After None, end the
    // request by call() or finish().
    ErrorKind admit(asio::io_context &io, RequestNumber number, Time deadline);

    // Sends an admitted request and returns the answer.
    RoutedAnswer call(std::size_t worker, RequestNumber number, const RoutedRequest &request,
                      const UpstreamGrant &grant);

    // Ends an admitted request that was not sent.
    void finish(RequestNumber number, CallEnd end);

    void noteFirstAttempt(Time now);
    bool mayRetry(const RetryContext &question);
    Duration serviceTime() const;
    double utilisation() const;

private:
    struct Waiter;

    Upstream(const Announcement &announcement, UpstreamSettings settings,
             const std::vector<FiberThread *> &workers, UpstreamHooks hooks);
    void wakeAdmitted();
    void noteEnd(std::size_t worker, CallEnd end);
    bool takeFrozen(); // true once, when the upstream is frozen; call with the lock
    void reportFrozen();
    void startProbe(std::size_t worker, bool blameRunning);
    void probe(std::size_t worker, std::vector<Fingerprint> running);
    void waitForFirstProbe(std::size_t worker);

    Announcement info;
    UpstreamHooks hooks;
    std::vector<FiberThread *> workers;
    std::vector<std::unique_ptr<HttpClient>> clients; // one per worker
    mutable std::mutex mutex;                         // guards the members below
    EndpointLimiter limiter;
    RetryBudget retryBudget;
    std::unordered_map<RequestNumber, std::shared_ptr<Waiter>> waiters;
    std::unordered_map<RequestNumber, Fingerprint> running;
    int timeoutsInARow = 0;
    std::optional<Time> silentSince; // start of the first call since the last answer
    bool probing = false;
    bool probedOnce = false; // since the probe started
    bool lost = false;
};

// Returns a random number from the system.
std::uint64_t makeRandomNumber();

} // namespace kumquat
