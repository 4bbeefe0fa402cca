// Matches requests to rules and extracts their keys.
//
// Sections: targets, rule set, key extraction
#include "base/errors.h"
#include "base/text.h"
#include "rules/rules.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace kumquat {
namespace {

// --- targets ---

constexpr std::string_view blanks = " \t";

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view queryOf(std::string_view target)
{
    const std::size_t mark = target.find('?');
    return mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// Returns the decoded text, or std::nullopt if a "%" is not followed by two hexadecimal digits.
std::optional<std::string> decodePercent(std::string_view text, bool plusIsSpace)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            decoded += plusIsSpace && text[index] == '+' ? ' ' : text[index];
            continue;
        }
        if (index + 2 >= text.size()) {
            return std::nullopt;
        }
        const int high = hexDigit(text[index + 1]);
        const int low = hexDigit(text[index + 2]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        decoded += static_cast<char>(high * 16 + low);
        index += 2;
    }
    return decoded;
}

// Returns whether the segment that starts after the slash at `slash` is "." or "..", or is empty
// but not the last one.
bool isAmbiguousSegment(std::string_view path, std::size_t slash)
{
    const std::size_t next = path.find('/', slash + 1);
    const bool isLast = next == std::string_view::npos;
    const std::string_view segment = path.substr(slash + 1, isLast ? next : next - slash - 1);
    return segment == "." || segment == ".." || (segment.empty() && !isLast);
}

// Returns whether all upstreams interpret the decoded path in the same way. Some resolve dot
// segments, merge slashes, or cut the path at a NUL byte.
bool isUnambiguousPath(std::string_view path)
{
    if (!path.starts_with('/') || path.find('\0') != std::string_view::npos) {
        return false;
    }
    for (std::size_t slash = 0; slash != std::string_view::npos;
         slash = path.find('/', slash + 1)) {
        if (isAmbiguousSegment(path, slash)) {
            return false;
        }
    }
    return true;
}

// Returns the decoded path of the target as a view of the target or the buffer, or std::nullopt if
// upstreams may interpret it as another path.
std::optional<std::string_view> unambiguousPathOf(std::string_view target, std::string &buffer)
{
    std::string_view path = pathOf(target);
    if (path.find_first_of("#\\") != std::string_view::npos) {
        return std::nullopt;
    }
    if (path.find('%') != std::string_view::npos) {
        std::optional<std::string> decoded = decodePercent(path, false);
        if (!decoded) {
            return std::nullopt;
        }
        buffer = std::move(*decoded);
        path = buffer;
    }
    return isUnambiguousPath(path) ? std::optional(path) : std::nullopt;
}

