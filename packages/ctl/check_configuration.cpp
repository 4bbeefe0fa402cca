#include "ctl/check_configuration.h"

#include "base/text.h"
#include "platform/configuration.h"
#include "routing/configuration_check.h"
#include "settings/file.h"

#include <nlohmann/json.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <ostream>
#include <vector>

namespace kumquat {
namespace {

using Findings = std::vector<ConfigurationFinding>;

absl::StatusOr<Configuration> loadConfiguration(const std::string &path)
{
    const auto text = readFile(path, ErrorKind::RulesRefused);
    if (!text.ok()) {
        return text.status();
    }
    auto configuration = platform::decodeConfiguration(*text);
    if (!configuration.ok()) {
        return makeError(ErrorKind::RulesRefused,
                         absl::StrCat(path, ": ", configuration.status().message()));
    }
    return configuration;
}

void printFindings(const Context &context, const Findings &findings)
{
    if (context.json) {
        nlohmann::json rows = nlohmann::json::array();
        for (const ConfigurationFinding &finding : findings) {
            rows.push_back({{"kind", findingKindNames.nameOf(finding.kind)},
                            {"subject", finding.subject},
                            {"text", finding.text}});
        }
        context.output << nlohmann::json{{"findings", rows}}.dump() << "\n";
        return;
    }
    for (const ConfigurationFinding &finding : findings) {
        context.output << findingKindNames.nameOf(finding.kind) << ": " << finding.subject << ": "
                       << finding.text << "\n";
    }
}

} // namespace

bool isConfigurationText(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '{';
}

int runCheckConfiguration(const Context &context, const std::string &path,
                          const std::string &inForcePath)
{
    const auto next = loadConfiguration(path);
    if (!next.ok()) {
        context.errors << toStd(next.status().message()) << "\n";
        return exitRefused;
    }
    Findings findings = checkConfiguration(*next);
    if (!inForcePath.empty()) {
        const auto inForce = loadConfiguration(inForcePath);
        if (!inForce.ok()) {
            context.errors << toStd(inForce.status().message()) << "\n";
            return exitRefused;
        }
        const Findings changes = compareConfigurations(*inForce, *next);
        findings.insert(findings.end(), changes.begin(), changes.end());
    }
    printFindings(context, findings);
    const bool hasError =
            std::any_of(findings.begin(), findings.end(), [](const ConfigurationFinding &finding) {
                return finding.kind == FindingKind::Error;
            });
    return hasError ? exitRefused : exitDone;
}

} // namespace kumquat
