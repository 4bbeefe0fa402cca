// What operators have published: routes, services and limits of callers.
//
//   const Route *route = configuration.match("shop.example", "/orders/17");
//
// Sections: routes, services, limits, Configuration, RouteSplitter.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// ---- Routes ----

struct ServiceWeight
{
    std::string service;
    std::uint32_t weight = 0;
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
    std::uint32_t maxConnections = 0; // of one upstream, from all callers
    bool hasKeys = false;             // each request's key is owned by one upstream
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
// their weights. Not thread-safe.
class RouteSplitter
{
public:
    const std::string &pick(const Route &route);

private:
    std::map<std::string, std::vector<double>, std::less<>> credits; // by route
};

} // namespace kumquat
