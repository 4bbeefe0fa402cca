#include "base/errors.h"
#include "traffic/breaker.h"
#include "traffic/crash_guard.h"
#include "traffic/limiter.h"
#include "traffic/request_memory.h"
#include "traffic/retry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace kumquat;

namespace {

RequestId makeId(std::uint64_t number)
{
    return {.high = 0x7000 + (number << 16), .low = number};
}

StoredAnswer makeAnswer(std::size_t bytes)
{
    StoredAnswer answer;
    answer.body.assign(bytes, 'x');
    return answer;
}

} // namespace

// Guards against accepting ids that are not version 7 UUIDs: their time would be wrong.
TEST_CASE("request ids are version 7 UUIDs")
{
    const std::string text = "01890a5d-ac96-774b-bcce-b302099a8057";
    const absl::StatusOr<RequestId> id = RequestId::parse(text);
    REQUIRE(id.ok());
    REQUIRE(id->toString() == text);
    REQUIRE(id->time() == WallTime(0x01890a5dac96));
    REQUIRE(*RequestId::parse("01890A5D-AC96-774B-BCCE-B302099A8057") == *id);
    for (const char *bad :
         {"", "01890a5d-ac96-474b-bcce-b302099a8057", "01890a5d-ac96-774b-0cce-b302099a8057",
          "01890a5dac96-774b-bcce-b302099a8057-", "01890a5d-ac96-774b-bcce-b302099a805g"}) {
        REQUIRE(errorKindOf(RequestId::parse(bad).status()) == ErrorKind::MissingRequestId);
    }
}

