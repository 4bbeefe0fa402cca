// Tests of the budget for the bytes that callers make a process hold.
#include "net/byte_budget.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace kumquat;

namespace {

constexpr std::uint64_t capacity = 1'000'000;
constexpr std::uint64_t reserve = 200'000;
constexpr std::uint64_t smallBytes = 10'000;
constexpr std::uint64_t progressBytes = 1'000;
constexpr Duration stallLimit = 500ms;
constexpr Time start = 100s;

ByteBudgetSettings makeSettings()
{
    return {.capacity = capacity,
            .reserve = reserve,
            .smallBytes = smallBytes,
            .stallLimit = stallLimit,
            .progressBytes = progressBytes};
}

using Charges = std::vector<std::unique_ptr<ByteCharge>>;

// Charges until one is refused, and returns the accepted ones.
Charges fill(ByteBudget &budget, std::uint64_t bytes, Time now)
{
    Charges charges;
    while (true) {
        auto charge = std::make_unique<ByteCharge>(&budget);
        if (!charge->tryResize(bytes, now)) {
            return charges;
        }
        charges.push_back(std::move(charge));
    }
}

} // namespace

// Load: many large bodies at once, none of which stalls. Guards against large bodies that keep out
// small requests, and against bytes beyond the capacity.
TEST_CASE("large charges leave the reserve to small ones", "[budget]")
{
    ByteBudget budget(makeSettings());
    const Charges large = fill(budget, 100'000, start);
    CHECK(budget.held() == capacity - reserve);
    const Charges small = fill(budget, smallBytes, start);
    CHECK(budget.held() == capacity);
    CHECK(small.size() == reserve / smallBytes);
    CHECK(budget.refusedCount() == 2);
}

// Load: bodies that stop just short of their end. Guards against stalled bodies that keep their
// room until the limit of the message, and against the eviction of bodies that still arrive.
TEST_CASE("stalled holders give way, the oldest first, and others stay", "[budget]")
{
    ByteBudget budget(makeSettings());
    std::vector<int> evicted;
    Charges bodies;
    for (int i = 0; i < 4; ++i) {
        bodies.push_back(std::make_unique<ByteCharge>(&budget));
        REQUIRE(bodies.back()->tryResize(200'000, start));
        bodies.back()->allowEviction([&evicted, i] { evicted.push_back(i); }, start + 1ms * i);
    }
    const Time later = start + 600ms;
    bodies[0]->noteProgress(progressBytes, start + 400ms);
    bodies[1]->noteProgress(progressBytes - 1, start + 400ms); // too little
    ByteCharge added(&budget);
    CHECK_FALSE(added.tryResize(100'000, start + 499ms));
    CHECK(evicted.empty());
    CHECK(added.tryResize(300'000, later));
    CHECK(evicted == std::vector<int>{1, 2});
    CHECK(budget.held() == 700'000);
    CHECK_FALSE(bodies[1]->tryResize(300'000, later)); // its room belongs to another holder
    bodies[3]->forbidEviction();                       // its body is complete
    ByteCharge another(&budget);
    CHECK_FALSE(another.tryResize(200'000, later));
    CHECK(evicted.size() == 2);
    CHECK(budget.evictedCount() == 2);
}

// Load: answers of completed runs that slow callers do not read. Guards against discarded answers
// and against a counter that such answers corrupt.
TEST_CASE("bytes that must be kept are charged beyond the capacity", "[budget]")
{
    ByteBudget budget(makeSettings());
    const Charges large = fill(budget, 100'000, start);
    {
        ByteCharge answer(&budget);
        answer.resize(500'000, start);
        CHECK(budget.held() == capacity - reserve + 500'000);
        ByteCharge small(&budget);
        CHECK_FALSE(small.tryResize(1, start));
    }
    CHECK(budget.held() == capacity - reserve);
    ByteCharge small(&budget);
    CHECK(small.tryResize(1, start));
}

// Load: answers of completed runs that come faster than holders stall. Guards against answers that
// exceed the memory of the host before any holder may give way, and against holders that give way
// before it is needed.
TEST_CASE("holders give way before they stall only beyond the overflow", "[budget]")
{
    ByteBudgetSettings settings = makeSettings();
    settings.overflow = 300'000;
    ByteBudget budget(settings);
    std::vector<int> evicted;
    Charges answers;
    const auto add = [&](std::uint64_t bytes) {
        const int number = static_cast<int>(answers.size());
        answers.push_back(std::make_unique<ByteCharge>(&budget));
        answers.back()->resize(bytes, start + 1ms * number);
        answers.back()->allowEviction([&evicted, number] { evicted.push_back(number); },
                                      start + 1ms * number);
    };
    for (int i = 0; i < 6; ++i) {
        add(200'000);
    }
    add(100'000);
    CHECK(budget.held() == capacity + settings.overflow);
    CHECK(evicted.empty());
    answers[0]->noteProgress(progressBytes, start + 20ms); // its caller reads
    add(300'000);
    CHECK(evicted == std::vector<int>{1, 2});
    CHECK(budget.held() == 1'200'000);
    ByteCharge refused(&budget);
    CHECK_FALSE(refused.tryResize(1, start + 30ms)); // a request evicts only stalled holders
    CHECK(evicted.size() == 2);
}

// Load: any. Guards against room that is lost when holders end, shrink or are evicted.
TEST_CASE("charges return all their bytes", "[budget]")
{
    ByteBudget budget(makeSettings());
    {
        ByteCharge charge(&budget);
        REQUIRE(charge.tryResize(500'000, start));
        REQUIRE(charge.tryResize(1'000, start));
        CHECK(budget.held() == 1'000);
        charge.allowEviction([] {}, start);
        ByteCharge other(&budget);
        REQUIRE(other.tryResize(800'000 - 500, start + 1s));
        CHECK(budget.evictedCount() == 1);
        CHECK(charge.bytes() == 0);
    }
    CHECK(budget.held() == 0);
    ByteCharge counted; // without a budget
    CHECK(counted.tryResize(2 * capacity, start));
    CHECK(counted.bytes() == 2 * capacity);
}

// Load: one body of the largest size on the smallest host. Guards against shares that refuse it,
// and against a budget beyond the memory of the host.
TEST_CASE("the smallest host has room for the largest body", "[budget]")
{
    constexpr std::uint64_t largestBody = 67'108'864;
    constexpr std::uint64_t smallestMemory = 160'000'000;
    constexpr std::uint64_t programBytes = 40'000'000;
    const ByteBudgetSettings settings = byteBudgetSettings(smallestMemory);
    CHECK(settings.capacity + programBytes < smallestMemory);
    ByteBudget budget(settings);
    ByteCharge body(&budget);
    CHECK(body.tryResize(largestBody + settings.smallBytes, start));
    CHECK(byteBudgetSettings(0).capacity == byteBudgetSettings(1'000'000'000).capacity);
}

// Load: a body that is passed on to several holders. Guards against bytes that are returned while
// one of them still holds the body.
TEST_CASE("a shared body keeps its charge until its last holder ends", "[budget]")
{
    ByteBudget budget(makeSettings());
    auto charge = std::make_shared<ByteCharge>(&budget);
    REQUIRE(charge->tryResize(4, start));
    SharedBody first("body", std::move(charge));
    {
        const SharedBody second = first;
        first = {};
        CHECK(second.view() == "body");
        CHECK(budget.held() == 4);
    }
    CHECK(budget.held() == 0);
}
