// Following the log: order of records, search for a checkpoint, appending checkpoints
// (section 3.8).
#pragma once

#include "ownership/engine_context.h"

#include <map>
#include <optional>
#include <utility>

namespace kumquat {

// Belongs to one engine; see engine.h for times and threads.
class LogFollower
{
public:
    explicit LogFollower(EngineContext &shared)
        : context(shared)
    {}

    // What a record led to.
    struct Step
    {
        std::optional<ApplyResult> applied; // the record changed the state
        bool reloaded = false;              // the state was replaced by a checkpoint
    };

    Step onRecord(Offset offset, const wire::LogRecord &record, Time now);
    void onLogEnd(Offset end, Time askedAt);
    void onFirstKept(Offset kept);
    void onAnswering(bool answering, Time now);

    // Returns the offset of the record that is wanted next.
    Offset nextOffset() const;

    // Returns whether the whole log was searched without finding a usable checkpoint.
    bool lacksHistory() const { return this->searching && this->searchedAll; }

    // Appends a checkpoint when the last one is older than half of the retention.
    void step(Time now);
    Time nextDue(Time now) const;

private:
    using PartKey = std::pair<Offset, std::uint32_t>; // covered offset and number of parts

    bool addPart(const wire::Checkpoint &part, Time now);
    Time checkpointDue() const;

    EngineContext &context;
    bool searching = false; // for a checkpoint, because older records are gone
    bool searchedAll = false;
    Offset searchNext = 0;
    Offset firstKept = 0;
    Offset end = 0;
    std::map<PartKey, std::map<std::uint32_t, wire::Checkpoint>> parts;
    Offset covered = 0;                    // by the last complete checkpoint
    std::optional<Time> checkpointReadAt;  // the last complete one
    std::optional<Time> answeredAt;        // last time at which the log answered
    bool overdue = false;                  // an outage outlasted the retention
    std::optional<Time> firstRecordReadAt; // age of a log without checkpoint
};

} // namespace kumquat
