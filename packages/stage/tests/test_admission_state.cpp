// Tests what limits work at the upstream beside a process, as its parts act together.
#include "stage/admission_state.h"

#include "net/http_client.h"
#include "net/http_server.h"
#include "stage/upstream_limits.h"

#include <catch2/catch.hpp>

#include <future>
#include <list>

using namespace kumquat;

namespace {

constexpr std::uint64_t images = 1;
constexpr std::uint64_t orders = 2;
constexpr std::uint64_t stock = 3;
constexpr std::size_t imageBytes = 90'000;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

wire::Execute makeRequest(std::uint64_t route)
{
    wire::Execute execute;
    execute.set_id("r-1");
    execute.set_route_hash(route);
    execute.set_large_answer(route == images);
    return execute;
}

struct Host
{
    Metrics metrics;
    StageSettings settings{.service = "shop", .limits = {.linkBytesPerSecond = 1'250'000}};
    ClusterView view{{}};
    AdmissionState admission{settings, view};

    explicit Host(bool hasLargeAnswers)
    {
        Configuration configuration{.version = 1};
        configuration.routes.push_back({.name = "images", .hasLargeAnswers = hasLargeAnswers});
        this->view.applyConfiguration(configuration, "", "test");
        this->admission.applyConfiguration();
        const SpeedHooks hooks = this->admission.speedHooks(this->metrics);
        const wire::Execute execute = makeRequest(images);
        hooks.ended(execute, {.end = CallEnd::Answered, .figures = UpstreamFigures{}}, 1s);
    }

    Duration linkWait(const wire::Execute &execute, Time now)
    {
        return this->admission.figures(&execute, now).linkWait;
    }

    // Runs an order that makes one call, with this status as the answer.
    void runOrder(int callStatus, Time now)
    {
        const wire::Execute order = makeRequest(orders);
        const wire::Execute call = makeRequest(stock);
        if (this->admission.figures(&order, now).callsWait == Duration::zero()) {
            this->admission.noteSending(order, now);
            REQUIRE(this->admission.isCall(call, now));
            this->admission.noteCallEnded(call, callStatus, now);
        }
        this->admission.noteEnded(order, 100, now);
    }
};

} // namespace

// Load: ten images at once on a link of 10 Mbit/s. Guards against a limit in deployments without
// large answers, and against reservations that stay after their runs.
TEST_CASE("images wait for the link only where there are routes for them", "[admission]")
{
    Host plain(false);
    Host host(true);
    std::list<wire::Execute> sent;
    for (int i = 0; i < 10; ++i) {
        sent.push_back(makeRequest(images));
        plain.admission.noteSending(sent.back(), 10s);
        host.admission.noteSending(sent.back(), 10s);
    }
    const wire::Execute next = makeRequest(images);
    CHECK(plain.linkWait(next, 10s) == Duration::zero());
    CHECK(host.linkWait(next, 10s) > 150ms);
    CHECK(host.admission.figures(nullptr, 10s).linkWait > 150ms); // for load reports
    CHECK(host.linkWait(makeRequest(stock), 10s) == Duration::zero());
    CHECK(host.admission.relayWait(next, 10s) > 150ms);
    for (const wire::Execute &execute : sent) {
        host.admission.noteEnded(execute, 0, 10s);
    }
    CHECK(host.linkWait(next, 10s) == Duration::zero());
}

