#include "endpoint.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace review {

using Json = nlohmann::json;
using kumquat::findField;
using kumquat::HttpAnswer;
using kumquat::HttpRequest;

// ---- Record ----

Record::Record(const std::string &path)
    : file(std::fopen(path.c_str(), "w"))
    , start(Clock::now())
{}

Record::~Record()
{
    if (this->file != nullptr) {
        std::fclose(this->file);
    }
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->start).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%8lld %s\n", static_cast<long long>(this->now()), text.c_str());
    std::fflush(this->file);
}

// ---- KeyLedger ----

KeyLedger::KeyLedger(Record &events)
    : record(events)
    , sampler([this] {
        while (!this->isStopping) {
            this->sample();
            std::this_thread::sleep_for(milliseconds(10));
        }
    })
{}

KeyLedger::~KeyLedger()
{
    this->isStopping = true;
    this->sampler.join();
}

void KeyLedger::add(const std::string &incarnation)
{
    const std::lock_guard lock(this->mutex);
    this->holders[incarnation];
}

void KeyLedger::remove(const std::string &incarnation)
{
    const std::lock_guard lock(this->mutex);
    this->holders.erase(incarnation);
}

bool KeyLedger::grant(const std::string &incarnation, std::uint32_t first, std::uint32_t last,
                      std::int64_t fence, milliseconds hold)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->holders.find(incarnation);
    if (found == this->holders.end()) {
        return false;
    }
    Holder &holder = found->second;
    for (std::uint32_t key = first; key <= last; ++key) {
        if (holder.fence[key] > fence) {
            return false;
        }
    }
    const auto until = Clock::now() + hold;
    for (std::uint32_t key = first; key <= last; ++key) {
        holder.until[key] = until;
        holder.fence[key] = fence;
    }
    return true;
}

void KeyLedger::release(const std::string &incarnation, std::uint32_t first, std::uint32_t last)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->holders.find(incarnation);
    if (found != this->holders.end()) {
        std::fill(found->second.until.begin() + first, found->second.until.begin() + last + 1,
                  Clock::time_point());
    }
}

bool KeyLedger::holds(const std::string &incarnation, std::uint32_t key)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->holders.find(incarnation);
    return found != this->holders.end() && key < keys && found->second.until[key] > Clock::now();
}

std::uint32_t KeyLedger::heldKeys(const std::string &incarnation)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->holders.find(incarnation);
    if (found == this->holders.end()) {
        return 0;
    }
    const auto now = Clock::now();
    return static_cast<std::uint32_t>(
            std::count_if(found->second.until.begin(), found->second.until.end(),
                          [now](const Clock::time_point &until) { return until > now; }));
}

std::uint32_t KeyLedger::heldKeys()
{
    const std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    std::uint32_t held = 0;
    for (std::uint32_t key = 0; key < keys; ++key) {
        held += std::any_of(this->holders.begin(), this->holders.end(),
                            [&](const auto &entry) { return entry.second.until[key] > now; })
                        ? 1
                        : 0;
    }
    return held;
}

std::uint32_t KeyLedger::middleHeldKey(const std::string &incarnation)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->holders.find(incarnation);
    const auto now = Clock::now();
    std::uint32_t first = 0;
    std::uint32_t bestFirst = 0;
    std::uint32_t bestSize = 0;
    for (std::uint32_t key = 0; found != this->holders.end() && key < keys; ++key) {
        if (found->second.until[key] <= now) {
            first = key + 1;
        } else if (key - first + 1 > bestSize) {
            bestFirst = first;
            bestSize = key - first + 1;
        }
    }
    return bestFirst + bestSize / 2;
}

void KeyLedger::sample()
{
    const std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    milliseconds worst{0};
    std::uint32_t worstKey = 0;
    for (std::uint32_t key = 0; key < keys; ++key) {
        int count = 0;
        for (const auto &[name, holder] : this->holders) {
            count += holder.until[key] > now ? 1 : 0;
        }
        if (count < 2) {
            this->doubleSince[key] = Clock::time_point();
            continue;
        }
        if (this->doubleSince[key] == Clock::time_point()) {
            this->doubleSince[key] = now;
        }
        const auto length = std::chrono::duration_cast<milliseconds>(now - this->doubleSince[key]);
        if (length > worst) {
            worst = length;
            worstKey = key;
        }
    }
    this->recent = std::max(this->recent, worst);
    if (worst > this->longest) {
        this->longest = worst;
        this->longestText = "key " + std::to_string(worstKey) + " held by";
        for (const auto &[name, holder] : this->holders) {
            if (holder.until[worstKey] > now) {
                this->longestText +=
                        " " + name + " (fence " + std::to_string(holder.fence[worstKey]) + ")";
            }
        }
        this->longestText += " for " + std::to_string(worst.count()) + " ms, at "
                             + std::to_string(this->record.now());
    }
}

