// Recorded inputs of an engine, and their replay into a fresh one.
#pragma once

#include "ownership/engine.h"
#include "wire/trace.pb.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// Appends an event to the bytes of a trace file, varint-delimited.
void appendTraceEvent(std::string &bytes, const wire::TraceEvent &event);

// Reads a trace file. Error: Internal, with the position of the first broken event. An event that
// is cut off at the end, as a crash leaves it, is dropped.
absl::StatusOr<std::vector<wire::TraceEvent>> readTrace(std::string_view bytes);

// Makes an engine with the node and incarnation of the trace's start. `settings` gives the rest.
// Its requests never count as in flight, and its outputs are not sent. Error: Internal, if the
// trace does not begin with a start.
absl::StatusOr<std::unique_ptr<OwnershipEngine>>
makeReplayEngine(const std::vector<wire::TraceEvent> &events, EngineSettings settings);

// Gives an event to the engine and drops the outputs.
void replayEvent(OwnershipEngine &engine, const wire::TraceEvent &event);

// Replays the trace; calls `after` behind each event.
//
//   auto events = readTrace(bytes).value();
//   auto engine = replayTrace(events, settings, [](OwnershipEngine &state, Time now) {
//       state.mayServe("testlog", keyHash, now);
//   });
absl::StatusOr<std::unique_ptr<OwnershipEngine>>
replayTrace(const std::vector<wire::TraceEvent> &events, EngineSettings settings,
            const std::function<void(OwnershipEngine &, Time)> &after);

} // namespace kumquat
