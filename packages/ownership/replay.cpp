#include "ownership/replay.h"

#include "base/errors.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/delimited_message_util.h>

#include <limits>

namespace kumquat {

namespace {

void replayUpstream(OwnershipEngine &engine, const wire::TraceUpstream &upstream, Time now)
{
    if (upstream.service().empty()) {
        engine.setUpstream(std::nullopt, now);
    } else {
        engine.setUpstream(UpstreamInfo{upstream.service(), upstream.checks_grants()}, now);
    }
}

void replayBind(OwnershipEngine &engine, const wire::TraceBind &bind, Time now)
{
    if (bind.unbind()) {
        engine.requestUnbind(bind.key_hash(), now);
    } else {
        engine.requestBind(bind.key_hash(), now);
    }
}

} // namespace

void appendTraceEvent(std::string &bytes, const wire::TraceEvent &event)
{
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::util::SerializeDelimitedToZeroCopyStream(event, &stream);
}

absl::StatusOr<std::vector<wire::TraceEvent>> readTrace(std::string_view bytes)
{
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
        return makeError(ErrorKind::Internal,
                         "the trace is larger than 2 GiB; split it into smaller files");
    }
    const auto size = static_cast<int>(bytes.size());
    google::protobuf::io::CodedInputStream input(
            reinterpret_cast<const std::uint8_t *>(bytes.data()), size);
    std::vector<wire::TraceEvent> events;
    while (input.CurrentPosition() < size) {
        const int position = input.CurrentPosition();
        std::uint32_t length = 0;
        if (!input.ReadVarint32(&length)
            || length > static_cast<std::uint32_t>(size - input.CurrentPosition())) {
            break;
        }
        const auto limit = input.PushLimit(static_cast<int>(length));
        wire::TraceEvent event;
        if (!event.ParseFromCodedStream(&input) || input.BytesUntilLimit() != 0) {
            return makeError(ErrorKind::Internal,
                             "the trace has an invalid event at byte " + std::to_string(position));
        }
        input.PopLimit(limit);
        events.push_back(std::move(event));
    }
    return events;
}

EngineHooks makeIdleHooks()
{
    EngineHooks hooks;
    hooks.hasInFlight = [](const SlotKeys &) { return false; };
    hooks.hasAnyInFlight = [](const std::string &) { return false; };
    hooks.remembered = [](const SlotKeys &) { return std::vector<wire::RememberedRequest>(); };
    hooks.importRemembered = [](const std::string &, const auto &) {};
    return hooks;
}

absl::StatusOr<std::unique_ptr<OwnershipEngine>>
makeReplayEngine(const std::vector<wire::TraceEvent> &events, EngineSettings settings)
{
    if (events.empty() || !events.front().has_start()) {
        return makeError(ErrorKind::Internal, "the trace does not begin with a start event");
    }
    settings.node = events.front().start().node();
    settings.incarnation = events.front().start().incarnation();
    return OwnershipEngine::create(std::move(settings), makeIdleHooks());
}

void replayEvent(OwnershipEngine &engine, const wire::TraceEvent &event)
{
    const Time now(event.time_ns());
    switch (event.input_case()) {
    case wire::TraceEvent::kStart:
        engine.start(now);
        break;
    case wire::TraceEvent::kRecord:
        engine.onRecord(event.record().offset(), event.record().record(), now);
        break;
    case wire::TraceEvent::kLogEnd:
        engine.onLogEnd(event.log_end().end(), Time(event.log_end().asked_at_ns()), now);
        break;
    case wire::TraceEvent::kMessage:
        engine.onMessage(event.message(), now);
        break;
    case wire::TraceEvent::kAnswering:
        engine.onLogAnswering(event.answering().answering(), now);
        break;
    case wire::TraceEvent::kFirstKept:
        engine.onFirstKept(event.first_kept().offset(), now);
        break;
    case wire::TraceEvent::kUpstream:
        replayUpstream(engine, event.upstream(), now);
        break;
    case wire::TraceEvent::kDrain:
        engine.requestDrain(now);
        break;
    case wire::TraceEvent::kMove:
        engine.requestMove({event.move().slots().begin(), event.move().slots().end()},
                           event.move().target(), now);
        break;
    case wire::TraceEvent::kBind:
        replayBind(engine, event.bind(), now);
        break;
    case wire::TraceEvent::kJournal:
        engine.setJournalComplete(event.journal().peer(), event.journal().incarnation(), now);
        break;
    case wire::TraceEvent::kTick:
    case wire::TraceEvent::INPUT_NOT_SET:
        engine.onTick(now);
        break;
    }
    engine.takeOutput();
}

absl::StatusOr<std::unique_ptr<OwnershipEngine>>
replayTrace(const std::vector<wire::TraceEvent> &events, EngineSettings settings,
            const std::function<void(OwnershipEngine &, Time)> &after)
{
    auto engine = makeReplayEngine(events, std::move(settings));
    if (!engine.ok()) {
        return engine.status();
    }
    for (const wire::TraceEvent &event : events) {
        replayEvent(**engine, event);
        after(**engine, Time(event.time_ns()));
    }
    return engine;
}

} // namespace kumquat
