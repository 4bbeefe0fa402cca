// Tests what a process knows about evacuated data centres, and what that does to its upstream.
#include "stage/admission_state.h"
#include "stage/evacuations.h"

#include <catch2/catch.hpp>

namespace kumquat {
namespace {

constexpr std::uint64_t eraStart = 1ULL << 40U; // first position in era 1 of the store

EvacuationRecord evacuate(const std::string &dataCentre, std::uint64_t offset)
{
    return {.dataCentre = dataCentre, .offset = offset, .value = "yes"};
}

EvacuationRecord removal(const std::string &dataCentre, std::uint64_t offset)
{
    return {.dataCentre = dataCentre, .offset = offset};
}

// One process, with the operator's records that it has read.
struct Process
{
    Process()
        : view({.evacuationsChanged = [this] { this->admission.applyEvacuations(this->now); }})
        , admission(this->settings, this->view)
    {
        this->settings.dataCentre = "a";
        this->settings.service = "testlog";
        this->settings.limits.coldExcess = 1.5;
        this->settings.limits.coldSlack = 8;
    }

    Evacuations &evacuations() { return this->view.evacuations(); }

    void configureColdLimit()
    {
        Configuration configuration{.version = 1};
        configuration.services["testlog"] = {.name = "testlog", .coldPerSecond = 15};
        this->view.applyConfiguration(std::move(configuration), "bytes", "test");
        this->admission.applyConfiguration();
    }

    // Asks another process for its state.
    void fetchFrom(const Process &other)
    {
        this->evacuations().applyState(other.view.stateSince(this->view.known()), "other");
    }

    bool isClosed() { return this->admission.figures(nullptr, this->now).isEvacuated; }

    bool isCold()
    {
        return this->admission.figures(nullptr, this->now).coldWait > Duration::zero();
    }

