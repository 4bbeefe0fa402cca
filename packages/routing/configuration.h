// The configuration that operators publish: routes, services and limits for callers.
//
//   const Route *route = configuration.match("shop.example", "/orders/17");
//
// Sections: routes, services, limits, Configuration, RouteSplitter.
#pragma once

#include "base/time.h"
#include "keyspace/hold_report.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// ---- Routes ----

struct ServiceWeight
{
    std::string service;
    std::uint32_t weight = 0;

    bool operator==(const ServiceWeight &) const = default;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    bool isIdempotent = false;
    bool hasLargeAnswers = false;            // a download; its requests are idempotent
    std::vector<std::string> allowedRegions; // whose upstreams may run it; empty: all
    Duration timeout{};                      // maximum time that a caller waits
    Duration objective{};                    // target time; answers within it have the most value
    std::uint32_t priority = 0;              // 0 is the highest
    std::uint32_t maxAttempts = 1;       // maximum number of upstreams to which one request is sent
    std::vector<ServiceWeight> services; // one or more, which share the requests by weight
};

// ---- Services ----

struct ServiceInfo
{
    std::string name;
    std::uint32_t maxConnections = 0; // maximum for one upstream, from all callers
    bool hasKeys = false;             // each key is owned by one upstream at a time
    double coldPerSecond = 0; // requests that a cold upstream tolerates per second; 0: no limit
    std::optional<GrantMode> grantMode; // for its keys; not set: that of the process settings
};

// ---- Limits ----

// Limits for the size of a caller's request and for the time to send it.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    Duration headerTimeout = 3s;
    Duration idleTimeout = 15s;
};

// ---- Configuration ----

struct Configuration
{
    std::uint64_t version = 0; // increases with each publication
    std::vector<Route> routes;
    std::map<std::string, ServiceInfo, std::less<>> services;
    CallerLimits limits;

    // Returns the route of the host that has the longest matching prefix of the path, or nullptr.
    // `host` may include a port, `path` a query.
    const Route *match(std::string_view host, std::string_view path) const;

    // Returns a service by its name, or nullptr.
    const ServiceInfo *service(std::string_view name) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

// ---- RouteSplitter ----

// Distributes the requests of a route over its services by smooth weighted round robin, so that
// even a short run of requests matches the weights. Each process starts at a different position of
// the sequence. Otherwise processes that get few requests would all use only the beginning of the
// sequence. Not thread-safe.
class RouteSplitter
{
public:
    // `splitterSeed`: should differ between processes.
    explicit RouteSplitter(std::uint64_t splitterSeed)
        : seed(splitterSeed)
    {}

    // Returns the service for the next request of the route.
    const std::string &pick(const Route &route);

private:
    // Position in the sequence of one route.
    struct Split
    {
        std::vector<ServiceWeight> services;
        std::vector<std::int64_t> credits; // by service; the highest credit is picked next
    };

    Split makeSplit(const Route &route) const;
    static std::size_t advance(Split &split);

    std::uint64_t seed;
    std::map<std::string, Split, std::less<>> splits; // by route name
};

} // namespace kumquat
