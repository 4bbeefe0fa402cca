// What this process knows of the system: the configuration, the hosts and the key tables, each in
// the newest version that it has read from the store or from another process.
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
#include "routing/configuration.h"
#include "routing/host_picker.h"
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
    Address address;               // for messages between processes
    std::uint64_t incarnation = 0; // of its process
    std::uint64_t offset = 0;      // of its record
    std::string bytes;             // of its record, to pass on
};

UpstreamPhase decodePhase(wire::UpstreamPhase phase);
wire::UpstreamPhase encodePhase(UpstreamPhase phase);
// Seconds; 0: not known.
double decodeServiceTime(std::uint32_t milliseconds);

HostLoad decodeLoad(const wire::UpstreamLoad &load);

// ---- ClusterView ----

// Called after a change; each may be empty.
struct ClusterViewHooks
{
    std::function<void()> configurationChanged;
    std::function<void(const KnownHost &host)> hostChanged;
    std::function<void(const std::string &service)> tableChanged;
};

// Not thread-safe.
class ClusterView
{
public:
    explicit ClusterView(ClusterViewHooks viewHooks)
        : hooks(std::move(viewHooks))
    {}

    // Takes a configuration if it is newer. `bytes`: as it lies in the store, to pass it on;
    // `source`: the store or the host that it comes from, for the log.
    void applyConfiguration(Configuration newer, std::string bytes, const std::string &source);

    // Takes one record; the ends below grow with it only if nothing before it is missing. Older
    // ones than the known one of its key are ignored, and so are those that can't be read.
    void applyHost(const std::string &node, std::uint64_t offset, const std::string &bytes);
    void applyTable(const std::string &service, std::uint64_t offset, const std::string &bytes);

    // Notes up to where a partition has been read.
    void noteHostsEnd(std::uint64_t end);
    void noteTablesEnd(std::uint64_t end);

    ConfigurationPtr configuration() const { return this->currentConfiguration; }
    const std::string &configurationBytes() const { return this->currentConfigurationBytes; }
    const std::map<std::string, KnownHost> &hosts() const { return this->hostsByNode; }
    const KnownHost *host(const std::string &node) const;
    const KeyTable *table(const std::string &service) const;
    std::uint64_t tablesEnd() const { return this->tablesReadEnd; }

    // How far this process has read, for others.
    wire::Known known() const;

    // Says whether another process has read more.
    bool isOlderThan(const wire::Known &other) const;

    // Returns what `other` lacks.
    wire::StateReply stateSince(const wire::Known &other) const;

private:
    struct KnownTable
    {
        KeyTable table;
        std::string bytes;
    };

    ClusterViewHooks hooks;
    ConfigurationPtr currentConfiguration; // empty before the first
    std::string currentConfigurationBytes;
    std::map<std::string, KnownHost> hostsByNode;
    std::map<std::string, KnownTable> tables; // by service
    std::uint64_t hostsReadEnd = 0;
    std::uint64_t tablesReadEnd = 0;
};

} // namespace kumquat
