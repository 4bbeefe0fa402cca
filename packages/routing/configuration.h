// What operators have published: routes, services and limits of callers.
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
    Duration timeout{};                  // a caller waits at most so long
    Duration objective{};                // answers within it are worth most
    std::uint32_t priority = 0;          // 0 is the highest
    std::uint32_t maxAttempts = 1;       // upstreams to which one request may be sent
    std::vector<ServiceWeight> services; // one, or several that share the requests by weight
};

// ---- Services ----

struct ServiceInfo
{
    std::string name;
    std::uint32_t maxConnections = 0;   // of one upstream, from all callers
    bool hasKeys = false;               // each request's key is owned by one upstream
    std::optional<GrantMode> grantMode; // of its keys; not set: as the settings of a process say
};

// ---- Limits ----

// What a caller may send and how long it may take.
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
    std::uint64_t version = 0; // grows with each publication
    std::vector<Route> routes;
    std::map<std::string, ServiceInfo, std::less<>> services;
    CallerLimits limits;

    // Returns the route of this host with the longest prefix of the path, or nullptr. `host` may
    // carry a port, `path` a query.
    const Route *match(std::string_view host, std::string_view path) const;

    const ServiceInfo *service(std::string_view name) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

// ---- RouteSplitter ----

// Spreads the requests of a route over its services so that each short run of requests already has
// their weights. Each process starts at a place of its own in the sequence, as one that gets few
// requests sees only its beginning. Not thread-safe.
class RouteSplitter
{
public:
    // `splitterSeed`: differs from process to process.
    explicit RouteSplitter(std::uint64_t splitterSeed)
        : seed(splitterSeed)
    {}

    const std::string &pick(const Route &route);

private:
    // Place in the sequence of one route.
    struct Split
    {
        std::vector<ServiceWeight> services;
        std::vector<std::int64_t> credits; // of the services; the next pick has most
    };

    Split makeSplit(const Route &route) const;
    static std::size_t advance(Split &split);

    std::uint64_t seed;
    std::map<std::string, Split, std::less<>> splits; // by route
};

} // namespace kumquat
