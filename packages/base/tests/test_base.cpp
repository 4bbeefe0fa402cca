#include "base/address.h"
#include "base/compression.h"
#include "base/errors.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/timer.h"

#include <catch2/catch.hpp>

using namespace kumquat;

// Guards against an error kind that has no row in the table or the name of another kind.
TEST_CASE("every error kind has its own row")
{
    for (int index = 0; index < errorKindCount; ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        REQUIRE(errorInfo(kind).kind == kind);
        REQUIRE(findErrorKind(errorInfo(kind).name) == kind);
    }
}

TEST_CASE("a status carries its kind")
{
    REQUIRE(errorKindOf(makeError(ErrorKind::NoRule, "no rule")) == ErrorKind::NoRule);
    REQUIRE(errorKindOf(absl::OkStatus()) == ErrorKind::None);
    REQUIRE(errorKindOf(absl::InternalError("other")) == ErrorKind::Internal);
}

TEST_CASE("addresses are numeric and have a port")
{
    REQUIRE(Address::parse("127.0.0.1:80")->toString() == "127.0.0.1:80");
    REQUIRE(Address::parse("[::1]:80")->toString() == "[::1]:80");
    for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                             "127.0.0.1:x", ":80", ""}) {
        REQUIRE_FALSE(Address::parse(text).ok());
    }
}

// Guards against a change of the key hash: processes of two versions would then map the same key to
// different slots.
TEST_CASE("the hash of a key is fixed")
{
    REQUIRE(hashKey("testlog", "D-1") == hashBytes(std::string_view("testlog\0D-1", 11)));
    REQUIRE(hashBytes("") == 0xef46db3751d8e999ULL);
}

// Guards against a busy host whose log lines about requests leave no room for lines about its own
// state, and cost more than the refused requests that they describe.
TEST_CASE("request lines leave room for other log lines until the next flush")
{
    LogQuota quota;
    std::size_t requestLines = 0;
    for (int i = 0; i < 1000; ++i) {
        requestLines += quota.hasRoom(LogQuota::maxRequestLines) && quota.tryAdd() ? 1 : 0;
    }
    CHECK(requestLines == LogQuota::maxRequestLines);
    CHECK(quota.tryAdd());
    for (int i = 0; i < 1000; ++i) {
        quota.tryAdd();
    }
    CHECK_FALSE(quota.hasRoom());
    CHECK(quota.droppedCount() > 0);
    quota.noteFlush();
    CHECK(quota.hasRoom(LogQuota::maxRequestLines));
}

TEST_CASE("a log line quotes values with spaces")
{
    REQUIRE(formatLogLine(LogPart::Lease, "lease granted", {{"session", "42"}, {"why", "a b"}})
            == "lease: lease granted session=42 why=\"a b\"");
}

TEST_CASE("timers run in order and skip missed periods")
{
    TimerService timers;
    std::vector<int> calls;
    timers.subscribeAt(20ms, [&](Time) { calls.push_back(1); });
    const TimerId periodic = timers.subscribeEvery(10ms, 0ms, [&](Time) { calls.push_back(2); });
    REQUIRE(timers.nextDue() == Time(10ms));
    timers.advance(100ms);
    REQUIRE(calls == std::vector<int>{2, 1});
    REQUIRE(timers.nextDue() == Time(110ms));
    timers.unsubscribe(periodic);
    REQUIRE_FALSE(timers.nextDue().has_value());
}

// Guards against accepting a text that was truncated or altered during transfer.
TEST_CASE("an incomplete or altered compressed text is refused")
{
    std::string text;
    for (int i = 0; i < 500; ++i) {
        text += "sidecar-east-" + std::to_string(i % 7) + " ";
    }
    const std::string packed = deflateText(text);
    CHECK(packed.size() < text.size() / 10);
    CHECK(*inflateText(packed, text.size()) == text);
    CHECK(*inflateText(deflateText(""), 0) == "");
    CHECK_FALSE(inflateText(packed, text.size() - 1).ok());
    CHECK_FALSE(inflateText(packed, text.size() + 1).ok());
    CHECK_FALSE(inflateText(packed.substr(0, packed.size() / 2), text.size()).ok());
    CHECK_FALSE(inflateText("no stream", 9).ok());
    CHECK_FALSE(inflateText("", 0).ok());
}
