// The admin interface of the process: status, owner of a key, rules, drain, announcements.
#include "base/log.h"
#include "base/text.h"
#include "node/process.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr int maxPort = 65'535;
constexpr int maxSlots = 10'000;

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

// Returns the decoded value of a query parameter, or nothing.
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
    const auto isNumber = [&json](const char *name, int most) {
        return json.contains(name) && json[name].is_number_integer() && json[name] >= 1
               && json[name] <= most;
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
    if (isPost && path == "/announce") {
        return this->takeAnnouncement(request);
    }
    if (isPost && path == "/drain") {
        this->startDrain();
        return jsonResponse({{"draining", true}});
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
    const auto owner = this->driver->findOwner(*service, *key, admin);
    if (!owner || owner->node.empty()) {
        return makeErrorResponse(ErrorKind::NoOwner, "the key has no owner");
    }
    return jsonResponse({{"service", *service},
                         {"key", *key},
                         {"slot", owner->slot},
                         {"node", owner->node},
                         {"session", owner->session},
                         {"epoch", owner->epoch},
                         {"admin", admin}});
}

HttpResponse Process::showRules() const
{
    const RulesState rules = this->driver->rulesText();
    return jsonResponse(
            {{"version", rules.version}, {"author", rules.author}, {"text", rules.text}});
}

HttpResponse Process::showMetrics() const
{
    const MeshCounters &mesh = this->mesh->counters();
    HttpResponse response;
    response.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
    const auto add = [&response](std::string_view name, std::uint64_t value) {
        absl::StrAppend(&response.body, "# TYPE ", toAbsl(name), " counter\n", toAbsl(name), " ",
                        value, "\n");
    };
    add("kumquat_mesh_sent_messages_total", mesh.sent);
    add("kumquat_mesh_sent_bytes_total", mesh.sentBytes);
    add("kumquat_mesh_received_messages_total", mesh.received);
    add("kumquat_mesh_received_bytes_total", mesh.receivedBytes);
    add("kumquat_mesh_dropped_messages_total", mesh.dropped);
    add("kumquat_mesh_invalid_messages_total", mesh.invalid);
    add("kumquat_forward_unmatched_replies_total", this->forwarder->unmatchedReplies());
    add("kumquat_log_appends_total", this->driver->appends());
    return response;
}

HttpResponse Process::takeAnnouncement(const HttpRequest &request)
{
    const auto announcement = parseAnnouncement(request.body);
    if (!announcement.ok()) {
        return makeErrorResponse(errorKindOf(announcement.status()),
                                 toStd(announcement.status().message()));
    }
    const Time now = readBootTime();
    if (announcement->draining) {
        if (this->lastAnnouncement) {
            logInfo(LogPart::Upstream, "upstream drains", {{"service", announcement->service}});
            this->lastAnnouncement.reset();
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

} // namespace kumquat
