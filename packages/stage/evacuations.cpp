#include "stage/evacuations.h"

#include "base/log.h"
#include "keyspace/store_era.h"

#include <algorithm>

namespace kumquat {
namespace {

std::vector<EvacuationRecord> recordsOf(const wire::StateReply &state)
{
    std::vector<EvacuationRecord> records;
    for (const wire::StateItem &item : state.evacuations()) {
        records.push_back(
                {.dataCentre = item.key(), .offset = item.offset(), .value = item.value()});
    }
    return records;
}

} // namespace

// Returns whether the record starts or ends the evacuation of its data centre.
bool Evacuations::keep(const EvacuationRecord &record, const std::string &source)
{
    const auto found = this->newest.find(record.dataCentre);
    if (found != this->newest.end() && found->second.offset >= record.offset) {
        return false;
    }
    const bool wasEvacuated = this->isEvacuated(record.dataCentre);
    this->newest[record.dataCentre] = record;
    const bool isEvacuated = !record.value.empty();
    if (wasEvacuated == isEvacuated) {
        return false;
    }
    this->noteChange(record, source);
    return true;
}

void Evacuations::noteChange(const EvacuationRecord &record, const std::string &source)
{
    const bool hasEnded = record.value.empty();
    if (hasEnded) {
        this->ends[record.dataCentre] = readBootTime();
    }
    logInfo(LogPart::Rules, hasEnded ? "evacuation ended" : "evacuation in force",
            {{"dataCentre", record.dataCentre},
             {"offset", std::to_string(record.offset)},
             {"source", source}});
}

// Ends the evacuations that are not among the newest records up to `end`. Returns whether there
// were any.
bool Evacuations::dropMissing(const std::vector<EvacuationRecord> &records, std::uint64_t end,
                              const std::string &source)
{
    bool hasChanged = false;
    for (auto &[dataCentre, known] : this->newest) {
        const bool isListed = std::any_of(records.begin(), records.end(),
                                          [&name = dataCentre](const EvacuationRecord &row) {
                                              return row.dataCentre == name;
                                          });
        const bool isOlder = known.offset < end && storeEraOf(known.offset) == storeEraOf(end);
        if (!isListed && isOlder && !known.value.empty()) {
            known.value.clear();
            known.offset = end - 1;
            this->noteChange(known, source);
            hasChanged = true;
        }
    }
    return hasChanged;
}

void Evacuations::apply(const EvacuationRecord &record, const std::string &source)
{
    if (record.offset >= this->readEnd) { // otherwise a newer record or its removal was seen
        this->notify(this->keep(record, source));
    }
}

void Evacuations::applyAll(const std::vector<EvacuationRecord> &records, std::uint64_t end,
                           const std::string &source)
{
    if (end <= this->readEnd) {
        return;
    }
    bool hasChanged = !this->isKnown();
    for (const EvacuationRecord &record : records) {
        hasChanged = this->keep(record, source) || hasChanged;
    }
    hasChanged = this->dropMissing(records, end, source) || hasChanged;
    this->readEnd = end;
    this->notify(hasChanged);
}

void Evacuations::noteEnd(std::uint64_t newEnd)
{
    const bool wasKnown = this->isKnown();
    this->readEnd = std::max(this->readEnd, newEnd);
    this->notify(this->isKnown() != wasKnown);
}

void Evacuations::addTo(wire::StateReply &state, const wire::Known &other) const
{
    if (this->readEnd <= other.operator_end()) {
        return;
    }
    for (const auto &[dataCentre, record] : this->newest) {
        wire::StateItem &item = *state.add_evacuations();
        item.set_key(dataCentre);
        item.set_offset(record.offset);
        item.set_value(record.value);
    }
}

void Evacuations::applyState(const wire::StateReply &state, const std::string &source)
{
    this->applyAll(recordsOf(state), state.known().operator_end(), source);
}

void Evacuations::restoreFrom(const wire::StateReply &state, const std::string &source)
{
    this->applyState(state, source);
    bool hasChanged = false;
    for (const EvacuationRecord &record : recordsOf(state)) {
        const bool isEarlier = storeEraOf(record.offset) < storeEraOf(this->readEnd);
        hasChanged = (isEarlier && this->keep(record, source)) || hasChanged;
    }
    this->notify(hasChanged);
}

bool Evacuations::isEvacuated(const std::string &dataCentre) const
{
    const auto found = this->newest.find(dataCentre);
    return found != this->newest.end() && !found->second.value.empty();
}

bool Evacuations::hasEndedAfter(const std::string &dataCentre, Time start) const
{
    const auto found = this->ends.find(dataCentre);
    return found != this->ends.end() && found->second > start && !this->isEvacuated(dataCentre);
}

std::size_t Evacuations::count() const
{
    return static_cast<std::size_t>(
            std::count_if(this->newest.begin(), this->newest.end(),
                          [](const auto &entry) { return !entry.second.value.empty(); }));
}

void Evacuations::notify(bool hasChanged) const
{
    if (hasChanged && this->changed) {
        this->changed();
    }
}

} // namespace kumquat
