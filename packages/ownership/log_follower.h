// Reading of the log: order of records, search for a checkpoint, and append of checkpoints
// (section 3.8 of docs/design.md).
#pragma once

#include "ownership/engine_context.h"

#include <map>
#include <optional>
#include <utility>

namespace kumquat {

// Part of one engine; engine.h states the rules for times and threads.
class LogFollower
{
public:
    explicit LogFollower(EngineContext &shared)
        : context(shared)
    {}

    // The effect of a record.
    struct Step
    {
        std::optional<ApplyResult> applied; // result of the record if it was applied to the state
        bool reloaded = false;              // the state was replaced by a checkpoint
    };

    Step onRecord(Offset offset, const wire::LogRecord &record, Time now);
    void onLogEnd(Offset end, Time askedAt);
    void onFirstKept(Offset firstKeptOffset);
    void onAnswering(bool answering, Time now);

    // Returns the offset of the next record to read.
    Offset nextOffset() const;

    // Returns whether the whole log was searched and no usable checkpoint was found.
    bool lacksHistory() const { return this->searching && this->searchedAll; }

    // Appends a checkpoint if the last one is older than half of the retention, or after an outage
    // of the log that was longer than the retention.
    void step(Time now);
    Time nextDue(Time now) const;

private:
    using PartKey = std::pair<Offset, std::uint32_t>; // covered offset and number of parts

    bool addPart(const wire::Checkpoint &part, Time now);
    Time checkpointDue() const;

    EngineContext &context;
    bool searching = false; // for a checkpoint, because older records are lost
    bool searchedAll = false;
    Offset searchNext = 0;
    Offset firstKept = 0;
    Offset end = 0;
    std::map<PartKey, std::map<std::uint32_t, wire::Checkpoint>> parts;
    Offset covered = 0;                    // offset that the last complete checkpoint covers
    std::optional<Time> checkpointReadAt;  // when the last complete checkpoint was read
    std::optional<Time> answeredAt;        // last time at which the log answered
    bool checkpointOverdue = false;        // an outage lasted longer than the retention
    std::optional<Time> firstRecordReadAt; // the age of a log without a checkpoint counts from here
};

} // namespace kumquat
