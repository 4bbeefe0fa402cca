// The commands of kumquatctl. Each writes to the given streams and returns the exit status.
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
inline constexpr int exitRefused = 1; // the reasons are on the error stream, or in the JSON
inline constexpr int exitWrongUse = 2;

// --- context ---

// What all commands share.
struct Context
{
    std::ostream &output;
    std::ostream &errors;
    bool json = false;        // write JSON to `output` and no text
    Address admin;            // of any process; unused by check
    std::vector<Address> log; // tried in order; used by publish only
};

// Parses one or more addresses that are separated by commas. Error: SettingsInvalid.
absl::StatusOr<std::vector<Address>> parseAddresses(const std::string &text);

// --- commands ---

// Checks a rules file without a process or a log.
int runCheck(const Context &context, const std::string &path);

// Checks and publishes a rules file, and waits until all members have it.
int runPublish(const Context &context, const std::string &path, const std::string &author);

// Prints the state of the process at the admin address and the members that it knows.
int runStatus(const Context &context);

// Prints the owner of a key.
int runOwner(const Context &context, const std::string &service, const std::string &key);

// Starts the drain of a node.
int runDrain(const Context &context, const std::string &node);

// Prints the sum of the reports of all members, and names the members that did not answer.
int runReport(const Context &context);

} // namespace kumquat
