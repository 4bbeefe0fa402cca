// Tests of the proofs that a session has stopped.
#include "keyspace/lease.h"

#include <catch2/catch.hpp>

namespace kumquat {
namespace {

constexpr std::uint64_t session = 7;

// A table in which `session` was ended.
KeyTable makeTable(std::vector<std::string> voters, std::vector<std::string> formerVoters = {})
{
    KeyTable table = KeyTable::createEmpty("testlog");
    table.end = 5;
    table.sessions.push_back({.id = session,
                              .node = "a",
                              .voters = std::move(voters),
                              .formerVoters = std::move(formerVoters),
                              .endedAt = 5});
    return table;
}

} // namespace

// Guards against a proof that needs a voter which is lost: without one of two voters no lease is
// valid, so the release of the other one is enough.
TEST_CASE("one of two voters proves that a session has stopped", "[lease]")
{
    StopProof proof;
    const KeyTable table = makeTable({"b", "c"});
    CHECK_FALSE(proof.isStopped(table, session));
    proof.noteRelease(session, "b");
    CHECK(proof.isStopped(table, session));
}

TEST_CASE("one of three voters does not prove that a session has stopped", "[lease]")
{
    StopProof proof;
    const KeyTable table = makeTable({"b", "c", "d"});
    proof.noteRelease(session, "b");
    CHECK_FALSE(proof.isStopped(table, session));
    proof.noteRelease(session, "d");
    CHECK(proof.isStopped(table, session));
}

// Guards against two owners: an owner that has not read the smaller set still counts the votes of
// the former one.
TEST_CASE("a smaller set of voters proves nothing about the former set", "[lease]")
{
    StopProof proof;
    const KeyTable table = makeTable({"b"}, {"b", "c", "d"});
    proof.noteRelease(session, "b");
    CHECK_FALSE(proof.isStopped(table, session));
    proof.noteRelease(session, "c");
    CHECK(proof.isStopped(table, session));
}

TEST_CASE("an owner without a current key table has stopped before its session expires", "[lease]")
{
    const LeaseSettings settings;
    TableFreshness freshness(10s);
    freshness.note(20s);
    CHECK(freshness.leaseLimit() == 20s + settings.freshFor);
    StopProof proof;
    proof.noteTable(makeTable({"b"}), 20s);
    CHECK_FALSE(proof.hasExpired(session, 20s + settings.freshFor));
    CHECK(proof.hasExpired(session, 20s + settings.freshFor + settings.freshFor / 10));
}

// Guards against two owners: the process before may have read a table with other voters.
TEST_CASE("a table from before the start of the process does not count as current", "[lease]")
{
    TableFreshness freshness(10s);
    freshness.note(9s);
    CHECK(freshness.leaseLimit() == Time::zero());
    CHECK_FALSE(freshness.age(11s).has_value());
}

} // namespace kumquat
