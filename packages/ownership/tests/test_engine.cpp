// Sections: helpers, checkpoints, drain, handover of many requests, bound keys, peers, loss of many
// sessions.
#include "harness.h"
#include "ownership/peer_choice.h"
#include "ownership/slot_groups.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace kumquat;
using namespace kumquat::test;

namespace {

// ---- helpers ----

EngineHooks idleHooks()
{
    EngineHooks hooks;
    hooks.hasInFlight = [](const SlotKeys &) { return false; };
    hooks.hasAnyInFlight = [](const std::string &) { return false; };
    hooks.remembered = [](const SlotKeys &) { return std::vector<wire::RememberedRequest>(); };
    hooks.importRemembered = [](const std::string &, const auto &) {};
    return hooks;
}

// A single engine. The test passes it log records and messages.
struct SingleEngine
{
    explicit SingleEngine(int node, EngineHooks hooks = idleHooks(),
                          std::size_t handoverBytes = 262'144)
    {
        EngineSettings settings = World::settingsOf(node, static_cast<std::uint64_t>(node) + 1, {});
        settings.handoverBytes = handoverBytes;
        this->engine = OwnershipEngine::create(settings, std::move(hooks)).value();
        this->engine->start(Time(0));
    }

    // Passes the records from the engine's next offset on, and then the end of the log.
    void read(const std::vector<wire::LogRecord> &log, Time now, Offset firstKept = 0)
    {
        this->engine->onLogAnswering(true, now);
        this->engine->onFirstKept(firstKept, now);
        while (this->engine->nextOffset() < log.size()) {
            const Offset next = this->engine->nextOffset();
            this->engine->onRecord(next, log[next], now);
        }
        this->engine->onLogEnd(log.size(), now, now);
    }

    std::unique_ptr<OwnershipEngine> engine;
};

wire::LogRecord makeJoin(int node, const std::vector<std::string> &peers = {})
{
    wire::LogRecord record;
    wire::Join &join = *record.mutable_join();
    join.set_node(World::nodeName(node));
    join.set_incarnation(static_cast<std::uint64_t>(node) + 1);
    join.set_service(std::string(World::service));
    join.set_data_centre("d" + std::to_string(node % 3));
    join.set_region("r1");
    for (const std::string &peer : peers) {
        join.add_peers(peer);
    }
    return record;
}

wire::LogRecord makePadding()
{
    wire::LogRecord record;
    record.mutable_checkpoint()->set_parts(1);
    return record;
}

// Returns a Move of a slot with this epoch.
wire::LogRecord makeMove(SessionId from = 1, SessionId to = 2, SlotEpoch slot = {0, 1})
{
    wire::LogRecord record;
    wire::Move &move = *record.mutable_move();
    move.set_service(std::string(World::service));
    move.set_from_session(from);
    move.set_to_session(to);
    move.set_settled(true);
    setSlots(move, {slot});
    return record;
}

// Returns the Bind or Unbind that the engine has appended, or nothing.
std::optional<wire::LogRecord> takeBinding(OwnershipEngine &engine)
{
    for (const wire::LogRecord &record : engine.takeOutput().records) {
        if (record.has_bind() || record.has_unbind()) {
            return record;
        }
    }
    return std::nullopt;
}

std::vector<wire::LogRecord> takeCheckpoint(SingleEngine &single)
{
    std::vector<wire::LogRecord> parts;
    for (const wire::LogRecord &record : single.engine->takeOutput().records) {
        if (record.has_checkpoint()) {
            parts.push_back(record);
        }
    }
    return parts;
}

} // namespace

// ---- checkpoints ----

// Guards against a new process that cannot join after old records have expired from the log.
TEST_CASE("a new engine starts from a checkpoint")
{
    std::vector<wire::LogRecord> log{makePadding(), makeJoin(1), makeJoin(2)};
    SingleEngine writer(8);
    writer.read(log, 1s);
    writer.engine->onTick(12h); // not yet half of the retention after the first record
    REQUIRE(takeCheckpoint(writer).empty());
    writer.engine->onTick(12h + 40s);
    const std::vector<wire::LogRecord> parts = takeCheckpoint(writer);
    REQUIRE_FALSE(parts.empty());
    log.push_back(makeJoin(3));
    log.insert(log.end(), parts.begin(), parts.end());
    log.push_back(makeJoin(4));
    SingleEngine reader(9);
    reader.read(log, 1s, 3);
    REQUIRE(reader.engine->hasCaughtUp());
    REQUIRE(reader.engine->nextOffset() == log.size());
    REQUIRE(reader.engine->cluster().members().size() == 4);

    SingleEngine late(9); // records between the covered offset and the first kept one are lost
    late.read(log, 1s, 4);
    REQUIRE_FALSE(late.engine->hasCaughtUp());
    REQUIRE(late.engine->lacksHistory());
}

// Guards against an outage after which the log has neither old records nor a checkpoint.
TEST_CASE("a checkpoint is the first record after an outage longer than the retention")
{
    SingleEngine single(1);
    single.engine->setUpstream(UpstreamInfo{"testlog", true}, 1s);
    single.read({makePadding()}, 2s);
    single.engine->takeOutput();
    single.engine->onLogAnswering(false, 3s);
    single.engine->onTick(10h);
    single.engine->onTick(30h);
    single.engine->onLogAnswering(true, 30h + 1s);
    const std::vector<wire::LogRecord> records = single.engine->takeOutput().records;
    REQUIRE_FALSE(records.empty());
    REQUIRE(records.front().has_checkpoint());
}

// ---- drain ----

// Guards against a drain that never ends, or that ends while requests are in flight.
TEST_CASE("a drain hands over its slots, releases its session and ends")
{
    bool busy = true;
    EngineHooks hooks = idleHooks();
    hooks.hasInFlight = [&busy](const SlotKeys &) { return busy; };
    hooks.hasAnyInFlight = [&busy](const std::string &) { return busy; };
    SingleEngine single(1, hooks);
    OwnershipEngine &engine = *single.engine;
    std::vector<wire::LogRecord> log{makePadding(), makeJoin(1), makeJoin(2)};
    single.read(log, 2s);
    REQUIRE(engine.mayServe(World::service, 0, 2s).error == ErrorKind::None);
    engine.takeOutput(); // drops the Peers record with more peers
    engine.requestDrain(3s);
    REQUIRE(engine.mayServe(World::service, 0, 3s).error == ErrorKind::None);
    const EngineOutput leaving = engine.takeOutput();
    REQUIRE(leaving.records.size() == 1);
    REQUIRE(leaving.records.front().has_leave());
    log.push_back(leaving.records.front());
    single.read(log, 3100ms);
    REQUIRE(engine.mayServe(World::service, 0, 3100ms).error == ErrorKind::NotOwner);
    REQUIRE(engine.takeOutput().messages.empty());
    busy = false;
    engine.onTick(3200ms);
    const EngineOutput output = engine.takeOutput();
    REQUIRE(output.messages.size() == 1);
    const wire::Handover &handover = output.messages.front().message.handover();
    REQUIRE(handover.slots_size() == 6);
    REQUIRE_FALSE(engine.isDrained());
    wire::MeshMessage ack;
    ack.set_from("n2");
    ack.mutable_handover_ack()->set_service(handover.service());
    ack.mutable_handover_ack()->set_session(handover.session());
    *ack.mutable_handover_ack()->mutable_slots() = handover.slots();
    engine.onMessage(ack, 3300ms);
    const EngineOutput released = engine.takeOutput();
    REQUIRE(released.records.size() == 1);
    REQUIRE(released.records.front().has_released());
    log.push_back(released.records.front());
    single.read(log, 3400ms);
    REQUIRE(engine.isDrained());
}

// Guards against a drain that accepts requests or never ends while the log is down (P6).
TEST_CASE("a drain without the log refuses requests and ends after its limit")
{
    SingleEngine single(1);
    single.read({makePadding(), makeJoin(1)}, 2s);
    single.engine->onLogAnswering(false, 3s);
    single.engine->requestDrain(4s);
    REQUIRE(single.engine->mayServe(World::service, 0, 4s).error == ErrorKind::Draining);
    single.engine->onTick(23s);
    REQUIRE_FALSE(single.engine->isDrained());
    single.engine->onTick(24s);
    REQUIRE(single.engine->isDrained());
}

// ---- handover of many requests ----

// Guards against a new owner that serves a slot before it has all remembered requests.
TEST_CASE("a slot is handed over after all parts of its remembered requests")
{
    EngineHooks sending = idleHooks();
    sending.remembered = [](const SlotKeys &keys) {
        std::vector<wire::RememberedRequest> requests(keys.slot == 0 ? 100 : 0);
        for (std::size_t index = 0; index < requests.size(); ++index) {
            requests[index].mutable_id()->set_low(index);
        }
        return requests;
    };
    std::set<std::uint64_t> imported;
    EngineHooks receiving = idleHooks();
    receiving.importRemembered = [&imported](const std::string &, const auto &requests) {
        for (const wire::RememberedRequest &request : requests) {
            imported.insert(request.id().low());
        }
    };
    SingleEngine from(1, sending, 1'000);
    SingleEngine to(2, receiving, 1'000);
    const std::vector<wire::LogRecord> log{makePadding(), makeJoin(1), makeJoin(2), makeMove()};
    to.read(log, 2s);
    from.read(log, 2s);
    bool lose = true; // loses every second message, in both directions
    for (Time now = 2s; now < 12s; now += 250ms) {
        from.engine->onTick(now);
        to.engine->onTick(now);
        for (const OutgoingMessage &message : from.engine->takeOutput().messages) {
            lose = !lose;
            REQUIRE(message.message.ByteSizeLong() < 2'000);
            if (!lose) {
                to.engine->onMessage(message.message, now);
            }
        }
        const bool served = to.engine->mayServe(World::service, 0, now).error == ErrorKind::None;
        REQUIRE((!served || imported.size() == 100));
        for (const OutgoingMessage &message : to.engine->takeOutput().messages) {
            lose = !lose;
            if (!lose) {
                from.engine->onMessage(message.message, now);
            }
        }
    }
    REQUIRE(to.engine->mayServe(World::service, 0, 12s).error == ErrorKind::None);
    REQUIRE(to.engine->journalSessions(World::service, 0).empty());
}

// ---- bound keys ----

// Guards against an Unbind while an earlier owner of the dedicated slot may still serve it. The
// hashed slot does not list that owner as a predecessor, so the new owner would not wait for it to
// stop.
TEST_CASE("an owner unbinds a dedicated slot only after all earlier owners have stopped")
{
    constexpr std::uint64_t keyHash = 5;
    SingleEngine single(1);
    OwnershipEngine &engine = *single.engine;
    std::vector<wire::LogRecord> log{makePadding(), makeJoin(1), makeJoin(2)};
    single.read(log, 2s);
    const Slot hashed = engine.route(World::service, keyHash).slot;
    engine.requestBind(keyHash, 3s);
    const auto bind = takeBinding(engine);
    REQUIRE(bind);
    log.push_back(*bind);
    single.read(log, 3s);
    const RouteAnswer bound = engine.route(World::service, keyHash);
    REQUIRE(bound.slot != hashed);
    log.push_back(makeMove(1, 2, {bound.slot, bound.epoch}));
    log.push_back(makeMove(2, 1, {bound.slot, log.size() - 1}));
    single.read(log, 4s);
    REQUIRE(engine.route(World::service, keyHash).own);
    REQUIRE(engine.mayServe(World::service, keyHash, 4s).waiting);
    engine.requestUnbind(keyHash, 4s);
    REQUIRE_FALSE(takeBinding(engine));
    wire::MeshMessage message;
    message.set_from("n2");
    wire::Handover &handover = *message.mutable_handover();
    handover.set_service(std::string(World::service));
    handover.set_session(2);
    handover.add_slots()->set_slot(bound.slot);
    handover.mutable_slots(0)->set_epoch(log.size() - 2);
    engine.onMessage(message, 5s);
    REQUIRE(engine.mayServe(World::service, keyHash, 5s).error == ErrorKind::None);
    engine.requestUnbind(keyHash, 5s);
    const auto unbind = takeBinding(engine);
    REQUIRE(unbind);
    log.push_back(*unbind);
    single.read(log, 5s);
    REQUIRE(engine.route(World::service, keyHash).slot == hashed);
    REQUIRE(engine.mayServe(World::service, keyHash, 5s).error == ErrorKind::None);
}

// ---- peers ----

// Guards against peer sets in which one data centre has the owner and two of its peers.
TEST_CASE("one peer is in the same and two are in other data centres of the region")
{
    ClusterState state({4, 2});
    std::vector<wire::LogRecord> log{makePadding()};
    for (int node = 0; node < 9; ++node) {
        log.push_back(makeJoin(node));
    }
    wire::LogRecord far = makeJoin(10);
    far.mutable_join()->set_region("r2");
    log.push_back(far);
    for (const wire::LogRecord &record : log) {
        state.apply(state.nextOffset(), record);
    }
    const PeerQuery query{"n0", "r1", "d0", {}, {}};
    const std::vector<std::string> peers = choosePeers(state, query);
    std::set<std::string> centres;
    for (const std::string &peer : peers) {
        centres.insert(state.findNode(peer)->dataCentre);
    }
    REQUIRE(peers.size() == 3);
    REQUIRE(state.findNode(peers.front())->dataCentre == "d0");
    REQUIRE(centres.size() == 3);
    REQUIRE(choosePeers(state, {"n10", "r2", "d1", {}, {}}).size() == 3);
    const std::vector<std::string> others =
            choosePeers(state, {"n0", "r1", "d0", {peers[1]}, {peers[0], peers[2]}});
    REQUIRE(others.size() == 3);
    REQUIRE(std::count(others.begin(), others.end(), peers[1]) == 1);
    REQUIRE(std::count(others.begin(), others.end(), peers[0]) == 0);
}

// ---- loss of many sessions ----

namespace {

// Returns the time at which node 1 appends new Peers, after the sessions of the lost nodes have
// ended at 2 s. Its peers are nodes 2, 3 and 4; those that are not lost still answer.
Time findPeersAppend(const std::set<int> &lost)
{
    constexpr int nodes = 50;
    std::vector<wire::LogRecord> log{makePadding(), makeJoin(1, {"n2", "n3", "n4"})};
    for (int node = 2; node <= nodes; ++node) {
        log.push_back(makeJoin(node));
    }
    SingleEngine single(1);
    single.read(log, 1s);
    wire::LogRecord fence;
    for (const int node : lost) {
        fence.mutable_fence()->add_sessions(static_cast<SessionId>(node));
    }
    log.push_back(fence);
    single.read(log, 2s);
    for (Time now = 2s; now < 20s; now += 50ms) {
        for (const int peer : {2, 3, 4}) {
            wire::MeshMessage answer;
            answer.set_from(World::nodeName(peer));
            answer.mutable_grant()->set_session(1);
            answer.mutable_grant()->set_incarnation(static_cast<std::uint64_t>(peer) + 1);
            if (lost.count(peer) == 0) {
                single.engine->onMessage(answer, now);
            }
        }
        single.engine->onTick(now);
        for (const wire::LogRecord &record : single.engine->takeOutput().records) {
            if (record.has_peers()) {
                return now;
            }
        }
    }
    return Time(0);
}

} // namespace

// Guards against surviving sessions that flood the log with Peers, and against owners that delay
// the replacement of peers without a majority of their peers.
TEST_CASE("surviving sessions delay Peers records only while a majority of their peers answers")
{
    constexpr Duration check = 500ms; // between checks of the peers
    const Time alone = findPeersAppend({2});
    REQUIRE(alone > 2s);
    REQUIRE(alone <= 4s);
    std::set<int> many{2};
    for (int node = 5; node < 45; ++node) {
        many.insert(node);
    }
    const Duration window =
            LeaseTimings{}.peersWindowPerSession * static_cast<Duration::rep>(many.size());
    const Time spread = findPeersAppend(many);
    REQUIRE(spread > alone);
    REQUIRE(spread <= alone + window + check);
    many.insert(3);
    REQUIRE(findPeersAppend(many) <= alone + check);
}
