// Sections: answers, admin types, admin client, log client
#include "ctl/clients.h"

#include "base/errors.h"
#include "base/text.h"
#include "wire/log.pb.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr HttpLimits bulkLimits{500ms, 1s}; // many processes, some may be down
constexpr int recordsPerRead = 1'000;
constexpr std::size_t maxReasonBytes = 300; // of an answer body in an error message

// --- answers ---

bool isSuccess(const HttpResult &result)
{
    return result.delivery == Delivery::Answered && result.status / 100 == 2;
}

std::string describeAnswer(const HttpResult &result)
{
    std::string body = result.body.substr(0, maxReasonBytes);
    absl::RemoveExtraAsciiWhitespace(&body); // error messages are single lines
    return absl::StrCat("HTTP ", result.status, " ", result.errorKind, " ", body);
}

// Returns the body of a successful answer.
absl::StatusOr<std::string> successBody(const HttpResult &result, const Address &server)
{
    if (isSuccess(result)) {
        return result.body;
    }
    const bool isAnswered = result.delivery == Delivery::Answered;
    const ErrorKind deliveryError = result.delivery == Delivery::NotSent
                                            ? ErrorKind::UpstreamUnreachable
                                            : ErrorKind::UpstreamLost;
    const ErrorKind kind = isAnswered
                                   ? findErrorKind(result.errorKind).value_or(ErrorKind::Internal)
                                   : deliveryError;
    const std::string reason = isAnswered ? describeAnswer(result) : result.reason;
    return makeError(kind, toStd(absl::StrCat(server.toString(), ": ", reason)));
}

absl::Status makeParseError(const char *what, const std::exception &error)
{
    return makeError(ErrorKind::Internal, toStd(absl::StrCat(what, ": ", error.what())));
}

// --- admin types ---

MemberStatus readMember(const Json &json)
{
    MemberStatus member;
    member.node = json.at("node").get<std::string>();
    member.session = json.value("session", std::uint64_t{0});
    member.service = json.value("service", std::string());
    member.slots = json.value("slots", std::uint64_t{0});
    const auto admin = Address::parse(json.at("admin").get<std::string>());
    if (!admin.ok()) {
        throw std::invalid_argument(std::string(admin.status().message()));
    }
    member.admin = *admin;
    return member;
}

} // namespace

absl::StatusOr<ProcessStatus> parseStatusJson(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        ProcessStatus status;
        status.node = json.at("node").get<std::string>();
        status.region = json.value("region", std::string());
        status.dataCentre = json.value("dataCentre", std::string());
        status.session = json.value("session", std::uint64_t{0});
        status.service = json.value("service", std::string());
        status.rulesVersion = json.at("rulesVersion").get<std::uint64_t>();
        status.logOffset = json.at("logOffset").get<std::uint64_t>();
        status.logAnswering = json.value("logAnswering", false);
        status.leaseMs = json.value("leaseMs", std::int64_t{0});
        status.draining = json.value("draining", false);
        status.slots = json.value("slots", std::uint64_t{0});
        for (const Json &member : json.at("members")) {
            status.members.push_back(readMember(member));
        }
        status.json = text;
        return status;
    } catch (const std::exception &error) {
        return makeParseError("invalid status JSON", error);
    }
}

absl::StatusOr<KeyOwner> parseOwnerJson(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        KeyOwner owner;
        owner.service = json.at("service").get<std::string>();
        owner.key = json.at("key").get<std::string>();
        owner.slot = json.at("slot").get<std::uint64_t>();
        owner.node = json.value("node", std::string());
        owner.session = json.value("session", std::uint64_t{0});
        owner.epoch = json.value("epoch", std::uint64_t{0});
        owner.admin = json.value("admin", std::string());
        owner.json = text;
        return owner;
    } catch (const std::exception &error) {
        return makeParseError("invalid owner JSON", error);
    }
}

// --- admin client ---

namespace {

template <typename Value>
absl::StatusOr<Value> parseAnswer(const HttpResult &result, const Address &server,
                                  absl::StatusOr<Value> (*parse)(const std::string &))
{
    const auto body = successBody(result, server);
    return body.ok() ? parse(*body) : absl::StatusOr<Value>(body.status());
}

absl::StatusOr<Report> parseReport(const std::string &text)
{
    return parseReportJson(text);
}

template <typename Value>
std::vector<absl::StatusOr<Value>> readAll(const std::vector<Address> &servers, const char *target,
                                           absl::StatusOr<Value> (*parse)(const std::string &))
{
    std::vector<HttpCall> calls;
    calls.reserve(servers.size());
    for (const Address &server : servers) {
        calls.push_back({server, "GET", target, {}, {}});
    }
    const std::vector<HttpResult> results = exchangeAll(calls, bulkLimits);
    std::vector<absl::StatusOr<Value>> values;
    values.reserve(servers.size());
    for (std::size_t index = 0; index < servers.size(); ++index) {
        values.push_back(parseAnswer(results[index], servers[index], parse));
    }
    return values;
}

} // namespace

