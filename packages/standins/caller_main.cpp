#include "base/text.h"
#include "standins/load.h"
#include "standins/verdict.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace kumquat {
namespace {

constexpr const char *usage = R"(Stand-in for callers. It checks the answers against the ledgers.

Usage: caller_standin --entries LIST [options]

Options:
  --entries LIST      addresses of kumquatstage processes, IP:port,IP:port,...
  --services LIST     service names [default: testlog,certdesk]
  --rate N            requests/s [default: 200]
  --seconds N         duration in seconds [default: 5]
  --wait-s N          wait up to N s for all entries to serve all services [default: 0]
  --keys N            keys per service [default: 200]
  --skew X            exponent of the key distribution [default: 0.9]
  --writes PERCENT    share of non-idempotent requests [default: 30]
  --threads N         maximum number of requests in flight [default: 64]
  --timeout-ms N      time in ms that a caller waits for an answer [default: 2000]
  --seed N            seed of the random choices [default: 1]
  --no-repeat         do not repeat writes of unknown outcome
  --no-probe          do not probe failed keys until they are served again
  --upstreams LIST    addresses of upstreams whose ledgers are fetched over HTTP
  --ledgers LIST      ledger files
  --failed-at FILE    file that holds the CLOCK_BOOTTIME of an injected fault in ns
  --json              print JSON

Exit status: 0 all guarantees hold, 1 a guarantee is violated, 2 invalid arguments or no ledger.
)";

constexpr Duration ledgerTimeout = 10s;

using Options = std::map<std::string, docopt::value>;

std::vector<std::string> readList(const Options &options, const std::string &name)
{
    const docopt::value &value = options.at(name);
    return value ? absl::StrSplit(value.asString(), ',', absl::SkipEmpty())
                 : std::vector<std::string>();
}

absl::StatusOr<std::vector<Address>> readAddresses(const Options &options, const std::string &name)
{
    std::vector<Address> addresses;
    for (const std::string &text : readList(options, name)) {
        auto address = Address::parse(text);
        if (!address.ok()) {
            return address.status();
        }
        addresses.push_back(*std::move(address));
    }
    return addresses;
}

absl::StatusOr<LoadOptions> readOptions(const Options &options)
{
    auto entries = readAddresses(options, "--entries");
    if (!entries.ok()) {
        return entries.status();
    }
    LoadOptions result;
    result.entries = *std::move(entries);
    result.services = readList(options, "--services");
    result.rate = static_cast<double>(options.at("--rate").asLong());
    result.duration = std::chrono::seconds(options.at("--seconds").asLong());
    result.keys = static_cast<int>(options.at("--keys").asLong());
    result.writePercent = static_cast<int>(options.at("--writes").asLong());
    result.threads = static_cast<int>(options.at("--threads").asLong());
    result.timeout = std::chrono::milliseconds(options.at("--timeout-ms").asLong());
    result.seed = static_cast<std::uint64_t>(options.at("--seed").asLong());
    result.repeatsUnknown = !options.at("--no-repeat").asBool();
    result.probesFailedKeys = !options.at("--no-probe").asBool();
    if (!absl::SimpleAtod(options.at("--skew").asString(), &result.skew)) {
        return absl::InvalidArgumentError("--skew must be a number");
    }
    const bool isUsable = !result.entries.empty() && !result.services.empty() && result.rate > 0
                          && result.keys > 0 && result.threads > 0;
    if (!isUsable) {
        return absl::InvalidArgumentError("--entries, --services, --rate, --keys and --threads "
                                          "must not be empty, and numbers must be above 0");
    }
    return result;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

absl::StatusOr<Records> collectRecords(const Options &options)
{
    const auto upstreams = readAddresses(options, "--upstreams");
    if (!upstreams.ok()) {
        return upstreams.status();
    }
    std::string text;
    for (const Address &address : *upstreams) {
        HttpClient client(address);
        const HttpExchange exchange =
                client.send({"GET", "/control/ledger", {}, {}, {}}, ledgerTimeout);
        if (exchange.result != ExchangeResult::Answered) {
            return absl::UnavailableError("cannot fetch the ledger of upstream "
                                          + address.toString());
        }
        text += exchange.answer.body;
    }
    for (const std::string &path : readList(options, "--ledgers")) {
        const std::string lines = readFile(path);
        // Drops an incomplete last line, which a killed upstream leaves behind, so that it does not
        // merge with the first line of the next file.
        text += lines.substr(0, lines.rfind('\n') + 1);
    }
    return parseRecords(text);
}

std::optional<Time> readFailureTime(const Options &options)
{
    const docopt::value &path = options.at("--failed-at");
    std::int64_t time = 0;
    if (!path || !absl::SimpleAtoi(readFile(path.asString()), &time)) {
        return std::nullopt;
    }
    return Time(time);
}

int failWith(const absl::Status &status)
{
    std::cerr << toStd(status.message()) << '\n';
    return 2;
}

int runCaller(const Options &options)
{
    const auto loadOptions = readOptions(options);
    if (!loadOptions.ok()) {
        return failWith(loadOptions.status());
    }
    const auto startLimit = std::chrono::seconds(options.at("--wait-s").asLong());
    if (startLimit > Duration::zero() && !waitUntilServed(*loadOptions, startLimit)) {
        return failWith(
                absl::UnavailableError("not all entries served all services within --wait-s"));
    }
    LoadGenerator load(*loadOptions);
    const std::vector<Attempt> attempts = load.run();
    const auto records = collectRecords(options);
    if (!records.ok()) {
        return failWith(records.status());
    }
    const Verdict verdict = evaluate(attempts, *records, readFailureTime(options));
    std::cout << (options.at("--json").asBool() ? verdict.toJson() : verdict.toText());
    return verdict.meetsGuarantees() ? 0 : 1;
}

} // namespace
} // namespace kumquat

int main(int argc, char **argv)
{
    return kumquat::runCaller(docopt::docopt(kumquat::usage, {argv + 1, argv + argc}));
}
