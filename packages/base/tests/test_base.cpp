#include "base/address.h"
#include "base/compression.h"
#include "base/errors.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/timer.h"

#include <catch2/catch.hpp>

using namespace kumquat;

// Guards against a kind without an answer or with the name of another.
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

// Guards against a change of the key hash, after which processes of two versions would disagree.
TEST_CASE("the hash of a key is fixed")
{
    REQUIRE(hashKey("testlog", "D-1") == hashBytes(std::string_view("testlog\0D-1", 11)));
    REQUIRE(hashBytes("") == 0xef46db3751d8e999ULL);
}

// Guards against a busy host whose lines of requests leave no room for what it believes, and cost
// more than the refusals that they tell of.
TEST_CASE("lines of requests leave room for others until the next flush")
{
    LogQuota quota;
    std::size_t ofRequests = 0;
    for (int i = 0; i < 1000; ++i) {
        ofRequests += quota.hasRoom(LogQuota::mostOfRequests) && quota.take() ? 1 : 0;
    }
    CHECK(ofRequests == LogQuota::mostOfRequests);
    CHECK(quota.take());
    for (int i = 0; i < 1000; ++i) {
        quota.take();
    }
    CHECK_FALSE(quota.hasRoom());
    CHECK(quota.droppedCount() > 0);
    quota.noteFlush();
    CHECK(quota.hasRoom(LogQuota::mostOfRequests));
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
    const TimerId every = timers.subscribeEvery(10ms, 0ms, [&](Time) { calls.push_back(2); });
    REQUIRE(timers.nextDue() == Time(10ms));
    timers.advance(100ms);
    REQUIRE(calls == std::vector<int>{2, 1});
    REQUIRE(timers.nextDue() == Time(110ms));
    timers.unsubscribe(every);
    REQUIRE_FALSE(timers.nextDue().has_value());
}

// Guards against a text that is cut short or altered on its way and still read.
TEST_CASE("a compressed text is read whole or not at all")
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
