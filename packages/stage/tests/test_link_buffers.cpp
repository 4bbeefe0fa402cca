// Tests of the bytes that a connection between processes holds, without a network.
#include "stage/link_buffers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

namespace kumquat {
namespace {

constexpr std::size_t largeBody = 300'000;
constexpr std::uint64_t capacity = 1'000'000;
constexpr std::uint64_t inputBytes = 200'000; // more than the input buffer of a connection
constexpr Time now = 100s;

ByteBudgetSettings makeSettings()
{
    return {.capacity = capacity, .reserve = capacity / 8};
}

wire::LinkFrame makeRequest(std::uint64_t call)
{
    wire::LinkFrame frame;
    frame.set_call(call);
    frame.mutable_execute();
    return frame;
}

wire::LinkFrame makeAnswer(std::uint64_t call)
{
    wire::LinkFrame frame;
    frame.set_call(call);
    frame.mutable_execute_reply();
    return frame;
}

// Takes everything from the output, in writes of at most `piece` bytes.
std::string drain(LinkOutput &output, std::size_t piece)
{
    std::string bytes;
    while (!output.isEmpty()) {
        const auto buffers = output.nextBuffers();
        std::size_t written = 0;
        for (const auto &buffer : buffers) {
            const std::size_t count = std::min(buffer.size(), piece - written);
            bytes.append(static_cast<const char *>(buffer.data()), count);
            written += count;
        }
        output.consume(written, now);
    }
    return bytes;
}

struct Received
{
    explicit Received(ByteBudget *budget)
        : input(budget)
    {}

    // Feeds bytes in reads of at most `piece` bytes. Returns false if they are no messages.
    bool feed(std::string_view bytes, std::size_t piece)
    {
        const LinkInput::Hooks hooks{.received =
                                             [this](LinkMessage message) {
                                                 this->messages.push_back(std::move(message));
                                             },
                                     .isOpen = [] { return true; }};
        while (!bytes.empty()) {
            const auto buffer = this->input.nextBuffer();
            const std::size_t count = std::min({bytes.size(), buffer.size(), piece});
            std::memcpy(buffer.data(), bytes.data(), count);
            bytes.remove_prefix(count);
            if (!this->input.take(count, now, hooks)) {
                return false;
            }
        }
        return true;
    }

    std::vector<LinkMessage> messages;
    LinkInput input;
};

} // namespace

// Load: small and large bodies in one queue, over a connection that moves few bytes at a time.
// Guards against bytes that are lost, doubled or swapped where a body is written without a copy.
TEST_CASE("messages of all sizes arrive whole and in order", "[link-buffers]")
{
    const std::vector<std::size_t> sizes{0, 10, largeBody, 5, largeBody + 1, 65'535, 65'536, 0};
    for (const std::size_t piece :
         {std::size_t{977}, std::size_t{20'000}, std::size_t{5'000'000}}) {
        ByteCharge charge;
        LinkOutput output(charge);
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            output.add(makeRequest(i), std::string(sizes[i], static_cast<char>('a' + i)), now);
        }
        Received received(nullptr);
        REQUIRE(received.feed(drain(output, piece), piece));
        REQUIRE(received.messages.size() == sizes.size());
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            CHECK(received.messages[i].head.call() == i);
            CHECK(received.messages[i].body == std::string(sizes[i], static_cast<char>('a' + i)));
        }
        CHECK_FALSE(received.input.isInMessage());
        CHECK(charge.bytes() == 0);
    }
}

// Load: large requests that other processes pass on. Guards against requests that are kept without
// room, and against messages behind them that are lost.
TEST_CASE("a large request without room is dropped and the next message arrives", "[link-buffers]")
{
    ByteBudget budget(makeSettings());
    ByteCharge others(&budget);
    REQUIRE(others.tryResize(700'000, now));
    ByteCharge charge;
    LinkOutput output(charge);
    output.add(makeRequest(1), std::string(largeBody, 'x'), now);
    output.add(makeRequest(2), "small", now);
    Received received(&budget);
    REQUIRE(received.feed(drain(output, 10'000), 10'000));
    REQUIRE(received.messages.size() == 2);
    CHECK(received.messages[0].lacksRoom);
    CHECK(received.messages[0].body.empty());
    CHECK_FALSE(received.messages[1].lacksRoom);
    CHECK(received.messages[1].body == "small");
    CHECK(budget.held() <= 700'000 + inputBytes);
}

// Load: answers while the budget is full. Guards against discarded results of completed runs.
TEST_CASE("a large answer is kept and charged without room", "[link-buffers]")
{
    ByteBudget budget(makeSettings());
    ByteCharge others(&budget);
    REQUIRE(others.tryResize(700'000, now));
    ByteCharge charge;
    LinkOutput output(charge);
    output.add(makeAnswer(1), std::string(largeBody, 'x'), now);
    Received received(&budget);
    REQUIRE(received.feed(drain(output, 10'000), 10'000));
    REQUIRE(received.messages.size() == 1);
    CHECK(received.messages[0].body.size() == largeBody);
    CHECK(budget.held() >= 700'000 + largeBody);
    received.messages.clear();
    CHECK(budget.held() <= 700'000 + inputBytes);
}

// Load: a peer that does not read. Guards against a queue beyond the budget, and against bytes that
// count twice because queue and caller share a body.
TEST_CASE("queued messages count in the budget, shared bodies once", "[link-buffers]")
{
    ByteBudget budget(makeSettings());
    ByteCharge charge(&budget);
    LinkOutput output(charge);
    auto bodyCharge = std::make_shared<ByteCharge>(&budget);
    REQUIRE(bodyCharge->tryResize(largeBody, now));
    output.add(makeRequest(0), SharedBody(std::string(largeBody, 'x'), std::move(bodyCharge)), now);
    CHECK(budget.held() >= largeBody);
    CHECK(budget.held() < largeBody + 100);
    const std::string smallBody(10'000, 'x');
    int queued = 0;
    while (output.hasRoomFor(smallBody.size(), now)) {
        output.add(makeRequest(1), smallBody, now);
        REQUIRE(++queued < 1000);
    }
    CHECK(budget.held() <= capacity);
    drain(output, 100'000);
    CHECK(budget.held() == 0);
}

// Guards against memory for lengths that no process sends.
TEST_CASE("a message beyond the largest size is refused", "[link-buffers]")
{
    Received received(nullptr);
    const std::string prefix("\x04\x00\x00\x00\xff\xff\xff\x7f", 8);
    CHECK_FALSE(received.feed(prefix + "head", 5));
}

} // namespace kumquat
