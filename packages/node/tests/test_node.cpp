#include "node/entry_path.h"
#include "node/forwarder.h"
#include "node/in_flight.h"
#include "node/log_relay.h"
#include "node/owner_path.h"
#include "node/upstream.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace kumquat;

namespace {

constexpr std::uint16_t meshPort = 18'491;
constexpr std::uint64_t incarnation = 77;

RoutedRequest makeRequest()
{
    RoutedRequest request;
    request.service = "testlog";
    request.keyHash = 5;
    request.deadline = readBootTime() + 2s;
    request.idempotent = true;
    request.fingerprint = 9;
    request.http = {"POST", "/testlog/D-1?x=1", {{"Detector", "D-1"}}, std::string("a\0b", 3)};
    return request;
}

// A process on the mesh that sends forwarded requests to itself. `onForward` may answer them.
struct MeshFixture
{
    explicit MeshFixture(std::function<void(MeshFixture &, const wire::Forward &)> onForward)
        : thread("test")
        , mesh(thread, {.receive =
                                [this, onForward](wire::MeshMessage &&message) {
                                    if (message.has_forward()) {
                                        onForward(*this, message.forward());
                                    } else {
                                        this->forwarder.complete(message.forward_reply());
                                    }
                                }})
        , forwarder(mesh, incarnation, address.toString())
    {
        REQUIRE(this->mesh.bind(this->address).ok());
        this->thread.start();
    }

    ~MeshFixture() { this->thread.stop(); }

    void reply(const wire::RequestId &id, const std::string &body)
    {
        wire::MeshMessage message;
        *message.mutable_forward_reply()->mutable_forward_id() = id;
        message.mutable_forward_reply()->set_http_status(200);
        message.mutable_forward_reply()->set_body(body);
        this->mesh.send(this->address.toString(), message);
    }

    RoutedAnswer forward(const RoutedRequest &request)
    {
        auto promise = std::make_shared<std::promise<RoutedAnswer>>();
        auto result = promise->get_future();
        this->thread.spawn([this, promise, request] {
            RouteAnswer target;
            target.meshAddress = this->address.toString();
            target.session = 3;
            promise->set_value(this->forwarder.forward(this->thread.io(), target, request, 0));
        });
        return result.get();
    }

    Address address{"127.0.0.1", meshPort};
    FiberThread thread;
    Mesh mesh;
    Forwarder forwarder;
};

} // namespace

