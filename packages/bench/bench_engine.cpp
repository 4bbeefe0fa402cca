// Micro-benchmark of ClusterState and OwnershipEngine. It prints processor time and memory for
// several numbers of sessions.
#include "ownership/engine.h"
#include "ownership/replay.h"
#include "ownership/slot_groups.h"

#include <docopt/docopt.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace kumquat;

namespace {

constexpr const char *usage = R"(Micro-benchmark of the ownership engine.

Usage:
  bench_engine [--json]
  bench_engine --help
)";

constexpr std::string_view service = "testlog";
constexpr int dataCentres = 6;
constexpr int regions = 2;

struct Measure
{
    int sessions = 0;
    double joinMicros = 0;        // per Join record
    double moveMicros = 0;        // per Move record of 30 slots
    double fenceMicros = 0;       // per Fence record of one session
    double lookupNanos = 0;       // per ClusterState::find
    double serveNanos = 0;        // per OwnershipEngine::mayServe
    double roundMicros = 0;       // per lease renewal round as owner and as peer of three sessions
    double bytesPerSession = 0;   // of a ClusterState
    double bytesPerMovedSlot = 0; // predecessor list; kept until the predecessors have stopped
    double bytesPerService = 0;   // of a ClusterState, with one session
};

double processorSeconds()
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + 1e-9 * static_cast<double>(value.tv_nsec);
}

