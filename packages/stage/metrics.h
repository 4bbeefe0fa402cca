// Counters and latencies of one process, as text for the metrics address.
//
//   metrics.count(Metric::RequestsAnswered);
//   metrics.addLatency(elapsed, now);
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "report/quantiles.h"

#include <array>
#include <cstdint>
#include <string>

namespace kumquat {

enum class Metric : std::uint8_t {
    RequestsAccepted,
    RequestsAnswered,
    RequestsRefused,
    RequestsFailed,
    RequestsRepeated,
    CallersDisconnected,
    UpstreamSent,
    UpstreamRefused,
    UpstreamLost,
    UpstreamTimedOut,
    HeartbeatsAccepted,
    HeartbeatsIgnored,
    TablesWritten,
    TableConflicts,
    StoreCalls,
    ConfigurationVersion, // version in force; 0 for none
    ConfigurationAge,     // milliseconds since the store last answered a read of the configuration
    EvacuatedDataCentres, // number of data centres that the operator has evacuated
    TimerDelays,          // total milliseconds by which the timers of this process were late
    FiberDelays,          // total milliseconds that ready fibers waited for the thread
    MessageDelays,  // total milliseconds by which messages of other processes were late in transit
    UnreadDelays,   // total milliseconds that requests waited in sockets before they were read
    AnswerDelays,   // answers that had not reached their caller 250 ms after they were written
    FibersReady,    // number of fibers that are ready now
    OldestFiberAge, // milliseconds since the oldest ready fiber became ready
    UpstreamRequests, // current requests of all callers for the upstream beside this process
    RequestsWaiting,  // number of these requests that wait for their key or for a slot
    LinkRefusals,     // requests that were refused because the link is full
    MemoryRefusals,   // requests that were not sent to the upstream because the memory is full
    LinkOwedBytes,    // of answers that the link has not sent yet, as estimated
    LinkWait,         // milliseconds that a large answer would wait for the link now
    LargeAnswerLinks, // open connections to other processes for large answers
    CallRefusals,     // requests that were refused because their calls would be
    UsableSlots,      // concurrency beyond which the upstream's throughput stops growing
    UsableSlotsChanges,
    UpstreamSpeed,       // latest figure of the upstream; 100 is usual, higher is slower, 0: none
    RequestBytesHeld,    // bytes that callers make this process hold now
    RequestBytesRefused, // times that bytes of a caller or process found no room
    RequestBytesEvicted, // connections closed without progress, to make room
    StoreEra,            // how often the store has come back from an older copy
    HostRecordsWrittenBack, // records of other hosts, after the store came back from an older copy
    LeavesConfirmed,        // leaves of upstreams that another host has confirmed to know
    LeavesUnconfirmed,      // answers that acknowledged a leave without such a confirmation
    ExceptionsContained,    // exceptions that ended only the work that caused them
};

inline constexpr NameTable<Metric, 44> metricNames{
        {{{Metric::RequestsAccepted, "requests_taken"},
          {Metric::RequestsAnswered, "requests_answered"},
          {Metric::RequestsRefused, "requests_refused"},
          {Metric::RequestsFailed, "requests_failed"},
          {Metric::RequestsRepeated, "requests_repeated"},
          {Metric::CallersDisconnected, "callers_gone"},
          {Metric::UpstreamSent, "upstream_sent"},
          {Metric::UpstreamRefused, "upstream_refused"},
          {Metric::UpstreamLost, "upstream_lost"},
          {Metric::UpstreamTimedOut, "upstream_timed_out"},
          {Metric::HeartbeatsAccepted, "heartbeats_taken"},
          {Metric::HeartbeatsIgnored, "heartbeats_ignored"},
          {Metric::TablesWritten, "tables_written"},
          {Metric::TableConflicts, "table_conflicts"},
          {Metric::StoreCalls, "store_calls"},
          {Metric::ConfigurationVersion, "configuration_version"},
          {Metric::ConfigurationAge, "configuration_age_ms"},
          {Metric::EvacuatedDataCentres, "evacuated_data_centres"},
          {Metric::TimerDelays, "timer_delays_ms"},
          {Metric::FiberDelays, "fiber_delays_ms"},
          {Metric::MessageDelays, "message_delays_ms"},
          {Metric::UnreadDelays, "unread_delays_ms"},
          {Metric::AnswerDelays, "answers_delivered_late"},
          {Metric::FibersReady, "fibers_ready"},
          {Metric::OldestFiberAge, "fiber_age_ms"},
          {Metric::UpstreamRequests, "requests_here"},
          {Metric::RequestsWaiting, "requests_waiting"},
          {Metric::LinkRefusals, "refused_link_full"},
          {Metric::MemoryRefusals, "refused_memory_full"},
          {Metric::LinkOwedBytes, "link_owed_bytes"},
          {Metric::LinkWait, "link_wait_ms"},
          {Metric::LargeAnswerLinks, "large_answer_links"},
          {Metric::CallRefusals, "refused_calls"},
          {Metric::UsableSlots, "usable_slots"},
          {Metric::UsableSlotsChanges, "usable_slots_changes"},
          {Metric::UpstreamSpeed, "upstream_speed_percent"},
          {Metric::RequestBytesHeld, "request_bytes_held"},
          {Metric::RequestBytesRefused, "request_bytes_refused"},
          {Metric::RequestBytesEvicted, "request_bytes_evicted"},
          {Metric::StoreEra, "store_era"},
          {Metric::HostRecordsWrittenBack, "host_records_written_back"},
          {Metric::LeavesConfirmed, "leaves_confirmed"},
          {Metric::LeavesUnconfirmed, "leaves_unconfirmed"},
          {Metric::ExceptionsContained, "exceptions_contained"}}}};

// Used on one thread.
class Metrics
{
public:
    void count(Metric metric, std::uint64_t by = 1)
    {
        this->values[static_cast<std::size_t>(metric)] += by;
    }
    void set(Metric metric, std::uint64_t value)
    {
        this->values[static_cast<std::size_t>(metric)] = value;
    }

    // Adds the time from a request's arrival to its answer.
    void addLatency(Duration latency, Time now);

    std::string toText(Time now);

private:
    static constexpr std::size_t bucketCount = 12;

    std::array<std::uint64_t, metricNames.entries.size()> values{};
    std::array<std::uint64_t, bucketCount + 1> buckets{}; // the last bucket has no upper bound
    double latencySum = 0;                                // seconds
    LatencyWindow window;
};

} // namespace kumquat
