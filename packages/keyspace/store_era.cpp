#include "keyspace/store_era.h"

#include "keyspace/lease.h"

#include <algorithm>

namespace kumquat {

// ---- StoreEraTracker ----

bool StoreEraTracker::note(std::uint32_t newEra, Time now)
{
    if (newEra <= this->era || newEra > maxStoreEra) {
        return false;
    }
    this->era = newEra;
    this->firstSeen = now;
    return true;
}

// ---- Key tables ----

Duration eraTableWait()
{
    const LeaseSettings settings;
    return std::chrono::duration_cast<Duration>(settings.freshFor * (1 + settings.clockDrift));
}

bool replacesTable(const KeyTable *known, std::uint64_t newEnd, std::uint32_t era)
{
    if (known == nullptr) {
        return true;
    }
    const bool isFormer = storeEraOf(newEnd) < era;
    return newEnd > known->end && (!isFormer || known->isFormer);
}

bool mayWriteTable(const KeyTable *table, std::uint64_t tablesEnd, const StoreEraTracker &tracker,
                   Time now)
{
    if (storeEraOf(tablesEnd) != tracker.current()) {
        return false; // the tables have not been read in this era yet
    }
    const bool hasTable = table != nullptr && storeEraOf(table->end) == tracker.current();
    // Without any table, one may have existed that is lost and under which owners still act.
    return tracker.current() == 0 || hasTable || now >= tracker.since() + eraTableWait();
}

bool beginsEra(const KeyTable &table, std::uint64_t newEnd)
{
    return storeEraOf(table.end) != storeEraOf(newEnd);
}

KeyTable withoutEarlierGrants(KeyTable table)
{
    std::erase_if(table.sessions, [](const KeySession &session) { return !session.isActive(); });
    for (KeySession &session : table.sessions) {
        session.formerVoters.clear();
    }
    for (KeyRange &range : table.ranges) {
        range.predecessors.clear();
        range.owner = table.session(range.owner) != nullptr ? range.owner : 0;
    }
    return table;
}

KeyTable beginEra(KeyTable table, std::uint64_t newEnd, const std::string &writer)
{
    table.end = newEnd;
    table.writer = writer;
    table.isFormer = false;
    for (KeyRange &range : table.ranges) {
        range.predecessors.clear();
        range.fence = table.end;
    }
    // Nothing was granted to sessions that end with this table since their earlier grants ended.
    for (KeySession &session : table.sessions) {
        session.stopped = session.stopped || !session.isActive();
    }
    return table;
}

// ---- Host records ----

bool isNewerForm(const HostForm &form, const HostForm &other)
{
    if (form.instance != other.instance) {
        return form.history.hasReplaced(other.instance)
               || (form.instance.isKnown() && !other.instance.isKnown());
    }
    if (form.hasEnded != other.hasEnded) {
        return form.hasEnded;
    }
    if (form.isLeaving != other.isLeaving) {
        return form.isLeaving;
    }
    return form.incarnation == other.incarnation && form.change > other.change;
}

} // namespace kumquat
