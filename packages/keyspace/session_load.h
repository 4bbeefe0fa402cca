// Load of the sessions that may get keys, and the moves of keys to them.
#pragma once

#include "keyspace/key_table.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquat {

// A session that may get keys, with its present load.
struct Candidate
{
    std::uint64_t session = 0;
    double rate = 0;     // requests per second for its keys
    double capacity = 1; // requests per second

    double utilisation() const { return this->rate / this->capacity; }
};

// Keys that get a new owner.
struct KeyMove
{
    KeySpan span; // within one range
    std::uint64_t receiver = 0;
};

// Returns the utilisation of each session if the load were balanced perfectly.
inline double commonUtilisationOf(const std::vector<Candidate> &sessions)
{
    double rate = 0;
    double capacity = 0;
    for (const Candidate &session : sessions) {
        rate += session.rate;
        capacity += session.capacity;
    }
    return rate / capacity;
}

// Returns the upper median; the values must not be empty.
inline double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace kumquat
