#include "stage/settings.h"

#include "base/errors.h"
#include "settings/file.h"
#include "settings/json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace kumquat {
namespace {

constexpr NumberRange millisecondRange{1, 3'600'000};
constexpr NumberRange secondRange{1, 3'600};

bool isAddress(const std::string &text)
{
    return Address::parse(text).ok();
}

bool isNotEmpty(const std::string &text)
{
    return !text.empty();
}

bool isNotNegative(double number)
{
    return number >= 0;
}

std::string takeText(JsonObject &object, const std::string &member)
{
    return object.takeString(member, "a text that is not empty", isNotEmpty);
}

Address takeAddress(JsonObject &object, const std::string &member)
{
    const std::string text = object.takeString(member, "\"IP:port\"", isAddress);
    return text.empty() ? Address() : *Address::parse(text);
}

Duration takeMilliseconds(JsonObject &object, const std::string &member)
{
    return std::chrono::milliseconds(object.takeInteger(member, millisecondRange, std::nullopt));
}

bool isGrantMode(const std::string &text)
{
    return grantModeNames.valueOf(text).has_value();
}

GrantMode takeGrantMode(JsonObject &object)
{
    if (object.takeOptional("grants") == nullptr) {
        return GrantMode::Call;
    }
    const std::string text = object.takeString("grants", "\"call\" or \"heartbeat\"", isGrantMode);
    return grantModeNames.valueOf(text).value_or(GrantMode::Call);
}

StageListen takeListen(JsonObject &root, Faults &faults)
{
    JsonObject object(root.take("listen", "an object of addresses"), "/listen", faults);
    StageListen listen;
    listen.callers = takeAddress(object, "callers");
    listen.readiness = takeAddress(object, "readiness");
    listen.heartbeats = takeAddress(object, "heartbeats");
    listen.processes = takeAddress(object, "processes");
    listen.processesAdvertised = object.takeOptional("processesAdvertised") != nullptr
                                         ? takeAddress(object, "processesAdvertised")
                                         : listen.processes;
    listen.metrics = takeAddress(object, "metrics");
    object.reportUnknown();
    return listen;
}

StageLimits takeLimits(JsonObject &root, Faults &faults)
{
    JsonObject object(root.take("limits", "an object of limits"), "/limits", faults);
    StageLimits limits;
    limits.drainPeriod = takeMilliseconds(object, "drainMs");
    limits.stopPeriod =
            std::chrono::seconds(object.takeInteger("stopSeconds", secondRange, std::nullopt));
    limits.maxHold = takeMilliseconds(object, "longestHoldMs");
    limits.retryShare = object.takeNumber("retryShare", "a share", isNotNegative, std::nullopt);
    limits.retryWindow = std::chrono::seconds(
            object.takeInteger("retryWindowSeconds", secondRange, std::nullopt));
    limits.retrySlack = object.takeNumber("retrySlack", "a number", isNotNegative, std::nullopt);
    limits.coldExcess = object.takeNumber("coldExcess", "a factor", isNotNegative, 1.0);
    limits.coldSlack = object.takeNumber("coldSlack", "a number", isNotNegative, 0.0);
    constexpr double bytesPerMegabit = 125'000;
    limits.linkBytesPerSecond =
            object.takeNumber("linkMbps", "a bandwidth", isNotNegative, 0.0) * bytesPerMegabit;
    constexpr double bytesPerMegabyte = 1e6;
    limits.memoryBytes = static_cast<std::uint64_t>(
            object.takeNumber("memoryMb", "a size", isNotNegative, 0.0) * bytesPerMegabyte);
    limits.learnsConcurrency = object.takeBool("learnConcurrency", false);
    object.reportUnknown();
    return limits;
}

} // namespace

absl::StatusOr<StageSettings> parseStageSettings(std::string_view text, const std::string &name)
{
    Faults faults;
    const Json document = parseJson(text, faults);
    StageSettings settings;
    if (faults.empty()) {
        JsonObject root(&document, "", faults);
        settings.node = takeText(root, "node");
        settings.region = takeText(root, "region");
        settings.dataCentre = takeText(root, "dataCentre");
        settings.firstStart = root.takeBool("firstStart", false);
        settings.service = takeText(root, "service");
        settings.upstream = takeAddress(root, "upstream");
        settings.store = takeAddress(root, "store");
        settings.grantMode = takeGrantMode(root);
        constexpr std::int64_t defaultHeartbeatMs = 1000;
        settings.heartbeatInterval = std::chrono::milliseconds(
                root.takeInteger("heartbeatMs", millisecondRange, defaultHeartbeatMs));
        settings.listen = takeListen(root, faults);
        settings.limits = takeLimits(root, faults);
        root.reportUnknown();
    }
    if (!faults.empty()) {
        return makeError(ErrorKind::SettingsInvalid,
                         absl::StrCat(name, ": ", absl::StrJoin(faults, "\n" + name + ": ")));
    }
    return settings;
}

absl::StatusOr<StageSettings> loadStageSettings(const std::string &path)
{
    auto text = readFile(path, ErrorKind::SettingsInvalid);
    if (!text.ok()) {
        return text.status();
    }
    return parseStageSettings(*text, path);
}

} // namespace kumquat
