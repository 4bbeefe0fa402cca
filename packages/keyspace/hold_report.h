// What an upstream and the process beside it tell each other of keys where grants go in the answers
// to heartbeats, in place of calls.
//
// Sections: ways to grant, report, answer.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "keyspace/key_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// ---- Ways to grant ----

enum class GrantMode : std::uint8_t {
    Call,      // each grant and each release is a call to the upstream
    Heartbeat, // the answer to a heartbeat names all keys that the upstream is to hold
};

inline constexpr NameTable<GrantMode, 2> grantModeNames{
        {{{GrantMode::Call, "call"}, {GrantMode::Heartbeat, "heartbeat"}}}};

// Returns the length of the leases of a service's key table. An answer renews as seldom as
// heartbeats come, so a lease is longer by one of them to leave work as much of its grant.
inline Duration leaseLengthOf(GrantMode mode, Duration heartbeatInterval)
{
    return mode == GrantMode::Heartbeat ? defaultLeaseLength + heartbeatInterval
                                        : defaultLeaseLength;
}

// ---- Report ----

struct HeldRange
{
    KeySpan span;
    std::uint64_t fence = 0;
};

struct ReleasedRange
{
    KeySpan span;
    std::string handover; // spares the next holder its warm-up
};

// What one heartbeat says.
struct HoldReport
{
    std::vector<HeldRange> holds;        // held, or with requests that still run
    std::vector<ReleasedRange> released; // since the last heartbeat that was acknowledged
};

// ---- Answer ----

struct HoldRow
{
    KeySpan span;
    std::uint64_t fence = 0;
    std::string handover; // from the last holder, or empty
};

// All that the upstream is to hold; it releases everything else.
struct HoldAnswer
{
    Duration hold{}; // from the sending of the heartbeat
    std::vector<HoldRow> rows;
};

} // namespace kumquat
