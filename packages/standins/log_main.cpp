#include "base/log.h"
#include "base/text.h"
#include "standins/http.h"
#include "standins/log_store.h"
#include "standins/program.h"
#include "wire/log.pb.h"

#include <absl/strings/match.h>
#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <utility>

namespace kumquat {
namespace {

constexpr const char *usage = R"(Stand-in for the log service. It keeps its records in memory.

Usage: log_standin [--listen ADDRESS] [--rate N] [--retain N]

Options:
  --listen ADDRESS  IP:port [default: 127.0.0.1:7400]
  --rate N          maximum append rate in appends/s [default: 500]
  --retain N        maximum number of retained records [default: 1000000]

POST /append
GET  /records?from=&limit=&wait_ms=&node=
POST /control/outage?mode=refuse|close|hang|none
POST /control/delay?append_ms=&records_ms=
POST /control/lose-replies?count=
POST /control/retention?records=&ms=
POST /control/rate?per_second=
POST /control/cut?node=&on=0|1
GET  /control/status
)";

constexpr NameTable<OutageMode, 4> outageNames{{{{OutageMode::None, "none"},
                                                 {OutageMode::Refuse, "refuse"},
                                                 {OutageMode::Close, "close"},
                                                 {OutageMode::Hang, "hang"}}}};

constexpr std::int64_t defaultReadLimit = 1'000;

HttpAnswer answerJson(const nlohmann::json &json, int status = 200)
{
    return {status, {{"Content-Type", "application/json"}}, json.dump()};
}

HttpAnswer answerUnavailable()
{
    return {503, {{"Retry-After", "1"}}, R"({"error":"log service unavailable"})"};
}

HttpAnswer append(LogStore &store, const HttpRequest &request)
{
    wire::LogRecord record;
    if (!record.ParseFromString(request.body)) {
        return answerJson({{"error", "the body is not a LogRecord"}}, 400);
    }
    const AppendResult result = store.append(request.body, request.query("node").value_or(""));
    switch (result.status) {
    case AppendStatus::Written:
        return answerJson({{"offset", result.offset}});
    case AppendStatus::Refused:
        return answerUnavailable();
    case AppendStatus::ReplyLost:
    case AppendStatus::Closed:
        break;
    }
    return HttpAnswer::lost();
}

HttpAnswer read(LogStore &store, const HttpRequest &request)
{
    const auto wait = std::chrono::milliseconds(request.queryInt("wait_ms", 0));
    const ReadResult result =
            store.read(static_cast<std::uint64_t>(request.queryInt("from", 0)),
                       static_cast<std::size_t>(request.queryInt("limit", defaultReadLimit)), wait,
                       request.query("node").value_or(""), request.isCallerDisconnected);
    if (result.status == ReadStatus::Closed) {
        return HttpAnswer::lost();
    }
    if (result.status == ReadStatus::Refused) {
        return answerUnavailable();
    }
    wire::LogBatch batch;
    batch.set_first_kept(result.firstKept);
    batch.set_end(result.end);
    batch.set_from(result.from);
    for (const std::string &record : result.records) {
        batch.add_records(record);
    }
    return {200, {{"Content-Type", "application/x-protobuf"}}, batch.SerializeAsString()};
}

HttpAnswer answerStatus(const LogStore &store)
{
    const LogStoreCounts counts = store.counts();
    return answerJson({{"firstKept", counts.firstKept},
                       {"end", counts.end},
                       {"appends", counts.appends},
                       {"lostReplies", counts.lostReplies},
                       {"refused", counts.refused},
                       {"reads", counts.reads}});
}

HttpAnswer setOutage(LogStore &store, const HttpRequest &request)
{
    const auto mode = outageNames.valueOf(request.query("mode").value_or(""));
    if (!mode) {
        return answerJson({{"error", "mode must be refuse, close, hang or none"}}, 400);
    }
    store.setOutage(*mode);
    logInfo(LogPart::Log, "outage set", {{"mode", std::string(outageNames.nameOf(*mode))}});
    return answerStatus(store);
}

void setLimits(LogStore &store, const HttpRequest &request)
{
    LogStoreLimits limits = store.limits();
    limits.retainedRecords = static_cast<std::size_t>(
            request.queryInt("records", static_cast<std::int64_t>(limits.retainedRecords)));
    limits.retention = std::chrono::milliseconds(request.queryInt(
            "ms", std::chrono::duration_cast<std::chrono::milliseconds>(limits.retention).count()));
    const auto rate = request.queryInt("per_second", 0);
    if (rate > 0) {
        limits.appendRate = static_cast<double>(rate);
    }
    store.setLimits(limits);
}

HttpAnswer control(LogStore &store, const HttpRequest &request)
{
    const std::string path = request.path();
    if (path == "/control/outage") {
        return setOutage(store, request);
    }
    if (path == "/control/delay") {
        store.setDelay(std::chrono::milliseconds(request.queryInt("append_ms", 0)),
                       std::chrono::milliseconds(request.queryInt("records_ms", 0)));
    } else if (path == "/control/lose-replies") {
        store.loseReplies(static_cast<int>(request.queryInt("count", 1)));
    } else if (path == "/control/retention" || path == "/control/rate") {
        setLimits(store, request);
    } else if (path == "/control/cut") {
        store.setCut(request.query("node").value_or(""), request.queryInt("on", 1) != 0);
    } else if (path != "/control/status") {
        return answerJson({{"error", "unknown control"}}, 404);
    }
    return answerStatus(store);
}

HttpAnswer handle(LogStore &store, const HttpRequest &request)
{
    const std::string path = request.path();
    if (path == "/append" && request.method == "POST") {
        return append(store, request);
    }
    if (path == "/records" && request.method == "GET") {
        return read(store, request);
    }
    if (absl::StartsWith(path, "/control/")) {
        return control(store, request);
    }
    return answerJson({{"error", "unknown path"}}, 404);
}

int runLog(std::map<std::string, docopt::value> &options)
{
    const auto address = Address::parse(options["--listen"].asString());
    if (!address.ok()) {
        std::cerr << toStd(address.status().message()) << '\n';
        return 2;
    }
    LogStoreLimits limits;
    limits.appendRate = static_cast<double>(options["--rate"].asLong());
    limits.retainedRecords = static_cast<std::size_t>(options["--retain"].asLong());
    LogStore store(limits);
    const auto server = HttpServer::start(
            *address, [&store](const HttpRequest &request) { return handle(store, request); });
    if (!server.ok()) {
        std::cerr << toStd(server.status().message()) << '\n';
        return 1;
    }
    logInfo(LogPart::Log, "log stand-in listens", {{"address", address->toString()}});
    exitOnStopSignal();
}

} // namespace
} // namespace kumquat

int main(int argc, char **argv)
{
    kumquat::setUpLogging(kumquat::LogLevel::Info);
    kumquat::blockStopSignals();
    auto options = docopt::docopt(kumquat::usage, {argv + 1, argv + argc});
    return kumquat::runLog(options);
}
