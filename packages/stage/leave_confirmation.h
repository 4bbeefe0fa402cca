// Decides how long an upstream that leaves waits for its acknowledgement after the store has the
// record. The store may come back from an older copy (store_era.h), so one other host should know
// the leave as well. A host that can't be reached, and a confirmation that is lost, never refuse
// the leave.
//
//   for (const std::string &node : confirmation.begin(instance, reachable, now)) { ... }
//   confirmation.noteResult(instance, isConfirmed);
//   const bool mayAcknowledge = confirmation.isOver(instance, now);
#pragma once

#include "base/time.h"
#include "keyspace/key_table.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquat {

struct LeaveConfirmationSettings
{
    // Longest wait for the first confirmation: a few round trips between regions, and short enough
    // for an upstream, which waits one second for the answer to its heartbeat.
    Duration limit = 300ms;
    // Hosts that are told at once, so that the loss of one message or host costs no time.
    std::size_t hosts = 5;
};

// Not thread-safe.
class LeaveConfirmation
{
public:
    explicit LeaveConfirmation(LeaveConfirmationSettings confirmationSettings = {})
        : settings(confirmationSettings)
    {}

    // Returns the hosts to tell now that an instance has left. Returns none once a host has
    // confirmed it, and while earlier messages are unanswered. Later calls for the same instance
    // tell hosts again, but do not extend the wait. `reachable`: the other hosts that seem to be
    // up, those that others ask first in front.
    std::vector<std::string> begin(const UpstreamInstance &left, std::vector<std::string> reachable,
                                   Time now);

    // Records the end of one message: whether its receiver knows the leave.
    void noteResult(const UpstreamInstance &left, bool isConfirmed);

    // Says whether the leave may be acknowledged as far as other hosts are concerned: one has
    // confirmed it, none is left that could, or the wait is over.
    bool isOver(const UpstreamInstance &left, Time now) const;

    bool isConfirmed(const UpstreamInstance &left) const;

    // Returns the end of the wait for the instance of the last begin().
    Time end() const { return this->waitEnd; }

private:
    LeaveConfirmationSettings settings;
    UpstreamInstance instance;
    bool hasConfirmation = false;
    std::size_t unanswered = 0; // messages
    Time waitEnd{};
};

} // namespace kumquat
