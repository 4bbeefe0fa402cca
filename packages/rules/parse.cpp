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
constexpr std::string_view nameMarks = "-_.";             // allowed besides letters and digits
constexpr std::string_view tokenMarks = "!$%&'*+-.^_`|~"; // in header names: RFC 9110 without "#"
constexpr std::string_view queryMarks = "-_.~[]:"; // characters that need no percent-encoding

// --- characters ---

// Returns whether the text has only letters, digits and the given marks.
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

// Splits a line at its comment, which starts at a "#" at the start of the line or after a blank.
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

// Parses a line that contains a rule and collects the errors in it.
class LineParser
{
public:
    explicit LineParser(std::vector<std::string> &lineErrors)
        : errors(lineErrors)
    {}

    // Returns the rule; it is valid only if no error was added.
    Rule parse(const SplitLine &line);

private:
    void addError(absl::string_view reason) { this->errors.emplace_back(reason); }

    void parseMethod(const std::string &word);
    void parsePrefix(const std::string &word);
    void parseAttribute(const std::string &word);
    void parseService(const std::string &value);
    void parseKey(const std::string &value);
    void parseSegment(const std::string &value);
    void parseIdempotent(const std::string &value);
    void parseTimeout(const std::string &value);
    void checkMissing();

    std::vector<std::string> &errors;
    Rule rule;
    std::map<std::string, int> useCounts; // number of uses of each attribute
};

Rule LineParser::parse(const SplitLine &line)
{
    const std::vector<std::string> words =
            absl::StrSplit(toAbsl(line.words), absl::ByAnyChar(" \t"), absl::SkipEmpty());
    if (words.front() != "route") {
        this->addError(
                absl::StrCat("unknown word '", words.front(), "'; a rule starts with 'route'"));
        return {};
    }
    if (words.size() < 3) {
        this->addError("method or path prefix missing; expected 'route METHOD /PREFIX service=... "
                       "key=... idempotent=... timeout=...  # asked by NAME'");
        return {};
    }
    this->parseMethod(words[1]);
    this->parsePrefix(words[2]);
    for (std::size_t index = 3; index < words.size(); ++index) {
        this->parseAttribute(words[index]);
    }
    this->checkMissing();
    this->rule.comment = std::string(line.comment);
    if (this->rule.comment.empty()) {
        this->addError("comment missing; end the rule with '# asked by NAME'");
    }
    return std::move(this->rule);
}

void LineParser::parseMethod(const std::string &word)
{
    const bool isName = std::all_of(word.begin(), word.end(),
                                    [](unsigned char c) { return absl::ascii_isupper(c); });
    if (word != "*" && !isName) {
        this->addError(absl::StrCat("bad method '", word, "'; expected upper case letters or '*'"));
    }
    this->rule.method = word;
}

void LineParser::parsePrefix(const std::string &word)
{
    const std::string_view text = word;
    const bool hasDots = text.find("/./") != std::string_view::npos
                         || text.find("/../") != std::string_view::npos || text.ends_with("/.")
                         || text.ends_with("/..");
    if (!text.starts_with('/')) {
        this->addError(absl::StrCat("bad path prefix '", word, "'; expected '/' at its start"));
    } else if (text.find_first_of("?#%\\") != std::string_view::npos) {
        this->addError(absl::StrCat("bad path prefix '", word,
                                    "'; expected a decoded path without '?', '#', '%' and '\\'"));
    } else if (hasDots || text.find("//") != std::string_view::npos) {
        this->addError(absl::StrCat("bad path prefix '", word,
                                    "'; expected no empty, '.' or '..' segments"));
    }
    this->rule.prefix = word;
}

// --- attributes ---

void LineParser::parseAttribute(const std::string &word)
{
    const std::pair<std::string, std::string> parts = absl::StrSplit(word, absl::MaxSplits('=', 1));
    const auto &[name, value] = parts;
    const bool hasValue = word.find('=') != std::string::npos;
    if (hasValue && name == "service") {
        this->parseService(value);
    } else if (hasValue && name == "key") {
        this->parseKey(value);
    } else if (hasValue && name == "idempotent") {
        this->parseIdempotent(value);
    } else if (hasValue && name == "timeout") {
        this->parseTimeout(value);
    } else {
        this->addError(absl::StrCat("unknown word '", word,
                                    "'; expected service=, key=, idempotent= or timeout="));
        return;
    }
    if (++this->useCounts[name] == 2) {
        this->addError(absl::StrCat("duplicate word '", name, "='; expected it once"));
    }
}

void LineParser::parseService(const std::string &value)
{
    if (value.empty() || value.size() > maxServiceBytes || !hasOnly(value, nameMarks)) {
        this->addError(absl::StrCat("bad service '", value, "'; expected 1 to ", maxServiceBytes,
                                    " letters, digits, '-', '_' or '.'"));
    }
    this->rule.service = value;
}

void LineParser::parseKey(const std::string &value)
{
    const std::pair<std::string, std::string> parts =
            absl::StrSplit(value, absl::MaxSplits(':', 1));
    const auto source = keySourceNames.valueOf(parts.first);
    if (!source || parts.second.empty()) {
        this->addError(absl::StrCat("bad key '", value,
                                    "'; expected segment:N, header:NAME or query:NAME"));
        return;
    }
    this->rule.key.source = *source;
    if (*source == KeySource::Segment) {
        this->parseSegment(parts.second);
        return;
    }
    const bool isHeader = *source == KeySource::Header;
    if (!hasOnly(parts.second, isHeader ? tokenMarks : queryMarks)) {
        this->addError(absl::StrCat("bad key '", value, "'; expected letters, digits or any of ",
                                    toAbsl(isHeader ? tokenMarks : queryMarks)));
    }
    this->rule.key.name = parts.second;
}

