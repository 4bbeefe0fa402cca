#include "stage/host_write_back.h"

#include "base/containment.h"
#include "base/log.h"

namespace kumquat {
namespace {

constexpr Duration retryDelay = 500ms; // after a conflict, to read the other record, or a failure
constexpr Duration ownWriteTime = 1s;  // for the hosts themselves to write their records again
// Per host and era. Another host's record wins in the end; this bounds what two hosts that know
// different records can make each other write.
constexpr int maxWrites = 3;

} // namespace

HostWriteBack::HostWriteBack(FiberThread &writerThread, platform::StoreClient &storeClient,
                             ClusterView &clusterView, Metrics &stageMetrics)
    : thread(writerThread)
    , store(storeClient)
    , view(clusterView)
    , metrics(stageMetrics)
{}

void HostWriteBack::advance(bool isRelay, Time now)
{
    const StoreEraTracker &tracker = this->view.storeEra();
    // The records of the new era must have been read before it is known which ones are missing.
    const bool hasRead = storeEraOf(this->view.hostsEnd()) == tracker.current();
    if (tracker.current() == 0 || !isRelay || this->isWriting || !hasRead
        || now < tracker.since() + ownWriteTime || now < this->notBefore) {
        return;
    }
    if (this->era != tracker.current()) {
        this->era = tracker.current();
        this->writes.clear();
    }
    if (const KnownHost *due = this->nextDue()) {
        this->write(*due);
    }
}

const KnownHost *HostWriteBack::nextDue() const
{
    for (const auto &[node, host] : this->view.hosts()) {
        const auto written = this->writes.find(node);
        const bool mayWrite = written == this->writes.end() || written->second < maxWrites;
        if (mayWrite && (host.isAhead || storeEraOf(host.offset) < this->era)) {
            return &host;
        }
    }
    return nullptr;
}

// Appends only if all records are known, so that a record that the host has written meanwhile stays
// the newest.
void HostWriteBack::write(const KnownHost &host)
{
    wire::HostRecord record;
    if (!record.ParseFromString(host.bytes)) {
        return;
    }
    record.set_store_era(this->era);
    this->isWriting = true;
    this->thread.spawn([this, node = host.info.node, bytes = record.SerializeAsString(),
                        written = this->era, end = this->view.hostsEnd()] {
        platform::AppendResult result{.outcome = platform::AppendOutcome::Unknown};
        runContained(ContainedWork::StoreWrite, [&] {
            result = this->store.append(platform::StoreTopic::Hosts, node, bytes, written, end);
        });
        const bool isDone = result.outcome == platform::AppendOutcome::Done;
        logInfo(LogPart::Log, "record of another host written back",
                {{"node", node},
                 {"era", std::to_string(written)},
                 {"outcome", std::string(platform::appendOutcomeNames.nameOf(result.outcome))}});
        if (isDone) {
            this->metrics.count(Metric::HostRecordsWrittenBack);
            this->view.applyHost(node, result.endOffset - 1, bytes);
        }
        if (isDone && written == this->era) {
            ++this->writes[node];
        }
        this->notBefore = isDone ? Time{} : readBootTime() + retryDelay;
        this->isWriting = false;
    });
}

} // namespace kumquat
