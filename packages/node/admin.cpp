// The admin interface of the process: status, owner of a key, rules, metrics, report, drain,
// announcements and fault injection.
#include "base/log.h"
#include "base/text.h"
#include "node/process.h"
#include "report/exposition.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr int maxPort = 65'535;
constexpr int maxSlots = 10'000;

// How long a draining upstream still gets new requests. It must not get any after 3 s, even while
// the log service does not answer.
constexpr Duration upstreamDrainPeriod = 2500ms;

HttpResponse jsonResponse(const Json &body)
{
    HttpResponse response;
    response.fields = {{"Content-Type", "application/json"}};
    response.body = body.dump(-1, ' ', true, Json::error_handler_t::replace) + "\n";
    return response;
}

int fromHex(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string decodePercent(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool isEscape = text[index] == '%' && index + 2 < text.size()
                              && fromHex(text[index + 1]) >= 0 && fromHex(text[index + 2]) >= 0;
        if (isEscape) {
            result += static_cast<char>(fromHex(text[index + 1]) * 16 + fromHex(text[index + 2]));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

// Returns the decoded value of a query parameter, or std::nullopt.
std::optional<std::string> findParameter(std::string_view target, std::string_view name)
{
    std::size_t start = target.find('?');
    while (start != std::string_view::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string_view pair =
                target.substr(start + 1, end == std::string_view::npos ? end : end - start - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return decodePercent(pair.substr(equals + 1));
        }
        start = end;
    }
    return std::nullopt;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

absl::StatusOr<Announcement> parseAnnouncement(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const auto isNumber = [&json](const char *name, int max) {
        return json.contains(name) && json[name].is_number_integer() && json[name] >= 1
               && json[name] <= max;
    };
    const auto isBool = [&json](const char *name) {
        return json.contains(name) && json[name].is_boolean();
    };
    const bool isValid = json.is_object() && json.contains("service") && json["service"].is_string()
                         && !json["service"].get<std::string>().empty() && isNumber("port", maxPort)
                         && isNumber("slots", maxSlots) && isNumber("connections", maxSlots)
                         && isBool("checksGrants") && isBool("draining");
    if (!isValid) {
        return makeError(ErrorKind::BadRequest,
                         "expected {\"service\":NAME, \"port\":1-65535, \"checksGrants\":BOOL, "
                         "\"slots\":1-10000, \"connections\":1-10000, \"draining\":BOOL}");
    }
    Announcement announcement;
    announcement.service = json["service"].get<std::string>();
    announcement.address = {"127.0.0.1", json["port"].get<std::uint16_t>()};
    announcement.checksGrants = json["checksGrants"].get<bool>();
    announcement.slots = json["slots"].get<std::uint32_t>();
    announcement.connections = json["connections"].get<std::uint32_t>();
    announcement.draining = json["draining"].get<bool>();
    return announcement;
}

} // namespace

HttpResponse Process::handleAdmin(const HttpRequest &request)
{
    const std::string_view path = pathOf(request.target);
    const bool isGet = request.method == "GET";
    const bool isPost = request.method == "POST";
    if (isGet && path == "/status") {
        return this->showStatus();
    }
    if (isGet && path == "/owner") {
        return this->showOwner(request);
    }
    if (isGet && path == "/rules") {
        return this->showRules();
    }
    if (isGet && path == "/metrics") {
        return this->showMetrics();
    }
    if (isGet && path == "/report") {
        return this->showReport();
    }
    if (isPost && path == "/announce") {
        return this->acceptAnnouncement(request);
    }
    if (isPost && path == "/drain") {
        this->startDrain();
        return jsonResponse({{"draining", true}});
    }
    if (isPost && path == "/faults/drop" && this->settings.faultInjection) {
        return this->dropMessages(request);
    }
    return makeErrorResponse(ErrorKind::NoRule, "unknown admin path or method");
}

HttpResponse Process::showStatus() const
{
    const DriverStatus status = this->driver->status();
    Json members = Json::array();
    for (const MemberView &member : status.members) {
        members.push_back({{"node", member.node},
                           {"admin", member.adminAddress},
                           {"session", member.session},
                           {"service", member.service},
                           {"slots", member.slots}});
    }
    const auto leaseMs = std::chrono::duration_cast<std::chrono::milliseconds>(status.lease);
    return jsonResponse({{"node", this->settings.node},
                         {"region", this->settings.region},
                         {"dataCentre", this->settings.dataCentre},
                         {"session", status.session},
                         {"service", status.service},
                         {"rulesVersion", status.rulesVersion},
                         {"logOffset", status.logOffset},
                         {"logAnswering", status.logAnswering},
                         {"leaseMs", leaseMs.count()},
                         {"draining", status.draining},
                         {"slots", status.slots},
                         {"inFlight", this->owner->inFlightCount()},
                         {"members", members}});
}

HttpResponse Process::showOwner(const HttpRequest &request) const
{
    const auto service = findParameter(request.target, "service");
    const auto key = findParameter(request.target, "key");
    if (!service || !key) {
        return makeErrorResponse(ErrorKind::BadRequest, "expected ?service=NAME&key=KEY");
    }
    std::string admin;
    const auto found = this->driver->findOwner(*service, *key, admin);
    if (!found || found->node.empty()) {
        return makeErrorResponse(ErrorKind::NoOwner, "the key has no owner");
    }
    return jsonResponse({{"service", *service},
                         {"key", *key},
                         {"slot", found->slot},
                         {"node", found->node},
                         {"session", found->session},
                         {"epoch", found->epoch},
                         {"admin", admin}});
}

HttpResponse Process::showRules() const
{
    const RulesState rules = this->driver->rulesText();
    return jsonResponse(
            {{"version", rules.version}, {"author", rules.author}, {"text", rules.text}});
}

HttpResponse Process::showReport()
{
    const std::lock_guard lock(this->reportMutex);
    HttpResponse response;
    response.fields = {{"Content-Type", "application/json"}};
    response.body = formatReportJson(this->collector.makeReport(readBootTime()));
    return response;
}

HttpResponse Process::showMetrics()
{
    const MeshCounters &counters = this->mesh->counters();
    const DriverStatus status = this->driver->status();
    ExpositionWriter writer;
    const auto add = [&writer](std::string_view name, std::string_view type, std::string_view help,
                               double value) {
        writer.addFamily(name, type, help);
        writer.addSample(name, {}, value);
    };
    const auto addCounter = [&add](std::string_view name, std::string_view help,
                                   std::uint64_t value) {
        add(name, "counter", help, static_cast<double>(value));
    };
    addCounter("kumquat_mesh_sent_messages_total", "Messages sent to other processes.",
               counters.sent);
    addCounter("kumquat_mesh_sent_bytes_total", "Payload bytes sent to other processes.",
               counters.sentBytes);
    addCounter("kumquat_mesh_received_messages_total", "Messages received.", counters.received);
    addCounter("kumquat_mesh_received_bytes_total", "Payload bytes received.",
               counters.receivedBytes);
    addCounter("kumquat_mesh_dropped_messages_total", "Messages dropped: the queue was full.",
               counters.dropped);
    addCounter("kumquat_mesh_invalid_messages_total", "Received frames that are no message.",
               counters.invalid);
    addCounter("kumquat_forward_unmatched_replies_total",
               "Answers without a waiting request, dropped.", this->forwarder->unmatchedReplies());
    addCounter("kumquat_log_appends_total", "Records sent to the log service.",
               this->driver->appends());
    add("kumquat_slots", "gauge", "Slots that this process owns.", status.slots);
    add("kumquat_lease_seconds", "gauge", "Time left of the lease.",
        std::chrono::duration<double>(status.lease).count());
    add("kumquat_rules_version", "gauge", "Version of the rules in force.",
        static_cast<double>(status.rulesVersion));
    add("kumquat_log_answering", "gauge", "1 while the log service answers.",
        status.logAnswering ? 1 : 0);
    add("kumquat_requests_in_flight", "gauge", "Requests at the upstream or waiting for it.",
        static_cast<double>(this->owner->inFlightCount()));
    {
        const std::lock_guard lock(this->reportMutex);
        writeReport(writer, this->collector.makeReport(readBootTime()));
    }
    HttpResponse response;
    response.fields = {{"Content-Type", std::string(expositionContentType)}};
    response.body = writer.text();
    return response;
}

HttpResponse Process::acceptAnnouncement(const HttpRequest &request)
{
    const auto announcement = parseAnnouncement(request.body);
    if (!announcement.ok()) {
        return makeErrorResponse(errorKindOf(announcement.status()),
                                 toStd(announcement.status().message()));
    }
    const Time now = readBootTime();
    if (announcement->draining) {
        if (this->lastAnnouncement) {
            logInfo(LogPart::Upstream, "upstream is draining",
                    {{"service", announcement->service}});
            this->lastAnnouncement.reset();
            this->owner->refuseFrom(now + upstreamDrainPeriod);
            this->driver->setUpstream(std::nullopt);
        }
        return jsonResponse({{"accepted", true}});
    }
    if (now < this->rejoinAfter) {
        return jsonResponse({{"accepted", false}});
    }
    this->lastAnnouncement = now;
    this->owner->announce(*announcement);
    this->driver->setUpstream(UpstreamInfo{announcement->service, announcement->checksGrants});
    return jsonResponse({{"accepted", true}});
}

HttpResponse Process::dropMessages(const HttpRequest &request)
{
    const auto from = findParameter(request.target, "from");
    const auto on = findParameter(request.target, "on");
    if (!from || (on != "0" && on != "1")) {
        return makeErrorResponse(ErrorKind::BadRequest, "expected ?from=NODE&on=0|1");
    }
    this->faults.setDropped(*from, on == "1");
    logWarning(LogPart::Main, "fault injection: messages are dropped",
               {{"from", absl::StrJoin(this->faults.dropped(), ",")}});
    return jsonResponse({{"dropped", this->faults.dropped()}});
}

} // namespace kumquat
