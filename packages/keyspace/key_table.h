// Who owns which keys of one service: the content of one record in the store, replaced as a whole.
//
//   absl::StatusOr<KeyTable> table = KeyTable::decode(bytes, end);
//   const KeyRange *range = table->find(key);
//   const KeySession *owner = table->session(range->owner);
//
// Sections: keys, sessions, ranges, KeyTable.
#pragma once

#include "base/time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// ---- Keys ----

using ShardKey = std::uint32_t;

inline constexpr ShardKey lastShardKey = 65'535;

// Keys first to last, both inclusive.
struct KeySpan
{
    ShardKey first = 0;
    ShardKey last = 0;

    bool contains(ShardKey key) const { return this->first <= key && key <= this->last; }
    bool contains(const KeySpan &other) const
    {
        return this->first <= other.first && other.last <= this->last;
    }
    bool overlaps(const KeySpan &other) const
    {
        return this->first <= other.last && other.first <= this->last;
    }
    std::uint32_t size() const { return this->last - this->first + 1; }

    bool operator==(const KeySpan &) const = default;
};

inline constexpr KeySpan allKeys{.first = 0, .last = lastShardKey};

// ---- Sessions ----

// One life of an upstream process. It starts without keys.
struct UpstreamInstance
{
    std::string id;
    std::int64_t startedMs = 0; // Unix milliseconds

    bool isKnown() const { return !this->id.empty(); }
    bool operator==(const UpstreamInstance &) const = default;
};

// The right of one life to own keys, from its admission to its end. Ids are never used again.
struct KeySession
{
    std::uint64_t id = 0;
    std::string node; // whose process grants the keys to the upstream
    UpstreamInstance instance;
    std::uint32_t slots = 1;               // requests that the upstream runs at a time
    std::vector<std::string> voters;       // nodes of which a majority must vouch for the session
    std::vector<std::string> formerVoters; // the set before, until the owner has read the new one
    std::uint64_t endedAt = 0;             // end of the record that ended it; 0: active
    bool stopped = false;                  // ended, and known to hold nothing
    bool leaving = false;                  // gets no more keys

    bool isActive() const { return this->endedAt == 0; }
    bool operator==(const KeySession &) const = default;
};

// ---- Ranges ----

// A session that owned a range before and may still hold it at its upstream.
struct FormerOwner
{
    std::uint64_t session = 0;
    std::uint64_t fence = 0;

    bool operator==(const FormerOwner &) const = default;
};

struct KeyRange
{
    KeySpan span;
    std::uint64_t owner = 0; // session, 0: nobody
    std::uint64_t fence = 0; // end of the record that assigned the range; grows with each owner
    std::vector<FormerOwner> predecessors;

    bool operator==(const KeyRange &) const = default;
};

// ---- KeyTable ----

// Length of a lease where the table names none. The keys of a lost host are served elsewhere after
// one lease. An upstream ends work that outlasts the grant under which it began, so what is left of
// a grant must cover the longest usual work.
inline constexpr Duration defaultLeaseLength = 2400ms;

struct KeyTable
{
    std::string service;
    std::uint64_t end = 0; // offset after this record in the partition of the tables
    std::vector<KeySession> sessions;
    std::vector<KeyRange> ranges; // ascending, without gaps, from 0 to lastShardKey
    std::string writer;           // node
    // Of all sessions. It stays the same for the life of the table, as owners and voters of
    // different hosts count with it.
    Duration leaseLength = defaultLeaseLength;

    // Reads a record. Error: LogUnavailable for bytes that are no table or break its rules.
    static absl::StatusOr<KeyTable> decode(std::string_view bytes, std::uint64_t end);
    std::string encode() const;

    // Returns a table in which nobody owns anything.
    static KeyTable createEmpty(std::string service, Duration leaseLength = defaultLeaseLength);

    // Returns the range of a key; every key has one.
    const KeyRange *find(ShardKey key) const;

    // Returns a session by its id, or nullptr.
    const KeySession *session(std::uint64_t id) const;
    KeySession *session(std::uint64_t id);

    // Returns the active session of a node, or nullptr.
    const KeySession *activeSessionOf(std::string_view node) const;

    // Cuts the range that contains `key` so that one begins there.
    void splitBefore(ShardKey key);

    // Says whether the ranges cover all keys in order and name only known sessions, and whether the
    // leases have a length that can be.
    bool isSound() const;
};

} // namespace kumquat
