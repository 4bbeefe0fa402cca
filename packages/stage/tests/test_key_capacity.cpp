// Tests that the limit of a cold upstream reaches the key table: from its admission state through
// its load report to the coordinator of the table writer and the planner.
//
// Load: four hosts whose upstreams have nine slots and take 100 ms per request, with 120 requests
// per second for evenly spread keys. One of the upstreams has just started and tolerates 15
// requests per second while it is cold.
#include "base/durations.h"
#include "stage/admission_state.h"
#include "stage/coordinator.h"

#include <catch2/catch.hpp>

#include <future>

namespace kumquat {
namespace {

constexpr double requestRate = 120;  // per second
constexpr double toleratedRate = 15; // per second, while cold
constexpr std::uint32_t slots = 9;   // of each upstream
constexpr std::uint32_t serviceMs = 100;
constexpr Duration step = 100ms; // between calls of Coordinator::advance()

const std::string service = "shop";
const std::vector<std::string> nodes{"a", "b", "c", "d"};

std::string hostRecord(const std::string &node)
{
    wire::HostRecord record;
    record.set_node(node);
    record.set_address("127.0.0.1:1"); // nothing is sent there
    record.set_data_centre("dc-" + node);
    record.set_region("north");
    record.set_service(service);
    record.set_upstream_id("i-" + node);
    record.set_born_ms(1);
    record.set_slots(slots);
    record.set_phase(encodePhase(UpstreamPhase::Ready));
    return record.SerializeAsString();
}

// The hosts as the table writer sees them. Appended tables are read at once.
class Cluster
{
public:
    Cluster()
        : writer(WriterChoice().choose(service, nodes, nodes.front(), this->now))
        , newcomer(this->writer == nodes.back() ? nodes.front() : nodes.back())
        , links(this->thread, this->writer, 1)
        , coordinator(this->thread, this->writer, service, this->view, this->links, this->metrics,
                      {.makeReport = [this] { return this->reportOf(this->writer); },
                       .takeKeyCounts = [this] { return this->takeKeyCounts(); },
                       .append =
                               [](const std::string &, std::uint32_t, std::uint64_t expectedEnd) {
                                   return platform::AppendResult{
                                           .outcome = platform::AppendOutcome::Done,
                                           .endOffset = expectedEnd + 1};
                               },
                       .broadcast = [](const wire::StateReply &) {}})
    {
        Configuration configuration{.version = 1};
        configuration.services[service] = {
                .name = service, .hasKeys = true, .coldPerSecond = toleratedRate};
        this->view.applyConfiguration(configuration, "", "test");
        this->view.evacuations().noteEnd(1);
        for (const std::string &node : nodes) {
            this->settings[node] = {.node = node, .service = service};
            this->admissions.try_emplace(node, this->settings[node], this->view);
            this->admissions.at(node).applyConfiguration();
            if (node != this->newcomer) {
                this->join(node);
            }
        }
        this->thread.start();
    }

    ~Cluster() { this->thread.stop(); }

    // Adds a host whose upstream is ready.
    void join(const std::string &node)
    {
        this->view.applyHost(node, this->view.hostsEnd(), hostRecord(node));
        this->links.setAddress(node, {"127.0.0.1", 1});
    }

    // Applies a heartbeat of the new upstream.
    void noteColdTime(Duration coldLeft)
    {
        this->admissions.at(this->newcomer).noteHeartbeat(coldLeft, this->now);
    }

    wire::LoadReport reportOf(const std::string &node) const
    {
        wire::UpstreamLoad load;
        load.set_slots(slots);
        load.set_service_ms(serviceMs);
        wire::LoadReport report;
        report.set_service(service);
        report.set_phase(encodePhase(UpstreamPhase::Ready));
        report.set_upstream_id("i-" + node);
        report.set_born_ms(1);
        report.mutable_known()->set_tables_end(this->view.tablesEnd());
        report.set_voters_end(this->view.tablesEnd());
        const KeyTable *table = this->view.table(service);
        const KeySession *session = table != nullptr ? table->activeSessionOf(node) : nullptr;
        report.set_session(session != nullptr ? session->id : 0);
        this->admissions.at(node).addKeyCapacity(report, load, this->now);
        return report;
    }

    // Each host reports every 400 ms, and the coordinator plans.
    void run(Duration length)
    {
        for (const Time end = this->now + length; this->now < end; this->now += step) {
            this->runOnThread([this] {
                if (this->now.count() % Duration(400ms).count() == 0) {
                    this->sendReports();
                }
                this->coordinator.advance(this->now);
            });
            this->runOnThread([] {}); // after the fiber that appends a table
        }
    }

    // Returns the requests per second for the keys of the new upstream.
    double newcomerRate() const
    {
        double keys = 0;
        const KeyTable *table = this->view.table(service);
        REQUIRE(table != nullptr);
        for (const KeyRange &range : table->ranges) {
            const KeySession *owner = table->session(range.owner);
            keys += owner != nullptr && owner->node == this->newcomer ? range.span.size() : 0;
        }
        return requestRate * keys / (lastShardKey + 1);
    }

    const std::string &newNode() const { return this->newcomer; }

private:
    void sendReports()
    {
        for (const auto &[node, host] : this->view.hosts()) {
            if (node != this->writer) {
                this->coordinator.noteReport(node, this->reportOf(node), this->now);
            }
        }
    }

    std::map<ShardKey, std::uint32_t> takeKeyCounts()
    {
        constexpr ShardKey keyStep = 40'503; // odd, so that the keys are evenly spread
        const auto requests = static_cast<std::uint32_t>(
                requestRate * toSeconds(CoordinatorSettings{}.reportInterval));
        std::map<ShardKey, std::uint32_t> counts;
        for (std::uint32_t i = 0; i < requests; ++i) {
            this->nextKey = (this->nextKey + keyStep) % (lastShardKey + 1);
            ++counts[this->nextKey];
        }
        return counts;
    }

    void runOnThread(const std::function<void()> &work)
    {
        std::promise<void> done;
        this->thread.spawn([&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    Time now = 100s;
    std::string writer;
    std::string newcomer; // host whose upstream starts later than the others
    FiberThread thread{"key-capacity"};
    Metrics metrics;
    ClusterView view{{}};
    std::map<std::string, StageSettings> settings; // by node
    std::map<std::string, AdmissionState> admissions;
    LinkPool links;
    Coordinator coordinator;
    ShardKey nextKey = 0;
};

} // namespace

// Guards against a cold upstream that gets the keys of a warm one: it would reject most of their
// requests, which no other host serves. Guards as well against an upstream that keeps the few keys
// of its cold time.
TEST_CASE("a cold upstream gets keys for the requests that it tolerates", "[key_capacity]")
{
    Cluster cluster;
    cluster.run(10s);
    REQUIRE(cluster.newcomerRate() == 0);
    cluster.noteColdTime(30s);
    cluster.join(cluster.newNode());
    CHECK(cluster.reportOf(cluster.newNode()).usable_slots()
          == 2); // 15 requests of 100 ms, rounded
    cluster.run(10s);
    CHECK(cluster.newcomerRate() > 1);
    CHECK(cluster.newcomerRate() < toleratedRate);
    cluster.noteColdTime(0s);
    CHECK(cluster.reportOf(cluster.newNode()).usable_slots() == slots);
    cluster.run(10s);
    CHECK(cluster.newcomerRate() > 0.7 * requestRate / static_cast<double>(nodes.size()));
}

} // namespace kumquat
