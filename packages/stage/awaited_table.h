// Tells when to ask for a key table that others have read and this process has not. It goes from
// host to host by itself; asked for at once by all that hear of it, it would leave the few that
// have it hundreds of times.
//
//   if (awaited.isOverdue(known.tables_end(), view.tablesEnd(), now)) { ... ask for it ... }
#pragma once

#include "base/time.h"

#include <cstdint>

namespace kumquat {

// Not thread-safe.
class AwaitedTable
{
public:
    // `end`: up to where another host has read the tables; `ownEnd`: up to where this one has.
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
    static constexpr Duration grace = 150ms; // five hops between hosts that answer take less

    std::uint64_t awaitedEnd = 0; // heard of first
    Time since{};
};

} // namespace kumquat
