// Chooses the few hosts that wait for new records of the store; the others learn of them from
// these. With every host waiting, each record would cost one call to the store for each host.
//
//   relays.noteHeard(node, {.readsStore = true, .hasAddress = true}, now);
//   if (relays.isRelay(ownNode, now)) { ... wait for records ... }
#pragma once

#include "base/time.h"

#include <map>
#include <string>
#include <vector>

namespace kumquat {

struct RelayChoiceSettings
{
    std::size_t relays = 3;    // two may be lost or cut off from the store at once
    Duration silentAfter = 3s; // a relay that was not heard of for so long does not count
    Duration pause = 150ms;    // after new records, so that those of many hosts come together
    // The same for a host that waits for records only because it has not heard of the relays yet:
    // after a start of all hosts these are some hundred, and each record would wake them all.
    Duration temporaryRelayPause = 1500ms;
    // After its start a process may know a few of many hosts, and seem to stand first among them.
    Duration startPeriod = 2s;
    std::size_t minKnownHosts = 6;
};

// What a sign of life tells of a host.
struct RelayStatus
{
    bool readsStore = false; // the store answers it
    bool hasAddress = false; // this host has read its record, so it can ask it
};

// Not thread-safe.
class RelayChoice
{
public:
    explicit RelayChoice(RelayChoiceSettings choiceSettings = {})
        : settings(choiceSettings)
    {}

    void noteHeard(const std::string &node, RelayStatus status, Time now);

    // Says whether fewer hosts than needed stand before this one, were heard of and can be asked.
    // Without news of any, every host is one.
    bool isRelay(const std::string &own, Time now) const;

    // Returns the hosts that stand first, for others to ask.
    std::vector<std::string> preferred(std::vector<std::string> nodes) const;

    // Returns how long a host that waits for records pauses after new ones. `nodes`: all that it
    // knows of; `running`: since its start.
    Duration pauseFor(const std::string &own, std::vector<std::string> nodes,
                      Duration running) const;

private:
    struct Contact
    {
        Time at{};
        bool canBeAsked = false; // for records of the store
    };

    RelayChoiceSettings settings;
    std::map<std::string, Contact, std::less<>> contacts; // by node
};

} // namespace kumquat