// Returns whether the prefix covers whole segments of the path: "/a" covers "/a/b", not "/ab".
bool coversPath(std::string_view prefix, std::string_view path)
{
    return path.starts_with(prefix)
           && (prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

// --- rule set ---

RuleSet::RuleSet(std::vector<Rule> rules)
    : ordered(std::move(rules))
{
    std::vector<std::size_t> order(this->ordered.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    // "*" sorts before every letter, so descending order of the methods puts it last.
    std::sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
        const Rule &a = this->ordered[left];
        const Rule &b = this->ordered[right];
        return a.prefix != b.prefix ? a.prefix < b.prefix : a.method > b.method;
    });
    for (const std::size_t index : order) {
        const std::string &prefix = this->ordered[index].prefix;
        if (!this->entries.empty() && this->entries.back().prefix == prefix) {
            this->entries.back().rules.push_back(index);
            continue;
        }
        int parent = static_cast<int>(this->entries.size()) - 1;
        while (parent >= 0 && !prefix.starts_with(this->entries[parent].prefix)) {
            parent = this->entries[parent].parent;
        }
        this->entries.push_back({prefix, parent, {index}});
    }
}

const Rule *RuleSet::findIn(const PrefixEntry &entry, std::string_view method) const
{
    for (const std::size_t index : entry.rules) {
        const Rule &rule = this->ordered[index];
        if (rule.method == method || rule.method == "*") {
            return &rule;
        }
    }
    return nullptr;
}

// Finds the last entry that is not greater than the path. Every entry that is a prefix of the path
// is also a prefix of that entry, so its chain of parents contains all of them, longest first.
const Rule *RuleSet::match(std::string_view method, std::string_view target) const
{
    std::string buffer;
    const std::optional<std::string_view> path = unambiguousPathOf(target, buffer);
    if (!path) {
        return nullptr;
    }
    const auto after = std::upper_bound(
            this->entries.begin(), this->entries.end(), *path,
            [](std::string_view text, const PrefixEntry &entry) { return text < entry.prefix; });
    int index = static_cast<int>(after - this->entries.begin()) - 1;
    while (index >= 0) {
        const PrefixEntry &entry = this->entries[index];
        const Rule *rule = coversPath(entry.prefix, *path) ? this->findIn(entry, method) : nullptr;
        if (rule != nullptr) {
            return rule;
        }
        index = entry.parent;
    }
    return nullptr;
}

// --- key extraction ---

namespace {

absl::Status makeMissingKey(const KeySpec &key)
{
    const std::string name =
            key.source == KeySource::Segment ? absl::StrCat(key.segment) : key.name;
    return makeError(ErrorKind::MissingKey,
                     toStd(absl::StrCat("the request has no key in ",
                                        toAbsl(keySourceNames.nameOf(key.source)), " ", name)));
}

absl::StatusOr<std::string> decodeKey(std::string_view text, bool plusIsSpace, const KeySpec &key)
{
    std::optional<std::string> decoded = decodePercent(text, plusIsSpace);
    if (!decoded) {
        return makeError(ErrorKind::BadRequest, "the key has a broken percent-encoding");
    }
    if (decoded->empty()) {
        return makeMissingKey(key);
    }
    return std::move(*decoded);
}

absl::StatusOr<std::string> extractSegment(const KeySpec &key, std::string_view target)
{
    std::string_view rest = pathOf(target);
    for (int segment = 1;; ++segment) {
        if (!rest.starts_with('/')) {
            return makeMissingKey(key);
        }
        rest.remove_prefix(1);
        const std::size_t end = std::min(rest.find('/'), rest.size());
        if (segment == key.segment) {
            return decodeKey(rest.substr(0, end), false, key);
        }
        rest.remove_prefix(end);
    }
}

absl::StatusOr<std::string> extractHeader(const KeySpec &key, const HeaderLookup &findHeader)
{
    std::string_view value = findHeader(key.name).value_or(std::string_view());
    value.remove_prefix(std::min(value.find_first_not_of(blanks), value.size()));
    value = value.substr(0, value.find_last_not_of(blanks) + 1);
    if (value.empty()) {
        return makeMissingKey(key);
    }
    return std::string(value);
}

absl::StatusOr<std::string> extractQuery(const KeySpec &key, std::string_view target)
{
    std::optional<std::string_view> found;
    std::string_view rest = queryOf(target);
    while (!rest.empty()) {
        const std::string_view field = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(field.size() + 1, rest.size()));
        const std::size_t equals = std::min(field.find('='), field.size());
        if (decodePercent(field.substr(0, equals), true) != key.name) {
            continue;
        }
        // If a parameter is repeated, upstreams differ in which value they use.
        if (found) {
            return makeError(ErrorKind::BadRequest, "the query contains the key more than once");
        }
        found = field.substr(std::min(equals + 1, field.size()));
    }
    return found ? decodeKey(*found, true, key) : makeMissingKey(key);
}

} // namespace

absl::StatusOr<std::string> extractKey(const Rule &rule, std::string_view target,
                                       const HeaderLookup &findHeader)
{
    switch (rule.key.source) {
    case KeySource::Segment:
        return extractSegment(rule.key, target);
    case KeySource::Header:
        return extractHeader(rule.key, findHeader);
    case KeySource::Query:
        return extractQuery(rule.key, target);
    }
    return makeMissingKey(rule.key);
}

} // namespace kumquat