void LineParser::parseSegment(const std::string &value)
{
    int segment = 0;
    const bool isNumber = hasOnly(value, {}) && absl::SimpleAtoi(value, &segment);
    if (!isNumber || segment < 1 || segment > maxKeySegment) {
        this->addError(
                absl::StrCat("bad key segment '", value, "'; expected 1 to ", maxKeySegment));
    }
    this->rule.key.segment = segment;
}

void LineParser::parseIdempotent(const std::string &value)
{
    if (value != "yes" && value != "no") {
        this->addError(absl::StrCat("bad idempotent '", value, "'; expected yes or no"));
    }
    this->rule.idempotent = value == "yes";
}

void LineParser::parseTimeout(const std::string &value)
{
    std::int64_t milliseconds = 0;
    const bool hasUnit = std::string_view(value).ends_with("ms");
    const std::string digits = hasUnit ? value.substr(0, value.size() - 2) : "";
    const bool isNumber = hasOnly(digits, {}) && absl::SimpleAtoi(digits, &milliseconds);
    if (!isNumber || milliseconds < minRuleTimeout.count()
        || milliseconds > maxRuleTimeout.count()) {
        this->addError(absl::StrCat("bad timeout '", value, "'; expected ", minRuleTimeout.count(),
                                    "ms to ", maxRuleTimeout.count(), "ms"));
    }
    this->rule.timeout = std::chrono::milliseconds(milliseconds);
}

void LineParser::checkMissing()
{
    for (const char *name : {"service", "key", "idempotent", "timeout"}) {
        if (!this->useCounts.contains(name)) {
            this->addError(absl::StrCat("word '", name, "=' missing"));
        }
    }
}

// --- file ---

// Collects the rules and the errors of a file.
struct FileParser
{
    std::string_view fileName;
    std::vector<Rule> rules;
    std::vector<std::string> errors;
    std::map<std::pair<std::string, std::string>, int> firstLines; // by method and prefix

    void parseLine(std::string_view line, int number);
    std::vector<std::string> checkBytes(std::string_view line) const;
    void addRule(Rule rule, int number, std::vector<std::string> &lineErrors);
    void report(int number, const std::vector<std::string> &lineErrors);
};

// Returns the errors in the bytes of a line. The words of such a line are not parsed, so that no
// error message quotes them.
std::vector<std::string> FileParser::checkBytes(std::string_view line) const
{
    std::vector<std::string> lineErrors;
    if (line.size() > maxRuleLineBytes) {
        lineErrors.push_back(absl::StrCat("line of ", line.size(), " bytes; expected at most ",
                                          maxRuleLineBytes));
    }
    if (line.find('\0') != std::string_view::npos) {
        lineErrors.emplace_back("NUL byte; expected text");
    } else if (std::any_of(line.begin(), line.end(), isControl)) {
        lineErrors.emplace_back("control character; expected text");
    }
    if (!isUtf8(line)) {
        lineErrors.emplace_back("bad UTF-8");
    }
    return lineErrors;
}

void FileParser::parseLine(std::string_view line, int number)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    std::vector<std::string> lineErrors = this->checkBytes(line);
    const SplitLine parts = splitComment(line);
    if (lineErrors.empty() && !strip(parts.words).empty()) {
        Rule rule = LineParser(lineErrors).parse(parts);
        this->addRule(std::move(rule), number, lineErrors);
    }
    this->report(number, lineErrors);
}

void FileParser::addRule(Rule rule, int number, std::vector<std::string> &lineErrors)
{
    if (rule.prefix.empty()) {
        return;
    }
    const auto [first, isNew] =
            this->firstLines.try_emplace(std::pair(rule.method, rule.prefix), number);
    if (!isNew) {
        lineErrors.push_back(absl::StrCat("duplicate of line ", first->second, ": ", rule.method,
                                          " ", rule.prefix));
    }
    // The printed form has a blank after "#" and may be longer than the line that was read.
    if (lineErrors.empty() && rule.toString().size() > maxRuleLineBytes) {
        lineErrors.push_back(absl::StrCat("line is too long; expected at most ", maxRuleLineBytes,
                                          " bytes with a blank after '#'"));
    }
    if (lineErrors.empty()) {
        this->rules.push_back(std::move(rule));
    }
}

void FileParser::report(int number, const std::vector<std::string> &lineErrors)
{
    for (const std::string &reason : lineErrors) {
        this->errors.push_back(absl::StrCat(toAbsl(this->fileName), ":", number, ": ", reason));
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
    // An empty file that is published by mistake would refuse every request.
    if (file.errors.empty() && file.rules.empty()) {
        file.report(1, {"no rule in the file; expected at least one"});
    }
    if (!file.errors.empty()) {
        return makeError(ErrorKind::RulesRefused, toStd(absl::StrJoin(file.errors, "\n")));
    }
    return RuleSet(std::move(file.rules));
}

} // namespace kumquat
