// Key table of one service: which upstream owns which keys. A table is the content of one record in
// the store; each new record replaces the whole table.
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

// The keys from `first` to `last`, both inclusive.
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

// One run of an upstream process, from its start to its end. A new instance starts without keys.
struct UpstreamInstance
{
    std::string id;
    std::int64_t startedMs = 0; // Unix milliseconds

    bool isKnown() const { return !this->id.empty(); }
    bool operator==(const UpstreamInstance &) const = default;
};

// The right of one upstream instance to own keys, from its admission to its end. Session ids are
// never reused.
struct KeySession
{
    std::uint64_t id = 0;
    std::string node; // host whose process grants the keys to the upstream
    UpstreamInstance instance;
    std::uint32_t slots = 1;         // number of requests that the upstream runs concurrently
    std::vector<std::string> voters; // nodes; a majority of them must vote for the session
    // Previous voters, until no grant of the owner depends on them any more.
    std::vector<std::string> formerVoters;
    std::uint64_t endedAt = 0; // offset after the record that ended the session; 0: active
    bool stopped = false;      // ended, and known to hold no keys
    bool leaving = false;      // the session is assigned no more keys

    bool isActive() const { return this->endedAt == 0; }
    bool operator==(const KeySession &) const = default;
};

// ---- Ranges ----

// A session that owned a range earlier and whose upstream may still hold it.
struct FormerOwner
{
    std::uint64_t session = 0;
    std::uint64_t fence = 0;

    bool operator==(const FormerOwner &) const = default;
};

struct KeyRange
{
    KeySpan span;
    std::uint64_t owner = 0; // session id; 0: no owner
    std::uint64_t fence = 0; // offset after the assigning record; grows with each owner
    std::vector<FormerOwner> predecessors;

    bool operator==(const KeyRange &) const = default;
};

// ---- KeyTable ----

// Lease length if the table has none. The keys of a lost host are served elsewhere after one lease.
// An upstream aborts a request that outlasts the grant under which it began, so the remaining time
// of a grant must cover the longest usual request.
inline constexpr Duration defaultLeaseLength = 2400ms;

struct KeyTable
{
    std::string service;
    std::uint64_t end = 0; // position after this record in the store's partition of key tables
    std::vector<KeySession> sessions;
    std::vector<KeyRange> ranges; // ascending, without gaps, from 0 to lastShardKey
    std::string writer;           // node that wrote the table
    // Lease length of all sessions. It never changes for a service, because owners and voters on
    // different hosts compute their deadlines from it.
    Duration leaseLength = defaultLeaseLength;
    // Read only after a newer era of the store had begun (store_era.h). The table only tells who
    // may hold keys: it is the base of the next one, but no key is granted and no vote given under
    // it.
    bool isFormer = false;

    // Parses a record. Error: LogUnavailable if the bytes are not a table, the table is invalid or
    // it was written for another era of the store than that of `end`.
    static absl::StatusOr<KeyTable> decode(std::string_view bytes, std::uint64_t end);
    std::string encode() const;

    // Returns a table in which no key has an owner.
    static KeyTable createEmpty(std::string service, Duration leaseLength = defaultLeaseLength);

    // Returns the range that contains the key; every key is in one.
    const KeyRange *find(ShardKey key) const;

    // Returns a session by its id, or nullptr.
    const KeySession *session(std::uint64_t id) const;
    KeySession *session(std::uint64_t id);

    // Returns the active session of a node, or nullptr.
    const KeySession *activeSessionOf(std::string_view node) const;

    // Splits the range that contains `key`, so that a range begins at `key`.
    void splitBefore(ShardKey key);

    // Returns whether the ranges cover all keys in order, each owner is a known session, and the
    // lease length is within its limits.
    bool isValid() const;
};

} // namespace kumquat
