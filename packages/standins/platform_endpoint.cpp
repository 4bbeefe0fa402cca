#include "standins/platform_endpoint.h"

#include "base/http_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr auto heartbeatInterval = std::chrono::milliseconds(300);
constexpr auto heartbeatTimeout = std::chrono::seconds(1);
constexpr auto heartbeatIntervalAfterRelease = std::chrono::milliseconds(100);

constexpr auto instancePath = "/kumquatstage/instances/";

} // namespace

// ---- HoldLedger ----

bool HoldLedger::grant(const std::string &upstream, std::uint32_t first, std::uint32_t last,
                       std::uint64_t fence, Clock::duration hold)
{
    const std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    const auto overlaps = [&](const Hold &other) {
        return other.first <= last && first <= other.last;
    };
    for (const Hold &other : this->current) {
        if (!overlaps(other)) {
            continue;
        }
        if (other.upstream == upstream && other.fence > fence) {
            return false;
        }
        if (other.upstream != upstream && other.until > now) {
            this->conflictLines.push_back("keys " + std::to_string(first) + " to "
                                          + std::to_string(last) + " granted to " + upstream
                                          + " while " + other.upstream + " held some of them");
        }
        if (other.upstream != upstream && other.fence >= fence) {
            this->conflictLines.push_back("fence " + std::to_string(fence) + " of " + upstream
                                          + " is not above that of " + other.upstream);
        }
    }
    std::erase_if(this->current, [&](const Hold &other) {
        return other.upstream == upstream && other.fence == fence && other.first == first
               && other.last == last;
    });
    this->current.push_back({upstream, first, last, fence, now + hold});
    return true;
}

void HoldLedger::release(const std::string &upstream, std::uint32_t first, std::uint32_t last)
{
    const std::lock_guard lock(this->mutex);
    std::vector<Hold> rest;
    for (const Hold &hold : this->current) {
        const bool isAffected =
                hold.upstream == upstream && hold.first <= last && first <= hold.last;
        if (!isAffected) {
            rest.push_back(hold);
            continue;
        }
        // A release may cover only a part of a grant. The rest stays held.
        if (hold.first < first) {
            rest.push_back({upstream, hold.first, first - 1, hold.fence, hold.until});
        }
        if (hold.last > last) {
            rest.push_back({upstream, last + 1, hold.last, hold.fence, hold.until});
        }
    }
    this->current = std::move(rest);
}

void HoldLedger::releaseAll(const std::string &upstream)
{
    this->release(upstream, 0, 65'535);
}

std::vector<HoldLedger::GrantedRange> HoldLedger::grantedRanges(const std::string &upstream)
{
    const std::lock_guard lock(this->mutex);
    std::vector<GrantedRange> rows;
    for (const Hold &hold : this->current) {
        if (hold.upstream == upstream && hold.until > Clock::now()) {
            rows.push_back({hold.first, hold.last, hold.fence});
        }
    }
    return rows;
}

bool HoldLedger::holds(const std::string &upstream, std::uint32_t key)
{
    const std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    return std::any_of(this->current.begin(), this->current.end(), [&](const Hold &hold) {
        return hold.upstream == upstream && hold.first <= key && key <= hold.last
               && hold.until > now;
    });
}

std::vector<std::string> HoldLedger::conflicts()
{
    const std::lock_guard lock(this->mutex);
    return this->conflictLines;
}

// ---- PlatformEndpoint ----

PlatformEndpoint::PlatformEndpoint(std::string ownId, std::string ownService,
                                   HoldLedger &holdLedger, EndpointOptions endpointOptions)
    : id(std::move(ownId))
    , service(std::move(ownService))
    , ledger(holdLedger)
    , options(std::move(endpointOptions))
    , startedMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch()
                        + this->options.clockAhead)
                        .count())
    , server(*HttpServer::start({"127.0.0.1", options.port}, [this](const HttpRequest &request) {
        return this->answer(request);
    }))
{}

PlatformEndpoint::~PlatformEndpoint()
{
    this->stop();
}

void PlatformEndpoint::stop()
{
    this->endHeartbeats();
    this->server.reset();
    this->ledger.releaseAll(this->id);
}

void PlatformEndpoint::endHeartbeats()
{
    this->isStopping = true;
    if (this->heartbeatThread.joinable()) {
        this->heartbeatThread.join();
    }
}

