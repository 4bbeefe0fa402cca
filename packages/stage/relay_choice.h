// Chooses the few hosts that wait for new records of the store; the others learn of them from
// these. With every host waiting, each record would cost one call to the store for each host.
//
//   relays.noteHeard(node, known.reads_store(), now);
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
};

// Not thread-safe.
class RelayChoice
{
public:
    explicit RelayChoice(RelayChoiceSettings choiceSettings = {})
        : settings(choiceSettings)
    {}

    // Notes a sign of life, and whether the store answers that host.
    void noteHeard(const std::string &node, bool readsStore, Time now);

    // Says whether fewer hosts than needed stand before this one and were heard of. Without news of
    // any, every host is one.
    bool isRelay(const std::string &own, Time now) const;

    // Returns the hosts that stand first, for others to ask.
    std::vector<std::string> first(std::vector<std::string> nodes) const;

private:
    struct Heard
    {
        Time at{};
        bool readsStore = false;
    };

    RelayChoiceSettings settings;
    std::map<std::string, Heard, std::less<>> heard; // by node
};

} // namespace kumquat
