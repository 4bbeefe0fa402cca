#include "keyspace/key_table.h"

#include "base/compression.h"
#include "base/durations.h"
#include "base/errors.h"
#include "keyspace/store_era.h"
#include "wire/stage.pb.h"

#include <algorithm>

namespace kumquat {
namespace {

// No host of the platform needs a lease outside these limits; a table that has one was written by a
// faulty process.
constexpr Duration minLeaseLength = 500ms;
constexpr Duration maxLeaseLength = 1min;

void encodeSession(const KeySession &session, wire::SessionRecord &record)
{
    record.set_id(session.id);
    record.set_node(session.node);
    record.set_upstream_id(session.instance.id);
    record.set_born_ms(session.instance.startedMs);
    record.set_slots(session.slots);
    record.mutable_voters()->Assign(session.voters.begin(), session.voters.end());
    record.mutable_former_voters()->Assign(session.formerVoters.begin(),
                                           session.formerVoters.end());
    record.set_ended_at(session.endedAt);
    record.set_stopped(session.stopped);
    record.set_leaving(session.leaving);
}

KeySession decodeSession(const wire::SessionRecord &record)
{
    return {.id = record.id(),
            .node = record.node(),
            .instance = {.id = record.upstream_id(), .startedMs = record.born_ms()},
            .slots = std::max(1U, record.slots()),
            .voters = {record.voters().begin(), record.voters().end()},
            .formerVoters = {record.former_voters().begin(), record.former_voters().end()},
            .endedAt = record.ended_at(),
            .stopped = record.stopped(),
            .leaving = record.leaving()};
}

void encodeRange(const KeyRange &range, wire::RangeRecord &record)
{
    record.set_first(range.span.first);
    record.set_last(range.span.last);
    record.set_owner(range.owner);
    record.set_fence(range.fence);
    for (const FormerOwner &predecessor : range.predecessors) {
        wire::PredecessorRecord &added = *record.add_predecessors();
        added.set_session(predecessor.session);
        added.set_fence(predecessor.fence);
    }
}

KeyRange decodeRange(const wire::RangeRecord &record)
{
    KeyRange range{.span = {.first = record.first(), .last = record.last()},
                   .owner = record.owner(),
                   .fence = record.fence()};
    for (const wire::PredecessorRecord &predecessor : record.predecessors()) {
        range.predecessors.push_back(
                {.session = predecessor.session(), .fence = predecessor.fence()});
    }
    return range;
}

} // namespace

absl::StatusOr<KeyTable> KeyTable::decode(std::string_view bytes, std::uint64_t end)
{
    constexpr std::uint32_t maxBytes =
            16U << 20U; // of the uncompressed table; far more than a service needs
    wire::PackedKeyTable packed;
    wire::KeyTableRecord record;
    const bool isPacked = packed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
                          && packed.length() <= maxBytes;
    const auto text = inflateText(packed.deflated(), isPacked ? packed.length() : 0);
    if (!isPacked || !text.ok() || !record.ParseFromString(*text)) {
        return makeError(ErrorKind::LogUnavailable, "a record of a key table cannot be read");
    }
    if (record.store_era() != storeEraOf(end)) {
        return makeError(ErrorKind::LogUnavailable, "a key table belongs to another store era");
    }
    KeyTable table;
    table.service = record.service();
    table.end = end;
    table.writer = record.writer();
    if (record.lease_ms() != 0) {
        table.leaseLength = std::chrono::milliseconds(record.lease_ms());
    }
    for (const wire::SessionRecord &session : record.sessions()) {
        table.sessions.push_back(decodeSession(session));
    }
    for (const wire::RangeRecord &range : record.ranges()) {
        table.ranges.push_back(decodeRange(range));
    }
    if (!table.isValid()) {
        return makeError(
                ErrorKind::LogUnavailable,
                "a key table has gaps, refers to unknown sessions or has an invalid lease length");
    }
    return table;
}

std::string KeyTable::encode() const
{
    wire::KeyTableRecord record;
    record.set_service(this->service);
    record.set_writer(this->writer);
    record.set_store_era(storeEraOf(this->end));
    record.set_lease_ms(static_cast<std::uint32_t>(toMilliseconds(this->leaseLength)));
    for (const KeySession &session : this->sessions) {
        encodeSession(session, *record.add_sessions());
    }
    for (const KeyRange &range : this->ranges) {
        encodeRange(range, *record.add_ranges());
    }
    const std::string text = record.SerializeAsString();
    wire::PackedKeyTable packed;
    packed.set_length(static_cast<std::uint32_t>(text.size()));
    packed.set_deflated(deflateText(text));
    return packed.SerializeAsString();
}

KeyTable KeyTable::createEmpty(std::string service, Duration leaseLength)
{
    KeyTable table;
    table.service = std::move(service);
    table.leaseLength = leaseLength;
    table.ranges.push_back({.span = {.first = 0, .last = lastShardKey}});
    return table;
}

const KeyRange *KeyTable::find(ShardKey key) const
{
    const auto after = std::upper_bound(
            this->ranges.begin(), this->ranges.end(), key,
            [](ShardKey wanted, const KeyRange &range) { return wanted < range.span.first; });
    return after == this->ranges.begin() ? nullptr : &*std::prev(after);
}

const KeySession *KeyTable::session(std::uint64_t id) const
{
    const auto found = std::find_if(this->sessions.begin(), this->sessions.end(),
                                    [id](const KeySession &session) { return session.id == id; });
    return found == this->sessions.end() ? nullptr : &*found;
}

KeySession *KeyTable::session(std::uint64_t id)
{
    return const_cast<KeySession *>(static_cast<const KeyTable *>(this)->session(id));
}

const KeySession *KeyTable::activeSessionOf(std::string_view node) const
{
    const auto found = std::find_if(this->sessions.begin(), this->sessions.end(),
                                    [node](const KeySession &session) {
                                        return session.isActive() && session.node == node;
                                    });
    return found == this->sessions.end() ? nullptr : &*found;
}

void KeyTable::splitBefore(ShardKey key)
{
    const auto found =
            std::partition_point(this->ranges.begin(), this->ranges.end(),
                                 [key](const KeyRange &range) { return range.span.last < key; });
    if (found == this->ranges.end() || found->span.first >= key) {
        return;
    }
    KeyRange upper = *found;
    upper.span.first = key;
    found->span.last = key - 1;
    this->ranges.insert(found + 1, std::move(upper));
}

bool KeyTable::isValid() const
{
    if (this->leaseLength < minLeaseLength || this->leaseLength > maxLeaseLength) {
        return false;
    }
    ShardKey next = 0;
    for (const KeyRange &range : this->ranges) {
        const bool inOrder = range.span.first == next && range.span.last >= range.span.first
                             && range.span.last <= lastShardKey;
        const bool ownerKnown = range.owner == 0 || this->session(range.owner) != nullptr;
        if (!inOrder || !ownerKnown) {
            return false;
        }
        next = range.span.last + 1;
    }
    return next == lastShardKey + 1;
}

} // namespace kumquat
