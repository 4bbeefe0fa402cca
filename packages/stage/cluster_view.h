// What this process knows about the system: the configuration, the evacuated data centres, the
// hosts and the key tables, each in the newest version that was read from the store or received
// from another process.
//
//   view.applyHost(key, offset, value);
//   view.applyTable(key, offset, value);
//   const KeyTable *table = view.table("testlog");
//
// Sections: hosts, ClusterView.
#pragma once

#include "base/address.h"
#include "keyspace/key_table.h"
#include "keyspace/range_planner.h"
#include "keyspace/store_era.h"
#include "routing/configuration.h"
#include "routing/host_picker.h"
#include "stage/evacuations.h"
#include "wire/stage.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// ---- Hosts ----

struct KnownHost
{
    HostInfo info;
    Address address;               // for messages from other processes
    std::uint64_t incarnation = 0; // of the process on the host
    std::uint64_t change = 0;      // grows with each record of this incarnation
    bool isLeaving = false;        // the upstream has announced that it will end
    InstanceHistory history;       // of the upstream's instances
    std::uint64_t offset = 0;      // position of the host's record in the store
    std::string bytes;             // encoded record, to forward to other processes
    // The store has gone back, and its record of the host is older than this one.
    bool isAhead = false;
};

UpstreamPhase decodePhase(wire::UpstreamPhase phase);
wire::UpstreamPhase encodePhase(UpstreamPhase phase);
// Returns seconds; 0 if the service time is unknown.
double decodeServiceTime(std::uint32_t milliseconds);

HostLoad decodeLoad(const wire::UpstreamLoad &load);

// ---- ClusterView ----

// Called after a change; each may be empty.
struct ClusterViewHooks
{
    std::function<void()> configurationChanged;
    std::function<void()> evacuationsChanged;
    std::function<void(const KnownHost &host)> hostChanged;
    std::function<void(const std::string &service)> tableChanged;
    std::function<void(std::uint32_t era)> eraChanged; // of the store
};

// Not thread-safe.
class ClusterView
{
public:
    explicit ClusterView(ClusterViewHooks viewHooks)
        : hooks(std::move(viewHooks))
        , evacuationRecords(this->hooks.evacuationsChanged)
    {}

    // Applies a configuration if it is newer than the current one. `bytes`: its encoding in the
    // store, to forward it to other processes; `source`: the store or the host that it comes from,
    // for the log.
    void applyConfiguration(Configuration newer, std::string bytes, const std::string &source);

    // Applies one record. A record is ignored if it can't be decoded or if it is not newer than the
    // known record of its key. The end up to which this process has read advances only if no record
    // before this one is missing.
    void applyHost(const std::string &node, std::uint64_t offset, const std::string &bytes);
    void applyTable(const std::string &service, std::uint64_t offset, const std::string &bytes);

    // Notes an era of the store that an answer of it or a message of another process shows. Call it
    // before the records of the answer or message are applied.
    void noteEra(std::uint32_t era, Time now);
    const StoreEraTracker &storeEra() const { return this->era; }

    // Notes the era that another process has read up to.
    void noteEraOf(const wire::Known &other, Time now);

    // Notes that all records before `end` have been read.
    void noteHostsEnd(std::uint64_t end);
    void noteTablesEnd(std::uint64_t end);

    Evacuations &evacuations() { return this->evacuationRecords; }
    const Evacuations &evacuations() const { return this->evacuationRecords; }
    ConfigurationPtr configuration() const { return this->currentConfiguration; }
    const std::string &configurationBytes() const { return this->currentConfigurationBytes; }
    const std::map<std::string, KnownHost> &hosts() const { return this->hostsByNode; }
    const KnownHost *host(const std::string &node) const;
    const KeyTable *table(const std::string &service) const;
    std::uint64_t hostsEnd() const { return this->hostsReadEnd; }
    std::uint64_t tablesEnd() const { return this->tablesReadEnd; }

    // Returns how far this process has read, to tell other processes.
    wire::Known known() const;

    // Says whether another process has read records that this process has not.
    bool isOlderThan(const wire::Known &other) const;

    // Returns the state that the process which sent `other` does not have yet.
    wire::StateReply stateSince(const wire::Known &other) const;

private:
    struct KnownTable
    {
        KeyTable table;
        std::string bytes;
    };

    ClusterViewHooks hooks;
    Evacuations evacuationRecords;
    ConfigurationPtr currentConfiguration; // null before the first configuration
    std::string currentConfigurationBytes;
    std::map<std::string, KnownHost> hostsByNode;
    std::map<std::string, KnownTable> tables; // by service
    StoreEraTracker era;
    std::uint64_t hostsReadEnd = 0;
    std::uint64_t tablesReadEnd = 0;
};

} // namespace kumquat
