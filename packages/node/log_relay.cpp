#include "node/log_relay.h"

#include <algorithm>

namespace kumquat {

void LogRelay::keep(Offset offset, const wire::LogRecord &record, Time now)
{
    if (offset != this->next()) {
        this->records.clear();
        this->bytes = 0;
        this->first = offset;
    }
    this->records.push_back(record.SerializeAsString());
    this->bytes += this->records.back().size();
    while (this->records.size() > maxRecords || this->bytes > maxBytes) {
        this->bytes -= this->records.front().size();
        this->records.pop_front();
        ++this->first;
    }
    this->lastRead = now;
    if (this->next() >= this->newestOffset) {
        this->due.reset();
    }
}

wire::RelayReply LogRelay::answer(Offset from) const
{
    wire::RelayReply reply;
    reply.set_from(from);
    std::size_t size = 0;
    for (Offset offset = from; offset >= this->first && offset < this->next(); ++offset) {
        const std::string &record = this->records[offset - this->first];
        // The reply has at least one record, so that a record above the limit does not block the
        // relay.
        if (size > 0 && size + record.size() > maxReplyBytes) {
            break;
        }
        size += record.size();
        reply.add_records(record);
    }
    return reply;
}

void LogRelay::noteOffset(Offset offset, const std::string &node, Time now)
{
    if (offset <= this->next() || offset < this->newestOffset) {
        return;
    }
    this->newestOffset = offset;
    this->newestNode = node;
    if (!this->due) {
        this->due = now + queryDelay;
        this->delay = queryDelay;
    }
}

bool LogRelay::takeQuery(Time now)
{
    if (!this->due || now < *this->due) {
        return false;
    }
    this->delay = std::min(this->delay * 2, Duration(maxDelay));
    this->due = now + this->delay;
    return true;
}

wire::RelayQuery LogRelay::makeQuery() const
{
    wire::RelayQuery query;
    query.set_from(this->next());
    return query;
}

} // namespace kumquat
