// Sections: requests, sending, probing.
#include "standins/load.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <memory>
#include <thread>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration repeatDelay = 300ms; // before a write of unknown outcome is repeated
constexpr Duration probeInterval = 50ms;
constexpr Duration maxProbeTime = 8s;
constexpr Duration startCheckInterval = 100ms;
constexpr int checkedKeys = 10;
constexpr int percent = 100;

std::string makeTokenPrefix()
{
    std::random_device device;
    return absl::StrFormat("%08x%08x", device(), device());
}

std::vector<double> makeKeyShares(int keys, double skew)
{
    std::vector<double> shares;
    double total = 0;
    for (int rank = 1; rank <= keys; ++rank) {
        total += 1.0 / std::pow(rank, skew);
        shares.push_back(total);
    }
    for (double &share : shares) {
        share /= total;
    }
    return shares;
}

bool isServed(const LoadOptions &options, const Address &entry)
{
    HttpClient client(entry);
    for (const std::string &service : options.services) {
        for (int key = 0; key < checkedKeys; ++key) {
            Attempt attempt;
            attempt.service = service;
            attempt.key = absl::StrCat("D-", key);
            attempt.token = "start";
            readOutcome(client.send(makeRead(attempt), options.timeout), attempt);
            if (attempt.outcome != Outcome::Done) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

// --- requests

bool waitUntilServed(const LoadOptions &options, Duration timeout)
{
    const Time deadline = readBootTime() + timeout;
    for (const Address &entry : options.entries) {
        while (!isServed(options, entry)) {
            if (readBootTime() >= deadline) {
                return false;
            }
            std::this_thread::sleep_for(startCheckInterval);
        }
    }
    return true;
}

std::string makeRequestId(WallTime now, std::mt19937_64 &random)
{
    constexpr std::uint64_t versionBits = 0x7000;
    constexpr std::uint64_t variantBits = 0x8000;
    const auto time = static_cast<std::uint64_t>(now.count());
    const std::uint64_t bits = random();
    return absl::StrFormat("%08x-%04x-%04x-%04x-%012x", (time >> 16U) & 0xffffffffU, time & 0xffffU,
                           versionBits | (bits & 0xfffU), variantBits | ((bits >> 12U) & 0x3fffU),
                           random() >> 16U);
}

HttpRequest makeRead(const Attempt &attempt)
{
    const std::string target = absl::StrCat("/", attempt.service, "/", attempt.key,
                                            "?token=", attempt.token, "&attempt=", attempt.number);
    return {"GET", target, {}, {}, {}};
}

HttpRequest makeWrite(const Attempt &attempt)
{
    const std::string target = absl::StrCat("/", attempt.service, "/record?token=", attempt.token,
                                            "&attempt=", attempt.number);
    return {"POST",
            target,
            {{"Detector-Id", attempt.key}, {"Idempotency-Key", attempt.requestId}},
            R"({"result":"pass"})",
            {}};
}

void readOutcome(const HttpExchange &exchange, Attempt &attempt)
{
    attempt.outcome = Outcome::Unknown;
    switch (exchange.result) {
    case ExchangeResult::NotConnected:
        attempt.outcome = Outcome::NotRun;
        attempt.error = "not-connected";
        return;
    case ExchangeResult::Lost:
        attempt.error = "connection-lost";
        return;
    case ExchangeResult::TimedOut:
        attempt.error = "no-answer";
        return;
    case ExchangeResult::Answered:
        break;
    }
    const HttpAnswer &answer = exchange.answer;
    attempt.httpStatus = answer.status;
    attempt.error = findField(answer.fields, "Kumquat-Error").value_or("");
    const std::string outcome = findField(answer.fields, "Kumquat-Outcome").value_or("");
    if (outcome == "done") {
        attempt.outcome = Outcome::Done;
        const std::string mark = absl::StrCat("\"token\":\"", attempt.token, "\"");
        attempt.isAnswerWrong = answer.body.find(mark) == std::string::npos;
    } else if (outcome == "not-run") {
        attempt.outcome = Outcome::NotRun;
    } else {
        attempt.isAnswerWrong = outcome != "unknown";
    }
}

// --- sending

struct LoadGenerator::Sender
{
    std::vector<std::unique_ptr<HttpClient>> clients; // one per entry
    std::mt19937_64 random;
    std::vector<Attempt> attempts;
    std::size_t nextClient = 0;
};

LoadGenerator::LoadGenerator(const LoadOptions &initialOptions)
    : options(initialOptions)
    , tokenPrefix(makeTokenPrefix())
    , keyShares(makeKeyShares(initialOptions.keys, initialOptions.skew))
{
    assert(!this->options.entries.empty() && "options need at least one entry address");
    assert(!this->options.services.empty() && "options need at least one service");
}

std::vector<Attempt> LoadGenerator::run()
{
    this->start = readBootTime();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(this->options.threads));
    for (int number = 0; number < this->options.threads; ++number) {
        threads.emplace_back([this, number] {
            Sender sender;
            for (const Address &entry : this->options.entries) {
                sender.clients.push_back(std::make_unique<HttpClient>(entry));
            }
            sender.random.seed(this->options.seed * percent + static_cast<std::uint64_t>(number));
            sender.nextClient = sender.random() % sender.clients.size();
            this->sendAll(sender);
            const std::lock_guard lock(this->mutex);
            this->attempts.insert(this->attempts.end(), sender.attempts.begin(),
                                  sender.attempts.end());
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::sort(this->attempts.begin(), this->attempts.end(),
              [](const Attempt &a, const Attempt &b) { return a.due < b.due; });
    return std::move(this->attempts);
}

void LoadGenerator::sendAll(Sender &sender)
{
    const std::chrono::duration<double> interval(1.0 / this->options.rate);
    while (!this->isStopping) {
        const std::uint64_t index = this->nextIndex++;
        const auto offset = std::chrono::duration_cast<Duration>(interval * index);
        if (offset >= this->options.duration) {
            return;
        }
        const Time due = this->start + offset;
        const Time now = readBootTime();
        if (due > now) {
            std::this_thread::sleep_for(due - now);
        }
        this->sendOne(sender, index, due);
    }
}

void LoadGenerator::sendOne(Sender &sender, std::uint64_t index, Time due)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto rank =
            std::lower_bound(this->keyShares.begin(), this->keyShares.end(), uniform(sender.random))
            - this->keyShares.begin();
    Attempt attempt;
    attempt.token = absl::StrCat(this->tokenPrefix, "-", index);
    attempt.service = this->options.services[index % this->options.services.size()];
    attempt.key = absl::StrCat("D-", rank);
    attempt.due = due;
    if (static_cast<int>(sender.random() % percent) < this->options.writePercent) {
        attempt.requestId = makeRequestId(readWallTime(), sender.random);
    }
    this->send(sender, attempt);
    const bool mustRepeat = this->options.repeatsUnknown && !attempt.requestId.empty()
                            && attempt.outcome == Outcome::Unknown;
    if (mustRepeat) {
        std::this_thread::sleep_for(repeatDelay);
        Attempt repeat = attempt;
        repeat.number = 1;
        repeat.due = readBootTime();
        this->send(sender, repeat);
    }
    if (this->options.probesFailedKeys && attempt.outcome != Outcome::Done) {
        this->probe(sender, attempt);
    }
}

void LoadGenerator::send(Sender &sender, Attempt &attempt)
{
    const HttpRequest request = attempt.requestId.empty() ? makeRead(attempt) : makeWrite(attempt);
    HttpExchange exchange;
    for (std::size_t count = 0; count < sender.clients.size(); ++count) {
        HttpClient &client = *sender.clients[sender.nextClient++ % sender.clients.size()];
        exchange = client.send(request, this->options.timeout);
        if (exchange.result != ExchangeResult::NotConnected) {
            break;
        }
    }
    attempt.isAnswerWrong = false;
    readOutcome(exchange, attempt);
    attempt.finished = readBootTime();
    sender.attempts.push_back(attempt);
}

// --- probing

void LoadGenerator::probe(Sender &sender, const Attempt &failed)
{
    if (!this->claimProbe(failed)) {
        return;
    }
    const Time deadline = readBootTime() + maxProbeTime;
    Attempt attempt = failed;
    attempt.requestId.clear();
    attempt.isProbe = true;
    for (int number = 0; !this->isStopping && readBootTime() < deadline; ++number) {
        std::this_thread::sleep_for(probeInterval);
        attempt.token = absl::StrCat(failed.token, "-p", number);
        attempt.due = readBootTime();
        this->send(sender, attempt);
        if (attempt.outcome == Outcome::Done) {
            break;
        }
    }
    this->releaseProbe(failed);
}

bool LoadGenerator::claimProbe(const Attempt &failed)
{
    const std::lock_guard lock(this->mutex);
    return this->probedKeys.insert(absl::StrCat(failed.service, "/", failed.key)).second;
}

void LoadGenerator::releaseProbe(const Attempt &failed)
{
    const std::lock_guard lock(this->mutex);
    this->probedKeys.erase(absl::StrCat(failed.service, "/", failed.key));
}

} // namespace kumquat
