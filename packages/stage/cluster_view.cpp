#include "stage/cluster_view.h"

#include "base/durations.h"
#include "base/log.h"
#include "base/text.h"

#include <algorithm>

namespace kumquat {
namespace {

HostInfo decodeHost(const wire::HostRecord &record)
{
    return {.node = record.node(),
            .dataCentre = record.data_centre(),
            .region = record.region(),
            .service = record.service(),
            .instance = {.id = record.upstream_id(), .startedMs = record.born_ms()},
            .slots = std::max(1U, record.slots()),
            .phase = decodePhase(record.phase())};
}

InstanceHistory decodeHistory(const wire::HostRecord &record)
{
    InstanceHistory history;
    for (const wire::InstanceRecord &replaced : record.replaced()) {
        history.noteReplaced({.id = replaced.upstream_id(), .startedMs = replaced.born_ms()});
    }
    return history;
}

KnownHost makeHost(const wire::HostRecord &record, const Address &address, std::uint64_t offset,
                   const std::string &bytes)
{
    return {.info = decodeHost(record),
            .address = address,
            .incarnation = record.incarnation(),
            .change = record.change(),
            .isLeaving = record.leaving(),
            .history = decodeHistory(record),
            .offset = offset,
            .bytes = bytes};
}

HostForm formOf(const KnownHost &host)
{
    return {.instance = host.info.instance,
            .history = host.history,
            .isLeaving = host.isLeaving,
            .hasEnded = host.info.phase == UpstreamPhase::Ended,
            .incarnation = host.incarnation,
            .change = host.change};
}

// Combines two records of a host that were written for different eras of the store, or, in `later`,
// one that was read after the store had gone back. The position only grows; the content is the
// newer one (isNewerForm).
KnownHost mergeAcrossEras(const KnownHost &known, const KnownHost &later)
{
    const std::uint64_t offset = std::max(known.offset, later.offset);
    const bool isKnownNewer = isNewerForm(formOf(known), formOf(later));
    const bool isLaterOlder =
            later.offset < known.offset && !isNewerForm(formOf(later), formOf(known));
    const bool keepsKnown = isKnownNewer || isLaterOlder;
    // The store has the record with the larger position.
    const bool isAhead =
            keepsKnown ? isKnownNewer && later.offset > known.offset : later.offset < known.offset;
    KnownHost merged = keepsKnown ? known : later;
    merged.isAhead = isAhead || (keepsKnown && known.isAhead && offset == known.offset);
    merged.offset = offset;
    return merged;
}

} // namespace

UpstreamPhase decodePhase(wire::UpstreamPhase phase)
{
    switch (phase) {
    case wire::UPSTREAM_READY:
        return UpstreamPhase::Ready;
    case wire::UPSTREAM_DRAINING:
        return UpstreamPhase::Draining;
    case wire::UPSTREAM_ENDED:
        return UpstreamPhase::Ended;
    default:
        return UpstreamPhase::Absent;
    }
}

wire::UpstreamPhase encodePhase(UpstreamPhase phase)
{
    switch (phase) {
    case UpstreamPhase::Ready:
        return wire::UPSTREAM_READY;
    case UpstreamPhase::Draining:
        return wire::UPSTREAM_DRAINING;
    case UpstreamPhase::Ended:
        return wire::UPSTREAM_ENDED;
    default:
        return wire::UPSTREAM_ABSENT;
    }
}

double decodeServiceTime(std::uint32_t milliseconds)
{
    return toSeconds(std::chrono::milliseconds(milliseconds));
}

HostLoad decodeLoad(const wire::UpstreamLoad &load)
{
    return {.isUsable = load.usable(),
            .inFlight = load.in_flight(),
            .slots = std::max(1U, load.slots()),
            .serviceSeconds = decodeServiceTime(load.service_ms()),
            .usableSlots = load.usable_slots(),
            .coldWait = std::chrono::milliseconds(load.cold_wait_ms()),
            .linkWait = std::chrono::milliseconds(load.link_wait_ms())};
}

void ClusterView::applyConfiguration(Configuration newer, std::string bytes,
                                     const std::string &source)
{
    if (this->currentConfiguration && newer.version <= this->currentConfiguration->version) {
        return;
    }
    logInfo(LogPart::Rules, "configuration in force",
            {{"version", std::to_string(newer.version)},
             {"before",
              std::to_string(this->currentConfiguration ? this->currentConfiguration->version : 0)},
             {"routes", std::to_string(newer.routes.size())},
             {"source", source}});
    this->currentConfiguration = std::make_shared<const Configuration>(std::move(newer));
    this->currentConfigurationBytes = std::move(bytes);
    if (this->hooks.configurationChanged) {
        this->hooks.configurationChanged();
    }
}

void ClusterView::applyHost(const std::string &node, std::uint64_t offset, const std::string &bytes)
{
    const auto found = this->hostsByNode.find(node);
    const bool isKnown = found != this->hostsByNode.end();
    const std::uint32_t newestEra = this->era.current();
    // In one era the order of the records in the store decides. After a rollback their content
    // decides, because records of older eras may be lost or appended late.
    const bool isMerged = isKnown && newestEra > 0
                          && (storeEraOf(found->second.offset) != storeEraOf(offset)
                              || storeEraOf(offset) < newestEra);
    if (isKnown && !isMerged && found->second.offset >= offset) {
        return;
    }
    wire::HostRecord record;
    const bool isReadable = record.ParseFromString(bytes) && record.node() == node;
    const auto address = Address::parse(record.address());
    if (!isReadable || !address.ok()) {
        logWarning(LogPart::Log, "record of a host ignored because it cannot be read",
                   {{"node", node}, {"offset", std::to_string(offset)}});
        return;
    }
    KnownHost read = makeHost(record, *address, offset, bytes);
    if (isMerged) {
        const KnownHost &known = found->second;
        KnownHost merged = mergeAcrossEras(known, read);
        if (merged.offset == known.offset && merged.bytes == known.bytes) {
            return;
        }
        read = std::move(merged);
    }
    KnownHost &host = this->hostsByNode[node];
    host = std::move(read);
    this->hostsReadEnd += offset == this->hostsReadEnd ? 1 : 0;
    logInfo(LogPart::Log, "host known",
            {{"node", node},
             {"upstream", host.info.instance.id},
             {"phase", std::string(upstreamPhaseNames.nameOf(host.info.phase))},
             {"offset", std::to_string(offset)}});
    if (this->hooks.hostChanged) {
        this->hooks.hostChanged(host);
    }
}

void ClusterView::applyTable(const std::string &service, std::uint64_t offset,
                             const std::string &bytes)
{
    const std::uint32_t newestEra = this->era.current();
    if (!replacesTable(this->table(service), offset + 1, newestEra)) {
        return;
    }
    auto table = KeyTable::decode(bytes, offset + 1);
    if (!table.ok()) {
        logError(LogPart::Slots, "key table ignored because it cannot be read",
                 {{"service", service},
                  {"offset", std::to_string(offset)},
                  {"reason", std::string(toStd(table.status().message()))}});
        return;
    }
    table->isFormer = storeEraOf(table->end) < newestEra;
    logInfo(LogPart::Slots, table->isFormer ? "key table of an older era read" : "key table read",
            {{"service", service},
             {"end", std::to_string(table->end)},
             {"sessions", std::to_string(table->sessions.size())},
             {"ranges", std::to_string(table->ranges.size())},
             {"writer", table->writer}});
    this->tables[service] = {.table = *std::move(table), .bytes = bytes};
    this->tablesReadEnd += offset == this->tablesReadEnd ? 1 : 0;
    if (this->hooks.tableChanged) {
        this->hooks.tableChanged(service);
    }
}

void ClusterView::noteEra(std::uint32_t newEra, Time now)
{
    const std::uint32_t before = this->era.current();
    if (!this->era.note(newEra, now)) {
        return;
    }
    logWarning(LogPart::Log, "store has gone back",
               {{"era", std::to_string(newEra)},
                {"before", std::to_string(before)},
                {"hostsEnd", std::to_string(this->hostsReadEnd)},
                {"tablesEnd", std::to_string(this->tablesReadEnd)}});
    if (this->hooks.eraChanged) {
        this->hooks.eraChanged(newEra);
    }
}

void ClusterView::noteEraOf(const wire::Known &other, Time now)
{
    this->noteEra(
            storeEraOf(std::max({other.hosts_end(), other.tables_end(), other.operator_end()})),
            now);
}

void ClusterView::noteHostsEnd(std::uint64_t end)
{
    this->hostsReadEnd = std::max(this->hostsReadEnd, end);
}

void ClusterView::noteTablesEnd(std::uint64_t end)
{
    this->tablesReadEnd = std::max(this->tablesReadEnd, end);
}

const KnownHost *ClusterView::host(const std::string &node) const
{
    const auto found = this->hostsByNode.find(node);
    return found == this->hostsByNode.end() ? nullptr : &found->second;
}

const KeyTable *ClusterView::table(const std::string &service) const
{
    const auto found = this->tables.find(service);
    return found == this->tables.end() ? nullptr : &found->second.table;
}

wire::Known ClusterView::known() const
{
    wire::Known known;
    known.set_config_version(this->currentConfiguration ? this->currentConfiguration->version : 0);
    known.set_hosts_end(this->hostsReadEnd);
    known.set_tables_end(this->tablesReadEnd);
    known.set_operator_end(this->evacuationRecords.end());
    return known;
}

bool ClusterView::isOlderThan(const wire::Known &other) const
{
    return other.config_version()
                   > (this->currentConfiguration ? this->currentConfiguration->version : 0)
           || other.hosts_end() > this->hostsReadEnd || other.tables_end() > this->tablesReadEnd
           || other.operator_end() > this->evacuationRecords.end();
}

wire::StateReply ClusterView::stateSince(const wire::Known &other) const
{
    wire::StateReply state;
    *state.mutable_known() = this->known();
    if (this->currentConfiguration
        && this->currentConfiguration->version > other.config_version()) {
        state.set_config(this->currentConfigurationBytes);
    }
    this->evacuationRecords.addTo(state, other);
    for (const auto &[node, host] : this->hostsByNode) {
        if (host.offset + 1 > other.hosts_end()) {
            wire::StateItem &item = *state.add_hosts();
            item.set_key(node);
            item.set_offset(host.offset);
            item.set_value(host.bytes);
        }
    }
    for (const auto &[service, known] : this->tables) {
        if (known.table.end > other.tables_end()) {
            wire::StateItem &item = *state.add_tables();
            item.set_key(service);
            item.set_offset(known.table.end - 1);
            item.set_value(known.bytes);
        }
    }
    return state;
}

} // namespace kumquat