bool PlatformEndpoint::deregister(const Address &address)
{
    this->endHeartbeats();
    const std::string body = Json{{"born", this->startedMs}}.dump();
    const HttpExchange exchange = HttpClient(address).send(
            {"DELETE", instancePath + this->id, {}, body}, heartbeatTimeout);
    return exchange.result == ExchangeResult::Answered && exchange.answer.status == statusOk;
}

void PlatformEndpoint::sendLateHeartbeat(const Address &address)
{
    HttpClient(address).send({"PUT", instancePath + this->id, {}, this->makeHeartbeat(1)},
                             heartbeatTimeout);
}

void PlatformEndpoint::sendHeartbeatsTo(const Address &address)
{
    this->heartbeatThread = std::thread([this, address] { this->runHeartbeatLoop(address); });
}

void PlatformEndpoint::runHeartbeatLoop(const Address &address)
{
    int sequence = 0;
    while (!this->isStopping) {
        const bool isLeaving = this->isDraining;
        const auto sentAt = HoldLedger::Clock::now();
        HttpClient client(address);
        const HttpExchange exchange =
                client.send({"PUT", instancePath + this->id, {}, this->makeHeartbeat(++sequence)},
                            heartbeatTimeout);
        const bool isAcknowledged = exchange.result == ExchangeResult::Answered
                                    && exchange.answer.status == statusOk
                                    && HoldLedger::Clock::now() - sentAt < heartbeatTimeout;
        bool hasReleased = false;
        {
            const std::lock_guard lock(this->mutex);
            if (isAcknowledged && isLeaving && !this->drainAcknowledgedAt) {
                this->drainAcknowledgedAt = HoldLedger::Clock::now();
            }
            if (isAcknowledged && this->options.grantsInAnswers) {
                this->released.clear();
                this->applyHeartbeatAnswer(exchange.answer.body, sentAt);
                hasReleased = !this->released.empty();
            }
        }
        std::this_thread::sleep_for(hasReleased ? heartbeatIntervalAfterRelease
                                                : heartbeatInterval);
    }
}

// Returns the body of a heartbeat as JSON.
std::string PlatformEndpoint::makeHeartbeat(int sequence)
{
    const std::uint16_t advertised =
            this->options.advertisedPort != 0 ? this->options.advertisedPort : this->port();
    Json body{{"address", "127.0.0.1:" + std::to_string(advertised)},
              {"info",
               {{"service", this->service},
                {"version", "v1"},
                {"zone", "a"},
                {"slots", this->options.slots}}},
              {"status",
               {{"state", this->isDraining ? "draining" : "ready"},
                {"seq", sequence},
                {"cold_left_ms", 0}}},
              {"born", this->startedMs}};
    if (this->options.grantsInAnswers) {
        body["holds"] = Json::array();
        body["released"] = Json::array();
        for (const HoldLedger::GrantedRange &row : this->ledger.grantedRanges(this->id)) {
            body["holds"].push_back({row.first, row.last, row.fence});
        }
        const std::lock_guard lock(this->mutex);
        for (const HoldLedger::GrantedRange &row : this->released) {
            body["released"].push_back({row.first, row.last, "handover"});
        }
    }
    return body.dump();
}

// Holds the keys that the answer to a heartbeat lists and releases all others. The caller must hold
// `mutex`.
void PlatformEndpoint::applyHeartbeatAnswer(const std::string &text,
                                            HoldLedger::Clock::time_point sentAt)
{
    const Json body = Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("holds")) {
        return;
    }
    const auto hold = std::chrono::milliseconds(body.at("hold_ms").get<std::int64_t>())
                      - (HoldLedger::Clock::now() - sentAt);
    std::vector<HoldLedger::GrantedRange> rows;
    for (const Json &row : body.at("holds")) {
        rows.push_back({row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>(),
                        row.at(2).get<std::uint64_t>()});
    }
    for (const HoldLedger::GrantedRange &held : this->ledger.grantedRanges(this->id)) {
        if (std::find(rows.begin(), rows.end(), held) == rows.end()) {
            this->ledger.release(this->id, held.first, held.last);
            this->released.push_back(held);
        }
    }
    for (const HoldLedger::GrantedRange &row : rows) {
        if (hold > HoldLedger::Clock::duration::zero()) {
            this->ledger.grant(this->id, row.first, row.last, row.fence, hold);
        }
    }
}

