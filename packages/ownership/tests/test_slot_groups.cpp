// Sections: helpers, round trips, sizes, invalid input.
#include "ownership/slot_groups.h"
#include "wire/log.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <random>

using namespace kumquat;

namespace {

// ---- helpers ----

constexpr Slot allSlots = hashedSlotCount + dedicatedSlotCount;

// Writes a Move with the slots, parses it, and returns the slots that are read from it.
std::optional<std::vector<SlotEpoch>> writeAndRead(const std::vector<SlotEpoch> &slots)
{
    wire::Move move;
    setSlots(move, slots);
    wire::Move parsed;
    REQUIRE(parsed.ParseFromString(move.SerializeAsString()));
    return readSlots(parsed, allSlots);
}

wire::Move makeMove(const std::vector<std::uint32_t> &runs)
{
    wire::Move move;
    wire::SlotGroup &group = *move.add_groups();
    group.set_epoch(5);
    for (const std::uint32_t run : runs) {
        group.add_runs(run);
    }
    return move;
}

// Returns distinct slots in random order. Each has one of `epochs` different epochs.
std::vector<SlotEpoch> chooseSlots(std::size_t count, std::uint64_t epochs, std::mt19937 &random)
{
    std::vector<SlotEpoch> slots;
    for (Slot slot = 0; slot < allSlots; ++slot) {
        slots.push_back({slot, 100'000 + random() % epochs});
    }
    std::shuffle(slots.begin(), slots.end(), random);
    slots.resize(count);
    return slots;
}

std::size_t sizeOfMove(const std::vector<SlotEpoch> &slots)
{
    wire::LogRecord record;
    wire::Move &move = *record.mutable_move();
    move.set_service("testlog");
    move.set_from_session(1'000);
    move.set_to_session(2'000);
    move.set_settled(true);
    setSlots(move, slots);
    return record.ByteSizeLong();
}

} // namespace

// ---- round trips ----

// Guards against slots or epochs of a Move that other processes read differently from its writer.
TEST_CASE("the slots of a Move are read as they were written")
{
    REQUIRE(writeAndRead({})->empty());
    std::mt19937 random(20261204);
    for (const std::size_t count : {1U, 2U, 3U, 30U, 512U, 16'000U, 16'448U}) {
        for (const std::uint64_t epochs : {1U, 2U, 40U}) {
            const auto slots = chooseSlots(count, epochs, random);
            auto sorted = slots;
            std::sort(sorted.begin(), sorted.end(),
                      [](const auto &left, const auto &right) { return left.slot < right.slot; });
            REQUIRE(writeAndRead(slots) == sorted);
        }
    }
}

// ---- sizes ----

// Guards against records that exceed the limit of control traffic, as every node reads every
// record.
TEST_CASE("a Move of 512 slots stays small")
{
    std::mt19937 random(20261204);
    std::vector<SlotEpoch> range;
    for (Slot slot = 0; slot < 512; ++slot) {
        range.push_back({slot, 100'000});
    }
    const std::size_t inRange = sizeOfMove(range);
    const std::size_t scattered = sizeOfMove(chooseSlots(512, 1, random));
    const std::size_t ofManyEpochs = sizeOfMove(chooseSlots(512, 32, random));
    std::cout << "bytes of a Move of 512 slots: " << inRange << " in one range, " << scattered
              << " scattered, " << ofManyEpochs << " scattered with 32 epochs\n";
    REQUIRE(inRange < 64);
    REQUIRE(scattered < 800);
    REQUIRE(ofManyEpochs < 1'600);
}

// ---- invalid input ----

// Guards against a record that makes all processes loop or allocate without bound.
TEST_CASE("a Move with impossible slots is rejected")
{
    constexpr std::uint32_t largest = 0xffffffff;
    REQUIRE(readSlots(makeMove({0, 1, allSlots - 3}), allSlots)->size() == allSlots);
    REQUIRE(readSlots(makeMove({(allSlots - 1) * 2}), allSlots)->size() == 1);
    REQUIRE_FALSE(readSlots(makeMove({allSlots * 2}), allSlots));
    REQUIRE_FALSE(readSlots(makeMove({1, allSlots - 1}), allSlots));
    REQUIRE_FALSE(readSlots(makeMove({1, largest}), allSlots));
    REQUIRE_FALSE(readSlots(makeMove({largest, largest}), allSlots));
    REQUIRE_FALSE(readSlots(makeMove({0, 1}), allSlots));
    wire::Move repeated;
    for (int group = 0; group < 1'000; ++group) {
        *repeated.add_groups() = makeMove({1, allSlots - 2}).groups(0);
    }
    REQUIRE_FALSE(readSlots(repeated, allSlots));
}

TEST_CASE("a random Move is rejected or has only possible slots")
{
    std::mt19937 random(20261204);
    for (int scenario = 0; scenario < 10'000; ++scenario) {
        std::vector<std::uint32_t> runs(random() % 40);
        std::generate(runs.begin(), runs.end(),
                      [&] { return static_cast<std::uint32_t>(random() >> (random() % 32)); });
        const wire::Move move = makeMove(runs);
        const auto slots = readSlots(move, allSlots);
        REQUIRE((!slots || slots->size() <= allSlots));
        REQUIRE((!slots || std::all_of(slots->begin(), slots->end(), [](const SlotEpoch &entry) {
            return entry.slot < allSlots;
        })));
    }
}
