#include "standins/load.h"
#include "standins/verdict.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

Attempt makeAttempt(const std::string &token, Outcome outcome, Time due = 0ms)
{
    Attempt attempt;
    attempt.token = token;
    attempt.service = "testlog";
    attempt.key = "D-1";
    attempt.outcome = outcome;
    attempt.due = due;
    attempt.finished = due + 1ms;
    return attempt;
}

Run makeRun(const std::string &upstream, const std::string &token, Time start, Time end)
{
    Run run;
    run.upstream = upstream;
    run.service = "testlog";
    run.key = "D-1";
    run.token = token;
    run.start = start;
    run.end = end;
    run.result = RunResult::Done;
    return run;
}

} // namespace

TEST_CASE("a correct history meets the guarantees")
{
    const Verdict verdict =
            evaluate({makeAttempt("a", Outcome::Done), makeAttempt("b", Outcome::NotRun)},
                     {{makeRun("u1", "a", 0ms, 1ms)}, {}});
    REQUIRE(verdict.meetsGuarantees());
    REQUIRE(verdict.sent == 2);
    REQUIRE(verdict.done == 1);
    REQUIRE(verdict.notRun == 1);
}

// Each section guards against a check that misses the violation in the name of the section.
TEST_CASE("each violated guarantee is counted")
{
    SECTION("run twice")
    {
        std::vector<Run> runs{makeRun("u1", "a", 0ms, 1ms), makeRun("u2", "a", 5ms, 6ms)};
        runs[0].requestId = runs[1].requestId = "id";
        const Verdict verdict = evaluate({makeAttempt("a", Outcome::Done)}, {runs, {}});
        REQUIRE(verdict.runTwice == 1);
        REQUIRE_FALSE(verdict.meetsGuarantees());
    }
    SECTION("reported not run, but ran")
    {
        const Verdict verdict =
                evaluate({makeAttempt("a", Outcome::NotRun)}, {{makeRun("u1", "a", 0ms, 1ms)}, {}});
        REQUIRE(verdict.notRunButRan == 1);
        REQUIRE_FALSE(verdict.meetsGuarantees());
    }
    SECTION("reported done, but missing")
    {
        const Verdict verdict = evaluate({makeAttempt("a", Outcome::Done)}, {});
        REQUIRE(verdict.doneButMissing == 1);
        REQUIRE_FALSE(verdict.meetsGuarantees());
    }
    SECTION("the same key at two upstreams at a time")
    {
        const Verdict verdict =
                evaluate({}, {{makeRun("u1", "a", 0ms, 10ms), makeRun("u1", "b", 1ms, 2ms),
                               makeRun("u2", "c", 9ms, 11ms), makeRun("u2", "d", 10ms, 12ms)},
                              {}});
        REQUIRE(verdict.overlaps == 1);
        REQUIRE_FALSE(verdict.meetsGuarantees());
    }
    SECTION("wrong answer")
    {
        Attempt attempt = makeAttempt("a", Outcome::Done);
        HttpExchange exchange;
        exchange.result = ExchangeResult::Answered;
        exchange.answer.fields = {{"Kumquat-Outcome", "done"}};
        exchange.answer.body = R"({"token":"ab"})";
        readOutcome(exchange, attempt);
        const Verdict verdict = evaluate({attempt}, {{makeRun("u1", "a", 0ms, 1ms)}, {}});
        REQUIRE(verdict.wrongAnswers == 1);
        REQUIRE_FALSE(verdict.meetsGuarantees());
    }
    SECTION("an answer without an outcome")
    {
        Attempt attempt = makeAttempt("a", Outcome::Done);
        HttpExchange exchange;
        exchange.result = ExchangeResult::Answered;
        readOutcome(exchange, attempt);
        REQUIRE(evaluate({attempt}, {}).wrongAnswers == 1);
    }
}

TEST_CASE("a repeat that is answered from stored results does not count as missing")
{
    Attempt repeat = makeAttempt("a", Outcome::Done);
    repeat.number = 1;
    const Verdict verdict = evaluate({makeAttempt("a", Outcome::Unknown), repeat},
                                     {{makeRun("u1", "a", 0ms, 1ms)}, {}});
    REQUIRE(verdict.meetsGuarantees());
    REQUIRE(verdict.repeats == 1);
}

TEST_CASE("a gap lasts from the first failed attempt of a key to its next answer")
{
    const std::vector<Attempt> attempts{
            makeAttempt("a", Outcome::Done, 0ms), makeAttempt("b", Outcome::Unknown, 100ms),
            makeAttempt("c", Outcome::NotRun, 200ms), makeAttempt("d", Outcome::Done, 500ms)};
    REQUIRE(evaluate(attempts, {}).longestGap == 401ms);
    REQUIRE(evaluate(attempts, {}, Time(150ms)).longestGap == 301ms);
    REQUIRE(evaluate(attempts, {}, Time(50ms)).recoveryTime == 451ms);
    REQUIRE(evaluate({makeAttempt("b", Outcome::NotRun, 3s), makeAttempt("c", Outcome::Done, 4s)},
                     {}, Time(50ms))
                    .recoveryTime
            == 0s);
    REQUIRE(evaluate(attempts, {}).unrecoveredKeys == 0);
    REQUIRE(evaluate({attempts[0], attempts[1]}, {}).unrecoveredKeys == 1);
}

// Guards against an imbalance value that ignores idle upstreams.
TEST_CASE("the imbalance is the highest load over the mean load of all upstreams")
{
    const std::vector<Run> runs{makeRun("u1", "a", 0ms, 1ms), makeRun("u1", "b", 2ms, 3ms),
                                makeRun("u1", "c", 4ms, 5ms), makeRun("u2", "d", 6ms, 7ms)};
    const Verdict verdict = evaluate({}, {runs, {}});
    REQUIRE(verdict.services.at("testlog").imbalance == Approx(1.5));
    REQUIRE(verdict.movedKeys == 1);
    const Verdict withIdle = evaluate({}, {runs, {{"testlog", {"u3", "u4"}}}});
    REQUIRE(withIdle.services.at("testlog").imbalance == Approx(3));
}

TEST_CASE("request ids are version 7 UUIDs that begin with the time")
{
    std::mt19937_64 random(1);
    const std::string id = makeRequestId(WallTime(0x0123456789ab), random);
    REQUIRE(id.size() == 36);
    REQUIRE(id.substr(0, 15) == "01234567-89ab-7");
    REQUIRE(std::string("89ab").find(id[19]) != std::string::npos);
    REQUIRE(id != makeRequestId(WallTime(0x0123456789ab), random));
}
