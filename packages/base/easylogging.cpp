// easylogging++ is distributed as a source file that each project compiles itself.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
