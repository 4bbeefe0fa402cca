// Parses and checks rules files, matches requests to rules and extracts the keys of requests.
//
// Sections: key, rule, rule set, parsing, key extraction
//
//   absl::StatusOr<RuleSet> rules = parseRules(text, "shop.rules");
//   const Rule *rule = rules->match("GET", "/testlog/D-1?full=1");   // nullptr: NoRule
//   absl::StatusOr<std::string> key = extractKey(*rule, target, findHeader);
#pragma once

#include "base/names.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

inline constexpr std::size_t maxRuleLineBytes = 1'024;
inline constexpr std::size_t maxRulesFileBytes = 262'144;
inline constexpr std::chrono::milliseconds minRuleTimeout{1};
inline constexpr std::chrono::milliseconds maxRuleTimeout{900};
inline constexpr int maxKeySegment = 64;

// --- key ---

// The part of a request that contains its key.
enum class KeySource : std::uint8_t { Segment, Header, Query };

inline constexpr NameTable<KeySource, 3> keySourceNames{{{{KeySource::Segment, "segment"},
                                                          {KeySource::Header, "header"},
                                                          {KeySource::Query, "query"}}}};

struct KeySpec
{
    KeySource source = KeySource::Segment;
    int segment = 0;  // 1-based path segment, 1 to maxKeySegment; 0 for the other sources
    std::string name; // of the header or query parameter; empty for a segment

    bool operator==(const KeySpec &) const = default;
};

// --- rule ---

// One line of a rules file.
struct Rule
{
    std::string method; // upper case name, or "*" for any
    std::string prefix; // of the percent-decoded path; matches whole segments only
    std::string service;
    KeySpec key;
    bool idempotent = false;
    std::chrono::milliseconds timeout{}; // minRuleTimeout to maxRuleTimeout
    std::string comment;                 // names the person who asked for the rule

    // Returns a line that parses to this rule, without a line break.
    std::string toString() const;

    bool operator==(const Rule &) const = default;
};

// --- rule set ---

// The checked rules of one file. Immutable, so several threads may read it at once.
class RuleSet
{
public:
    // Returns the rule for a request, or nullptr. Among the rules that match both path and method
    // the longest prefix takes precedence, then the named method. The target is the one on the
    // request line: a path, optionally with a query. A path that upstreams may interpret as another
    // path (broken percent-encoding, a "#", a backslash, a NUL byte, "." or ".." segments, or empty
    // segments before the end) matches no rule, because the request could run under the rule of
    // another path. The pointer is valid as long as this set.
    const Rule *match(std::string_view method, std::string_view target) const;

    // Returns the rules in the order of the file.
    const std::vector<Rule> &rules() const { return this->ordered; }

private:
    friend absl::StatusOr<RuleSet> parseRules(std::string_view text, std::string_view fileName);

    // All rules of one prefix.
    struct PrefixEntry
    {
        std::string prefix;
        int parent = -1; // longest other entry that is a prefix of this one; -1: none
        std::vector<std::size_t> rules; // indices into `ordered`, "*" last
    };

    explicit RuleSet(std::vector<Rule> rules);

    const Rule *findIn(const PrefixEntry &entry, std::string_view method) const;

    std::vector<Rule> ordered;
    std::vector<PrefixEntry> entries; // sorted by prefix
};

// --- parsing ---

// Parses and checks a whole file. Error: RulesRefused, whose message has one line
// "FILE:LINE: reason" per error, in the order of the lines.
absl::StatusOr<RuleSet> parseRules(std::string_view text, std::string_view fileName);

// --- key extraction ---

// Returns the value of a request header by its case-insensitive name, or std::nullopt.
using HeaderLookup = std::function<std::optional<std::string_view>(std::string_view name)>;

// Returns the key of a request that matched the rule. Segments and query values are
// percent-decoded; "+" in a query value is a space. Errors: MissingKey if the key is absent or
// empty; BadRequest if its percent-encoding is invalid or the query contains it more than once.
absl::StatusOr<std::string> extractKey(const Rule &rule, std::string_view target,
                                       const HeaderLookup &findHeader);

} // namespace kumquat
