#include "routing/configuration_check.h"

#include "base/durations.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace kumquat {
namespace {

using Findings = std::vector<ConfigurationFinding>;

std::string formatMs(Duration duration)
{
    return std::to_string(toMilliseconds(duration)) + " ms";
}

std::string formatRegions(const std::vector<std::string> &regions)
{
    std::string text;
    for (const std::string &region : regions) {
        text += (text.empty() ? "" : ", ") + region;
    }
    return text.empty() ? "all" : text;
}

std::string formatServices(const std::vector<ServiceWeight> &services)
{
    std::string text;
    for (const ServiceWeight &part : services) {
        text += (text.empty() ? "" : ", ") + part.service + " (" + std::to_string(part.weight)
                + ")";
    }
    return text;
}

std::string formatKind(const Route &route)
{
    return route.hasLargeAnswers ? "download"
           : route.isIdempotent  ? "idempotent"
                                 : "not idempotent";
}

void checkServices(const Configuration &configuration, const Route &route, Findings &findings)
{
    std::set<std::string> seen;
    for (const ServiceWeight &part : route.services) {
        if (configuration.service(part.service) == nullptr) {
            findings.push_back({FindingKind::Error, "route " + route.name,
                                "service " + part.service + " is not configured"});
        }
        if (!seen.insert(part.service).second) {
            findings.push_back({FindingKind::Error, "route " + route.name,
                                "service " + part.service + " has two weights"});
        }
    }
}

// A request matches by host name without port and by path without query.
void checkMatch(const Route &route, Findings &findings)
{
    if (route.host.find(':') != std::string::npos) {
        findings.push_back({FindingKind::Unreachable, "route " + route.name,
                            "host " + route.host + " has a port, which no request matches"});
    }
    if (route.prefix.find_first_of("?#") != std::string::npos) {
        findings.push_back({FindingKind::Unreachable, "route " + route.name,
                            "prefix " + route.prefix + " has a query, which no path contains"});
    }
    if (!route.prefix.ends_with('/')) {
        findings.push_back({FindingKind::Error, "route " + route.name,
                            "prefix " + route.prefix
                                    + " does not end with a slash and also matches longer names"});
    }
}

void checkLimitsOf(const Route &route, Findings &findings)
{
    const std::string subject = "route " + route.name;
    if (route.objective > route.timeout) {
        findings.push_back({FindingKind::Contradiction, subject,
                            "the objective of " + formatMs(route.objective)
                                    + " is longer than the timeout of " + formatMs(route.timeout)});
    }
    if (route.maxAttempts > 1 && !route.isIdempotent) {
        findings.push_back({FindingKind::Contradiction, subject,
                            std::to_string(route.maxAttempts)
                                    + " attempts, but a request that is not idempotent is sent "
                                      "again only if it has not run"});
    }
}

void checkDuplicates(const Configuration &configuration, Findings &findings)
{
    std::map<std::pair<std::string, std::string>, std::string> byMatch;
    std::set<std::string> names;
    for (const Route &route : configuration.routes) {
        const auto [entry, isFirst] = byMatch.try_emplace({route.host, route.prefix}, route.name);
        if (!isFirst) {
            findings.push_back({FindingKind::Unreachable, "route " + route.name,
                                "route " + entry->second + " matches " + route.host + route.prefix
                                        + " first"});
        }
        if (!names.insert(route.name).second) {
            findings.push_back(
                    {FindingKind::Error, "route " + route.name, "two routes have this name"});
        }
    }
}

void checkUnusedServices(const Configuration &configuration, Findings &findings)
{
    std::set<std::string> used;
    for (const Route &route : configuration.routes) {
        for (const ServiceWeight &part : route.services) {
            used.insert(part.service);
        }
    }
    for (const auto &[name, service] : configuration.services) {
        if (!used.contains(name)) {
            findings.push_back({FindingKind::Unreachable, "service " + name, "no route uses it"});
        }
    }
}

void checkCallerLimits(const CallerLimits &limits, Findings &findings)
{
    if (limits.headerTimeout > limits.idleTimeout) {
        findings.push_back({FindingKind::Contradiction, "limits",
                            "the header timeout of " + formatMs(limits.headerTimeout)
                                    + " is longer than the idle timeout of "
                                    + formatMs(limits.idleTimeout)});
    }
}

// Adds a change if the two texts differ.
void compare(const std::string &subject, const std::string &what, const std::string &before,
             const std::string &after, Findings &findings)
{
    if (before != after) {
        findings.push_back({FindingKind::Change, subject, what + ": " + before + " -> " + after});
    }
}

void compareRoutes(const Route &before, const Route &after, Findings &findings)
{
    const std::string subject = "route " + after.name;
    compare(subject, "match", before.host + before.prefix, after.host + after.prefix, findings);
    compare(subject, "kind", formatKind(before), formatKind(after), findings);
    compare(subject, "timeout", formatMs(before.timeout), formatMs(after.timeout), findings);
    compare(subject, "objective", formatMs(before.objective), formatMs(after.objective), findings);
    compare(subject, "priority", std::to_string(before.priority), std::to_string(after.priority),
            findings);
    compare(subject, "attempts", std::to_string(before.maxAttempts),
            std::to_string(after.maxAttempts), findings);
    compare(subject, "services", formatServices(before.services), formatServices(after.services),
            findings);
    compare(subject, "regions", formatRegions(before.allowedRegions),
            formatRegions(after.allowedRegions), findings);
}

void compareServices(const ServiceInfo &before, const ServiceInfo &after, Findings &findings)
{
    const std::string subject = "service " + after.name;
    compare(subject, "connections", std::to_string(before.maxConnections),
            std::to_string(after.maxConnections), findings);
    compare(subject, "divided by key", before.hasKeys ? "yes" : "no", after.hasKeys ? "yes" : "no",
            findings);
    compare(subject, "requests per second while cold", std::to_string(before.coldPerSecond),
            std::to_string(after.coldPerSecond), findings);
}

void compareLimits(const CallerLimits &before, const CallerLimits &after, Findings &findings)
{
    compare("limits", "header bytes", std::to_string(before.maxHeaderBytes),
            std::to_string(after.maxHeaderBytes), findings);
    compare("limits", "body bytes", std::to_string(before.maxBodyBytes),
            std::to_string(after.maxBodyBytes), findings);
    compare("limits", "header timeout", formatMs(before.headerTimeout),
            formatMs(after.headerTimeout), findings);
    compare("limits", "idle timeout", formatMs(before.idleTimeout), formatMs(after.idleTimeout),
            findings);
}

const Route *findRoute(const Configuration &configuration, const std::string &name)
{
    const auto found = std::find_if(configuration.routes.begin(), configuration.routes.end(),
                                    [&name](const Route &route) { return route.name == name; });
    return found == configuration.routes.end() ? nullptr : &*found;
}

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const Configuration &configuration)
{
    Findings findings;
    for (const Route &route : configuration.routes) {
        checkServices(configuration, route, findings);
        checkMatch(route, findings);
        checkLimitsOf(route, findings);
    }
    checkDuplicates(configuration, findings);
    checkUnusedServices(configuration, findings);
    checkCallerLimits(configuration.limits, findings);
    return findings;
}

