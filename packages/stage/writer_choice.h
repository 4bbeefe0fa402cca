// Chooses the table writer, the host that writes the key table of a service: the first host in a
// hashed order that is not suspected to be down. All hosts make the same choice once they have the
// same information.
//
//   std::string node = choice.choose(service, nodes, ownNode, now);
//   choice.noteSilent(node, now);   // the node did not answer
//   choice.noteHeard(node);         // a message of the node arrived
#pragma once

#include "base/time.h"

#include <map>
#include <string>
#include <vector>

namespace kumquat {

struct WriterChoiceSettings
{
    Duration initialSuspicion = 2s; // suspicion time after an unanswered report
    Duration maxSuspicion = 60s;    // the time doubles with each further unanswered report
};

// Not thread-safe.
class WriterChoice
{
public:
    explicit WriterChoice(WriterChoiceSettings choiceSettings = {})
        : settings(choiceSettings)
    {}

    void noteSilent(const std::string &node, Time now);
    void noteHeard(const std::string &node) { this->suspicions.erase(node); }

    // Returns the node of the table writer. `own`: this host, which is never suspected.
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
