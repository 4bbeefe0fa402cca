#include "soak/soak_callers.h"

#include "base/http_status.h"
#include "standins/platform_caller.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr std::uint32_t keyCount = 65'536;
constexpr std::uint32_t hotKeys = 20;
constexpr std::chrono::milliseconds requestTimeout{1500}; // sent to the process as its deadline
constexpr Duration connectionTimeout = 2500ms;            // limit of the exchange at the caller

SoakOutcome classify(const HttpExchange &exchange, const std::string &id)
{
    switch (exchange.result) {
    case ExchangeResult::NotConnected:
        return SoakOutcome::Unsent;
    case ExchangeResult::Lost:
    case ExchangeResult::TimedOut:
        return SoakOutcome::Lost;
    case ExchangeResult::Answered:
        break;
    }
    const HttpAnswer &answer = exchange.answer;
    if (answer.status == statusUnavailable) {
        return SoakOutcome::Refused;
    }
    if (answer.status != statusOk) {
        return SoakOutcome::Failed;
    }
    return isAnswerTo(answer, id) ? SoakOutcome::Answered : SoakOutcome::Wrong;
}

} // namespace

SoakCallers::SoakCallers(PlatformCluster &callerCluster, SoakCallerSettings callerSettings)
    : settings(callerSettings)
{
    for (const PlatformHost &host : callerCluster.hosts()) {
        this->addresses.push_back(host.callers);
    }
}

SoakCallers::~SoakCallers()
{
    this->stop();
}

void SoakCallers::start()
{
    for (int i = 0; i < this->settings.threads; ++i) {
        this->threads.emplace_back([this, i] { this->run(i); });
    }
}

void SoakCallers::stop()
{
    this->isStopping = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

SoakRequest SoakCallers::send(HttpClient &client, SoakRequest request)
{
    request.sent = readBootTime();
    HttpRequest message = makeCallerRequest({.id = request.id,
                                             .key = request.key,
                                             .isIdempotent = request.isIdempotent,
                                             .timeout = requestTimeout});
    // Callers may send any byte from 0x80 on, in whatever encoding.
    const auto byte = static_cast<char>(0x80 + request.key % 0x80);
    message.fields.push_back({"X-Note", "n" + std::string(1, byte)});
    const HttpExchange exchange = client.send(message, connectionTimeout);
    request.ended = readBootTime();
    request.outcome = classify(exchange, request.id);
    request.status = exchange.result == ExchangeResult::Answered ? exchange.answer.status : 0;
    return request;
}

void SoakCallers::run(int thread)
{
    std::mt19937_64 random(this->settings.seed * 1000 + static_cast<std::uint64_t>(thread));
    const auto share = [&] { return static_cast<double>(random() % 1000) / 1000.0; };
    std::uint64_t number = 0;
    while (!this->isStopping) {
        const std::size_t host = random() % this->addresses.size();
        HttpClient client(this->addresses[host]);
        for (int use = 0; use < this->settings.connectionUses && !this->isStopping; ++use) {
            const auto hotBase = static_cast<std::uint32_t>(this->settings.seed * 7919 % keyCount);
            const bool isHot = share() < this->settings.hotShare;
            const auto offset = static_cast<std::uint32_t>(random() % (isHot ? hotKeys : keyCount));
            const SoakRequest request = SoakCallers::send(
                    client, {.id = "c" + std::to_string(thread) + "-" + std::to_string(++number),
                             .host = host,
                             .key = (isHot ? hotBase + offset : offset) % keyCount,
                             .isIdempotent = share() < 0.5});
            {
                const std::lock_guard lock(this->mutex);
                this->endedRequests.push_back(request);
            }
            std::this_thread::sleep_for(this->settings.pause);
            if (request.outcome == SoakOutcome::Unsent || request.outcome == SoakOutcome::Lost) {
                break; // continues with another host
            }
        }
    }
}

} // namespace kumquat
