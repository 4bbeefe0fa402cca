// Tests the check of a configuration before it is published.
#include "routing/configuration_check.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace kumquat;

namespace {

Configuration makeConfiguration()
{
    Configuration configuration{.version = 7};
    configuration.services["store"] = {.name = "store"};
    configuration.routes = {{.name = "read",
                             .host = "shop.example",
                             .prefix = "/items/",
                             .isIdempotent = true,
                             .timeout = 2s,
                             .objective = 500ms,
                             .maxAttempts = 2,
                             .services = {{.service = "store", .weight = 1}}}};
    return configuration;
}

bool hasFinding(const std::vector<ConfigurationFinding> &findings, FindingKind kind,
                const std::string &subject, const std::string &part)
{
    return std::any_of(findings.begin(), findings.end(), [&](const ConfigurationFinding &finding) {
        return finding.kind == kind && finding.subject == subject
               && finding.text.find(part) != std::string::npos;
    });
}

} // namespace

TEST_CASE("a sound configuration has no findings", "[configuration_check]")
{
    CHECK(checkConfiguration(makeConfiguration()).empty());
    CHECK(compareConfigurations(makeConfiguration(), makeConfiguration()).size() == 1); // version
}

// Guards against a published route whose requests no service can run.
TEST_CASE("a route to a service that is not configured is an error", "[configuration_check]")
{
    Configuration configuration = makeConfiguration();
    configuration.routes[0].services[0].service = "strore";
    const auto findings = checkConfiguration(configuration);
    CHECK(hasFinding(findings, FindingKind::Error, "route read", "strore is not configured"));
    CHECK(hasFinding(findings, FindingKind::Unreachable, "service store", "no route"));
}

// Guards against rules that operators believe to be in force and that never match.
TEST_CASE("entries that never match are found", "[configuration_check]")
{
    Configuration configuration = makeConfiguration();
    configuration.routes.push_back(configuration.routes[0]);
    configuration.routes[1].name = "copy";
    configuration.routes.push_back(configuration.routes[0]);
    configuration.routes[2].name = "port";
    configuration.routes[2].host = "shop.example:80";
    configuration.routes.push_back(configuration.routes[0]);
    configuration.routes[3].name = "query";
    configuration.routes[3].prefix = "/items/?page=1/";
    const auto findings = checkConfiguration(configuration);
    CHECK(hasFinding(findings, FindingKind::Unreachable, "route copy", "route read matches"));
    CHECK(hasFinding(findings, FindingKind::Unreachable, "route port", "port"));
    CHECK(hasFinding(findings, FindingKind::Unreachable, "route query", "query"));
}

// Guards against limits of which one makes the other useless.
TEST_CASE("limits that contradict each other are found", "[configuration_check]")
{
    Configuration configuration = makeConfiguration();
    configuration.routes[0].objective = 3s;
    configuration.routes[0].isIdempotent = false;
    configuration.limits.headerTimeout = 20s;
    const auto findings = checkConfiguration(configuration);
    CHECK(hasFinding(findings, FindingKind::Contradiction, "route read", "objective of 3000 ms"));
    CHECK(hasFinding(findings, FindingKind::Contradiction, "route read", "attempts"));
    CHECK(hasFinding(findings, FindingKind::Contradiction, "limits", "header timeout"));
}

// Guards against a change that an operator did not mean, and against a version that is ignored.
TEST_CASE("the differences from the configuration in force are listed", "[configuration_check]")
{
    const Configuration inForce = makeConfiguration();
    Configuration next = makeConfiguration();
    next.version = 8;
    next.routes[0].timeout = 1s;
    next.routes[0].allowedRegions = {"north"};
    next.services["other"] = {.name = "other"};
    const auto changes = compareConfigurations(inForce, next);
    CHECK(changes.size() == 3);
    CHECK(hasFinding(changes, FindingKind::Change, "route read", "timeout: 2000 ms -> 1000 ms"));
    CHECK(hasFinding(changes, FindingKind::Change, "route read", "regions: all -> north"));
    CHECK(hasFinding(changes, FindingKind::Change, "service other", "added"));
    CHECK(hasFinding(compareConfigurations(next, inForce), FindingKind::Error, "version", "8"));
    CHECK(hasFinding(compareConfigurations(next, inForce), FindingKind::Change, "service other",
                     "removed"));
}
