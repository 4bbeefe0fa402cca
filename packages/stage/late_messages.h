// Counts the messages of other processes that were late on their way, for the log. One host that
// sends late is named by all its peers; a host that reads late names many peers.
//
//   late.note(node, message.excessDelay);
//   if (const auto line = late.take(now)) { ... log it ... }
#pragma once

#include "base/time.h"

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace kumquat {

struct LateMessagesLine
{
    Duration longest{};
    std::string from; // node of the latest one
    int messages = 0;
    std::size_t peers = 0; // that sent them
};

// Not thread-safe.
class LateMessages
{
public:
    void note(const std::string &node, Duration delayed)
    {
        if (delayed < loggedDelay) {
            return;
        }
        ++this->line.messages;
        this->peers.insert(node);
        if (delayed > this->line.longest) {
            this->line.longest = delayed;
            this->line.from = node;
        }
    }

    // Returns what came since the last line, at most twice a second.
    std::optional<LateMessagesLine> take(Time now)
    {
        if (this->line.messages == 0 || now - this->takenAt < pause) {
            return std::nullopt;
        }
        this->takenAt = now;
        this->line.peers = this->peers.size();
        this->peers.clear();
        return std::exchange(this->line, {});
    }

private:
    static constexpr Duration loggedDelay = 200ms; // three round trips between regions
    static constexpr Duration pause = 500ms;       // between two lines

    LateMessagesLine line;
    std::set<std::string> peers;
    Time takenAt{};
};

} // namespace kumquat