milliseconds KeyLedger::longestDouble()
{
    const std::lock_guard lock(this->mutex);
    return this->longest;
}

milliseconds KeyLedger::takeRecentDouble()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->recent, milliseconds(0));
}

std::string KeyLedger::doubleText()
{
    const std::lock_guard lock(this->mutex);
    return this->longestText;
}

// ---- Endpoint ----

Endpoint::Endpoint(EndpointSettings endpointSettings, Record &events, KeyLedger &keyLedger)
    : settings(std::move(endpointSettings))
    , record(events)
    , ledger(keyLedger)
{}

Endpoint::~Endpoint()
{
    this->crash();
    if (this->heartbeats.joinable()) {
        this->heartbeats.join();
    }
}

std::string Endpoint::instance()
{
    return "i-" + this->settings.name + "-" + std::to_string(this->lives);
}

void Endpoint::start(milliseconds firstHeartbeat)
{
    if (this->heartbeats.joinable()) {
        this->heartbeats.join();
    }
    const std::uint64_t life = ++this->lives;
    this->acknowledged = 0;
    this->bornMs = std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
    this->ledger.add(this->instance());
    auto started = kumquat::HttpServer::start(
            this->settings.address,
            [this, life](const HttpRequest &request) { return this->answer(request, life); });
    if (!started.ok()) {
        this->record.line("endpoint " + this->instance() + " could not listen");
        std::_Exit(2);
    }
    this->server = *std::move(started);
    this->up = true;
    this->beats = true;
    this->record.line("endpoint " + this->instance() + " started");
    this->heartbeats = std::thread(
            [this, life, firstHeartbeat] { this->sendHeartbeats(life, firstHeartbeat); });
}

void Endpoint::crash()
{
    if (!this->up.exchange(false)) {
        return;
    }
    this->beats = false;
    this->ledger.remove(this->instance());
    this->record.line("endpoint " + this->instance() + " ended");
    this->server.reset();
}

void Endpoint::holdNextHeartbeat()
{
    const std::lock_guard lock(this->mutex);
    this->holdNext = true;
}

bool Endpoint::hasHeldHeartbeat()
{
    const std::lock_guard lock(this->mutex);
    return !this->heldBody.empty();
}

void Endpoint::releaseHeartbeat()
{
    std::string id;
    std::string body;
    {
        const std::lock_guard lock(this->mutex);
        id = this->heldId;
        body = this->heldBody;
    }
    const bool isTaken = this->put(id, body);
    this->record.line("late heartbeat of " + id + " arrives: " + body
                      + (isTaken ? " -> 2xx" : " -> no 2xx"));
}

bool Endpoint::deregister()
{
    this->beats = false;
    kumquat::HttpClient client(this->settings.control);
    const auto exchange =
            client.send({"DELETE", "/kumquatstage/instances/" + this->instance(), {}, "", {}},
                        std::chrono::seconds(1));
    const bool isAcknowledged = exchange.result == kumquat::ExchangeResult::Answered
                                && exchange.answer.status / 100 == 2;
    this->record.line("DELETE of " + this->instance()
                      + (isAcknowledged ? " acknowledged" : " not acknowledged"));
    return isAcknowledged;
}

std::string Endpoint::heartbeatBody(std::uint64_t, int sequence)
{
    const Json body{{"address", this->settings.address.toString()},
                    {"info",
                     {{"service", this->settings.service},
                      {"version", "v1"},
                      {"zone", this->settings.zone},
                      {"slots", this->settings.slots}}},
                    {"status", {{"state", "ready"}, {"seq", sequence}, {"cold_left_ms", 0}}},
                    {"born", this->bornMs}};
    return body.dump();
}

bool Endpoint::put(const std::string &id, const std::string &body)
{
    kumquat::HttpClient client(this->settings.control);
    const auto exchange = client.send({"PUT",
                                       "/kumquatstage/instances/" + id,
                                       {{"Content-Type", "application/json"}},
                                       body,
                                       {}},
                                      std::chrono::seconds(1));
    return exchange.result == kumquat::ExchangeResult::Answered
           && exchange.answer.status / 100 == 2;
}