// Returns the processor time of one call in s. This is the lowest average of five batches, because
// other work on the machine can only add time.
double measureCall(int calls, const std::function<void(int)> &call)
{
    constexpr int batches = 5;
    double best = 1e9;
    for (int batch = 0; batch < batches; ++batch) {
        const double start = processorSeconds();
        for (int index = 0; index < calls; ++index) {
            call(batch * calls + index);
        }
        best = std::min(best, (processorSeconds() - start) / calls);
    }
    return best;
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

std::string nodeName(int index)
{
    return "node-" + std::to_string(index);
}

wire::LogRecord makeJoin(int index, int sessions, const std::string &toService)
{
    wire::LogRecord record;
    wire::Join &join = *record.mutable_join();
    join.set_node(nodeName(index));
    join.set_incarnation(static_cast<std::uint64_t>(index) + 1);
    join.set_mesh_address("10.0.0.1:" + std::to_string(7'000 + index));
    join.set_caller_address("10.0.0.1:" + std::to_string(8'000 + index));
    join.set_admin_address("10.0.0.1:" + std::to_string(9'000 + index));
    join.set_region("region-" + std::to_string(index % regions));
    join.set_data_centre("data-centre-" + std::to_string(index % dataCentres));
    join.set_service(toService);
    for (int peer = 1; peer <= 3 && sessions > 3; ++peer) {
        join.add_peers(nodeName((index + peer) % sessions));
    }
    return record;
}

// Moves some slots of one session to another.
wire::LogRecord makeMove(const ClusterState &state, Slot first, Slot count, SessionId from,
                         SessionId to)
{
    wire::LogRecord record;
    wire::Move &move = *record.mutable_move();
    move.set_service(std::string(service));
    move.set_from_session(from);
    move.set_to_session(to);
    move.set_settled(true);
    std::vector<SlotEpoch> slots;
    for (Slot slot = first; slot < first + count; ++slot) {
        slots.push_back({slot, state.findSlot(service, slot)->epoch});
    }
    setSlots(move, std::move(slots));
    return record;
}

// Returns a state whose first session owns all slots.
ClusterState joinSessions(int sessions, Measure *measure)
{
    ClusterState state;
    state.apply(0, {}); // offset 0 is never used as a session id
    std::vector<wire::LogRecord> joins;
    joins.reserve(static_cast<std::size_t>(sessions));
    for (int index = 0; index < sessions; ++index) {
        joins.push_back(makeJoin(index, sessions, std::string(service)));
    }
    const double start = processorSeconds();
    for (const wire::LogRecord &join : joins) {
        state.apply(state.nextOffset(), join);
    }
    if (measure != nullptr) {
        measure->joinMicros = 1e6 * (processorSeconds() - start) / sessions;
    }
    return state;
}

// Moves an equal share of the slots from the first session to every other session.
void distributeSlots(ClusterState &state, int sessions)
{
    const Slot slotsPerSession = hashedSlotCount / static_cast<Slot>(sessions);
    for (int index = 1; index < sessions; ++index) {
        const SessionId target = static_cast<SessionId>(index) + 1;
        const Slot first = slotsPerSession * static_cast<Slot>(index);
        state.apply(state.nextOffset(), makeMove(state, first, slotsPerSession, 1, target));
    }
}

void measureState(int sessions, Measure &measure)
{
    const double emptyBytes = heapBytes();
    const ClusterState single = joinSessions(1, nullptr);
    const double singleBytes = heapBytes();
    ClusterState state = joinSessions(sessions, &measure);
    const double allBytes = heapBytes();
    distributeSlots(state, sessions);
    const Slot movedSlots =
            hashedSlotCount / static_cast<Slot>(sessions) * static_cast<Slot>(sessions - 1);
    measure.bytesPerService = singleBytes - emptyBytes;
    measure.bytesPerSession = (allBytes - singleBytes - measure.bytesPerService) / (sessions - 1);
    measure.bytesPerMovedSlot = (heapBytes() - allBytes) / movedSlots;

    constexpr Slot moved = 30;
    std::vector<SessionId> owners = {1, 2};
    measure.moveMicros = 1e6 * measureCall(200, [&](int) {
                             const auto record = makeMove(state, 0, moved, owners[0], owners[1]);
                             state.apply(state.nextOffset(), record);
                             std::swap(owners[0], owners[1]);
                         });
    std::uint64_t found = 0;
    measure.lookupNanos = 1e9 * measureCall(200'000, [&](int call) {
                              const auto hash = hashPair(static_cast<std::uint64_t>(call), 1);
                              found += state.find(service, hash)->owner->id;
                          });
    if (found == 0) {
        std::cerr << "no lookup found an owner\n";
    }
    const int fencedCount = std::min(sessions / 2, 20);
    const double start = processorSeconds();
    for (int index = 0; index < fencedCount; ++index) {
        wire::LogRecord record;
        record.mutable_fence()->add_sessions(static_cast<SessionId>(sessions - index));
        state.apply(state.nextOffset(), record);
    }
    measure.fenceMicros = 1e6 * (processorSeconds() - start) / fencedCount;
}

// Measures the engine of node 0. The answers of its peers are simulated.
void measureEngine(int sessions, Measure &measure)
{
    EngineSettings settings;
    settings.node = nodeName(0);
    settings.incarnation = 1;
    settings.meshAddress = "10.0.0.1:7000";
    settings.callerAddress = "10.0.0.1:8000";
    settings.adminAddress = "10.0.0.1:9000";
    settings.region = "region-0";
    settings.dataCentre = "data-centre-0";
    auto engine = OwnershipEngine::create(settings, makeIdleHooks()).value();
    Time now = 1s;
    engine->start(now);
    engine->onRecord(0, {}, now);
    for (int index = 1; index < sessions; ++index) {
        engine->onRecord(engine->nextOffset(), makeJoin(index, sessions, "other"), now);
    }
    engine->onLogAnswering(true, now);
    engine->onLogEnd(engine->nextOffset(), now, now);
    engine->setUpstream(UpstreamInfo{std::string(service), true}, now);

    // A round runs everything that is due within 400 ms. Each Renew of the engine is answered, and
    // each of the three sessions that have this node as a peer sends a Renew.
    std::uint64_t sequence = 0;
    const auto processOutput = [&] {
        const EngineOutput output = engine->takeOutput();
        for (const wire::LogRecord &record : output.records) {
            engine->onRecord(engine->nextOffset(), record, now);
            engine->onLogEnd(engine->nextOffset(), now, now);
        }
        for (const OutgoingMessage &message : output.messages) {
            if (message.message.has_renew()) {
                wire::MeshMessage answer;
                answer.set_from(message.node);
                wire::Grant &grant = *answer.mutable_grant();
                grant.set_session(message.message.renew().session());
                grant.set_sequence(message.message.renew().sequence());
                grant.set_incarnation(1);
                engine->onMessage(answer, now);
            }
        }
    };
    const auto runRound = [&](int) {
        now += 400ms;
        ++sequence;
        for (int peer = 1; peer <= 3; ++peer) {
            const int owner = sessions - peer; // its Join record lists this node as a peer
            wire::MeshMessage message;
            message.set_from(nodeName(owner));
            message.mutable_renew()->set_session(static_cast<SessionId>(owner));
            message.mutable_renew()->set_sequence(sequence);
            engine->onMessage(message, now);
        }
        engine->onTick(now);
        processOutput();
        processOutput();
    };
    for (int round = 0; round < 10; ++round) {
        runRound(round);
    }
    measure.roundMicros = 1e6 * measureCall(500, runRound);
    int served = 0;
    measure.serveNanos = 1e9 * measureCall(100'000, [&](int call) {
                             const auto hash = hashPair(static_cast<std::uint64_t>(call), 1);
                             const auto answer = engine->mayServe(service, hash, now);
                             served += answer.error == ErrorKind::None ? 1 : 0;
                         });
    if (served == 0) {
        std::cerr << "the engine served no key; may_serve_ns is the time of a refusal\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    nlohmann::json document = nlohmann::json::array();
    for (const int sessions : {10, 100, 550}) {
        Measure measure;
        measure.sessions = sessions;
        measureState(sessions, measure);
        measureEngine(sessions, measure);
        document.push_back({{"sessions", measure.sessions},
                            {"join_us", measure.joinMicros},
                            {"move_30_slots_us", measure.moveMicros},
                            {"fence_us", measure.fenceMicros},
                            {"lookup_ns", measure.lookupNanos},
                            {"may_serve_ns", measure.serveNanos},
                            {"renewal_round_us", measure.roundMicros},
                            {"bytes_per_session", measure.bytesPerSession},
                            {"bytes_per_moved_slot", measure.bytesPerMovedSlot},
                            {"bytes_per_service", measure.bytesPerService}});
    }
    if (arguments["--json"].asBool()) {
        std::cout << document.dump(1) << '\n';
        return 0;
    }
    for (const nlohmann::json &row : document) {
        for (const auto &[name, value] : row.items()) {
            std::cout << name << '=' << value.get<double>() << ' ';
        }
        std::cout << '\n';
    }
    return 0;
}
