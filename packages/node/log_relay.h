// Passes log records on between processes. A process whose own way to the log service is cut off or
// slow learns from messages that others have read more, and asks one of them for the records. A
// record and its offset are the same wherever they are read, so the state does not depend on the
// way. What proves that the log itself was reached, its end and its answering, never comes from
// here.
//
//   LogRelay relay;
//   relay.keep(offset, record, now);            // each record, however it was read
//   relay.noteOffset(offset, node, now);        // next offset of another process
//   if (relay.takeQuery(now)) {                 // when nextDue() has come
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
    static constexpr std::size_t mostRecords = 4'096;           // kept for others
    static constexpr std::size_t mostBytes = 4UL * 1024 * 1024; // of the kept records
    static constexpr std::size_t mostReplyBytes = 64UL * 1024;  // of a reply with several records
    // A record is sent to other regions within about 30 ms, so usually no query is needed.
    static constexpr Duration patience = 50ms;
    static constexpr Duration maxDelay = 1s; // between queries without a useful reply
    static constexpr Duration recent = 5s;   // in which a record is announced to others

    // Keeps a record for processes that ask. A gap in the offsets drops the older records.
    void keep(Offset offset, const wire::LogRecord &record, Time now);

    // Returns the offset after the newest kept record.
    Offset next() const { return this->first + this->records.size(); }

    // Returns the kept records from an offset on; none if the record at `from` is not kept.
    wire::RelayReply answer(Offset from) const;

    // Returns whether a record was read so lately that others may lack it.
    bool isRecent(Time now) const { return now < this->lastRead + recent; }

    // Notes the next offset that another process will read.
    void noteOffset(Offset offset, const std::string &node, Time now);

    // Returns when a query is due; no value while no process is known to have read more.
    std::optional<Time> nextDue() const { return this->due; }

    // Returns whether a query is due, and plans the next one.
    bool takeQuery(Time now);

    wire::RelayQuery makeQuery() const;
    const std::string &source() const { return this->newestNode; } // the node to ask

private:
    std::deque<std::string> records; // serialized, without gaps
    Offset first = 0;                // offset of the oldest kept record
    std::size_t bytes = 0;           // of the kept records
    Time lastRead{};
    Offset newest = 0;       // highest next offset of another process
    std::string newestNode;  // that told it
    std::optional<Time> due; // of the next query
    Duration delay{};        // until the query after it
};

} // namespace kumquat
