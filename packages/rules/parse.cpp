// Parses and checks rules files.
//
// Sections: characters, line, attributes, file
#include "base/errors.h"
#include "base/text.h"
#include "rules/rules.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <map>
#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t maxServiceBytes = 64;
constexpr std::string_view nameMarks = "-_.";             // besides letters and digits
constexpr std::string_view tokenMarks = "!$%&'*+-.^_`|~"; // of header names, RFC 9110 without "#"
constexpr std::string_view queryMarks = "-_.~[]:";        // that need no percent-encoding

// --- characters ---

bool hasOnly(std::string_view text, std::string_view marks)
{
    return std::all_of(text.begin(), text.end(), [marks](unsigned char c) {
        return absl::ascii_isalnum(c) || marks.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

bool isControl(unsigned char c)
{
    return (c < ' ' && c != '\t') || c == 0x7f;
}

// Returns the length of the UTF-8 character at the start of the text, 0 if it is malformed.
std::size_t utf8Length(std::string_view text)
{
    const auto byteAt = [text](std::size_t index) {
        return static_cast<unsigned char>(text[index]);
    };
    const unsigned char first = byteAt(0);
    if (first < 0x80) {
        return 1;
    }
    const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    if (first < 0xc2 || first > 0xf4 || text.size() < length) {
        return 0;
    }
    for (std::size_t index = 1; index < length; ++index) {
        if ((byteAt(index) & 0xc0) != 0x80) {
            return 0;
        }
    }
    const unsigned char second = byteAt(1);
    const bool isOverlong = (first == 0xe0 && second < 0xa0) || (first == 0xf0 && second < 0x90);
    const bool isSurrogate = first == 0xed && second >= 0xa0;
    const bool isTooHigh = first == 0xf4 && second >= 0x90;
    return isOverlong || isSurrogate || isTooHigh ? 0 : length;
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = utf8Length(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

// --- line ---

// A line without its comment, and the comment.
struct SplitLine
{
    std::string_view words;
    std::string_view comment; // without "#" and surrounding blanks
};

std::string_view strip(std::string_view text)
{
    return toStd(absl::StripAsciiWhitespace(toAbsl(text)));
}

// A comment starts at a "#" at the start of the line or after a blank.
SplitLine splitComment(std::string_view line)
{
    for (std::size_t index = 0; index < line.size(); ++index) {
        const bool startsWord = index == 0 || absl::ascii_isspace(line[index - 1]);
        if (line[index] == '#' && startsWord) {
            return {line.substr(0, index), strip(line.substr(index + 1))};
        }
    }
    return {line, {}};
}

// Parses one line with a rule and collects its faults.
class LineParser
{
public:
    explicit LineParser(std::vector<std::string> &found)
        : faults(found)
    {}

    // Returns the rule; it is usable only if no fault was added.
    Rule parse(const SplitLine &line);

private:
    void fault(absl::string_view reason) { this->faults.emplace_back(reason); }

    void takeMethod(const std::string &word);
    void takePrefix(const std::string &word);
    void takeAttribute(const std::string &word);
    void takeService(const std::string &value);
    void takeKey(const std::string &value);
    void takeSegment(const std::string &value);
    void takeIdempotent(const std::string &value);
    void takeTimeout(const std::string &value);
    void checkMissing();

    std::vector<std::string> &faults;
    Rule rule;
    std::map<std::string, int> uses; // of each attribute
};

Rule LineParser::parse(const SplitLine &line)
{
    const std::vector<std::string> words =
            absl::StrSplit(toAbsl(line.words), absl::ByAnyChar(" \t"), absl::SkipEmpty());
    if (words.front() != "route") {
        this->fault(absl::StrCat("unknown word '", words.front(), "'; a rule starts with 'route'"));
        return {};
    }
    if (words.size() < 3) {
        this->fault("method or path prefix missing; expected 'route METHOD /PREFIX service=... "
                    "key=... idempotent=... timeout=...  # asked by NAME'");
        return {};
    }
    this->takeMethod(words[1]);
    this->takePrefix(words[2]);
    for (std::size_t index = 3; index < words.size(); ++index) {
        this->takeAttribute(words[index]);
    }
    this->checkMissing();
    this->rule.comment = std::string(line.comment);
    if (this->rule.comment.empty()) {
        this->fault("comment missing; end the rule with '# asked by NAME'");
    }
    return std::move(this->rule);
}

void LineParser::takeMethod(const std::string &word)
{
    const bool isName = std::all_of(word.begin(), word.end(),
                                    [](unsigned char c) { return absl::ascii_isupper(c); });
    if (word != "*" && !isName) {
        this->fault(absl::StrCat("bad method '", word, "'; expected upper case letters or '*'"));
    }
    this->rule.method = word;
}

void LineParser::takePrefix(const std::string &word)
{
    const std::string_view text = word;
    const bool hasDots = text.find("/./") != std::string_view::npos
                         || text.find("/../") != std::string_view::npos || text.ends_with("/.")
                         || text.ends_with("/..");
    if (!text.starts_with('/')) {
        this->fault(absl::StrCat("bad path prefix '", word, "'; expected '/' at its start"));
    } else if (text.find_first_of("?#%\\") != std::string_view::npos) {
        this->fault(absl::StrCat("bad path prefix '", word,
                                 "'; expected a decoded path without '?', '#', '%' and '\\'"));
    } else if (hasDots || text.find("//") != std::string_view::npos) {
        this->fault(absl::StrCat("bad path prefix '", word,
                                 "'; expected no empty, '.' or '..' segments"));
    }
    this->rule.prefix = word;
}

// --- attributes ---

void LineParser::takeAttribute(const std::string &word)
{
    const std::pair<std::string, std::string> parts = absl::StrSplit(word, absl::MaxSplits('=', 1));
    const auto &[name, value] = parts;
    const bool hasValue = word.find('=') != std::string::npos;
    if (hasValue && name == "service") {
        this->takeService(value);
    } else if (hasValue && name == "key") {
        this->takeKey(value);
    } else if (hasValue && name == "idempotent") {
        this->takeIdempotent(value);
    } else if (hasValue && name == "timeout") {
        this->takeTimeout(value);
    } else {
        this->fault(absl::StrCat("unknown word '", word,
                                 "'; expected service=, key=, idempotent= or timeout="));
        return;
    }
    if (++this->uses[name] == 2) {
        this->fault(absl::StrCat("duplicate word '", name, "='; expected it once"));
    }
}

void LineParser::takeService(const std::string &value)
{
    if (value.empty() || value.size() > maxServiceBytes || !hasOnly(value, nameMarks)) {
        this->fault(absl::StrCat("bad service '", value, "'; expected 1 to ", maxServiceBytes,
                                 " letters, digits, '-', '_' or '.'"));
    }
    this->rule.service = value;
}

void LineParser::takeKey(const std::string &value)
{
    const std::pair<std::string, std::string> parts =
            absl::StrSplit(value, absl::MaxSplits(':', 1));
    const auto source = keySourceNames.valueOf(parts.first);
    if (!source || parts.second.empty()) {
        this->fault(absl::StrCat("bad key '", value,
                                 "'; expected segment:N, header:NAME or query:NAME"));
        return;
    }
    this->rule.key.source = *source;
    if (*source == KeySource::Segment) {
        this->takeSegment(parts.second);
        return;
    }
    const bool isHeader = *source == KeySource::Header;
    if (!hasOnly(parts.second, isHeader ? tokenMarks : queryMarks)) {
        this->fault(absl::StrCat("bad key '", value, "'; expected letters, digits or any of ",
                                 toAbsl(isHeader ? tokenMarks : queryMarks)));
    }
    this->rule.key.name = parts.second;
}

void LineParser::takeSegment(const std::string &value)
{
    int segment = 0;
    const bool isNumber = hasOnly(value, {}) && absl::SimpleAtoi(value, &segment);
    if (!isNumber || segment < 1 || segment > maxKeySegment) {
        this->fault(absl::StrCat("bad key segment '", value, "'; expected 1 to ", maxKeySegment));
    }
    this->rule.key.segment = segment;
}

void LineParser::takeIdempotent(const std::string &value)
{
    if (value != "yes" && value != "no") {
        this->fault(absl::StrCat("bad idempotent '", value, "'; expected yes or no"));
    }
    this->rule.idempotent = value == "yes";
}

void LineParser::takeTimeout(const std::string &value)
{
    std::int64_t milliseconds = 0;
    const bool hasUnit = std::string_view(value).ends_with("ms");
    const std::string digits = hasUnit ? value.substr(0, value.size() - 2) : "";
    const bool isNumber = hasOnly(digits, {}) && absl::SimpleAtoi(digits, &milliseconds);
    if (!isNumber || milliseconds < minRuleTimeout.count()
        || milliseconds > maxRuleTimeout.count()) {
        this->fault(absl::StrCat("bad timeout '", value, "'; expected ", minRuleTimeout.count(),
                                 "ms to ", maxRuleTimeout.count(), "ms"));
    }
    this->rule.timeout = std::chrono::milliseconds(milliseconds);
}

void LineParser::checkMissing()
{
    for (const char *name : {"service", "key", "idempotent", "timeout"}) {
        if (!this->uses.contains(name)) {
            this->fault(absl::StrCat("word '", name, "=' missing"));
        }
    }
}

// --- file ---

// Collects the rules and the faults of a file.
struct FileParser
{
    std::string_view fileName;
    std::vector<Rule> rules;
    std::vector<std::string> faults;
    std::map<std::pair<std::string, std::string>, int> firstLines; // of each method and prefix

    void parseLine(std::string_view line, int number);
    std::vector<std::string> checkBytes(std::string_view line) const;
    void addRule(Rule rule, int number, std::vector<std::string> &found);
    void report(int number, const std::vector<std::string> &found);
};

// Faults in the bytes of a line; its words are then not parsed, so that no fault quotes them.
std::vector<std::string> FileParser::checkBytes(std::string_view line) const
{
    std::vector<std::string> found;
    if (line.size() > maxRuleLineBytes) {
        found.push_back(absl::StrCat("line of ", line.size(), " bytes; expected at most ",
                                     maxRuleLineBytes));
    }
    if (line.find('\0') != std::string_view::npos) {
        found.emplace_back("NUL byte; expected text");
    } else if (std::any_of(line.begin(), line.end(), isControl)) {
        found.emplace_back("control character; expected text");
    }
    if (!isUtf8(line)) {
        found.emplace_back("bad UTF-8");
    }
    return found;
}

void FileParser::parseLine(std::string_view line, int number)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    std::vector<std::string> found = this->checkBytes(line);
    const SplitLine parts = splitComment(line);
    if (found.empty() && !strip(parts.words).empty()) {
        Rule rule = LineParser(found).parse(parts);
        this->addRule(std::move(rule), number, found);
    }
    this->report(number, found);
}

void FileParser::addRule(Rule rule, int number, std::vector<std::string> &found)
{
    if (rule.prefix.empty()) {
        return;
    }
    const auto [first, isNew] =
            this->firstLines.try_emplace(std::pair(rule.method, rule.prefix), number);
    if (!isNew) {
        found.push_back(absl::StrCat("duplicate of line ", first->second, ": ", rule.method, " ",
                                     rule.prefix));
    }
    // The printed form has a blank after "#" and may be longer than the line that was read.
    if (found.empty() && rule.toString().size() > maxRuleLineBytes) {
        found.push_back(absl::StrCat("line is too long; expected at most ", maxRuleLineBytes,
                                     " bytes with a blank after '#'"));
    }
    if (found.empty()) {
        this->rules.push_back(std::move(rule));
    }
}

void FileParser::report(int number, const std::vector<std::string> &found)
{
    for (const std::string &reason : found) {
        this->faults.push_back(absl::StrCat(toAbsl(this->fileName), ":", number, ": ", reason));
    }
}

} // namespace

std::string Rule::toString() const
{
    const std::string keyValue = this->key.source == KeySource::Segment
                                         ? absl::StrCat(this->key.segment)
                                         : this->key.name;
    return absl::StrCat("route ", this->method, " ", this->prefix, " service=", this->service,
                        " key=", toAbsl(keySourceNames.nameOf(this->key.source)), ":", keyValue,
                        " idempotent=", this->idempotent ? "yes" : "no",
                        " timeout=", this->timeout.count(), "ms # ", this->comment);
}

absl::StatusOr<RuleSet> parseRules(std::string_view text, std::string_view fileName)
{
    FileParser file{fileName, {}, {}, {}};
    if (text.size() > maxRulesFileBytes) {
        file.report(1, {absl::StrCat("file of ", text.size(), " bytes; expected at most ",
                                     maxRulesFileBytes)});
    } else {
        int number = 0;
        for (const absl::string_view line : absl::StrSplit(toAbsl(text), '\n')) {
            file.parseLine(toStd(line), ++number);
        }
    }
    // Publishing an empty file by mistake would refuse every request.
    if (file.faults.empty() && file.rules.empty()) {
        file.report(1, {"no rule in the file; expected at least one"});
    }
    if (!file.faults.empty()) {
        return makeError(ErrorKind::RulesRefused, toStd(absl::StrJoin(file.faults, "\n")));
    }
    return RuleSet(std::move(file.rules));
}

} // namespace kumquat