// Guards against accepting an id that the request memory has already forgotten.
TEST_CASE("the age of a request id is bounded both ways")
{
    const WallTime now = 1'000'000s;
    const auto check = [&](WallTime time) {
        return errorKindOf(checkAge({static_cast<std::uint64_t>(time.count()) << 16, 0}, now));
    };
    REQUIRE(check(now - 120s) == ErrorKind::None);
    REQUIRE(check(now + 60s) == ErrorKind::None);
    REQUIRE(check(now - 120'001ms) == ErrorKind::RequestIdExpired);
    REQUIRE(check(now + 60'001ms) == ErrorKind::RequestIdExpired);
    REQUIRE(requestIdLifetime > maxRequestIdAge + maxRequestIdSkew);
}

// Guards against a suspect request that shares its fingerprint with another one.
TEST_CASE("a fingerprint separates the parts of a request")
{
    REQUIRE(fingerprintRequest("GET", "/a", "k", "b") == fingerprintRequest("GET", "/a", "k", "b"));
    REQUIRE(fingerprintRequest("GET", "/a", "k", "b") != fingerprintRequest("GET", "/ak", "", "b"));
    REQUIRE(fingerprintRequest("GET", "/a", "k", "") != fingerprintRequest("GET", "/a", "", "k"));
}

// Guards against a second run of an id that the owner has already seen.
TEST_CASE("the request memory answers repeated ids")
{
    RequestMemory memory;
    REQUIRE(memory.begin(makeId(1), 7, 1s).state == RequestState::Fresh);
    REQUIRE(memory.begin(makeId(1), 7, 2s).state == RequestState::InProgress);
    memory.finish(makeId(1), makeAnswer(10), 3s);
    memory.erase(makeId(1)); // has no effect: the request has run
    const BeginResult done = memory.begin(makeId(1), 7, 4s);
    REQUIRE(done.state == RequestState::Done);
    REQUIRE(done.answer->body.size() == 10);
    memory.begin(makeId(2), 7, 4s);
    memory.finish(makeId(2), std::nullopt, 5s);
    REQUIRE(memory.begin(makeId(2), 7, 6s).state == RequestState::Unknown);
    memory.begin(makeId(3), 7, 6s);
    memory.erase(makeId(3));
    REQUIRE(memory.begin(makeId(3), 7, 7s).state == RequestState::Fresh);
    REQUIRE(memory.begin(makeId(1), 7, 200s).state == RequestState::Done);
    REQUIRE(memory.begin(makeId(1), 7, 201s).state == RequestState::Fresh);
    REQUIRE(memory.begin(makeId(3), 7, 206s).state == RequestState::InProgress);
}

// Guards against unbounded storage of answers, and against ids that are dropped for lack of space.
TEST_CASE("the request memory drops the oldest answers but no ids")
{
    RequestMemorySettings settings;
    settings.maxAnswerBytes = 1000;
    settings.maxTotalAnswerBytes = 2500;
    settings.maxIds = 4;
    RequestMemory memory(settings);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        memory.begin(makeId(number), 0, 1s);
        memory.finish(makeId(number), makeAnswer(800), 1s);
    }
    memory.begin(makeId(4), 0, 1s);
    memory.finish(makeId(4), makeAnswer(1000), 1s);
    REQUIRE(memory.storedBytes() <= settings.maxTotalAnswerBytes);
    REQUIRE(memory.find(makeId(1), 2s).state == RequestState::Unknown);
    REQUIRE(memory.find(makeId(3), 2s).state == RequestState::Done);
    REQUIRE(memory.find(makeId(4), 2s).state == RequestState::Unknown);
    REQUIRE(memory.begin(makeId(5), 0, 2s).state == RequestState::Full);
    REQUIRE(memory.begin(makeId(5), 0, 201s).state == RequestState::Fresh);
    REQUIRE(memory.storedBytes() == 0);
}

// Guards against ids that are lost in a handover.
TEST_CASE("remembered ids move with their slots")
{
    RequestMemory from;
    from.begin(makeId(1), 10, 1s);
    from.finish(makeId(1), makeAnswer(1), 1s);
    from.begin(makeId(2), 20, 1s);
    from.begin(makeId(3), 30, 1s);
    const auto slotOfKey = [](std::uint64_t keyHash) { return static_cast<Slot>(keyHash / 10); };
    const std::vector<RememberedId> moved = from.collect({1, 2}, slotOfKey, 2s);
    REQUIRE(moved.size() == 2);
    RequestMemory to;
    to.import(moved, 2s);
    REQUIRE(to.begin(makeId(1), 10, 3s).state == RequestState::Unknown);
    REQUIRE(to.begin(makeId(2), 20, 3s).state == RequestState::Unknown);
    REQUIRE(to.begin(makeId(3), 30, 3s).state == RequestState::Fresh);
    REQUIRE(to.collect({1}, slotOfKey, 3s).front().done);
}

// Guards against a retry of a request that may have run, and against unbounded retries.
TEST_CASE("a retry needs a safe error, attempts, time and budget")
{
    RetryBudget budget({.share = 0.1, .floorPerSecond = 1, .maxCredit = 5});
    const auto decide = [&](RetryContext context) { return decideRetry(context, budget, 1s); };
    const RetryContext refused{.error = ErrorKind::UpstreamRefused, .remaining = 1s, .needed = 1ms};
    RetryContext context = refused;
    for (int index = 0; index < errorKindCount; ++index) {
        context.error = static_cast<ErrorKind>(index);
        if (errorInfo(context.error).outcome == Outcome::Unknown) {
            REQUIRE(decide(context) == RetryDecision::MayHaveRun);
        }
    }
    context.error = ErrorKind::Overloaded;
    REQUIRE(decide(context) == RetryDecision::Pointless);
    context = refused;
    context.attempts = 4;
    REQUIRE(decide(context) == RetryDecision::TooManyAttempts);
    context = refused;
    context.remaining = 1ms;
    REQUIRE(decide(context) == RetryDecision::NoTime);
    REQUIRE(decide(refused) == RetryDecision::Retry);
    REQUIRE(decide(refused) == RetryDecision::NoBudget);
    context.error = ErrorKind::NotOwner;
    context.remaining = 1s;
    REQUIRE(decide(context) == RetryDecision::Retry);
    context.error = ErrorKind::UpstreamLost;
    context.idempotent = true;
    REQUIRE(decide(context) == RetryDecision::NoBudget);
    for (int first = 0; first < 1000; ++first) {
        budget.noteFirstAttempt(1s);
    }
    REQUIRE(budget.credit() == 5);
    REQUIRE(decide(context) == RetryDecision::Retry);
}

// Guards against a fatal request that reaches every upstream, and against counting a crash twice.
TEST_CASE("two different crashes quarantine a fingerprint")
{
    CrashGuard guard;
    guard.noteCrash({1, 2}, 100, 1s);
    guard.applyRecord({1, 2}, 100, 2s); // the local record, read back from the log
    REQUIRE_FALSE(guard.isQuarantined(1, 2s));
    guard.applyRecord({1}, 200, 3s);
    REQUIRE(guard.isQuarantined(1, 3s));
    REQUIRE_FALSE(guard.isQuarantined(2, 3s));
    REQUIRE_FALSE(guard.isQuarantined(1, 3s + 10min));
    guard.importCount(3, 2, 200, 1s);
    REQUIRE(guard.isQuarantined(3, 2s));
}

// Guards against the quarantine of a frequent request that only ran beside a fatal one.
TEST_CASE("suspect requests run one at a time and are cleared by an answer")
{
    constexpr Fingerprint fatal = 1;
    constexpr Fingerprint frequent = 2;
    CrashGuard guard;
    REQUIRE(guard.startRun(frequent, 1s) == RunPermit::Free);
    guard.noteCrash({fatal, frequent}, 100, 1s);
    REQUIRE(guard.startRun(frequent, 2s) == RunPermit::Alone);
    REQUIRE(guard.startRun(fatal, 2s) == RunPermit::Wait);
    guard.endRun(RunPermit::Alone, frequent, true);
    guard.applyRecord({fatal, frequent}, 100, 2s); // the local record, read back from the log
    REQUIRE(guard.startRun(frequent, 3s) == RunPermit::Free);
    REQUIRE(guard.startRun(fatal, 3s) == RunPermit::Alone);
    guard.noteCrash({fatal, frequent}, 101, 3s);
    guard.endRun(RunPermit::Alone, fatal, false);
    REQUIRE(guard.isQuarantined(fatal, 4s));
    REQUIRE(guard.startRun(fatal, 4s) == RunPermit::Quarantined);
    REQUIRE_FALSE(guard.isQuarantined(frequent, 4s));
}

// Guards against the quarantine of a frequent request after a mass failure.
TEST_CASE("crashes at the same time count as one")
{
    CrashGuard guard({.quarantineCrashes = 3, .suspectCrashes = 2, .minCrashSpacing = 300ms});
    for (std::uint64_t crash = 1; crash <= 8; ++crash) {
        guard.applyRecord({1}, crash, 1s);
    }
    REQUIRE(guard.startRun(1, 2s) == RunPermit::Free);
    guard.applyRecord({1}, 9, 2s);
    REQUIRE(guard.startRun(1, 3s) == RunPermit::Alone);
    REQUIRE_FALSE(guard.isQuarantined(1, 3s));
    guard.applyRecord({1}, 10, 3s);
    REQUIRE(guard.isQuarantined(1, 3s));
}

// Guards against sound requests that are refused elsewhere although one upstream has answered them.
TEST_CASE("an answered suspect is cleared at every process")
{
    const CrashGuardSettings settings{.quarantineCrashes = 3, .suspectCrashes = 2};
    CrashGuard guard(settings);
    CrashGuard other(settings);
    for (CrashGuard *each : {&guard, &other}) {
        each->applyRecord({1}, 100, 1s);
        each->applyRecord({1}, 101, 2s);
    }
    REQUIRE(guard.startRun(1, 3s) == RunPermit::Alone);
    REQUIRE(guard.endRun(RunPermit::Alone, 1, true));
    other.clear(1);
    REQUIRE(other.startRun(1, 3s) == RunPermit::Free);
    other.applyRecord({1}, 102, 4s);
    REQUIRE_FALSE(other.isQuarantined(1, 4s));
}

// Guards against a process that has missed the crashes and sends a quarantined request on.
TEST_CASE("a quarantine is passed on to other processes")
{
    CrashGuard guard;
    guard.applyRecord({1, 2}, 100, 1s);
    guard.applyRecord({1}, 101, 2s);
    const auto quarantined = guard.quarantined(16, 3s);
    REQUIRE(quarantined.size() == 1);
    CrashGuard other;
    other.importCount(quarantined[0].fingerprint, quarantined[0].crashes,
                      quarantined[0].lastCrashId, quarantined[0].lastCrash);
    REQUIRE(other.isQuarantined(1, 3s));
    REQUIRE_FALSE(other.isQuarantined(2, 3s));
}

// Guards against a log flooded by crash reports, and against memory that grows with each crash.
TEST_CASE("crash reports are limited in rate and number")
{
    CrashGuardSettings settings;
    settings.maxFingerprints = 2;
    CrashGuard guard(settings);
    guard.noteCrash({1}, 100, 1s);
    guard.noteCrash({2}, 101, 2s);
    guard.noteCrash({3}, 102, 2s);
    REQUIRE(guard.size() == 2);
    REQUIRE(guard.takeReport(2s)->crashId == 100);
    REQUIRE_FALSE(guard.takeReport(2500ms));
    REQUIRE(guard.nextReport() == Time(3s));
    REQUIRE(guard.takeReport(3s)->crashId == 101);
}

// Guards against a breaker that does not follow its default settings.
TEST_CASE("the breaker opens, probes and closes")
{
    Breaker breaker;
    int failures = 0;
    for (int outcome = 0; failures < 160; ++outcome) {
        REQUIRE(breaker.allow(1s));
        const bool success = outcome % 5 == 4;
        failures += success ? 0 : 1;
        breaker.noteOutcome(success, 1s);
    }
    REQUIRE(breaker.state() == BreakerState::Open);
    REQUIRE_FALSE(breaker.allow(1500ms));
    for (int probe = 0; probe < 3; ++probe) {
        REQUIRE(breaker.allow(2s));
        breaker.noteOutcome(true, 2s);
    }
    REQUIRE(breaker.state() == BreakerState::Closed);
}

// Load: more requests than a measured concurrency allows. Guards against a cap that stays when it
// is raised, and against requests that wait although there is room.
TEST_CASE("a measured concurrency caps the limit and can be raised again")
{
    EndpointLimiter limiter(4, 4, false, 0s);
    limiter.capConcurrency(1, 0s);
    CHECK(limiter.admit(1, 1s, 0s).action == AdmitAction::Dispatch);
    CHECK(limiter.admit(2, 1s, 0s).action == AdmitAction::Wait);
    CHECK(limiter.takeOutput().dispatch.empty());
    limiter.capConcurrency(9, 1ms);
    CHECK(limiter.takeOutput().dispatch == std::vector<RequestNumber>{2});
    for (RequestNumber request = 3; request <= 5; ++request) {
        limiter.admit(request, 1s, 1ms);
    }
    CHECK(limiter.inFlight() == 4); // the announced slots
    limiter.capConcurrency(2, 1ms);
    limiter.finish(1, CallEnd::Answered, 2ms);
    limiter.finish(2, CallEnd::Answered, 2ms);
    CHECK(limiter.inFlight() == 2); // running requests end, and no other one starts
    CHECK(limiter.takeOutput().dispatch.empty());
}

// Guards against waiting requests that cannot be answered in time.
TEST_CASE("the limiter refuses and drops what cannot meet its deadline")
{
    EndpointLimiter limiter(2, 10, false, 0s);
    REQUIRE(limiter.admit(1, 100ms, 0s).action == AdmitAction::Dispatch);
    REQUIRE(limiter.admit(2, 100ms, 0s).action == AdmitAction::Dispatch);
    const Admission late = limiter.admit(3, 6ms, 0s);
    REQUIRE(late.action == AdmitAction::Refuse);
    REQUIRE(late.error == ErrorKind::Overloaded);
    REQUIRE(late.retryAfter > 0s);
    REQUIRE(limiter.admit(4, 0s, 0s).error == ErrorKind::DeadlineExceeded);
    REQUIRE(limiter.admit(5, 40ms, 0s).action == AdmitAction::Wait);
    REQUIRE(limiter.admit(6, 100ms, 0s).action == AdmitAction::Wait);
    limiter.advance(*limiter.nextDue());
    const LimiterOutput dropped = limiter.takeOutput();
    REQUIRE(dropped.dropped.size() == 1);
    REQUIRE(dropped.dropped[0].request == 5);
    limiter.finish(1, CallEnd::Answered, 41ms);
    // After an answer that took 41 ms, the expected service time is too long for request 6.
    REQUIRE(limiter.takeOutput().dispatch.empty());
}

namespace {

// Results of one minute of overload: `rate` requests per second to an endpoint with 8 slots and 200
// ms per request, which can run 40 per second. Callers wait up to 5 s; answers have their full
// value within 800 ms.
struct OverloadResult
{
    int inTime = 0;
    int late = 0;
    int refused = 0;
    Duration maxRefusalWait{};
};

OverloadResult simulateOverload(int rate, bool hasObjective)
{
    constexpr std::uint32_t slots = 8;
    constexpr Duration service = 200ms;
    LimiterSettings settings{.maxWaiting = 64, .maxQueueTime = 1200ms, .tolerance = 1e9};
    EndpointLimiter limiter(slots, slots, false, 0s, settings);
    OverloadResult result;
    std::map<RequestNumber, Time> arrivals;
    std::multimap<Time, RequestNumber> ends;
    const Duration gap = std::chrono::duration_cast<Duration>(1s) / rate;
    RequestNumber next = 0;
    Time nextArrival{};
    const auto takeOutput = [&](Time now) {
        const LimiterOutput output = limiter.takeOutput();
        for (const RequestNumber request : output.dispatch) {
            ends.emplace(now + service, request);
        }
        for (const DroppedRequest &dropped : output.dropped) {
            ++result.refused;
            result.maxRefusalWait =
                    std::max(result.maxRefusalWait, now - arrivals[dropped.request]);
        }
    };
    while (nextArrival < 60s) {
        const bool isEnd = !ends.empty() && ends.begin()->first <= nextArrival;
        const Time now = isEnd ? ends.begin()->first : nextArrival;
        if (isEnd) {
            const RequestNumber request = ends.begin()->second;
            ends.erase(ends.begin());
            limiter.finish(request, CallEnd::Answered, now);
            ++(now - arrivals[request] <= 800ms ? result.inTime : result.late);
        } else {
            arrivals[++next] = now;
            const Time objective = hasObjective ? now + 800ms : Time::max();
            const Admission admission =
                    limiter.admit(next, now + 5s, now, {.rank = 2, .objective = objective});
            if (admission.action == AdmitAction::Dispatch) {
                ends.emplace(now + service, next);
            }
            result.refused += admission.action == AdmitAction::Refuse ? 1 : 0;
            nextArrival += gap;
        }
        takeOutput(now);
    }
    return result;
}

} // namespace

// Guards against late answers under overload: with a queue that is bounded only by a wait of 1.2 s,
// every answer of an overloaded owner came after its objective.
TEST_CASE("an overloaded endpoint answers admitted requests in time", "[overload]")
{
    constexpr int capacity = 60 * 40; // answers per minute
    const OverloadResult result = simulateOverload(80, true);
    CHECK(result.inTime + result.late > capacity * 95 / 100); // no slot stays empty
    CHECK(result.inTime > capacity * 90 / 100);
    CHECK(result.maxRefusalWait < 800ms);
    const OverloadResult belowCapacity = simulateOverload(38, true);
    CHECK(belowCapacity.refused == 0);
    CHECK(belowCapacity.late == 0);
}

// Guards against refused callers of a hot key that all return after the same time and are refused
// again together.
TEST_CASE("callers that are refused together get increasing retry times", "[overload]")
{
    constexpr std::uint32_t slots = 8;
    LimiterSettings settings{.maxQueueTime = 400ms, .initialServiceTime = 200ms};
    EndpointLimiter limiter(slots, slots, false, 0s, settings);
    std::vector<Duration> waits;
    for (RequestNumber request = 1; request <= 80; ++request) {
        const Admission admission = limiter.admit(request, 5s, 0s);
        if (admission.action == AdmitAction::Refuse) {
            waits.push_back(admission.retryAfter);
        }
    }
    REQUIRE(waits.size() > 50);
    CHECK(std::is_sorted(waits.begin(), waits.end()));
    // 40 requests per second can run, so each 100 ms get little more than four callers.
    for (const Duration begin : {500ms, 800ms, 1100ms, 1500ms}) {
        const auto count = std::count_if(waits.begin(), waits.end(), [&](Duration wait) {
            return begin <= wait && wait < begin + 100ms;
        });
        CHECK(count <= 6);
    }
    CHECK(waits.back() >= 1500ms); // the endpoint can run the last caller's request after this time
    CHECK(waits.back() <= settings.maxRetryAfter);
}

// Guards against a limit that ignores refusals or exceeds the announced connections.
TEST_CASE("the limit falls on refusals and rises at most to the connections")
{
    EndpointLimiter limiter(4, 6, false, 0s);
    Time now = 0s;
    RequestNumber next = 0;
    const auto runRound = [&](CallEnd end) {
        std::vector<RequestNumber> round;
        while (limiter.admit(++next, now + 1s, now).action == AdmitAction::Dispatch) {
            round.push_back(next);
        }
        limiter.cancelWaiting(next, now);
        now += 2ms;
        for (const RequestNumber request : round) {
            limiter.finish(request, end, now);
        }
        return round.size();
    };
    for (int round = 0; round < 200; ++round) {
        REQUIRE(runRound(CallEnd::Answered) <= 6);
    }
    REQUIRE(limiter.limit() == 6);
    for (int round = 0; round < 20; ++round) {
        runRound(CallEnd::Refused);
    }
    REQUIRE(limiter.limit() == 1);
    limiter.announce(4, 6, now);
    REQUIRE(limiter.limit() == 1); // a repeated announcement does not raise the limit
    limiter.startCold(now);
    REQUIRE(runRound(CallEnd::Answered) == 3);
}

// Guards against a frozen endpoint that gets one request after another.
TEST_CASE("a silent endpoint gets one probe at a time")
{
    EndpointLimiter limiter(4, 6, false, 0s);
    for (RequestNumber request = 1; request <= 4; ++request) {
        REQUIRE(limiter.admit(request, 100ms, 0s).action == AdmitAction::Dispatch);
    }
    for (RequestNumber request = 1; request <= 4; ++request) {
        limiter.finish(request, CallEnd::TimedOut, 100ms);
    }
    REQUIRE(limiter.admit(5, 1s, 100ms).action == AdmitAction::Dispatch);
    REQUIRE(limiter.admit(6, 2s, 100ms).action == AdmitAction::Wait);
    limiter.finish(5, CallEnd::TimedOut, 110ms);
    REQUIRE(limiter.takeOutput().dispatch.empty());
    REQUIRE(limiter.nextDue() == Time(150ms));
    limiter.advance(150ms);
    REQUIRE(limiter.takeOutput().dispatch == std::vector<RequestNumber>{6});
    limiter.finish(6, CallEnd::Answered, 152ms);
    REQUIRE(limiter.admit(7, 1s, 152ms).action == AdmitAction::Dispatch);
}

// Guards against a cold ramp that rounds down, and against a limit that grows beyond what the ramp
// admits: it would take effect at once when the ramp ends.
TEST_CASE("the cold ramp rounds to the nearest request and does not raise a limit that is not "
          "reached")
{
    EndpointLimiter limiter(10, 130, true, 0s);
    RequestNumber next = 0;
    std::size_t atStart = 0;
    for (Time now = 150ms; now < 1850ms; now += 5ms) {
        const RequestNumber first = next + 1;
        while (limiter.admit(++next, now + 1s, now).action == AdmitAction::Dispatch) {
        }
        limiter.cancelWaiting(next, now);
        atStart = now == Time(150ms) ? next - first : atStart;
        for (RequestNumber request = first; request < next; ++request) {
            limiter.finish(request, CallEnd::Answered, now + 2ms);
        }
    }
    CHECK(atStart == 4); // the ramp is at 3.5, which is rounded up
    CHECK(limiter.limit() == 10);
}
