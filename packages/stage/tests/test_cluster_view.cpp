// Tests of what a process knows after the store has come back from an older copy.
//
// Load: one rollback of the store, after which records from before it are read again.
#include "stage/cluster_view.h"

#include <catch2/catch.hpp>

namespace kumquat {
namespace {

std::string hostRecord(std::int64_t started, bool isLeaving, std::uint64_t change)
{
    wire::HostRecord record;
    record.set_node("a");
    record.set_incarnation(7);
    record.set_address("127.0.0.1:80");
    record.set_upstream_id("i-" + std::to_string(started));
    record.set_born_ms(started);
    record.set_leaving(isLeaving);
    record.set_change(change);
    return record.SerializeAsString();
}

} // namespace

// Guards against an acknowledged leave that a record from before it replaces.
TEST_CASE("a leave stays known when an older record is read in a new era", "[cluster_view]")
{
    ClusterView view({});
    view.applyHost("a", 50, hostRecord(1, true, 5));
    view.noteEra(1, 10s);
    view.applyHost("a", 60, hostRecord(1, false, 4)); // appended late
    CHECK(view.host("a")->isLeaving);
    const std::uint64_t written = storePosition(1, 41);
    view.applyHost("a", written, hostRecord(1, false, 4)); // written back by another host
    CHECK(view.host("a")->isLeaving);
    CHECK(view.host("a")->isAhead);
    CHECK(view.host("a")->offset == written);
    view.applyHost("a", storePosition(1, 42), hostRecord(1, true, 5));
    CHECK(view.host("a")->isLeaving);
    CHECK_FALSE(view.host("a")->isAhead);
    view.applyHost("a", storePosition(1, 43), hostRecord(2, false, 6)); // the next instance
    CHECK_FALSE(view.host("a")->isLeaving);
    view.applyHost("a", 50, hostRecord(1, true, 5));
    CHECK_FALSE(view.host("a")->isLeaving);
}

// Guards against a process that starts with an old copy and ignores what other hosts know.
TEST_CASE("a newer record of an older era replaces that of an older form", "[cluster_view]")
{
    ClusterView view({});
    view.noteEra(1, 10s);
    view.applyHost("a", 40, hostRecord(1, false, 4)); // from the store
    view.applyHost("a", 50, hostRecord(1, true, 5));  // from another host
    CHECK(view.host("a")->isLeaving);
    view.applyHost("a", 40, hostRecord(1, false, 4));
    CHECK(view.host("a")->isLeaving);
}

TEST_CASE("within an era the order of the records in the store decides", "[cluster_view]")
{
    ClusterView view({});
    view.applyHost("a", 50, hostRecord(1, true, 5));
    view.applyHost("a", 51, hostRecord(1, false, 4));
    CHECK_FALSE(view.host("a")->isLeaving);
    view.applyHost("a", 50, hostRecord(1, true, 5));
    CHECK_FALSE(view.host("a")->isLeaving);
}

// Guards against an older configuration in force after the store has come back without the newest.
TEST_CASE("a configuration of a lower version is not applied in a new era", "[cluster_view]")
{
    ClusterView view({});
    Configuration configuration;
    configuration.version = 12;
    view.applyConfiguration(configuration, "12", "store");
    view.noteEra(1, 10s);
    configuration.version = 11;
    view.applyConfiguration(configuration, "11", "store");
    CHECK(view.configuration()->version == 12);
    CHECK(view.configurationBytes() == "12");
}

} // namespace kumquat
