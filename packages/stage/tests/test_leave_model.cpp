// Random scenarios of a leave and a rollback of the store in virtual time: messages are slow or
// lost, some hosts are down, the process that acknowledged the leave is killed at once, and the
// store comes back without its record. The components that decide are the production code.
//
// Load: one leave, one rollback and one start of a process for each seed.
#include "stage/cluster_view.h"
#include "stage/host_survey.h"
#include "stage/leave_confirmation.h"
#include "stage/relay_choice.h"
#include "stage/upstream_monitor.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace kumquat {
namespace {

const UpstreamInstance leaving{.id = "i-a", .startedMs = 5};
constexpr auto ownNode = "a";
constexpr int hostCount = 12;
constexpr int maxDown = 3;
constexpr std::uint64_t readyOffset = 49;
constexpr std::uint64_t leaveOffset = 50;
constexpr Duration maxTrip = 140ms; // of one message; a request and its answer take two

std::string recordOf(const std::string &node, bool isLeaving, std::uint64_t change)
{
    wire::HostRecord record;
    record.set_node(node);
    record.set_incarnation(7);
    record.set_address("127.0.0.1:80");
    record.set_upstream_id("i-" + node);
    record.set_born_ms(leaving.startedMs);
    record.set_phase(isLeaving ? wire::UPSTREAM_DRAINING : wire::UPSTREAM_READY);
    record.set_leaving(isLeaving);
    record.set_change(change);
    return record.SerializeAsString();
}

struct LeaveOutcome
{
    bool isConfirmed = false; // by another host, before the leave was acknowledged
    bool isForgotten = false; // the next process uses the upstream
    Duration waited{};        // until the leave was acknowledged
    Duration startDelay{};    // until the next process uses what it knows
};

class LeaveModel
{
public:
    LeaveModel(unsigned seed, LeaveConfirmationSettings confirmationSettings,
               HostSurveySettings surveySettings)
        : random(seed)
        , confirmation(confirmationSettings)
        , survey(surveySettings)
    {
        for (int i = 1; i < hostCount; ++i) {
            const std::string node(1, static_cast<char>('a' + i));
            this->nodes.push_back(node);
            this->views[node] = std::make_unique<ClusterView>(ClusterViewHooks{});
            this->readFirstRecords(*this->views[node]);
        }
        for (int i = 0; i < maxDown; ++i) {
            this->isDown[this->nodes[this->random() % this->nodes.size()]] = true;
        }
    }

    LeaveOutcome play()
    {
        LeaveOutcome outcome;
        outcome.waited = this->acknowledge();
        outcome.isConfirmed = this->confirmation.isConfirmed(leaving);
        for (auto &[node, view] : this->views) {
            if (this->chance(0.5)) {
                view->noteEra(1, this->now); // the others see the rollback later
                view->applyHost(ownNode, readyOffset, recordOf(ownNode, false, 4));
            }
        }
        if (this->chance(0.5)) {
            this->isDown.clear(); // the hosts come back, but do not know the leave
        }
        outcome.startDelay = this->start();
        UpstreamMonitor monitor({.awaitsRecord = true});
        const KnownHost *own = this->started.host(ownNode);
        monitor.restore({.instance = own->info.instance,
                         .phase = own->info.phase,
                         .isLeaving = own->isLeaving},
                        this->now);
        platform::Heartbeat late;
        late.instance = leaving;
        late.phase = UpstreamPhase::Ready;
        late.slots = 8;
        late.sequence = 3;
        monitor.applyHeartbeat(late, this->now);
        outcome.isForgotten = monitor.mayServe(this->now);
        return outcome;
    }

private:
    using Events = std::multimap<Time, std::function<void()>>;

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < share;
    }

    Duration trip() { return Duration(this->random() % (maxTrip / 1ns)); }

