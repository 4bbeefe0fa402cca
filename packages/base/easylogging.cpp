// easylogging++ ships as one source file that each project compiles itself.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