// Load: answers of completed runs that exceed the capacity. Guards against requests that are sent
// to the upstream while there is no room for their answers, and against a refusal that lasts
// although stalled holders can give way.
TEST_CASE("requests are refused while the answers fill the memory", "[admission]")
{
    constexpr std::uint64_t capacity = 1'000'000;
    ByteBudget budget({.capacity = capacity, .reserve = 200'000});
    Host host(true);
    host.admission.setMemory(&budget);
    const auto isFull = [&host](std::uint64_t route, Time now) {
        const wire::Execute execute = makeRequest(route);
        return host.admission.figures(&execute, now).memoryWait > Duration::zero();
    };
    ByteCharge answers(&budget);
    answers.resize(capacity / 2, 10s);
    CHECK_FALSE(isFull(images, 10s));
    answers.resize(capacity - 100'000, 10s);
    CHECK(isFull(images, 10s));
    CHECK_FALSE(isFull(orders, 10s)); // small answers may use the reserve
    answers.resize(2 * capacity, 10s);
    CHECK(isFull(orders, 10s));
    CHECK(host.admission.figures(nullptr, 10s).memoryWait == Duration::zero());
    answers.allowEviction([] {}, 10s);
    CHECK(isFull(orders, 10s + 100ms));
    CHECK_FALSE(isFull(orders, 11s));
    CHECK(budget.evictedCount() == 1);
}

// Load: callers that are refused in the same moment. Guards against retry times that bring all of
// them back together.
TEST_CASE("callers that are refused together are told different times", "[admission]")
{
    Host host(true);
    const wire::Execute image = makeRequest(images);
    const Verdict verdict{.action = AdmissionAction::Refuse,
                          .reason = AdmissionReason::LinkFull,
                          .retryAfter = 200ms};
    const Duration first = host.admission.retryAfter(image, verdict, 10s);
    const Duration second = host.admission.retryAfter(image, verdict, 10s);
    CHECK(first == 200ms);
    CHECK(second > first);
}

// Load: orders whose calls are refused. Calls themselves are never held back for lack of room for
// calls, as the requests that made them hold slots.
TEST_CASE("orders are held back while their calls are refused", "[admission]")
{
    Host host(false);
    Time now = 10s;
    for (; now < 12s; now += 5ms) {
        host.runOrder(statusOk, now);
    }
    const wire::Execute order = makeRequest(orders);
    REQUIRE(host.admission.figures(&order, now).callsWait == Duration::zero());
    host.admission.noteEnded(order, 0, now);
    for (; now < 14s; now += 5ms) {
        host.runOrder(statusUnavailable, now);
    }
    int refused = 0;
    std::list<wire::Execute> requests;
    for (int i = 0; i < 100; ++i) {
        requests.push_back(makeRequest(orders));
        refused += host.admission.figures(&requests.back(), now).callsWait > Duration::zero();
    }
    CHECK(refused > 90);
    wire::Execute call = makeRequest(orders);
    call.set_is_call(true);
    CHECK(host.admission.figures(&call, now).callsWait == Duration::zero());
    host.admission.noteUpstream({.id = "i-2", .startedMs = 2});
    const wire::Execute later = makeRequest(orders);
    CHECK(host.admission.figures(&later, now).callsWait == Duration::zero());
}

// Guards against calls that wait behind requests of callers in the queue of the upstream.
TEST_CASE("calls go before requests of the highest priority", "[admission]")
{
    EndpointLimiter limiter(1, 1, false, 10s, upstreamLimiter);
    wire::Execute request = makeRequest(orders);
    wire::Execute call = makeRequest(stock);
    call.set_is_call(true);
    call.set_priority(9);
    CHECK(limiter.admit(1, 12s, 10s, {.rank = rankOf(request)}).action == AdmitAction::Dispatch);
    CHECK(limiter.admit(2, 12s, 10s, {.rank = rankOf(request)}).action == AdmitAction::Wait);
    CHECK(limiter.admit(3, 12s, 10s, {.rank = rankOf(call)}).action == AdmitAction::Wait);
    limiter.finish(1, CallEnd::Answered, 10s);
    CHECK(limiter.takeOutput().dispatch == std::vector<RequestNumber>{3});
}

// Guards against requests of the upstream that are not recognised by their connection.
TEST_CASE("a request tells whether it comes from the own host", "[admission]")
{
    FiberThread thread("caller-address-test");
    const Address address{"127.0.0.1", 18'661};
    HttpRequest seen;
    const auto server =
            HttpServer::create(thread, {}, {.handle = [&seen](const HttpRequest &request) {
                                   seen = request;
                                   return HttpResponse{};
                               }});
    REQUIRE(server->listen(address, false).ok());
    HttpClient client(thread.io(), address, {});
    thread.start();
    std::promise<bool> answered;
    thread.spawn([&] { answered.set_value(client.call({}, {.limit = 2s}).ok()); });
    CHECK(answered.get_future().get());
    thread.stop();
    CHECK(seen.isFromOwnHost);
    CHECK(seen.callerIp == "127.0.0.1");
}