std::chrono::milliseconds PlatformEndpoint::servedAfterDrain()
{
    const std::lock_guard lock(this->mutex);
    const auto none = std::chrono::milliseconds(0);
    return this->drainAcknowledgedAt && this->lastRunAt > *this->drainAcknowledgedAt
                   ? std::chrono::duration_cast<std::chrono::milliseconds>(
                           this->lastRunAt - *this->drainAcknowledgedAt)
                   : none;
}

std::vector<std::string> PlatformEndpoint::runs()
{
    const std::lock_guard lock(this->mutex);
    return this->startedRequests;
}

void PlatformEndpoint::setEndlessAnswer(const std::string &target,
                                        std::shared_ptr<EndlessBytes> bytes)
{
    const std::lock_guard lock(this->mutex);
    this->endless[target] = std::move(bytes);
}

void PlatformEndpoint::setAnswerBytes(const std::string &target, std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->answerBytes[target] = bytes;
}

bool PlatformEndpoint::hasAnsweredEndlessly(const std::string &requestId)
{
    const std::lock_guard lock(this->mutex);
    return this->endlessRequests.contains(requestId);
}

HttpAnswer PlatformEndpoint::answer(const HttpRequest &request)
{
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->endless.find(request.target);
        if (found != this->endless.end()) {
            const auto key = findField(request.fields, "X-Shard-Key");
            if (key && this->ledger.holds(this->id, std::stoul(*key))) {
                this->endlessRequests.insert(
                        findField(request.fields, "X-Attempt-Id").value_or(""));
            }
            HttpAnswer answer;
            answer.endless = found->second;
            return answer;
        }
    }
    if (request.target == "/kumquatstage/grant" || request.target == "/kumquatstage/release") {
        return this->handleGrantCall(request, request.target == "/kumquatstage/grant");
    }
    return this->run(request);
}

HttpAnswer PlatformEndpoint::handleGrantCall(const HttpRequest &request, bool isGrant)
{
    if (this->options.grantsInAnswers) {
        return {400, {}, ""};
    }
    const Json body = Json::parse(request.body);
    const auto first = body.at("from").get<std::uint32_t>();
    const auto last = body.at("target").get<std::uint32_t>();
    if (!isGrant) {
        this->ledger.release(this->id, first, last);
        return {200, {{"X-Duty-Handover", this->options.handover}}, ""};
    }
    const auto hold = std::chrono::milliseconds(body.at("hold_ms").get<std::int64_t>());
    const bool isAccepted =
            this->ledger.grant(this->id, first, last, body.at("fence").get<std::uint64_t>(), hold);
    return {isAccepted ? 200 : 409, {}, ""};
}

HttpAnswer PlatformEndpoint::run(const HttpRequest &request)
{
    const std::string requestId = findField(request.fields, "X-Attempt-Id").value_or("");
    const auto key = findField(request.fields, "X-Shard-Key");
    const bool isExpectedInstance = findField(request.fields, "X-Expected-Instance") == this->id;
    const bool isHeld = !key || this->ledger.holds(this->id, std::stoul(*key));
    if (!isExpectedInstance || !isHeld) {
        return {421, {{"X-Not-Executed", "1"}, {"X-Attempt-Id", requestId}}, ""};
    }
    std::string body = requestId + " ran at " + this->id;
    {
        const std::lock_guard lock(this->mutex);
        const auto padded = this->answerBytes.find(request.target);
        if (padded != this->answerBytes.end()) {
            body.resize(std::max(body.size(), padded->second), 'x');
        }
        this->startedRequests.push_back(requestId);
        this->lastRunAt = HoldLedger::Clock::now();
    }
    if (request.target.starts_with(crashPrefix)) {
        this->hasCrashed = true;
        return HttpAnswer::lost();
    }
    std::this_thread::sleep_for(this->options.workTime);
    HttpFields fields{{"X-Attempt-Id", requestId}, {"X-Server-Seal", "seal"}};
    fields.insert(fields.end(), this->options.answerFields.begin(),
                  this->options.answerFields.end());
    return {200, std::move(fields), std::move(body)};
}

} // namespace kumquat