absl::StatusOr<ProcessStatus> AdminClient::readStatus() const
{
    const HttpResult result = exchange({this->server, "GET", "/status", {}, {}}, {});
    return parseAnswer(result, this->server, parseStatusJson);
}

absl::StatusOr<KeyOwner> AdminClient::findOwner(const std::string &service,
                                                const std::string &key) const
{
    const std::string target = absl::StrCat("/owner?service=", encodeQueryValue(service),
                                            "&key=", encodeQueryValue(key));
    const HttpResult result = exchange({this->server, "GET", target, {}, {}}, {});
    return parseAnswer(result, this->server, parseOwnerJson);
}

absl::Status AdminClient::startDrain() const
{
    const HttpResult result = exchange({this->server, "POST", "/drain", {}, {}}, {});
    return successBody(result, this->server).status();
}

std::vector<absl::StatusOr<ProcessStatus>> readStatuses(const std::vector<Address> &servers)
{
    return readAll(servers, "/status", parseStatusJson);
}

std::vector<absl::StatusOr<Report>> readReports(const std::vector<Address> &servers)
{
    return readAll(servers, "/report", parseReport);
}

// --- log client ---

// Tries the next address only if the call cannot have reached the previous one.
HttpResult RulesLog::send(HttpCall call) const
{
    HttpResult result;
    for (const Address &server : this->servers) {
        call.server = server;
        result = exchange(call, {});
        if (result.delivery != Delivery::NotSent) {
            break;
        }
    }
    return result;
}

RulesAppendResult RulesLog::appendRules(std::uint64_t baseVersion, PublicationId id,
                                        const std::string &author, const std::string &text) const
{
    wire::LogRecord record;
    wire::Rules *rules = record.mutable_rules();
    rules->set_base_version(baseVersion);
    rules->set_publication_id_high(id.high);
    rules->set_publication_id_low(id.low);
    rules->set_author(author);
    rules->set_text(text);
    const HttpResult result = this->send(
            {{}, "POST", "/append", "application/x-protobuf", record.SerializeAsString()});
    if (result.delivery == Delivery::NotSent) {
        return {AppendAnswer::NotSent, 0, "log: " + result.reason};
    }
    if (result.delivery == Delivery::Unknown) {
        return {AppendAnswer::Unknown, 0, "log: " + result.reason};
    }
    const Json json = Json::parse(result.body, nullptr, false);
    const bool hasOffset =
            json.is_object() && json.contains("offset") && json["offset"].is_number_unsigned();
    if (isSuccess(result) && hasOffset) {
        return {AppendAnswer::Appended, json["offset"].get<std::uint64_t>(), {}};
    }
    // Only a client error (4xx) proves that the log did not accept the record.
    const bool isRefused = result.status / 100 == 4;
    return {isRefused ? AppendAnswer::Refused : AppendAnswer::Unknown, 0,
            "log: " + describeAnswer(result)};
}

std::optional<RulesBatch> RulesLog::readRules(std::uint64_t from, Duration wait) const
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string target =
            absl::StrCat("/records?from=", from, "&limit=", recordsPerRead, "&wait_ms=", waitMs);
    const HttpResult result = this->send({{}, "GET", target, {}, {}});
    wire::LogBatch batch;
    if (!isSuccess(result) || !batch.ParseFromString(result.body)) {
        return std::nullopt;
    }
    const auto count = static_cast<std::uint64_t>(batch.records_size());
    const std::uint64_t next = count == 0 ? from : batch.from() + count;
    RulesBatch rules{batch.first_kept(), batch.end(), next, {}};
    for (int index = 0; index < batch.records_size(); ++index) {
        wire::LogRecord record;
        if (record.ParseFromString(batch.records(index)) && record.has_rules()) {
            const wire::Rules &found = record.rules();
            rules.entries.push_back({batch.from() + static_cast<std::uint64_t>(index),
                                     found.base_version(),
                                     {found.publication_id_high(), found.publication_id_low()},
                                     found.author()});
        }
    }
    return rules;
}

} // namespace kumquat
