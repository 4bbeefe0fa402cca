// Counts delayed messages from other processes, for the log. A host that sends late is named in the
// logs of all its peers; a host that reads late names many peers in its own log.
//
//   late.note(node, message.excessDelay);
//   if (const auto summary = late.take(now)) { ... log it ... }
#pragma once

#include "base/time.h"

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace kumquat {

struct LateMessagesSummary
{
    Duration longest{};
    std::string from; // node that sent the most delayed message
    int messages = 0;
    std::size_t peers = 0; // number of nodes that sent delayed messages
};

// Not thread-safe.
class LateMessages
{
public:
    void note(const std::string &node, Duration excessDelay)
    {
        if (excessDelay < minLoggedDelay) {
            return;
        }
        ++this->summary.messages;
        this->peers.insert(node);
        if (excessDelay > this->summary.longest) {
            this->summary.longest = excessDelay;
            this->summary.from = node;
        }
    }

    // Returns a summary of the delayed messages since the last one, at most twice a second.
    std::optional<LateMessagesSummary> take(Time now)
    {
        if (this->summary.messages == 0 || now - this->lastTakenAt < summaryInterval) {
            return std::nullopt;
        }
        this->lastTakenAt = now;
        this->summary.peers = this->peers.size();
        this->peers.clear();
        return std::exchange(this->summary, {});
    }

private:
    static constexpr Duration minLoggedDelay = 200ms;  // three round trips between regions
    static constexpr Duration summaryInterval = 500ms; // between two log lines

    LateMessagesSummary summary;
    std::set<std::string> peers;
    Time lastTakenAt{};
};

} // namespace kumquat
