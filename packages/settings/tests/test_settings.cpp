#include "base/errors.h"
#include "settings/settings.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace kumquat;

namespace {

const std::string listen = R"("listen": {"callers": "127.0.0.1:1", "admin": "127.0.0.1:2",
    "mesh": "[::1]:3"})";
const std::string required = R"("node": "n-1", "region": "kochi", "dataCentre": "kochi-a",
    "log": ["127.0.0.1:9", "127.0.0.1:10"], )"
                             + listen;

std::string faultsOf(const std::string &text)
{
    const auto settings = parseSettings(text);
    return settings.ok() ? "" : std::string(settings.status().message());
}

} // namespace

TEST_CASE("members and defaults are read")
{
    const auto minimal = parseSettings("{" + required + "}");
    REQUIRE(minimal.ok());
    REQUIRE(minimal->listen.mesh.toString() == "[::1]:3");
    REQUIRE(minimal->log.size() == 2);
    REQUIRE(minimal->workers == 2);
    REQUIRE(minimal->drainLimit == 20s);
    REQUIRE(minimal->retention == 24h);
    REQUIRE(minimal->weightUnavailable == 0.5);
    REQUIRE_FALSE(minimal->faultInjection);
    const auto full = parseSettings("{" + required + R"(, "logLevel": "debug", "workers": 64,
        "drainLimitMs": 5, "retentionMs": 1000, "weightUnavailable": 1, "faultInjection": true,
        "limits": {"queueLength": 0, "initialConcurrency": 7, "maxBodyBytes": 1},
        "objectives": [{"name": "reads", "pathPrefix": "/testlog/", "availability": 0.999,
                        "latencyMs": 9, "latencyShare": 0.99}]})");
    REQUIRE(full.ok());
    REQUIRE(full->logLevel == LogLevel::Debug);
    REQUIRE(full->drainLimit == 5ms);
    REQUIRE(full->faultInjection);
    REQUIRE(full->limits.initialConcurrency == 7);
    REQUIRE(full->objectives == std::vector<Objective>{{"reads", "/testlog/", 0.999, 9ms, 0.99}});
}

// Guards against a process that starts with invalid or unknown settings, and so with other settings
// than its operator intended.
TEST_CASE("all faults are reported at once by JSON path")
{
    REQUIRE(faultsOf(R"({"listen": {"admin": "localhost:2", "mesh": "127.0.0.1:3", "x/y": 1},
        "log": [], "node": "a b", "region": 1, "workers": 65, "weightUnavailable": 1.5,
        "drainLimitMs": 2.5, "retentionMs": 18446744073709551615, "logLevel": "loud",
        "limits": [], "objectives": {}, "faultInjection": 1, "colour": null})")
            == "/node: \"a b\"; expected 1 to 64 letters, digits, \"-\", \"_\" or \".\"\n"
               "/region: 1; expected 1 to 64 letters, digits, \"-\", \"_\" or \".\"\n"
               "/dataCentre: missing; expected 1 to 64 letters, digits, \"-\", \"_\" or \".\"\n"
               "/listen/callers: missing; expected \"IP:port\"\n"
               "/listen/admin: \"localhost:2\"; expected \"IP:port\"\n"
               "/listen/x~1y: unknown member; expected one of admin, callers, mesh\n"
               "/log: empty; expected an array of at least one \"IP:port\"\n"
               "/logLevel: \"loud\"; expected debug, info, warning or error\n"
               "/workers: 65; expected a whole number from 1 to 64\n"
               "/drainLimitMs: 2.5; expected a whole number from 1 to 3600000\n"
               "/retentionMs: 18446744073709551615; expected a whole number from 1000 to "
               "31536000000\n"
               "/weightUnavailable: 1.5; expected a number from 0 to 1\n"
               "/limits: []; expected an object\n"
               "/objectives: wrong type; expected an array\n"
               "/faultInjection: 1; expected true or false\n"
               "/colour: unknown member; expected one of dataCentre, drainLimitMs, faultInjection, "
               "limits, listen, log, logLevel, node, objectives, region, retentionMs, "
               "weightUnavailable, workers");
    REQUIRE(faultsOf("[]") == "/: []; expected an object");
}

TEST_CASE("duplicates are faults")
{
    const std::string reads = R"({"name": "reads", "pathPrefix": "/", "availability": 0.9,
        "latencyMs": 9, "latencyShare": 0.9, "latencyMs": 8})";
    REQUIRE(faultsOf("{" + required + R"(, "workers": 1, "workers": 2, "objectives": [)" + reads
                     + ", " + reads + "]}")
            == "/workers: duplicate member; expected it once\n"
               "/objectives/0/latencyMs: duplicate member; expected it once\n"
               "/objectives/1/latencyMs: duplicate member; expected it once\n"
               "/objectives/1/name: duplicate of /objectives/0/name; expected each name once");
    REQUIRE(faultsOf(R"({"node": "n", "region": "r", "dataCentre": "d", "log": ["[::1]:1", 3,
        "[::1]:1"], "listen": {"callers": "127.0.0.1:1", "admin": "127.0.0.1:1",
        "mesh": "127.0.0.1:1"}})")
            == "/listen/admin: same address as /listen/callers; expected another \"IP:port\"\n"
               "/listen/mesh: same address as another listener; expected another \"IP:port\"\n"
               "/log/1: 3; expected \"IP:port\"\n"
               "/log/2: duplicate address; expected each once");
}

// Guards against a share of 0 or 1: every measurement would meet the objective, or a single failure
// would miss it.
TEST_CASE("shares of objectives lie between 0 and 1")
{
    REQUIRE(faultsOf("{" + required + R"(, "objectives": [{"name": "", "pathPrefix": "x",
        "availability": 1, "latencyMs": 0, "latencyShare": 0}]})")
            == "/objectives/0/name: \"\"; expected 1 to 64 letters, digits, \"-\", \"_\" or \".\"\n"
               "/objectives/0/pathPrefix: \"x\"; expected a path that starts with \"/\"\n"
               "/objectives/0/availability: 1; expected a share above 0 and below 1\n"
               "/objectives/0/latencyMs: 0; expected a whole number from 1 to 60000\n"
               "/objectives/0/latencyShare: 0; expected a share above 0 and below 1");
}

TEST_CASE("a syntax error is reported with line and column")
{
    REQUIRE(faultsOf("{\n  \"node\": x}").starts_with("line 2, column 11: "));
    REQUIRE(faultsOf("").starts_with("line 1, column 1: "));
    REQUIRE(faultsOf("{\"a\": 1e999}").find("1e999") != std::string::npos);
    REQUIRE(faultsOf(std::string(100'000, '[')).starts_with("line 1, column 100001: "));
    for (const char *path : {"no-such-settings.json", "."}) {
        const auto missing = loadSettings(path);
        REQUIRE(errorKindOf(missing.status()) == ErrorKind::SettingsInvalid);
        REQUIRE(missing.status().message().find("cannot be read") != absl::string_view::npos);
    }
}

TEST_CASE("any input yields settings or faults")
{
    rc::prop("random bytes", [](const std::string &text) {
        RC_ASSERT(errorKindOf(parseSettings(text).status()) == ErrorKind::SettingsInvalid);
    });
    rc::prop("valid settings with one changed byte", [](char byte) {
        std::string text = "{" + required + "}";
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = byte;
        const auto settings = parseSettings(text);
        RC_ASSERT(settings.ok() || !settings.status().message().empty());
    });
}
