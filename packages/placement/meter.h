// Counts an owner's requests per slot and finds the keys that dominate a slot.
//
// Sections: HotKeySketch, LoadMeter.
#pragma once

#include "base/hash.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquat {

// A key that the sketch follows. The true count lies between count - error and count.
struct HotKey
{
    std::uint64_t keyHash = 0;
    std::uint64_t count = 0; // requests, never too low
    std::uint64_t error = 0; // requests that may belong to other keys
};

// Space-saving sketch: the most frequent keys of a stream in constant memory. Every key with more
// than total / capacity requests is in it.
class HotKeySketch
{
public:
    explicit HotKeySketch(std::size_t keyLimit);

    // Adds requests of a key. Cost: one pass over the capacity.
    void add(std::uint64_t keyHash, std::uint64_t requests);

    // Returns the keys in no particular order.
    const std::vector<HotKey> &keys() const { return this->entries; }

    void clear() { this->entries.clear(); }

private:
    std::size_t capacity;
    std::vector<HotKey> entries;
};

// Counts requests since the last PlacementPolicy::addCounts. Not thread-safe: each worker thread
// keeps its own behind a lock, and the control thread hands all of them to the policy.
//
//   meter.count(slot, keyHash);        // per served request
//   policy.addCounts(meter, now);     // about once a second; empties the meter
class LoadMeter
{
public:
    LoadMeter();

    // Counts requests of a key; the slot is the hashed or the dedicated slot that serves it.
    void count(Slot slot, std::uint64_t keyHash, std::uint32_t requests = 1);

    // Counts requests without following their keys, for callers that sample the keys.
    void countSlot(Slot slot, std::uint32_t requests);

    // Returns requests per slot since the last clear, indexed by slot.
    const std::vector<std::uint32_t> &requests() const { return this->perSlot; }

    const HotKeySketch &hotKeys() const { return this->sketch; }

    void clear();

private:
    std::vector<std::uint32_t> perSlot;
    std::vector<Slot> countedSlots; // slots with requests, so that clear costs no more than needed
    HotKeySketch sketch;
};

} // namespace kumquat
