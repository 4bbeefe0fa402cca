// Counts an owner's requests per slot and finds the keys that make up most of a slot's load.
//
// Sections: HotKeySketch, LoadMeter.
#pragma once

#include "base/hash.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquat {

// A key in the sketch. The true number of requests lies between count - error and count.
struct HotKey
{
    std::uint64_t keyHash = 0;
    std::uint64_t count = 0; // upper bound of the requests of the key
    std::uint64_t error = 0; // part of the count that may belong to other keys
};

// Space-saving sketch: finds the most frequent keys of a stream in constant memory. It contains
// every key with more than 1/capacity of all requests.
class HotKeySketch
{
public:
    explicit HotKeySketch(std::size_t keyLimit);

    // Adds requests of a key. Cost: linear in the capacity.
    void add(std::uint64_t keyHash, std::uint64_t requests);

    // Returns the keys in no particular order.
    const std::vector<HotKey> &keys() const { return this->entries; }

    void clear() { this->entries.clear(); }

private:
    std::size_t capacity;
    std::vector<HotKey> entries;
};

// Counts requests between two calls of PlacementPolicy::addCounts. Not thread-safe: each worker
// thread has its own meter behind a lock, and the control thread passes all meters to the policy.
//
//   meter.count(slot, keyHash);        // for each served request
//   policy.addCounts(meter, now);      // about once a second; empties the meter
class LoadMeter
{
public:
    LoadMeter();

    // Counts requests of a key. `slot` is the hashed or the dedicated slot that serves the key.
    void count(Slot slot, std::uint64_t keyHash, std::uint32_t requests = 1);

    // Counts requests of a slot but not of their keys, for callers that count only a sample of the
    // keys.
    void countSlot(Slot slot, std::uint32_t requests);

    // Returns requests per slot since the last clear, indexed by slot.
    const std::vector<std::uint32_t> &requests() const { return this->perSlot; }

    const HotKeySketch &hotKeys() const { return this->sketch; }

    void clear();

private:
    std::vector<std::uint32_t> perSlot;
    std::vector<Slot> countedSlots; // slots with requests; clear() resets only these
    HotKeySketch sketch;
};

} // namespace kumquat
