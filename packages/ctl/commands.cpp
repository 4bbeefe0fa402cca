// Sections: output, rules files, publish, status and owner, drain, report
#include "ctl/commands.h"

#include "base/errors.h"
#include "base/text.h"
#include "ctl/clients.h"
#include "ctl/publish.h"
#include "report/table.h"
#include "rules/rules.h"
#include "settings/file.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <map>
#include <ostream>
#include <utility>

namespace kumquat {
namespace {

using Json = nlohmann::json;

// --- output ---

std::string dump(const Json &json)
{
    return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

// Reports an error with its reasons, one per line, and returns the exit status.
int reportError(const Context &context, ErrorKind kind, const std::vector<std::string> &reasons)
{
    const ErrorInfo &info = errorInfo(kind);
    if (context.json) {
        const Json json = {{"error", info.name}, {"reasons", reasons}, {"remedy", info.remedy}};
        context.output << dump(json) << "\n";
        return exitRefused;
    }
    for (const std::string &reason : reasons) {
        context.errors << reason << "\n";
    }
    context.errors << info.name << ": " << info.remedy << "\n";
    return exitRefused;
}

int reportError(const Context &context, const absl::Status &status)
{
    const std::vector<std::string> reasons = absl::StrSplit(status.message(), '\n');
    return reportError(context, errorKindOf(status), reasons);
}

std::string formatBool(bool value)
{
    return value ? "yes" : "no";
}

// --- rules files ---

struct CheckedFile
{
    std::string text;
    RuleSet rules;
};

absl::StatusOr<CheckedFile> checkFile(const std::string &path)
{
    auto text = readFile(path, ErrorKind::RulesRefused);
    if (!text.ok()) {
        return text.status();
    }
    auto rules = parseRules(*text, path);
    if (!rules.ok()) {
        return rules.status();
    }
    return CheckedFile{std::move(*text), std::move(*rules)};
}

std::string formatKey(const KeySpec &key)
{
    const std::string value =
            key.source == KeySource::Segment ? absl::StrCat(key.segment) : key.name;
    return absl::StrCat(toAbsl(keySourceNames.nameOf(key.source)), ":", value);
}

void printRules(const Context &context, const std::vector<Rule> &rules)
{
    TextTable table({"METHOD", "PREFIX", "SERVICE", "KEY", "IDEMPOTENT", "TIMEOUT MS", "COMMENT"});
    for (const Rule &rule : rules) {
        table.addRow({rule.method, rule.prefix, rule.service, formatKey(rule.key),
                      formatBool(rule.idempotent), absl::StrCat(rule.timeout.count()),
                      rule.comment});
    }
    context.output << table.toString();
}

Json writeRules(const std::vector<Rule> &rules)
{
    Json json = Json::array();
    for (const Rule &rule : rules) {
        json.push_back({{"method", rule.method},
                        {"prefix", rule.prefix},
                        {"service", rule.service},
                        {"key", formatKey(rule.key)},
                        {"idempotent", rule.idempotent},
                        {"timeoutMs", rule.timeout.count()},
                        {"comment", rule.comment}});
    }
    return json;
}

} // namespace

absl::StatusOr<std::vector<Address>> parseAddresses(const std::string &text)
{
    std::vector<Address> addresses;
    for (const absl::string_view part : absl::StrSplit(text, ',')) {
        auto address = Address::parse(toStd(part));
        if (!address.ok()) {
            return address.status();
        }
        addresses.push_back(std::move(*address));
    }
    return addresses;
}

int runCheck(const Context &context, const std::string &path)
{
    const auto file = checkFile(path);
    if (!file.ok()) {
        return reportError(context, file.status());
    }
    if (context.json) {
        const Json json = {{"file", path}, {"rules", writeRules(file->rules.rules())}};
        context.output << dump(json) << "\n";
        return exitDone;
    }
    printRules(context, file->rules.rules());
    context.output << path << ": no errors found\n";
    return exitDone;
}

// --- publish ---

namespace {

bool isAccepted(const PublishOutcome &outcome)
{
    return outcome.verdict == PublishVerdict::InForce
           || outcome.verdict == PublishVerdict::Accepted;
}

// Returns the outcome as sentences.
std::string describeOutcome(const PublishOutcome &outcome, const std::string &id)
{
    switch (outcome.verdict) {
    case PublishVerdict::InForce:
        return absl::StrCat("The rules are accepted as version ", outcome.version,
                            " and in force on all members.");
    case PublishVerdict::Accepted:
        return absl::StrCat("The rules are accepted as version ", outcome.version,
                            ". Not at this version after 4 s: ",
                            absl::StrJoin(outcome.outdatedMembers, ", "), ".");
    case PublishVerdict::Conflict:
        return absl::StrCat("The rules are not accepted: version ", outcome.version, " by ",
                            outcome.winner, " was published on version ", outcome.baseVersion,
                            " first.");
    case PublishVerdict::Refused:
        return "The rules are not published: the log service refused the record.";
    case PublishVerdict::NotSent:
        return "The rules are not published: nothing was sent to the log service.";
    case PublishVerdict::Unknown:
        return absl::StrCat("It is not known whether the rules are accepted. Compare the rules "
                            "version of the status with ",
                            outcome.baseVersion, " before publishing again. Publication id: ", id,
                            ".");
    }
    return {};
}

void printOutcome(const Context &context, const PublishOutcome &outcome, const PublicationId &id)
{
    const std::string idText = formatPublicationId(id);
    if (context.json) {
        Json json = {{"verdict", publishVerdictNames.nameOf(outcome.verdict)},
                     {"accepted", isAccepted(outcome)},
                     {"publicationId", idText},
                     {"baseVersion", outcome.baseVersion},
                     {"version", outcome.version},
                     {"appends", outcome.appends},
                     {"behind", outcome.outdatedMembers},
                     {"reason", outcome.reason}};
        if (outcome.verdict == PublishVerdict::Conflict) {
            json["error"] = errorInfo(ErrorKind::RulesConflict).name;
            json["winner"] = outcome.winner;
        }
        context.output << dump(json) << "\n";
        return;
    }
    std::ostream &stream =
            outcome.verdict == PublishVerdict::InForce ? context.output : context.errors;
    stream << describeOutcome(outcome, idText) << "\n";
    if (!outcome.reason.empty()) {
        stream << "Last error: " << outcome.reason << "\n";
    }
    if (outcome.verdict == PublishVerdict::Conflict) {
        const ErrorInfo &info = errorInfo(ErrorKind::RulesConflict);
        stream << info.name << ": " << info.remedy << "\n";
    }
}

} // namespace

int runPublish(const Context &context, const std::string &path, const std::string &author)
{
    const auto file = checkFile(path);
    if (!file.ok()) {
        return reportError(context, file.status());
    }
    const AdminClient admin(context.admin);
    const RulesLog log(context.log);
    const PublicationId id = makePublicationId();
    const PublishOutcome outcome = publishRules(admin, log, id, author, file->text);
    printOutcome(context, outcome, id);
    return outcome.verdict == PublishVerdict::InForce ? exitDone : exitRefused;
}

// --- status and owner ---

namespace {

void printStatus(const Context &context, const ProcessStatus &status)
{
    TextTable process({"NODE", "REGION", "DATA CENTRE", "SERVICE", "SESSION", "SLOTS", "RULES",
                       "LOG OFFSET", "LOG ANSWERS", "LEASE MS", "DRAINING"});
    process.addRow({status.node, status.region, status.dataCentre, status.service,
                    absl::StrCat(status.session), absl::StrCat(status.slots),
                    absl::StrCat(status.rulesVersion), absl::StrCat(status.logOffset),
                    formatBool(status.logAnswering), absl::StrCat(status.leaseMs),
                    formatBool(status.draining)});
    TextTable members({"MEMBER", "ADMIN", "SERVICE", "SESSION", "SLOTS"});
    for (const MemberStatus &member : status.members) {
        members.addRow({member.node, member.admin.toString(), member.service,
                        absl::StrCat(member.session), absl::StrCat(member.slots)});
    }
    context.output << process.toString() << "\n" << members.toString();
}

} // namespace

int runStatus(const Context &context)
{
    const auto status = AdminClient(context.admin).readStatus();
    if (!status.ok()) {
        return reportError(context, status.status());
    }
    if (context.json) {
        context.output << dump(Json::parse(status->json)) << "\n";
    } else {
        printStatus(context, *status);
    }
    return exitDone;
}

int runOwner(const Context &context, const std::string &service, const std::string &key)
{
    const auto owner = AdminClient(context.admin).findOwner(service, key);
    if (!owner.ok()) {
        return reportError(context, owner.status());
    }
    if (context.json) {
        context.output << dump(Json::parse(owner->json)) << "\n";
        return exitDone;
    }
    TextTable table({"SERVICE", "KEY", "SLOT", "NODE", "SESSION", "EPOCH", "ADMIN"});
    table.addRow({owner->service, owner->key, absl::StrCat(owner->slot), owner->node,
                  absl::StrCat(owner->session), absl::StrCat(owner->epoch), owner->admin});
    context.output << table.toString();
    return exitDone;
}

// --- drain ---

namespace {

// Returns the admin addresses of all members by node, including the queried process.
std::map<std::string, Address> adminAddresses(const ProcessStatus &status, const Address &queried)
{
    std::map<std::string, Address> nodes{{status.node, queried}};
    for (const MemberStatus &member : status.members) {
        nodes.try_emplace(member.node, member.admin);
    }
    return nodes;
}

} // namespace

int runDrain(const Context &context, const std::string &node)
{
    const auto status = AdminClient(context.admin).readStatus();
    if (!status.ok()) {
        return reportError(context, status.status());
    }
    const auto nodes = adminAddresses(*status, context.admin);
    const auto found = nodes.find(node);
    if (found == nodes.end()) {
        const auto addName = [](std::string *text, const auto &entry) { *text += entry.first; };
        const std::string names = absl::StrJoin(nodes, ", ", addName);
        return reportError(context, ErrorKind::BadRequest,
                           {absl::StrCat("no node '", node, "'; known are ", names)});
    }
    const absl::Status started = AdminClient(found->second).startDrain();
    if (!started.ok()) {
        return reportError(context, started);
    }
    if (context.json) {
        context.output << dump({{"node", node}, {"draining", true}}) << "\n";
    } else {
        context.output << "The drain of " << node << " has started.\n";
    }
    return exitDone;
}

// --- report ---

namespace {

// The merged reports of all members.
struct FleetReport
{
    Report sum;
    std::vector<std::string> included; // nodes
    std::vector<std::string> missing;  // nodes, with the error of each
    ErrorKind lastError = ErrorKind::None;
};

FleetReport collectReports(const std::map<std::string, Address> &nodes)
{
    std::vector<std::string> names;
    std::vector<Address> servers;
    for (const auto &[name, address] : nodes) {
        names.push_back(name);
        servers.push_back(address);
    }
    const auto reports = readReports(servers);
    FleetReport fleet;
    for (std::size_t index = 0; index < reports.size(); ++index) {
        if (reports[index].ok()) {
            fleet.sum.merge(*reports[index]);
            fleet.included.push_back(names[index]);
        } else {
            fleet.lastError = errorKindOf(reports[index].status());
            fleet.missing.push_back(
                    absl::StrCat(names[index], ": ", reports[index].status().message()));
        }
    }
    return fleet;
}

void printFleetReport(const Context &context, const FleetReport &fleet)
{
    if (context.json) {
        Json json = Json::parse(formatReportJson(fleet.sum));
        json["included"] = fleet.included;
        json["missing"] = fleet.missing;
        context.output << dump(json) << "\n";
        return;
    }
    context.output << formatReport(fleet.sum) << "\nSum of " << fleet.included.size()
                   << " processes; quantiles are the highest of any process.\n";
    for (const std::string &missing : fleet.missing) {
        context.output << "Not included: " << missing << "\n";
    }
}

} // namespace

int runReport(const Context &context)
{
    const auto status = AdminClient(context.admin).readStatus();
    if (!status.ok()) {
        return reportError(context, status.status());
    }
    const FleetReport fleet = collectReports(adminAddresses(*status, context.admin));
    if (fleet.included.empty()) {
        return reportError(context, fleet.lastError, fleet.missing);
    }
    printFleetReport(context, fleet);
    return exitDone;
}

} // namespace kumquat
