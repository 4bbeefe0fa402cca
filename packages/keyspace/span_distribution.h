// Distributes spans of keys over the sessions with the most free capacity, so that all of these
// sessions end at about the same utilisation.
//
//   for (const KeyMove &move : distributeSpans(spans, sessions, weights)) { ... }
#pragma once

#include "keyspace/key_table.h"
#include "keyspace/key_weights.h"
#include "keyspace/session_load.h"

#include <cstdint>
#include <vector>

namespace kumquat {

// `spans`: by ascending keys. Each is assigned as a whole or in parts. Returns nothing if there are
// no sessions.
std::vector<KeyMove> distributeSpans(const std::vector<KeySpan> &spans,
                                     std::vector<Candidate> sessions, const KeyWeights &weights);

} // namespace kumquat
