// The commands of kumquatctl. Each one writes to the streams of its context and returns the exit
// status.
//
// Sections: context, commands
//
//   Context context{std::cout, std::cerr, false};
//   return runCheck(context, "shop.rules");
#pragma once

#include "base/address.h"

#include <absl/status/statusor.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace kumquat {

inline constexpr int exitDone = 0;
inline constexpr int exitRefused = 1; // the reasons are on the error stream or in the JSON output
inline constexpr int exitUsageError = 2;

// --- context ---

// Options that all commands share.
struct Context
{
    std::ostream &output;
    std::ostream &errors;
    bool json = false;        // write JSON to `output` instead of text
    Address admin;            // of any process; not used by check
    std::vector<Address> log; // addresses of the log service, tried in order; used by publish only
};

// Parses one or more addresses, separated by commas. Error: SettingsInvalid.
absl::StatusOr<std::vector<Address>> parseAddresses(const std::string &text);

// --- commands ---

// Checks a rules file without a process or a log.
int runCheck(const Context &context, const std::string &path);

// Checks and publishes a rules file, and waits until all members apply it.
int runPublish(const Context &context, const std::string &path, const std::string &author);

// Prints the state of the process at the admin address and the members that it knows.
int runStatus(const Context &context);

// Prints the owner of a key.
int runOwner(const Context &context, const std::string &service, const std::string &key);

// Starts the drain of a node.
int runDrain(const Context &context, const std::string &node);

// Prints the merged reports of all members, and lists the members that did not answer.
int runReport(const Context &context);

} // namespace kumquat
