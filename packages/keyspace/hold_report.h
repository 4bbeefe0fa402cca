// Messages about held keys between an upstream and the process on its host, if grants are sent in
// the answers to heartbeats (GrantMode::Heartbeat) instead of in calls.
//
// Sections: grant modes, report, answer.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "keyspace/key_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// ---- Grant modes ----

enum class GrantMode : std::uint8_t {
    Call,      // each grant and each release is a call to the upstream
    Heartbeat, // the answer to a heartbeat lists all keys that the upstream shall hold
};

inline constexpr NameTable<GrantMode, 2> grantModeNames{
        {{{GrantMode::Call, "call"}, {GrantMode::Heartbeat, "heartbeat"}}}};

// Returns the lease length for the key table of a service. Answers renew grants only once per
// heartbeat, so the lease is longer by one heartbeat interval; requests then have as much time left
// of their grant as in GrantMode::Call.
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
    std::string handover; // data that spares the next holder the warm-up of the keys
};

// The part of one heartbeat that is about keys.
struct HoldReport
{
    std::vector<HeldRange> holds;        // held, or released with requests that are still running
    std::vector<ReleasedRange> released; // released since the last acknowledged heartbeat
};

// ---- Answer ----

struct HoldRow
{
    KeySpan span;
    std::uint64_t fence = 0;
    std::string handover; // from the previous holder; empty: none
};

// All keys that the upstream shall hold; it releases all others.
struct HoldAnswer
{
    Duration hold{}; // length of the grants, from the sending of the heartbeat
    std::vector<HoldRow> rows;
};

} // namespace kumquat