TEST_CASE("forwarded requests and their answers are converted without loss")
{
    const RoutedRequest request = makeRequest();
    const Time now = request.deadline - 1s;
    const RoutedRequest copy = fromForward(toForward(request, now), now);
    REQUIRE(copy.deadline == request.deadline);
    REQUIRE(copy.http.body == request.http.body);
    REQUIRE(copy.http.target == request.http.target);
    REQUIRE(copy.http.field("detector") == "D-1");
    RoutedAnswer answer = makeFailure(ErrorKind::NotOwner, "moved");
    answer.logOffset = 12;
    answer.owner = {5, "127.0.0.1:9"};
    const RoutedAnswer back = fromForwardReply(toForwardReply(answer));
    REQUIRE(back.error == ErrorKind::NotOwner);
    REQUIRE(back.logOffset == 12);
    REQUIRE(back.owner.session == 5);
    REQUIRE(back.owner.meshAddress == "127.0.0.1:9");
    wire::ForwardReply unknown;
    unknown.set_error_kind(1'000);
    REQUIRE(fromForwardReply(unknown).error == ErrorKind::Internal);
}

// Guards against a caller that gets the answer to another request, or to a request of an earlier
// incarnation of the process.
TEST_CASE("a forward accepts only the answer to its own request")
{
    MeshFixture fixture([](MeshFixture &self, const wire::Forward &forward) {
        wire::RequestId earlier = forward.forward_id();
        earlier.set_high(incarnation - 1);
        self.reply(earlier, "earlier incarnation");
        wire::RequestId other = forward.forward_id();
        other.set_low(other.low() + 100);
        self.reply(other, "other request");
        self.reply(forward.forward_id(), "own");
        self.reply(forward.forward_id(), "late duplicate");
    });
    const RoutedAnswer answer = fixture.forward(makeRequest());
    REQUIRE(answer.error == ErrorKind::None);
    REQUIRE(answer.http.body == "own");
    REQUIRE(fixture.forward(makeRequest()).http.body == "own");
    REQUIRE(fixture.forwarder.unmatchedReplies() >= 4);
}

// Guards against reporting a request as not run after its owner did not answer.
TEST_CASE("a forward without an answer has an unknown outcome")
{
    MeshFixture fixture([](MeshFixture &, const wire::Forward &) {});
    RoutedRequest request = makeRequest();
    request.deadline = readBootTime() + 50ms;
    const RoutedAnswer answer = fixture.forward(request);
    REQUIRE(answer.error == ErrorKind::OwnerLost);
    REQUIRE(errorInfo(answer.error).outcome == Outcome::Unknown);
}

// Guards against callers that wait for their whole timeout on an owner that was fenced.
TEST_CASE("a fence ends the wait for the owner")
{
    MeshFixture fixture(
            [](MeshFixture &self, const wire::Forward &) { self.forwarder.abandon(3); });
    const Time start = readBootTime();
    REQUIRE(fixture.forward(makeRequest()).error == ErrorKind::OwnerLost);
    REQUIRE(readBootTime() - start < 1s); // the timeout is 2 s
}

// Guards against a handover while the upstream may still run a request whose connection was lost.
TEST_CASE("a request that may still run is in flight until it expires")
{
    InFlight inFlight;
    SlotKeys keys;
    keys.service = "testlog";
    keys.slot = slotOf(5);
    const RequestNumber number = inFlight.add("testlog", 5);
    REQUIRE(inFlight.has(keys, 0s));
    inFlight.setExpiry(number, 10s);
    inFlight.end(number, true);
    REQUIRE(inFlight.has(keys, 9s));
    REQUIRE(inFlight.hasAny("testlog", 9s));
    REQUIRE_FALSE(inFlight.hasAny("certdesk", 9s));
    REQUIRE_FALSE(inFlight.has(keys, 10s));
    inFlight.end(inFlight.add("testlog", 5), false);
    REQUIRE(inFlight.count() == 0);
}

// Guards against a restarted process that does not know which requests crash upstreams: it starts
// from a checkpoint and never reads the CrashSuspect records before it.
TEST_CASE("a process that starts from a checkpoint refuses quarantined requests")
{
    const RoutedRequest request = makeRequest();
    ClusterState writer;
    writer.apply(0, {});
    for (const std::uint64_t crashId : {101, 102}) {
        wire::LogRecord suspect;
        suspect.mutable_crash_suspect()->add_fingerprints(request.fingerprint);
        suspect.mutable_crash_suspect()->set_crash_id(crashId);
        REQUIRE(writer.apply(writer.nextOffset(), suspect).accepted);
    }
    OwnerPath owner({.node = "n1", .incarnation = incarnation}, {});
    owner.refuseFrom(Time(0)); // requests that are not quarantined are refused as draining
    EngineSettings settings;
    settings.node = "n1";
    settings.incarnation = incarnation;
    EngineHooks hooks;
    hooks.hasInFlight = [](const SlotKeys &) { return false; };
    hooks.hasAnyInFlight = [](const std::string &) { return false; };
    hooks.remembered = [](const SlotKeys &) { return std::vector<wire::RememberedRequest>(); };
    hooks.importRemembered = [](const std::string &, const auto &) {};
    hooks.importCrashes = [&owner](const CrashCounts &crashes) { owner.importCrashes(crashes); };
    auto engine = OwnershipEngine::create(settings, std::move(hooks)).value();
    engine->start(1s);
    engine->onFirstKept(writer.nextOffset(), 1s);
    for (const wire::Checkpoint &part : writer.makeCheckpoint()) {
        wire::LogRecord record;
        *record.mutable_checkpoint() = part;
        engine->onRecord(engine->nextOffset(), record, 1s);
    }
    REQUIRE(engine->cluster().findCrash(request.fingerprint) != nullptr);
    REQUIRE(owner.serve(0, request).error == ErrorKind::RequestQuarantined);
}

TEST_CASE("an error answer names kind, outcome and remedy")
{
    const HttpResponse response = makeErrorResponse(ErrorKind::OwnerLost, "broken \xff text");
    REQUIRE(response.status == 502);
    REQUIRE(response.field("Kumquat-Outcome") == "unknown");
    REQUIRE(response.field("kumquat-error") == "owner-lost");
    REQUIRE(response.body.find("remedy") != std::string::npos);
}

// Guards against a process that reads no more records when its connection to the log service is cut
// off, and against queries for records that the log service would deliver in time.
TEST_CASE("a process asks for records that another one has read")
{
    wire::LogRecord record;
    record.mutable_released()->set_session(7);
    LogRelay ahead;
    LogRelay behind;
    const Time start = readBootTime();
    for (Offset offset = 1; offset <= 4; ++offset) {
        ahead.keep(offset, record, start);
    }
    behind.keep(1, record, start);
    behind.noteOffset(2, "t1", start);
    REQUIRE_FALSE(behind.nextDue()); // nothing is missing
    behind.noteOffset(5, "t2", start);
    REQUIRE_FALSE(behind.takeQuery(start));
    REQUIRE(behind.takeQuery(start + LogRelay::queryDelay));
    REQUIRE(behind.source() == "t2");
    REQUIRE_FALSE(behind.takeQuery(start + LogRelay::queryDelay));
    const wire::RelayReply reply = ahead.answer(behind.makeQuery().from());
    REQUIRE(reply.from() == 2);
    REQUIRE(reply.records_size() == 3);
    REQUIRE(reply.records(2) == record.SerializeAsString());
    for (Offset offset = 2; offset <= 4; ++offset) {
        REQUIRE(behind.nextDue());
        behind.keep(offset, record, start);
    }
    REQUIRE_FALSE(behind.nextDue());
}

// Guards against a reply that leaves out records: the receiver assumes consecutive offsets and
// would assign wrong ones.
TEST_CASE("a process passes on only records without gaps")
{
    wire::LogRecord record;
    record.mutable_released()->set_session(7);
    LogRelay relay;
    relay.keep(3, record, readBootTime());
    relay.keep(9, record, readBootTime());
    REQUIRE(relay.answer(3).records_size() == 0);
    REQUIRE(relay.answer(9).records_size() == 1);
    REQUIRE(relay.answer(10).records_size() == 0);
    for (Offset offset = 10; offset < 10 + LogRelay::maxRecords; ++offset) {
        relay.keep(offset, record, readBootTime());
    }
    REQUIRE(relay.answer(9).records_size() == 0);
    REQUIRE(relay.answer(10).records_size() > 0);
}

// Guards against treating an upstream as frozen after a burst of requests with short deadlines, as
// after a takeover. An upstream without earlier requests then lost its session, and its keys moved
// again.
TEST_CASE("an upstream counts as frozen only after a second without an answer")
{
    FiberThread thread("test");
    thread.start();
    asio::io_context io;
    asio::ip::tcp::acceptor silent(io, {asio::ip::make_address("127.0.0.1"), 0}); // never accepts
    Announcement announcement;
    announcement.address = {"127.0.0.1", silent.local_endpoint().port()};
    std::atomic<int> lost{0};
    const auto upstream = Upstream::create(
            announcement, {}, {&thread},
            {.reportCrash = [](const auto &) {}, .reportLost = [&lost](const auto *) { ++lost; }});
    RequestNumber number = 0;
    const auto callAtOnce = [&](int calls, Duration limit) {
        std::vector<std::future<ErrorKind>> errors;
        for (int call = 0; call < calls; ++call) {
            const auto promise = std::make_shared<std::promise<ErrorKind>>();
            errors.push_back(promise->get_future());
            thread.spawn([&, promise, requestNumber = ++number] {
                RoutedRequest request = makeRequest();
                request.deadline = readBootTime() + limit;
                const ErrorKind refused =
                        upstream->admit(thread.io(), requestNumber, request.deadline);
                const UpstreamGrant grant{.expires = request.deadline};
                promise->set_value(refused == ErrorKind::None
                                           ? upstream->call(0, requestNumber, request, grant).error
                                           : refused);
            });
        }
        int timeouts = 0;
        for (std::future<ErrorKind> &error : errors) {
            timeouts += error.get() == ErrorKind::UpstreamTimeout ? 1 : 0;
        }
        return timeouts;
    };
    std::this_thread::sleep_for(1100ms);
    REQUIRE(callAtOnce(10, 20ms) >= 5);
    REQUIRE(lost == 0);
    const Time lostDeadline = readBootTime() + 5s;
    while (lost == 0 && readBootTime() < lostDeadline) {
        callAtOnce(10, 200ms);
    }
    REQUIRE(lost == 1);
    thread.stop();
}
