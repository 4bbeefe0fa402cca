// Eras of the store. The store may come back from a copy that is some seconds old: its era
// increases by one, records written since the copy are lost, and their offsets are used again. This
// file contains the decisions that keep ownership exclusive across such a rollback.
//
//   const std::uint64_t position = storePosition(era, offset);
//   if (tracker.note(era, now)) { ... the store has gone back ... }
//   if (mayWriteTable(table, view.tablesEnd(), tracker, now)) { ... plan and write ... }
//
// Sections: positions, StoreEraTracker, key tables, host records.
#pragma once

#include "base/time.h"
#include "keyspace/instance_history.h"
#include "keyspace/key_table.h"

#include <cstdint>
#include <string>

namespace kumquat {

// ---- Positions ----

// A position combines era and offset: era x 2^40 + offset. Positions grow across rollbacks and, in
// era 0, are the same as offsets. Fences are positions and are sent as JSON integers, which are
// exact up to 2^53.
inline constexpr unsigned storeEraShift = 40;
inline constexpr std::uint32_t maxStoreEra = (1U << 13U) - 1;

constexpr std::uint64_t storePosition(std::uint32_t era, std::uint64_t offset)
{
    return (static_cast<std::uint64_t>(era) << storeEraShift) + offset;
}

constexpr std::uint32_t storeEraOf(std::uint64_t position)
{
    return static_cast<std::uint32_t>(position >> storeEraShift);
}

constexpr std::uint64_t storeOffsetOf(std::uint64_t position)
{
    return position & ((1ULL << storeEraShift) - 1);
}

// ---- StoreEraTracker ----

// Keeps the newest era that this process has seen, in an answer of the store or a message of
// another process, and when it first saw it. Not thread-safe.
class StoreEraTracker
{
public:
    // Returns whether the era is newer than all before. An older era changes nothing.
    bool note(std::uint32_t era, Time now);

    std::uint32_t current() const { return this->era; }
    Time since() const { return this->firstSeen; }

private:
    std::uint32_t era = 0;
    Time firstSeen{};
};

// ---- Key tables ----

// Returns how long a table writer waits after it first saw an era: by then every owner has stopped
// that acts on a table of an older era (TableFreshness), also by a slow clock.
Duration eraTableWait();

// Returns whether a table that arrives while `era` is the newest known one replaces `known`, the
// present table of its service, if any.
//
// A table of an older era may have been appended after the rollback, by a writer that did not know
// of it, in place of a table that is lost. Hosts may hold either of them, so a table of an older
// era never replaces one on which this process may act.
bool replacesTable(const KeyTable *known, std::uint64_t newEnd, std::uint32_t era);

// Returns whether the next table may be planned and written. `table`: the present one, if any;
// `tablesEnd`: position up to which the tables have been read.
bool mayWriteTable(const KeyTable *table, std::uint64_t tablesEnd, const StoreEraTracker &tracker,
                   Time now);

// Returns whether the next table is the first one of its era.
bool beginsEra(const KeyTable &table, std::uint64_t newEnd);

// Returns a table of an older era without what depends on earlier grants: ended sessions, former
// voters and predecessors. The plan of the first table of the new era is based on it.
KeyTable withoutEarlierGrants(KeyTable table);

// Makes a table the first one of its era: every range gets the fence `newEnd` and no predecessor,
// as no grant of an older era is valid any more (eraTableWait).
KeyTable beginEra(KeyTable table, std::uint64_t newEnd, const std::string &writer);

// ---- Host records ----

// What decides which of two records of one host is newer if their positions don't.
struct HostForm
{
    UpstreamInstance instance;
    InstanceHistory history; // of the instances that `instance` has replaced
    bool isLeaving = false;
    bool hasEnded = false;
    std::uint64_t incarnation = 0;
    std::uint64_t change = 0;
};

// Returns whether `form` is known to be newer than `other`: it names the instance of the other one
// as replaced, or it has the leave or the end of the same instance, which are final. Of two records
// of which none is known to be newer, the position in the store decides.
bool isNewerForm(const HostForm &form, const HostForm &other);

} // namespace kumquat
