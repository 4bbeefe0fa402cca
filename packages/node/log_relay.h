// Passes log records between processes. A process whose connection to the log service is cut off or
// slow learns from messages that other processes have read more, and asks one of them for the
// records. A record and its offset are the same in every process, so the replayed state does not
// depend on where a record was read. The end of the log, and whether the log service answers, are
// never relayed: a process must learn them from the log service itself.
//
//   LogRelay relay;
//   relay.keep(offset, record, now);            // each record, from the log service or relayed
//   relay.noteOffset(offset, node, now);        // next offset that another process will read
//   if (relay.takeQuery(now)) {                 // call at nextDue()
//       send(relay.source(), relay.makeQuery());
//   }
#pragma once

#include "base/time.h"
#include "ownership/cluster_state.h"
#include "wire/log.pb.h"
#include "wire/mesh.pb.h"

#include <deque>
#include <optional>
#include <string>

namespace kumquat {

class LogRelay
{
public:
    static constexpr std::size_t maxRecords = 4'096;           // kept for other processes
    static constexpr std::size_t maxBytes = 4UL * 1024 * 1024; // total size of the kept records
    static constexpr std::size_t maxReplyBytes = 64UL * 1024;  // of a reply with several records
    // Delay before the first query. A record reaches processes of other regions within about 30 ms,
    // so usually the log service delivers it in this time and no query is needed.
    static constexpr Duration queryDelay = 50ms;
    static constexpr Duration maxDelay = 1s;     // between queries without a useful reply
    static constexpr Duration recentPeriod = 5s; // in which a new record is announced

    // Keeps a record for other processes. A gap in the offsets drops all older records.
    void keep(Offset offset, const wire::LogRecord &record, Time now);

    // Returns the offset after the newest kept record.
    Offset next() const { return this->first + this->records.size(); }

    // Returns the kept records from an offset on, or no records if the record at `from` is not
    // kept.
    wire::RelayReply answer(Offset from) const;

    // Returns whether a record was read so recently that other processes may not have it yet.
    bool hasRecentRecord(Time now) const { return now < this->lastRead + recentPeriod; }

    // Records the next offset that another process will read.
    void noteOffset(Offset offset, const std::string &node, Time now);

    // Returns when a query is due, or std::nullopt if no process is known to have read more.
    std::optional<Time> nextDue() const { return this->due; }

    // Returns whether a query is due. If so, schedules the next query after a longer delay.
    bool takeQuery(Time now);

    wire::RelayQuery makeQuery() const;
    const std::string &source() const { return this->newestNode; } // the node to ask

private:
    std::deque<std::string> records; // serialized, without gaps
    Offset first = 0;                // offset of the oldest kept record
    std::size_t bytes = 0;           // total size of the kept records
    Time lastRead{};
    Offset newestOffset = 0; // highest offset passed to noteOffset()
    std::string newestNode;  // node of the process with this offset
    std::optional<Time> due; // when the next query is due
    Duration delay{};        // between that query and the following one
};

} // namespace kumquat
