// Sections: checks of values, members, root, loading
#include "settings/settings.h"

#include "base/errors.h"
#include "base/text.h"
#include "settings/file.h"
#include "settings/json.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <utility>

namespace kumquat {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxNameBytes = 64;
constexpr NumberRange workerRange{1, 64};
constexpr NumberRange queueRange{0, 100'000};
constexpr NumberRange concurrencyRange{0, 10'000};
constexpr NumberRange bodyRange{1, 1'048'576};
constexpr NumberRange drainRange{1, 3'600'000};                  // ms, up to 1 h
constexpr NumberRange retentionRange{1'000, 365LL * 86'400'000}; // ms, 1 s to 365 days
constexpr NumberRange latencyRange{1, 60'000};                   // ms, up to 1 min
constexpr std::string_view expectedAddress = "\"IP:port\"";
constexpr std::string_view expectedAddresses = "an array of at least one \"IP:port\"";
constexpr std::string_view expectedName = "1 to 64 letters, digits, \"-\", \"_\" or \".\"";
constexpr std::string_view expectedLevel = "debug, info, warning or error";
constexpr std::string_view expectedShare = "a share above 0 and below 1";

// --- checks of values ---

bool isName(const std::string &text)
{
    const bool hasNameBytes = std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
    });
    return hasNameBytes && !text.empty() && text.size() <= maxNameBytes;
}

bool isLevel(const std::string &text)
{
    return logLevelNames.valueOf(text).has_value();
}

bool isPathPrefix(const std::string &text)
{
    const bool isPrintable = std::none_of(text.begin(), text.end(),
                                          [](unsigned char c) { return c <= ' ' || c == 0x7f; });
    return text.starts_with('/') && isPrintable;
}

bool isAddress(const std::string &text)
{
    return Address::parse(text).ok();
}

bool isShare(double number)
{
    return number > 0 && number < 1;
}

bool isWeight(double number)
{
    return number >= 0 && number <= 1;
}

// --- members ---

Address takeAddress(JsonObject &object, const std::string &member)
{
    const std::string text = object.takeString(member, expectedAddress, isAddress);
    return text.empty() ? Address() : *Address::parse(text);
}

ListenSettings takeListen(JsonObject &root, Faults &faults)
{
    JsonObject object(root.take("listen", "an object with callers, admin and mesh"), "/listen",
                      faults);
    ListenSettings listen;
    listen.callers = takeAddress(object, "callers");
    listen.admin = takeAddress(object, "admin");
    listen.mesh = takeAddress(object, "mesh");
    object.reportUnknown();
    const bool hasAdmin = listen.admin.port != 0;
    if (hasAdmin && listen.admin == listen.callers) {
        object.fault("admin", "same address as /listen/callers", "another \"IP:port\"");
    }
    if (listen.mesh.port != 0 && (listen.mesh == listen.callers || listen.mesh == listen.admin)) {
        object.fault("mesh", "same address as another listener", "another \"IP:port\"");
    }
    return listen;
}

// Returns the elements of an array. Adds a fault if the value is not an array; nullptr has no
// elements.
std::vector<const Json *> elementsOf(const Json *value, const std::string &path,
                                     std::string_view expected, Faults &faults)
{
    std::vector<const Json *> elements;
    if (value != nullptr && !value->is_array()) {
        faults.push_back(absl::StrCat(path, ": wrong type; expected ", toAbsl(expected)));
    } else if (value != nullptr) {
        for (const Json &element : *value) {
            elements.push_back(&element);
        }
    }
    return elements;
}

std::vector<Address> takeLog(JsonObject &root, Faults &faults)
{
    const Json *value = root.take("log", expectedAddresses);
    std::vector<Address> addresses;
    int index = 0;
    for (const Json *element : elementsOf(value, "/log", expectedAddresses, faults)) {
        const std::string path = absl::StrCat("/log/", index++);
        const std::string text = element->is_string() ? element->get<std::string>() : "";
        const auto address = Address::parse(text);
        if (!address.ok()) {
            faults.push_back(absl::StrCat(path, ": ", element->dump(-1, ' ', true), "; expected ",
                                          toAbsl(expectedAddress)));
        } else if (std::find(addresses.begin(), addresses.end(), *address) != addresses.end()) {
            faults.push_back(path + ": duplicate address; expected each once");
        } else {
            addresses.push_back(*address);
        }
    }
    if (value != nullptr && value->is_array() && value->empty()) {
        root.fault("log", "empty", expectedAddresses);
    }
    return addresses;
}

LimitSettings takeLimits(JsonObject &root, Faults &faults)
{
    LimitSettings limits;
    JsonObject object(root.takeOptional("limits"), "/limits", faults);
    const auto take = [&object](const char *member, NumberRange range, std::int64_t fallback) {
        return object.takeInteger(member, range, fallback);
    };
    limits.queueLength = static_cast<int>(take("queueLength", queueRange, limits.queueLength));
    limits.initialConcurrency = static_cast<int>(
            take("initialConcurrency", concurrencyRange, limits.initialConcurrency));
    limits.maxBodyBytes = static_cast<std::size_t>(
            take("maxBodyBytes", bodyRange, static_cast<std::int64_t>(limits.maxBodyBytes)));
    object.reportUnknown();
    return limits;
}

Objective takeObjective(const Json &value, const std::string &path, Faults &faults)
{
    Objective objective;
    JsonObject object(&value, path, faults);
    objective.name = object.takeString("name", expectedName, isName);
    objective.pathPrefix =
            object.takeString("pathPrefix", "a path that starts with \"/\"", isPathPrefix);
    objective.availability = object.takeNumber("availability", expectedShare, isShare, {});
    objective.latency = milliseconds(object.takeInteger("latencyMs", latencyRange, {}));
    objective.latencyShare = object.takeNumber("latencyShare", expectedShare, isShare, {});
    object.reportUnknown();
    return objective;
}

std::vector<Objective> takeObjectives(JsonObject &root, Faults &faults)
{
    const Json *value = root.takeOptional("objectives");
    std::vector<Objective> objectives;
    std::map<std::string, int> firstIndexes; // index of the first objective with each name
    int index = 0;
    for (const Json *element : elementsOf(value, "/objectives", "an array", faults)) {
        const std::string path = absl::StrCat("/objectives/", index);
        objectives.push_back(takeObjective(*element, path, faults));
        const std::string &name = objectives.back().name;
        const auto [first, isNew] = firstIndexes.try_emplace(name, index);
        if (!isNew && !name.empty()) {
            faults.push_back(absl::StrCat(path, "/name: duplicate of /objectives/", first->second,
                                          "/name; expected each name once"));
        }
        ++index;
    }
    return objectives;
}

// --- root ---

Settings takeSettings(const Json &document, Faults &faults)
{
    Settings settings;
    JsonObject root(&document, "", faults);
    const auto takeMs = [&root](const char *member, NumberRange range, Duration fallback) {
        const auto count = std::chrono::duration_cast<milliseconds>(fallback).count();
        return Duration(milliseconds(root.takeInteger(member, range, count)));
    };
    settings.node = root.takeString("node", expectedName, isName);
    settings.region = root.takeString("region", expectedName, isName);
    settings.dataCentre = root.takeString("dataCentre", expectedName, isName);
    settings.listen = takeListen(root, faults);
    settings.log = takeLog(root, faults);
    if (root.takeOptional("logLevel") != nullptr) {
        const std::string level = root.takeString("logLevel", expectedLevel, isLevel);
        settings.logLevel = logLevelNames.valueOf(level).value_or(settings.logLevel);
    }
    settings.workers = static_cast<int>(root.takeInteger("workers", workerRange, settings.workers));
    settings.drainLimit = takeMs("drainLimitMs", drainRange, settings.drainLimit);
    settings.retention = takeMs("retentionMs", retentionRange, settings.retention);
    settings.weightUnavailable = root.takeNumber("weightUnavailable", "a number from 0 to 1",
                                                 isWeight, settings.weightUnavailable);
    settings.limits = takeLimits(root, faults);
    settings.objectives = takeObjectives(root, faults);
    settings.faultInjection = root.takeBool("faultInjection", settings.faultInjection);
    root.reportUnknown();
    return settings;
}

} // namespace

// --- loading ---

absl::StatusOr<Settings> parseSettings(std::string_view text)
{
    Faults faults;
    const Json document = parseJson(text, faults);
    Settings settings;
    if (!document.is_discarded()) {
        settings = takeSettings(document, faults);
    }
    if (!faults.empty()) {
        return makeError(ErrorKind::SettingsInvalid, toStd(absl::StrJoin(faults, "\n")));
    }
    return settings;
}

absl::StatusOr<Settings> loadSettings(const std::string &path)
{
    const auto text = readFile(path, ErrorKind::SettingsInvalid);
    return text.ok() ? parseSettings(*text) : text.status();
}

} // namespace kumquat
