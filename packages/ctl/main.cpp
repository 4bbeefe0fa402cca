// The command line of kumquatctl.
#include "ctl/check_configuration.h"
#include "ctl/commands.h"
#include "settings/file.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {
namespace {

constexpr const char *usage = R"(kumquatctl - checks and publishes rules, and queries processes.

Usage:
  kumquatctl check [--in-force FILE] [--json] [--] RULES
  kumquatctl publish [--author NAME] [--admin ADDRESS] [--log ADDRESS] [--json] [--] RULES
  kumquatctl status [--admin ADDRESS] [--json]
  kumquatctl owner [--admin ADDRESS] [--json] [--] SERVICE KEY
  kumquatctl drain [--admin ADDRESS] [--json] [--] NODE
  kumquatctl report [--admin ADDRESS] [--json]
  kumquatctl --help
  kumquatctl --version

RULES is a rules file. check also accepts a configuration of the users' platform (JSON): it lists
errors, entries that never match, limits that contradict each other, and the changes.

Options:
  --in-force FILE  The configuration in force, to list what changes.
  --admin ADDRESS  IP:port of the admin port of any process [default: $KUMQUAT_ADMIN].
  --log ADDRESS    IP:port of the log service, several separated by commas
                   [default: $KUMQUAT_LOG].
  --author NAME    Name to publish under [default: $USER].
  --json           Print JSON instead of tables.
  --help           Print this text.
  --version        Print the version.

Exit status: 0 done, 1 refused (with the reasons), 2 invalid usage.
)";

using Arguments = std::map<std::string, docopt::value>;

// Returns the value of an option. A value of "$NAME" is replaced by that environment variable.
std::string optionOf(const Arguments &arguments, const std::string &name)
{
    const docopt::value &value = arguments.at(name);
    std::string text = value.isString() ? value.asString() : "";
    if (!text.starts_with('$')) {
        return text;
    }
    const char *fromEnvironment = std::getenv(text.c_str() + 1);
    return fromEnvironment == nullptr ? "" : fromEnvironment;
}

bool isCommand(const Arguments &arguments, const std::string &name)
{
    return arguments.at(name).asBool();
}

int reportUsageError(const std::string &reason)
{
    std::cerr << reason << "\n";
    return exitUsageError;
}

// Parses the addresses that the command needs. Returns an error message, or nullopt if they are
// valid.
std::optional<std::string> parseAddressOptions(const Arguments &arguments, Context &context)
{
    if (isCommand(arguments, "check")) {
        return std::nullopt;
    }
    const auto admin = Address::parse(optionOf(arguments, "--admin"));
    if (!admin.ok()) {
        return "--admin or KUMQUAT_ADMIN: " + std::string(admin.status().message());
    }
    context.admin = *admin;
    if (!isCommand(arguments, "publish")) {
        return std::nullopt;
    }
    const auto log = parseAddresses(optionOf(arguments, "--log"));
    if (!log.ok()) {
        return "--log or KUMQUAT_LOG: " + std::string(log.status().message());
    }
    context.log = *log;
    return std::nullopt;
}

int runCommand(const Arguments &arguments)
{
    Context context{std::cout, std::cerr, arguments.at("--json").asBool(), {}, {}};
    if (const auto addressError = parseAddressOptions(arguments, context)) {
        return reportUsageError(*addressError);
    }
    if (isCommand(arguments, "check")) {
        const std::string path = arguments.at("RULES").asString();
        const auto text = readFile(path, ErrorKind::RulesRefused);
        return text.ok() && isConfigurationText(*text)
                       ? runCheckConfiguration(context, path, optionOf(arguments, "--in-force"))
                       : runCheck(context, path);
    }
    if (isCommand(arguments, "publish")) {
        const std::string author = optionOf(arguments, "--author");
        return author.empty() ? reportUsageError("--author or USER: expected a name")
                              : runPublish(context, arguments.at("RULES").asString(), author);
    }
    if (isCommand(arguments, "status")) {
        return runStatus(context);
    }
    if (isCommand(arguments, "owner")) {
        return runOwner(context, arguments.at("SERVICE").asString(),
                        arguments.at("KEY").asString());
    }
    if (isCommand(arguments, "drain")) {
        return runDrain(context, arguments.at("NODE").asString());
    }
    return runReport(context);
}

int runMain(const std::vector<std::string> &commandLine)
{
    try {
        return runCommand(docopt::docopt_parse(usage, commandLine, true, true));
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return exitDone;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "kumquatctl " << KUMQUAT_VERSION << "\n";
        return exitDone;
    } catch (const docopt::DocoptArgumentError &error) {
        return reportUsageError(std::string(error.what()) + "\n" + usage);
    }
}

} // namespace
} // namespace kumquat

int main(int argc, char **argv)
{
    return kumquat::runMain({argv + 1, argv + argc});
}
