#include "standins/platform_store.h"

#include "base/text.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr std::string_view operatorTopic = "keyed.op"; // never goes back
constexpr std::size_t lengthBytes = 4;
constexpr auto slowCallTime = std::chrono::milliseconds(400);

std::string bigEndian(std::uint64_t value, std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t i = 0; i < count; ++i) {
        bytes[count - 1 - i] = static_cast<char>(value & 0xffU);
        value >>= 8U;
    }
    return bytes;
}

HttpAnswer jsonAnswer(int status, const Json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

// Splits a body of one record into key and value. The format is "length, key length, key, value".
std::pair<std::string, std::string> splitRecord(const std::string &body)
{
    const std::size_t keyBytes = static_cast<unsigned char>(body.at(lengthBytes));
    return {body.substr(lengthBytes + 1, keyBytes), body.substr(lengthBytes + 1 + keyBytes)};
}

} // namespace

HttpHandler PlatformStore::handler()
{
    return [this](const HttpRequest &request) { return this->answer(request); };
}

void PlatformStore::put(const std::string &topic, int part, const std::string &key,
                        const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->partitions[{topic, part}].records.push_back({key, value});
    this->appended.notify_all();
}

void PlatformStore::setFault(StoreFault value)
{
    const std::lock_guard lock(this->mutex);
    this->unansweredFaultCount += value == StoreFault::Unanswered ? 1 : 0;
    this->fault = value;
}

void PlatformStore::compact()
{
    const std::lock_guard lock(this->mutex);
    for (auto &[name, partition] : this->partitions) {
        partition.firstKept = partition.records.size();
    }
}

void PlatformStore::rollBack(std::size_t count, RollBackScope scope)
{
    const std::lock_guard lock(this->mutex);
    for (auto &[name, partition] : this->partitions) {
        if (scope == RollBackScope::WithoutOperator && name.first == operatorTopic) {
            continue;
        }
        auto &records = partition.records;
        records.resize(records.size() - std::min(count, records.size()));
        partition.firstKept = std::min<std::uint64_t>(partition.firstKept, records.size());
    }
    ++this->era;
    this->appended.notify_all();
}

std::uint32_t PlatformStore::currentEra()
{
    const std::lock_guard lock(this->mutex);
    return this->era;
}

// Adds the era to an answer. The caller holds the mutex since before it formed the answer, so that
// no answer names an era in which its content is not in force.
HttpAnswer PlatformStore::withEra(HttpAnswer answer) const
{
    if (this->era > 0) {
        answer.fields.push_back({"Store-Era", std::to_string(this->era)});
    }
    return answer;
}

void PlatformStore::stop()
{
    const std::lock_guard lock(this->mutex);
    this->isStopped = true;
    this->appended.notify_all();
}

HttpAnswer PlatformStore::answer(const HttpRequest &request)
{
    std::unique_lock lock(this->mutex);
    const int faultsBefore = this->unansweredFaultCount;
    const bool isUnanswered = this->fault == StoreFault::Unanswered;
    lock.unlock();
    HttpAnswer done = isUnanswered ? HttpAnswer::lost() : this->answerNow(request);
    lock.lock();
    if (isUnanswered || this->unansweredFaultCount != faultsBefore) {
        this->appended.wait(lock, [this] { return this->isStopped; });
        return HttpAnswer::lost();
    }
    return done;
}

HttpAnswer PlatformStore::answerNow(const HttpRequest &request)
{
    ++this->calls;
    if (this->fault == StoreFault::Down) {
        const std::lock_guard lock(this->mutex);
        return this->withEra({503, {}, ""});
    }
    if (this->fault == StoreFault::ClosedConnections) {
        return HttpAnswer::lost();
    }
    if (this->fault == StoreFault::Slow) {
        std::this_thread::sleep_for(slowCallTime);
    }
    const std::string path = request.path();
    if (path == "/kumquatstage/log-append") {
        const HttpAnswer done = this->append(request);
        return this->fault == StoreFault::LostAnswers ? HttpAnswer::lost() : done;
    }
    if (path == "/kumquatstage/log-read") {
        return this->read(request);
    }
    if (path == "/kumquatstage/log-newest") {
        return this->readNewest(request);
    }
    return {404, {}, ""};
}

HttpAnswer PlatformStore::append(const HttpRequest &request)
{
    const std::lock_guard lock(this->mutex);
    const auto part = static_cast<int>(request.queryInt("part", 0));
    Partition &partition = this->partitions[{request.query("topic").value_or(""), part}];
    const auto end = static_cast<std::int64_t>(partition.records.size());
    if (request.queryInt("as_of", end) != end) {
        return this->withEra(jsonAnswer(412, {{"end_offset", end}}));
    }
    const auto [key, value] = splitRecord(request.body);
    partition.records.push_back({key, value});
    this->appended.notify_all();
    return this->withEra(jsonAnswer(200, {{"offset", end}, {"end_offset", end + 1}}));
}

HttpAnswer PlatformStore::read(const HttpRequest &request)
{
    std::unique_lock lock(this->mutex);
    const auto part = static_cast<int>(request.queryInt("part", 0));
    Partition &partition = this->partitions[{request.query("topic").value_or(""), part}];
    const auto from = static_cast<std::uint64_t>(request.queryInt("from", 0));
    const auto wait = std::chrono::milliseconds(request.queryInt("wait_ms", 0));
    this->appended.wait_for(lock, wait, [&, eraBefore = this->era] {
        return this->isStopped || partition.records.size() > from || this->era != eraBefore;
    });
    if (from < partition.firstKept || from > partition.records.size()) {
        return this->withEra(jsonAnswer(410, {{"first_offset", partition.firstKept}}));
    }
    constexpr std::size_t offsetBytes = 8;
    std::string body = bigEndian(partition.records.size(), offsetBytes)
                       + bigEndian(partition.firstKept, offsetBytes);
    for (std::size_t i = from; i < partition.records.size(); ++i) {
        const Record &record = partition.records[i];
        body += bigEndian(1 + record.key.size() + record.value.size(), lengthBytes);
        body += static_cast<char>(record.key.size());
        body += record.key + record.value;
    }
    return this->withEra({200, {}, body});
}

HttpAnswer PlatformStore::readNewest(const HttpRequest &request)
{
    const std::lock_guard lock(this->mutex);
    const auto part = static_cast<int>(request.queryInt("part", 0));
    const Partition &partition = this->partitions[{request.query("topic").value_or(""), part}];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < partition.records.size(); ++i) {
        newest[partition.records[i].key] = i;
    }
    Json items = Json::array();
    for (const auto &[key, index] : newest) {
        const bool isDropped =
                partition.records[index].value.empty() && index < partition.firstKept;
        if (isDropped) {
            continue;
        }
        items.push_back({{"key", key},
                         {"value", absl::Base64Escape(partition.records[index].value)},
                         {"offset", index}});
    }
    return this->withEra(jsonAnswer(
            200,
            {{"items", items}, {"has_more", false}, {"end_offset", partition.records.size()}}));
}

} // namespace kumquat
