// Traces: recorded inputs of an engine, and their replay into a new engine.
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

// Reads a trace file. Error: Internal, with the position of the first invalid event, or if the
// trace is larger than 2 GiB. A truncated last event, which a crash of the recording process can
// leave, is dropped.
absl::StatusOr<std::vector<wire::TraceEvent>> readTrace(std::string_view bytes);

// Returns the hooks of a process that has no requests in flight and remembers none.
EngineHooks makeIdleHooks();

// Creates an engine with the node and incarnation of the trace's start event and the other values
// of `settings`. The engine has no requests in flight and remembers none. Error: Internal, if the
// trace does not begin with a start event; also the errors of OwnershipEngine::create().
absl::StatusOr<std::unique_ptr<OwnershipEngine>>
makeReplayEngine(const std::vector<wire::TraceEvent> &events, EngineSettings settings);

// Passes an event to the engine and discards the outputs.
void replayEvent(OwnershipEngine &engine, const wire::TraceEvent &event);

// Replays the trace into a new engine and calls `after` after each event. Errors: those of
// makeReplayEngine().
//
//   auto events = readTrace(bytes).value();
//   auto engine = replayTrace(events, settings, [](OwnershipEngine &state, Time now) {
//       state.mayServe("testlog", keyHash, now);
//   });
absl::StatusOr<std::unique_ptr<OwnershipEngine>>
replayTrace(const std::vector<wire::TraceEvent> &events, EngineSettings settings,
            const std::function<void(OwnershipEngine &, Time)> &after);

} // namespace kumquat
