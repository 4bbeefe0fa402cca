#include "standins/ledger.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <cassert>
#include <fcntl.h>
#include <map>
#include <unistd.h>
#include <utility>

namespace kumquat {
namespace {

constexpr int fileMode = 0644;

Run readRun(const nlohmann::json &json)
{
    Run run;
    run.number = json.at("number").get<std::uint64_t>();
    run.upstream = json.at("upstream").get<std::string>();
    run.service = json.at("service").get<std::string>();
    run.key = json.at("key").get<std::string>();
    run.token = json.at("token").get<std::string>();
    run.requestId = json.at("requestId").get<std::string>();
    run.attempt = json.at("attempt").get<std::int64_t>();
    run.fence = json.at("fence").get<std::string>();
    run.start = Time(json.at("startNs").get<std::int64_t>());
    run.end = Time(json.at("endNs").get<std::int64_t>());
    run.expires = Time(json.at("expiresNs").get<std::int64_t>());
    run.result = runResultNames.valueOf(json.at("result").get<std::string>())
                         .value_or(RunResult::Running);
    return run;
}

} // namespace

std::string formatRun(const Run &run)
{
    const nlohmann::json json{{"number", run.number},
                              {"upstream", run.upstream},
                              {"service", run.service},
                              {"key", run.key},
                              {"token", run.token},
                              {"requestId", run.requestId},
                              {"attempt", run.attempt},
                              {"fence", run.fence},
                              {"startNs", run.start.count()},
                              {"endNs", run.end.count()},
                              {"expiresNs", run.expires.count()},
                              {"result", std::string(runResultNames.nameOf(run.result))}};
    return json.dump() + "\n";
}

absl::StatusOr<Records> parseRecords(std::string_view text)
{
    std::map<std::pair<std::string, std::uint64_t>, Run> runs;
    Records result;
    const std::string_view complete = text.substr(0, text.rfind('\n') + 1);
    for (const auto line : absl::StrSplit(toAbsl(complete), '\n', absl::SkipEmpty())) {
        const auto json = nlohmann::json::parse(line.begin(), line.end(), nullptr, false);
        if (json.is_discarded()) {
            return absl::InvalidArgumentError(absl::StrCat("ledger line is not JSON: ", line));
        }
        if (!json.contains("number")) {
            result.upstreams[json.at("service").get<std::string>()].insert(
                    json.at("upstream").get<std::string>());
            continue;
        }
        Run run = readRun(json);
        auto key = std::pair(run.upstream, run.number);
        runs.insert_or_assign(std::move(key), std::move(run));
    }
    result.runs.reserve(runs.size());
    for (auto &[key, run] : runs) {
        result.runs.push_back(std::move(run));
    }
    return result;
}

Ledger::Ledger(std::string upstreamName, std::string serviceName)
    : upstream(std::move(upstreamName))
    , service(std::move(serviceName))
{}

absl::Status Ledger::openFile(const std::string &path)
{
    const std::lock_guard lock(this->mutex);
    this->descriptor =
            open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, fileMode);
    if (this->descriptor < 0) {
        return absl::UnavailableError("cannot open the ledger file " + path);
    }
    this->write(this->formatName());
    return absl::OkStatus();
}

std::uint64_t Ledger::begin(Run run)
{
    const std::lock_guard lock(this->mutex);
    run.number = this->runs.size();
    run.upstream = this->upstream;
    run.end = run.start;
    this->write(formatRun(run));
    this->runs.push_back(std::move(run));
    return this->runs.back().number;
}

void Ledger::end(std::uint64_t number, RunResult result, Time time)
{
    const std::lock_guard lock(this->mutex);
    assert(number < this->runs.size() && "number must come from begin()");
    Run &run = this->runs[number];
    run.result = result;
    run.end = time;
    this->write(formatRun(run));
}

std::string Ledger::format() const
{
    const std::lock_guard lock(this->mutex);
    std::string text = this->formatName();
    for (const Run &run : this->runs) {
        text += formatRun(run);
    }
    return text;
}

std::size_t Ledger::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->runs.size();
}

std::string Ledger::formatName() const
{
    const nlohmann::json json{{"upstream", this->upstream}, {"service", this->service}};
    return json.dump() + "\n";
}

void Ledger::write(const std::string &line) const
{
    if (this->descriptor < 0) {
        return;
    }
    const ssize_t written = ::write(this->descriptor, line.data(), line.size());
    assert(written == static_cast<ssize_t>(line.size())
           && "writing the ledger file failed; is the disk full?");
    static_cast<void>(written);
}

} // namespace kumquat
