// The command that checks a configuration of the users' platform before it is published.
#pragma once

#include "ctl/commands.h"

#include <string>

namespace kumquat {

// Returns whether the text of a file is a configuration (a JSON object) and not a rules file.
bool isConfigurationText(const std::string &text);

// Checks a configuration file without a process or a store. `inForcePath`: file with the
// configuration in force, empty if it is not to be compared. Refused if there are errors.
int runCheckConfiguration(const Context &context, const std::string &path,
                          const std::string &inForcePath);

} // namespace kumquat
