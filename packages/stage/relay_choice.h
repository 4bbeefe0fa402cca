// Chooses the relays: the few hosts that wait for new records of the store. The other hosts get the
// records from the relays. If every host waited, each record would cost one call to the store per
// host.
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
    std::size_t relays = 3;    // two may fail or be cut off from the store at the same time
    Duration silentAfter = 3s; // a relay that was silent for this long does not count
    // Pause after new records, so that one read returns the records of many hosts.
    Duration pause = 150ms;
    // Pause of a temporary relay, a host that waits for records only because it has not heard of
    // the relays yet. After a start of all hosts there are some hundred of them, and without the
    // longer pause each record would wake them all.
    Duration temporaryRelayPause = 1500ms;
    // For this time after its start, a process that knows fewer than `minKnownHosts` hosts counts
    // as a temporary relay: it may know only a few of many hosts and seem to come first among them.
    Duration startPeriod = 2s;
    std::size_t minKnownHosts = 6;
};

// What this process learns about a host from a message that the host sent.
struct RelayStatus
{
    bool readsStore = false; // the store answers the host's reads
    bool hasAddress = false; // the host's record has been read here, so it can be queried
};

// Not thread-safe.
class RelayChoice
{
public:
    explicit RelayChoice(RelayChoiceSettings choiceSettings = {})
        : settings(choiceSettings)
    {}

    void noteHeard(const std::string &node, RelayStatus status, Time now);

    // Says whether this host is a relay: fewer than `relays` other hosts come before it in the
    // hashed order, were heard of recently and can be queried. A host that has heard of no other
    // host is a relay.
    bool isRelay(const std::string &own, Time now) const;

    // Returns all hosts in the hashed order, in which others tell them of leaves and ask them for
    // records after a rollback of the store. Relays come first; they write lost records back.
    static std::vector<std::string> ordered(std::vector<std::string> nodes);

    // Returns the hosts that come first in the hashed order, for other hosts to query.
    std::vector<std::string> preferred(std::vector<std::string> nodes) const;

    // Returns how long a host that waits for records pauses after new ones. `nodes`: all hosts that
    // it knows; `running`: time since its start.
    Duration pauseFor(const std::string &own, std::vector<std::string> nodes,
                      Duration running) const;

private:
    struct Contact
    {
        Time at{};
        bool canBeQueried = false; // for new records of the store
    };

    RelayChoiceSettings settings;
    std::map<std::string, Contact, std::less<>> contacts; // by node
};

} // namespace kumquat