void Endpoint::sendHeartbeats(std::uint64_t life, milliseconds first)
{
    auto next = Clock::now() + first;
    int sequence = 0;
    while (this->beats && this->lives == life) {
        if (Clock::now() < next) {
            std::this_thread::sleep_for(milliseconds(5));
            continue;
        }
        next += this->settings.heartbeat;
        const std::string body = this->heartbeatBody(life, ++sequence);
        {
            const std::lock_guard lock(this->mutex);
            if (this->holdNext) {
                this->holdNext = false;
                this->heldId = this->instance();
                this->heldBody = body;
                this->record.line("heartbeat of " + this->heldId + " is sent and held up: " + body);
                continue;
            }
        }
        const bool isTaken = this->put(this->instance(), body);
        this->acknowledged += isTaken ? 1 : 0;
        if (sequence == 1) {
            this->record.line("first heartbeat of " + this->instance()
                              + (isTaken ? " acknowledged" : " not acknowledged"));
        }
    }
}

HttpAnswer Endpoint::answer(const HttpRequest &request, std::uint64_t life)
{
    if (!this->up || this->lives != life) {
        return HttpAnswer::lost();
    }
    if (request.target == "/kumquatstage/grant" || request.target == "/kumquatstage/release") {
        return this->order(request, request.target == "/kumquatstage/grant");
    }
    if (request.target == "/health") {
        return {200, {{"X-Instance-Id", this->instance()}}, ""};
    }
    return this->run(request, life);
}

HttpAnswer Endpoint::order(const HttpRequest &request, bool isGrant)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !this->settings.hasKeys) {
        return {400, {}, ""};
    }
    const auto first = body.at("from").get<std::uint32_t>();
    const auto last = body.at("target").get<std::uint32_t>();
    const auto fence = body.at("fence").get<std::int64_t>();
    const std::string span =
            std::to_string(first) + "-" + std::to_string(last) + " fence " + std::to_string(fence);
    if (isGrant) {
        const milliseconds hold(body.at("hold_ms").get<std::int64_t>());
        const bool isAccepted = this->ledger.grant(this->instance(), first, last, fence, hold);
        this->record.line("grant to " + this->instance() + " of " + span + " for "
                          + std::to_string(hold.count()) + " ms -> "
                          + (isAccepted ? "200" : "409"));
        return {isAccepted ? 200 : 409, {}, ""};
    }
    this->ledger.release(this->instance(), first, last);
    std::unique_lock lock(this->mutex);
    this->workEnded.wait(lock, [&] {
        const auto at = this->runningKeys.lower_bound(first);
        return at == this->runningKeys.end() || *at > last;
    });
    this->record.line("release at " + this->instance() + " of " + span + " -> 200");
    return {200, {{"X-Duty-Handover", "5c0e7a21d94b36f8"}}, ""};
}

HttpAnswer Endpoint::run(const HttpRequest &request, std::uint64_t life)
{
    const std::string id = findField(request.fields, "X-Attempt-Id").value_or("");
    if (id.empty()) {
        return {400, {{"X-Not-Executed", "1"}}, ""};
    }
    const auto expected = findField(request.fields, "X-Expected-Instance");
    const auto key = findField(request.fields, "X-Shard-Key");
    const bool isHeld = !this->settings.hasKeys
                        || (key && this->ledger.holds(this->instance(), std::stoul(*key)));
    if ((expected && *expected != this->instance()) || !isHeld) {
        return {421,
                {{"X-Not-Executed", "1"},
                 {"X-Attempt-Id", id},
                 {"X-Instance-Id", this->instance()}},
                ""};
    }
    const std::uint32_t runningKey = key ? static_cast<std::uint32_t>(std::stoul(*key)) : 0;
    const RunEffect effect = this->onRun ? this->onRun(request) : RunEffect::Answer;
    this->record.line("run " + id + " at " + this->instance() + " " + request.method + " "
                      + request.target + (effect == RunEffect::Crash ? " (crashes it)" : ""));
    if (effect == RunEffect::Crash) {
        return HttpAnswer::lost();
    }
    {
        const std::lock_guard lock(this->mutex);
        this->runningKeys.insert(runningKey);
    }
    std::this_thread::sleep_for(this->settings.work);
    {
        const std::lock_guard lock(this->mutex);
        this->runningKeys.erase(this->runningKeys.find(runningKey));
    }
    this->workEnded.notify_all();
    if (!this->up || this->lives != life) {
        return HttpAnswer::lost();
    }
    return {200,
            {{"X-Attempt-Id", id}, {"X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"}},
            id + " ran at " + this->instance()};
}

} // namespace review
