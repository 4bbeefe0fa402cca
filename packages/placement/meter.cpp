#include "placement/meter.h"

#include <algorithm>
#include <cassert>

namespace kumquat {

namespace {

// The sketch contains every key with more than 1/64 of an owner's requests. This is well below the
// share at which a key is bound to a dedicated slot.
constexpr std::size_t sketchCapacity = 64;

} // namespace

HotKeySketch::HotKeySketch(std::size_t keyLimit)
    : capacity(keyLimit)
{
    assert(keyLimit > 0 && "a sketch needs room for at least one key");
    this->entries.reserve(keyLimit);
}

void HotKeySketch::add(std::uint64_t keyHash, std::uint64_t requests)
{
    const auto found =
            std::find_if(this->entries.begin(), this->entries.end(),
                         [keyHash](const HotKey &key) { return key.keyHash == keyHash; });
    if (found != this->entries.end()) {
        found->count += requests;
        return;
    }
    if (this->entries.size() < this->capacity) {
        this->entries.push_back({keyHash, requests, 0});
        return;
    }
    // The new key replaces the least frequent one and inherits its count as possible error.
    const auto rarest = std::min_element(
            this->entries.begin(), this->entries.end(),
            [](const HotKey &left, const HotKey &right) { return left.count < right.count; });
    *rarest = {keyHash, rarest->count + requests, rarest->count};
}

LoadMeter::LoadMeter()
    : perSlot(slotCount, 0)
    , sketch(sketchCapacity)
{}

void LoadMeter::count(Slot slot, std::uint64_t keyHash, std::uint32_t requests)
{
    this->countSlot(slot, requests);
    this->sketch.add(keyHash, requests);
}

void LoadMeter::countSlot(Slot slot, std::uint32_t requests)
{
    assert(slot < slotCount && "pass the slot from slotOf or a dedicated slot");
    if (this->perSlot[slot] == 0 && requests > 0) {
        this->countedSlots.push_back(slot);
    }
    this->perSlot[slot] += requests;
}

void LoadMeter::clear()
{
    for (const Slot slot : this->countedSlots) {
        this->perSlot[slot] = 0;
    }
    this->countedSlots.clear();
    this->sketch.clear();
}

} // namespace kumquat
