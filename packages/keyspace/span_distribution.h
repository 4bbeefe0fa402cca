// Distributes spans of keys over the sessions with the most free capacity, so that all of these
// sessions end at about the same utilisation.
//
//   for (const SpanAssignment &assignment : distributeSpans(spans, sessions, weights)) { ... }
#pragma once

#include "keyspace/key_table.h"
#include "keyspace/key_weights.h"
#include "keyspace/session_load.h"

#include <cstdint>
#include <vector>

namespace kumquat {

struct SpanAssignment
{
    KeySpan span; // one of the given spans or a part of it
    std::uint64_t owner = 0;
};

// `spans`: by ascending keys. Each is assigned as a whole or in parts. Returns nothing if there are
// no sessions.
std::vector<SpanAssignment> distributeSpans(const std::vector<KeySpan> &spans,
                                            std::vector<Candidate> sessions,
                                            const KeyWeights &weights);

} // namespace kumquat