    void readFirstRecords(ClusterView &view) const
    {
        view.applyHost(ownNode, readyOffset, recordOf(ownNode, false, 4));
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            view.applyHost(this->nodes[i], i, recordOf(this->nodes[i], false, 1));
        }
    }

    // Runs the events in order until `isOver` says so or `end` is reached.
    template <typename IsOver>
    void runUntil(Events &events, IsOver isOver)
    {
        while (!isOver() && !events.empty()) {
            this->now = events.begin()->first;
            const std::function<void()> work = events.begin()->second;
            events.erase(events.begin());
            work();
        }
    }

    // The store has the leave; the process tells other hosts, acknowledges it and is killed.
    Duration acknowledge()
    {
        const Time stored = this->now;
        std::vector<std::string> reachable = RelayChoice::ordered(this->nodes);
        std::erase_if(reachable, [this](const std::string &node) {
            return this->isDown[node] && this->chance(0.7); // the others are not known to be down
        });
        Events events;
        for (const std::string &node :
             this->confirmation.begin(leaving, std::move(reachable), stored)) {
            const Time arrival = stored + this->trip();
            const bool isReceived = !this->isDown[node] && !this->chance(0.2);
            const bool isAnswered = isReceived && !this->chance(0.2);
            const Time answer = isAnswered ? arrival + this->trip() : stored + 900ms;
            if (isReceived) {
                events.emplace(arrival, [this, node] {
                    this->views[node]->applyHost(ownNode, leaveOffset, recordOf(ownNode, true, 5));
                });
            }
            events.emplace(answer, [this, isAnswered] {
                this->confirmation.noteResult(leaving, isAnswered);
            });
        }
        events.emplace(this->confirmation.end(), [] {});
        this->runUntil(events, [this] { return this->confirmation.isOver(leaving, this->now); });
        return this->now - stored; // what is on its way is lost with the process
    }

    // The next process reads the store, which has lost the leave, and asks the other hosts.
    Duration start()
    {
        const Time begun = this->now;
        this->started.noteEra(1, begun);
        this->readFirstRecords(this->started);
        HostSurvey asked(RelayChoice::ordered(this->nodes), begun, this->survey);
        Events events;
        while (!asked.isOver(this->now)) {
            for (const std::string &node : asked.takeHosts()) {
                const bool isUp = !this->isDown[node];
                const Duration delay = isUp ? this->trip() + this->trip() : 5 * this->trip();
                events.emplace(this->now + delay, [this, node, isUp, &asked] {
                    if (!isUp) {
                        asked.noteFailure();
                        return;
                    }
                    const wire::StateReply state = this->views[node]->stateSince({});
                    for (const wire::StateItem &item : state.hosts()) {
                        this->started.applyHost(item.key(), item.offset(), item.value());
                    }
                    asked.noteAnswer(this->now);
                });
            }
            const Time end = asked.end();
            if (events.empty() || events.begin()->first > end) {
                this->now = end;
                break;
            }
            this->now = events.begin()->first;
            const std::function<void()> work = events.begin()->second;
            events.erase(events.begin());
            work();
        }
        return this->now - begun;
    }

    std::mt19937 random;
    Time now = 100s;
    LeaveConfirmation confirmation;
    HostSurveySettings survey;
    std::vector<std::string> nodes; // but the one that leaves
    std::map<std::string, std::unique_ptr<ClusterView>> views;
    std::map<std::string, bool> isDown;
    ClusterView started{{}};
};

constexpr unsigned seeds = 400;

int countForgotten(LeaveConfirmationSettings confirmation, HostSurveySettings survey)
{
    int forgotten = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        forgotten += LeaveModel(seed, confirmation, survey).play().isForgotten ? 1 : 0;
    }
    return forgotten;
}

} // namespace

// Guards against an upstream that is used again after its leave was acknowledged.
TEST_CASE("a confirmed leave outlasts a rollback of the store and a kill", "[leave_model]")
{
    unsigned confirmed = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const LeaveOutcome outcome = LeaveModel(seed, {}, {}).play();
        INFO("seed " << seed);
        CHECK_FALSE((outcome.isConfirmed && outcome.isForgotten));
        CHECK(outcome.waited <= 300ms);
        CHECK(outcome.startDelay <= 1500ms);
        confirmed += outcome.isConfirmed ? 1 : 0;
    }
    CHECK(confirmed > seeds * 9 / 10);
}

TEST_CASE("the leave scenarios find a violation for each guard that is switched off",
          "[leave_model]")
{
    CHECK(countForgotten({.hosts = 0}, {}) > 0);
    CHECK(countForgotten({}, {.answers = 1}) > 0);
    CHECK(countForgotten({}, {.afterFirst = 0ms}) > 0);
}

} // namespace kumquat
