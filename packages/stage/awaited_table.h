// Decides when to request a key table that other hosts have read and this process has not. New
// tables are broadcast from host to host, so most of them arrive without a request. If every host
// requested a new table as soon as it heard of it, the few hosts that have the table would send it
// hundreds of times.
//
//   if (awaited.isOverdue(known.tables_end(), view.tablesEnd(), now)) { ... request it ... }
#pragma once

#include "base/time.h"

#include <cstdint>

namespace kumquat {

// Not thread-safe.
class AwaitedTable
{
public:
    // Says whether to request the table now. `end`: how far another host has read the tables;
    // `ownEnd`: how far this host has read them.
    bool isOverdue(std::uint64_t end, std::uint64_t ownEnd, Time now)
    {
        if (end <= ownEnd) {
            return false;
        }
        if (this->awaitedEnd <= ownEnd) {
            this->awaitedEnd = end;
            this->since = now;
        }
        return now - this->since >= grace;
    }

private:
    // Longer than a broadcast over five hops takes if all hosts respond.
    static constexpr Duration grace = 150ms;

    std::uint64_t awaitedEnd = 0; // first reported end beyond that of this host
    Time since{};
};

} // namespace kumquat
