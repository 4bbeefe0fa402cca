// Chooses the host that writes the key table of a service: the first one in a hashed order that is
// not known to be silent. All hosts come to the same choice once they know the same.
//
//   std::string node = acting.choose(service, nodes, ownNode, now);
//   acting.noteSilent(node, now);   // it did not answer
//   acting.noteHeard(node);         // it said something
#pragma once

#include "base/time.h"

#include <map>
#include <string>
#include <vector>

namespace kumquat {

struct WriterChoiceSettings
{
    Duration initialSuspicion = 2s; // after a report without an answer
    Duration maxSuspicion = 60s;    // it doubles with each further one
};

// Not thread-safe.
class WriterChoice
{
public:
    explicit WriterChoice(WriterChoiceSettings hostSettings = {})
        : settings(hostSettings)
    {}

    void noteSilent(const std::string &node, Time now);
    void noteHeard(const std::string &node) { this->suspicions.erase(node); }

    // Returns a node of the service; `own` is never suspected.
    std::string choose(const std::string &service, const std::vector<std::string> &nodes,
                       const std::string &own, Time now) const;

private:
    struct Suspicion
    {
        Time until{};
        Duration length{};
    };

    WriterChoiceSettings settings;
    std::map<std::string, Suspicion, std::less<>> suspicions; // by node
};

} // namespace kumquat