std::vector<ConfigurationFinding> compareConfigurations(const Configuration &inForce,
                                                        const Configuration &next)
{
    Findings findings;
    if (next.version <= inForce.version) {
        findings.push_back({FindingKind::Error, "version",
                            std::to_string(next.version) + " is not above "
                                    + std::to_string(inForce.version)
                                    + ", so no process would apply it"});
    }
    for (const Route &route : next.routes) {
        const Route *before = findRoute(inForce, route.name);
        if (before == nullptr) {
            findings.push_back({FindingKind::Change, "route " + route.name,
                                "added: " + route.host + route.prefix});
        } else {
            compareRoutes(*before, route, findings);
        }
    }
    for (const Route &route : inForce.routes) {
        if (findRoute(next, route.name) == nullptr) {
            findings.push_back({FindingKind::Change, "route " + route.name,
                                "removed: " + route.host + route.prefix});
        }
    }
    for (const auto &[name, service] : next.services) {
        const ServiceInfo *before = inForce.service(name);
        if (before == nullptr) {
            findings.push_back({FindingKind::Change, "service " + name, "added"});
        } else {
            compareServices(*before, service, findings);
        }
    }
    for (const auto &[name, service] : inForce.services) {
        if (next.service(name) == nullptr) {
            findings.push_back({FindingKind::Change, "service " + name, "removed"});
        }
    }
    compareLimits(inForce.limits, next.limits, findings);
    return findings;
}

} // namespace kumquat