    Time now = 100s;
    StageSettings settings;
    ClusterView view;
    AdmissionState admission;
};

} // namespace

// Guards against requests that reach an upstream of an evacuated data centre because the process
// beside it has restarted and has not read the record yet.
TEST_CASE("a process that has not read the operator's records sends nothing", "[evacuations]")
{
    Process process;
    CHECK(process.isClosed());
    process.evacuations().noteEnd(1);
    CHECK_FALSE(process.isClosed());
}

TEST_CASE("an evacuation lasts from its record to the removal", "[evacuations]")
{
    Process process;
    process.evacuations().apply(evacuate("a", 3), "store");
    process.evacuations().apply(evacuate("b", 4), "store");
    process.evacuations().noteEnd(5);
    CHECK(process.isClosed());
    CHECK(process.evacuations().count() == 2);
    process.evacuations().apply(removal("b", 5), "store");
    process.evacuations().noteEnd(6);
    CHECK(process.isClosed());
    CHECK_FALSE(process.evacuations().isClosed("b"));
    const Time start = readBootTime() - 1s;
    CHECK_FALSE(process.evacuations().hasEndedAfter("a", start));
    process.evacuations().apply(removal("a", 6), "store");
    CHECK_FALSE(process.isClosed());
    CHECK(process.evacuations().hasEndedAfter("a", start));
    CHECK_FALSE(process.evacuations().hasEndedAfter("a", readBootTime() + 1s));
    CHECK_FALSE(process.evacuations().hasEndedAfter("c", start));
}

// Guards against an evacuation that never ends: its key was removed while a process did not read
// the store, and the history with the removal was dropped.
TEST_CASE("a key that is missing among the newest records was removed", "[evacuations]")
{
    Process process;
    process.evacuations().apply(evacuate("a", 3), "store");
    process.evacuations().apply(evacuate("b", 4), "store");
    process.evacuations().noteEnd(5);
    process.evacuations().applyAll({evacuate("b", 4)}, 20, "store");
    CHECK_FALSE(process.isClosed());
    CHECK(process.evacuations().isEvacuated("b"));
}

// Guards against an end of the evacuation by an older answer that arrives after a newer one.
TEST_CASE("older records change nothing", "[evacuations]")
{
    Process process;
    process.evacuations().apply(evacuate("a", 30), "store");
    process.evacuations().noteEnd(31);
    process.evacuations().applyAll({}, 20, "store");
    process.evacuations().apply(removal("a", 10), "store");
    CHECK(process.isClosed());
    // The pages of the newest records are no snapshot, so a record at or after their end counts.
    process.evacuations().applyAll({removal("a", 40), evacuate("b", 45)}, 40, "store");
    CHECK_FALSE(process.isClosed());
    CHECK(process.evacuations().isEvacuated("b"));
    process.evacuations().applyAll({}, 43, "store");
    CHECK(process.evacuations().isEvacuated("b"));
}

// Guards against requests in a data centre whose evacuation the store lost in a rollback.
TEST_CASE("an evacuation of an earlier era of the store stays in effect", "[evacuations]")
{
    Process process;
    process.evacuations().apply(evacuate("a", 3), "store");
    process.evacuations().noteEnd(5);
    process.evacuations().applyAll({}, eraStart + 4, "store");
    CHECK(process.isClosed());
    process.evacuations().apply(removal("a", eraStart + 4), "store");
    CHECK_FALSE(process.isClosed());
}

// Guards against requests in an evacuated data centre after a rollback of the store: a process that
// starts then finds no record in the store, and has read as far as the hosts that know it.
TEST_CASE("a process that starts in a new era takes over the evacuations of earlier ones",
          "[evacuations]")
{
    Process other;
    other.evacuations().apply(evacuate("a", 3), "store");
    other.evacuations().apply(evacuate("b", 4), "store");
    other.evacuations().noteEnd(5);
    Process outdated; // has not seen the rollback
    outdated.evacuations().applyAll({evacuate("a", 3), evacuate("c", 2)}, 4, "store");
    other.evacuations().applyAll({}, eraStart + 4, "store");

    Process started;
    started.evacuations().applyAll({removal("b", eraStart + 3)}, eraStart + 4, "store");
    CHECK_FALSE(started.isClosed());
    started.evacuations().restoreFrom(other.view.stateSince({}), "other");
    CHECK(started.isClosed());
    CHECK_FALSE(started.evacuations().isEvacuated("b")); // the operator has ended it since
    started.evacuations().restoreFrom(outdated.view.stateSince({}), "outdated");
    CHECK(started.evacuations().isEvacuated("c"));
    CHECK(started.evacuations().end() == eraStart + 4);

    // Records of the present era that are not in the store were removed.
    other.evacuations().apply(evacuate("d", eraStart + 2), "store");
    Process ahead;
    ahead.evacuations().applyAll({}, eraStart + 6, "store");
    ahead.evacuations().restoreFrom(other.view.stateSince({}), "other");
    CHECK_FALSE(ahead.evacuations().isEvacuated("d"));
    CHECK(ahead.evacuations().isEvacuated("a"));
    ahead.evacuations().apply(removal("a", eraStart + 7), "store");
    CHECK_FALSE(ahead.isClosed());
}

// Guards against a host that goes on sending, or serves nothing for long, because it can't reach
// the store.
TEST_CASE("a process without the store learns evacuations and their ends from others",
          "[evacuations]")
{
    Process reader;
    Process other;
    other.fetchFrom(reader);
    CHECK(other.isClosed()); // the reader itself has read nothing yet
    reader.evacuations().apply(evacuate("a", 3), "store");
    reader.evacuations().noteEnd(5);
    CHECK(other.view.isOlderThan(reader.view.known()));
    other.fetchFrom(reader);
    CHECK(other.isClosed());
    CHECK(other.evacuations().isEvacuated("a"));
    CHECK_FALSE(other.view.isOlderThan(reader.view.known()));
    reader.evacuations().apply(removal("a", 5), "store");
    reader.evacuations().noteEnd(6);
    other.fetchFrom(reader);
    CHECK_FALSE(other.isClosed());
    // A reader that started after the history was dropped has never seen the record.
    Process late;
    reader.evacuations().apply(evacuate("a", 6), "store");
    reader.evacuations().noteEnd(7);
    other.fetchFrom(reader);
    CHECK(other.isClosed());
    late.evacuations().applyAll({}, 9, "store");
    other.fetchFrom(late);
    CHECK_FALSE(other.isClosed());
}

// Guards against a crash of the upstream: it is cold when its data centre comes back, but its last
// heartbeat before that said that it was warm.
TEST_CASE("after an evacuation the upstream is cold until the next heartbeat", "[evacuations]")
{
    Process process;
    process.configureColdLimit();
    process.evacuations().noteEnd(5);
    CHECK(process.isCold()); // the record may have been removed while the process was restarting
    process.admission.noteHeartbeat(0s, process.now);
    CHECK_FALSE(process.isCold());
    process.evacuations().apply(evacuate("a", 5), "store");
    process.now += 1s;
    process.admission.noteHeartbeat(0s, process.now);
    process.now += 100ms;
    process.evacuations().apply(removal("a", 6), "store");
    CHECK(process.isCold());
    int sent = 0;
    for (const Time end = process.now + 1s; process.now < end; process.now += 1ms) {
        if (!process.isCold()) {
            process.admission.noteSending({}, process.now);
            ++sent;
        }
    }
    CHECK(sent > 10);
    CHECK(sent <= 30); // 15 x 1.5 + 8, the bound of one second
    process.admission.noteHeartbeat(0s, process.now);
    CHECK_FALSE(process.isCold());
}

} // namespace kumquat
