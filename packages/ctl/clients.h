// Typed clients of the admin interface of a process and of the log service.
//
// Sections: admin types, admin client, log client
//
//   AdminClient admin(address);
//   absl::StatusOr<ProcessStatus> status = admin.readStatus();
#pragma once

#include "base/address.h"
#include "ctl/http.h"
#include "ctl/publication.h"
#include "report/report.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// --- admin types ---

// A process, as another process knows it from the log.
struct MemberStatus
{
    std::string node;
    Address admin;
    std::uint64_t session = 0;
    std::string service; // empty: no upstream
    std::uint64_t slots = 0;
};

struct ProcessStatus
{
    std::string node;
    std::string region;
    std::string dataCentre;
    std::uint64_t session = 0; // 0: not joined
    std::string service;
    std::uint64_t rulesVersion = 0; // version after all records below logOffset
    std::uint64_t logOffset = 0;    // offset of the next record that the process reads
    bool logAnswering = false;
    std::int64_t leaseMs = 0; // remaining time of the lease
    bool draining = false;
    std::uint64_t slots = 0;
    std::vector<MemberStatus> members;
    std::string json; // the unparsed answer
};

struct KeyOwner
{
    std::string service;
    std::string key;
    std::uint64_t slot = 0;
    std::string node; // empty: the slot has no owner
    std::uint64_t session = 0;
    std::uint64_t epoch = 0;
    std::string admin;
    std::string json; // the unparsed answer
};

// Parse answers of the admin interface. Error: Internal, with the reason why the JSON is invalid.
absl::StatusOr<ProcessStatus> parseStatusJson(const std::string &text);
absl::StatusOr<KeyOwner> parseOwnerJson(const std::string &text);

// --- admin client ---

// Errors of all functions: the error kind in the answer of the process; UpstreamUnreachable without
// a connection; UpstreamLost without a complete answer; Internal if the answer cannot be parsed.
class AdminClient
{
public:
    explicit AdminClient(Address address)
        : server(std::move(address))
    {}

    absl::StatusOr<ProcessStatus> readStatus() const;
    absl::StatusOr<KeyOwner> findOwner(const std::string &service, const std::string &key) const;

    // Returns after the drain has started and does not wait for its end.
    absl::Status startDrain() const;

    const Address &address() const { return this->server; }

private:
    Address server;
};

// Query many processes concurrently. Results are in the order of the addresses.
std::vector<absl::StatusOr<ProcessStatus>> readStatuses(const std::vector<Address> &servers);
std::vector<absl::StatusOr<Report>> readReports(const std::vector<Address> &servers);

// --- log client ---

// Client of the log service. The service may have several addresses, which are tried in order.
class RulesLog
{
public:
    explicit RulesLog(std::vector<Address> addresses)
        : servers(std::move(addresses))
    {}

    // Appends a record of type Rules.
    RulesAppendResult appendRules(std::uint64_t baseVersion, PublicationId id,
                                  const std::string &author, const std::string &text) const;

    // Reads records from an offset on. Waits up to `wait` for the first one. Returns nullopt if the
    // log does not answer with a valid batch.
    std::optional<RulesBatch> readRules(std::uint64_t from, Duration wait) const;

private:
    HttpResult send(HttpCall call) const;

    std::vector<Address> servers;
};

} // namespace kumquat
