// The data centres that the operator has evacuated, by the newest record of each of them that was
// read from the store or received from another process.
//
//   evacuations.apply({.dataCentre = "a", .offset = 7, .value = "yes"}, "store");
//   evacuations.noteEnd(8);
//   if (evacuations.isClosed("a")) { ... no request may run there ... }
//
// Sections: records, Evacuations.
#pragma once

#include "base/time.h"
#include "wire/stage.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kumquat {

// ---- Records ----

struct EvacuationRecord
{
    std::string dataCentre;
    std::uint64_t offset = 0;
    std::string value; // empty: the record was removed, and the evacuation has ended
};

// ---- Evacuations ----

// Not thread-safe.
class Evacuations
{
public:
    // `changedHook`: called after a change of the result of isClosed(); may be empty.
    explicit Evacuations(std::function<void()> changedHook)
        : changed(std::move(changedHook))
    {}

    // Applies one record. It is ignored if it is not newer than what is known. `source`: the store
    // or the host that it comes from, for the log.
    void apply(const EvacuationRecord &record, const std::string &source);

    // Applies the newest records of all data centres up to `end`. A data centre without one there
    // is not evacuated, except if its record is of an earlier era of the store: a store that was
    // rolled back may have lost the record.
    void applyAll(const std::vector<EvacuationRecord> &records, std::uint64_t end,
                  const std::string &source);

    // Notes that all records of the operator before `newEnd` have been read.
    void noteEnd(std::uint64_t newEnd);

    // Adds all records to the state for the process that sent `other` if that process has not read
    // as far as this one. All are needed: the process takes missing ones for removed.
    void addTo(wire::StateReply &state, const wire::Known &other) const;

    // Applies what another process knows. The state must be its answer to a query of this process.
    void applyState(const wire::StateReply &state, const std::string &source);

    // Applies what another process knows, for a process that starts after a rollback of the store:
    // also records of earlier eras for which it has read none, as the store may have lost them.
    void restoreFrom(const wire::StateReply &state, const std::string &source);

    // Returns the position up to which the operator's records have been read.
    std::uint64_t end() const { return this->readEnd; }

    // Says whether the operator's records have been read since the start of the process.
    bool isKnown() const { return this->readEnd > 0; }

    bool isEvacuated(const std::string &dataCentre) const;

    // Says whether no request may run in the data centre: it is evacuated, or that is not known.
    bool isClosed(const std::string &dataCentre) const
    {
        return !this->isKnown() || this->isEvacuated(dataCentre);
    }

    // Says whether the last evacuation of the data centre ended after `start`, as far as this
    // process has seen it.
    bool hasEndedAfter(const std::string &dataCentre, Time start) const;

    // Returns the number of evacuated data centres.
    std::size_t count() const;

private:
    bool keep(const EvacuationRecord &record, const std::string &source);
    bool dropMissing(const std::vector<EvacuationRecord> &records, std::uint64_t end,
                     const std::string &source);
    void noteChange(const EvacuationRecord &record, const std::string &source);
    void notify(bool hasChanged) const;

    std::function<void()> changed;
    std::map<std::string, EvacuationRecord, std::less<>> newest; // by data centre
    std::map<std::string, Time, std::less<>> ends;               // of evacuations
    std::uint64_t readEnd = 0;
};

} // namespace kumquat
