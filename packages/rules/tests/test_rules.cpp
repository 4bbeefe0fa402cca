#include "base/errors.h"
#include "rules/rules.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace kumquat;

namespace {

const std::string attributes =
        " service=s key=segment:2 idempotent=yes timeout=10ms # asked by A\n";

std::optional<std::string_view> findNoHeader(std::string_view)
{
    return std::nullopt;
}

// Returns the error message of a rules file, or "" if it is valid.
std::string errorsOf(const std::string &text)
{
    const auto rules = parseRules(text, "f");
    return rules.ok() ? "" : std::string(rules.status().message());
}

// Returns "METHOD PREFIX" of the rule that matches, or "".
std::string matched(const RuleSet &rules, std::string_view method, std::string_view target)
{
    const Rule *rule = rules.match(method, target);
    return rule == nullptr ? "" : rule->method + " " + rule->prefix;
}

// Returns the extracted key of a request, or the name of the error.
std::string keyOf(const std::string &key, const std::string &target)
{
    const auto rules =
            parseRules("route * / service=s key=" + key + " idempotent=no timeout=900ms # A", "f");
    const auto found = extractKey(rules->rules().front(), target, [](std::string_view name) {
        return name == "Id" ? std::optional<std::string_view>(" D 1\t") : std::nullopt;
    });
    return found.ok() ? *found : std::string(errorInfo(errorKindOf(found.status())).name);
}

// Generates paths and prefixes from a few segments, so that they often match.
rc::Gen<std::string> genPath()
{
    const auto segments = rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("a", "ab", "b"));
    return rc::gen::map(rc::gen::pair(segments, rc::gen::arbitrary<bool>()), [](const auto &parts) {
        std::string path;
        for (const std::string &segment : parts.first) {
            path += "/" + segment;
        }
        return parts.second || path.empty() ? path + "/" : path;
    });
}

} // namespace

// Guards against an error that is not reported, or is reported without its line.
TEST_CASE("all errors of a file are reported with their lines")
{
    const std::string good = "route GET /a/" + attributes;
    const std::string noRule = "f:1: no rule in the file; expected at least one";
    REQUIRE(errorsOf("") == noRule);
    REQUIRE(errorsOf("# comment only\n\n  \t\r\n" + good) == "");
    REQUIRE(errorsOf(good + good) == "f:2: duplicate of line 1: GET /a/");
    REQUIRE(errorsOf("path GET /a\n" + good + "route x a# service= # A")
            == "f:1: unknown word 'path'; a rule starts with 'route'\n"
               "f:3: bad method 'x'; expected upper case letters or '*'\n"
               "f:3: bad path prefix 'a#'; expected '/' at its start\n"
               "f:3: bad service ''; expected 1 to 64 letters, digits, '-', '_' or '.'\n"
               "f:3: word 'key=' missing\n"
               "f:3: word 'idempotent=' missing\n"
               "f:3: word 'timeout=' missing");
    const auto errorOf = [](const std::string &line) { return errorsOf("route GET /a" + line); };
    REQUIRE(errorOf(" service=s key=segment:2 idempotent=yes timeout=10ms")
            == "f:1: comment missing; end the rule with '# asked by NAME'");
    REQUIRE(errorOf(" colour=red" + attributes)
            == "f:1: unknown word 'colour=red'; expected service=, key=, idempotent= or timeout=");
    REQUIRE(errorOf(" timeout=5ms" + attributes)
            == "f:1: duplicate word 'timeout='; expected it once");
    REQUIRE(errorOf("/../b" + attributes)
            == "f:1: bad path prefix '/a/../b'; expected no empty, '.' or '..' segments");
    for (const char *timeout :
         {"0ms", "901ms", "1s", "ms", "-1ms", "+1ms", "99999999999999999ms"}) {
        REQUIRE(errorOf(" service=s key=segment:1 idempotent=no timeout=" + std::string(timeout)
                        + " # A")
                == "f:1: bad timeout '" + std::string(timeout) + "'; expected 1ms to 900ms");
    }
    for (const char *key : {"segment:0", "segment:65", "segment:x", "header:", "cookie:a",
                            "header:a:b", "query:a=b", ""}) {
        REQUIRE(errorsOf("route GET / service=s idempotent=no timeout=1ms key=" + std::string(key)
                         + " # A")
                        .starts_with("f:1: bad key"));
    }
    REQUIRE(errorsOf(std::string("# a\0", 4)) == "f:1: NUL byte; expected text");
    REQUIRE(errorsOf("# \x1b[2J") == "f:1: control character; expected text");
    for (const char *bad : {"\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82", "\x80"}) {
        REQUIRE(errorsOf("# " + std::string(bad)) == "f:1: bad UTF-8");
    }
    REQUIRE(errorsOf("#" + std::string(1023, 'x')) == noRule);
    REQUIRE(errorsOf("#" + std::string(1024, 'x'))
            == "f:1: line of 1025 bytes; expected at most 1024");
    REQUIRE(errorsOf(std::string(262'144, '\n')) == noRule);
    REQUIRE(errorsOf(std::string(262'145, '\n'))
            == "f:1: file of 262145 bytes; expected at most 262144");
}

// Guards against a request that runs under the rule of another path.
TEST_CASE("the longest prefix takes precedence, then the named method")
{
    const auto rules = parseRules("route * /" + attributes + "route GET /a" + attributes
                                          + "route * /a/" + attributes + "route POST /a/"
                                          + attributes + "route GET /a/b/" + attributes,
                                  "f");
    REQUIRE(matched(*rules, "GET", "/ab") == "* /");
    REQUIRE(matched(*rules, "GET", "/a?x=/a/b/") == "GET /a");
    REQUIRE(matched(*rules, "PUT", "/a") == "* /");
    REQUIRE(matched(*rules, "POST", "/a/") == "POST /a/");
    REQUIRE(matched(*rules, "GET", "/a/b/c") == "GET /a/b/");
    REQUIRE(matched(*rules, "POST", "/a/b/c") == "POST /a/");
    REQUIRE(matched(*rules, "PUT", "/a/b/c") == "* /a/");
    REQUIRE(matched(*rules, "GET", "/%61%2fb/c") == "GET /a/b/");
    for (const char *target : {"/b/../a/x", "/b/%2e%2E/a/x", "/.", "//a/x", "/%2fa/x", "/a%00/x",
                               "/a#/x", "/b\\..\\a", "/%", "/%4", "/%zz", "", "a", "http://h/a"}) {
        REQUIRE(matched(*rules, "GET", target) == "");
    }
}

TEST_CASE("keys are found in segment, header and query")
{
    REQUIRE(keyOf("segment:2", "/testlog/D%2f1%20?x") == "D/1 ");
    REQUIRE(keyOf("segment:2", "/testlog/a+b/c") == "a+b");
    REQUIRE(keyOf("segment:2", "/testlog/") == "missing-key");
    REQUIRE(keyOf("segment:2", "/testlog?/x") == "missing-key");
    REQUIRE(keyOf("segment:1", "/%4") == "bad-request");
    REQUIRE(keyOf("header:Id", "/") == "D 1");
    REQUIRE(keyOf("header:Other", "/") == "missing-key");
    REQUIRE(keyOf("query:id", "/?x=1&i%64=a+b%26&y") == "a b&");
    REQUIRE(keyOf("query:id", "/?id") == "missing-key");
    REQUIRE(keyOf("query:id", "/?xid=1") == "missing-key");
    REQUIRE(keyOf("query:id", "/?id=%") == "bad-request");
    REQUIRE(keyOf("query:id", "/?id=1&id=2") == "bad-request");
}

// Guards against a crash or a partly accepted file with malicious input.
TEST_CASE("any bytes give rules or errors")
{
    rc::prop("random bytes", [](const std::string &text) {
        const auto rules = parseRules(text, "f");
        RC_ASSERT(rules.ok() || errorKindOf(rules.status()) == ErrorKind::RulesRefused);
    });
    rc::prop("random words", [] {
        const auto word = rc::gen::element<std::string>(
                "route", "GET", "*", "/", "/a", "service=s", "key=segment:1", "key=query:q", "#",
                "idempotent=no", "timeout=9ms", "timeout=", "\n", " ", "\xff", "=", ":");
        std::string text;
        for (const auto &part : *rc::gen::container<std::vector<std::string>>(word)) {
            text += part + " ";
        }
        const auto rules = parseRules(text, "f");
        RC_ASSERT(rules.ok() || !rules.status().message().empty());
    });
    rc::prop("a target never crashes match and extractKey", [](const std::string &target) {
        const auto rules = parseRules("route * /" + attributes, "f");
        rules->match("GET", target);
        (void)extractKey(rules->rules().front(), target, findNoHeader);
    });
}

// Guards against a printed rule that parses to a different rule, which would break `kumquatctl`.
TEST_CASE("a printed rule parses to the same rule")
{
    rc::prop("rule, text, rule", [] {
        const auto name = rc::gen::nonEmpty(
                rc::gen::container<std::string>(rc::gen::element('a', 'Z', '9', '-', '.')));
        Rule rule;
        rule.method = *rc::gen::element<std::string>("*", "GET", "POST");
        rule.prefix = "/" + *name + *rc::gen::element<std::string>("", "/", "/\xe0\xb4\x95");
        rule.service = (*name).substr(0, 64);
        rule.key.source =
                *rc::gen::element(KeySource::Segment, KeySource::Header, KeySource::Query);
        if (rule.key.source == KeySource::Segment) {
            rule.key.segment = *rc::gen::inRange(1, maxKeySegment + 1);
        } else {
            rule.key.name = *name;
        }
        rule.idempotent = *rc::gen::arbitrary<bool>();
        rule.timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 901));
        rule.comment = "asked by " + *name + " # " + *name;
        RC_PRE(rule.prefix.find("/.") == std::string::npos);
        const auto rules = parseRules(rule.toString(), "f");
        RC_ASSERT(rules.ok());
        RC_ASSERT(rules->rules() == std::vector<Rule>{rule});
    });
    const std::string line = "route * / service=s key=segment:1 idempotent=no timeout=1ms #";
    const auto longest = parseRules(line + std::string(1023 - line.size(), 'x'), "f");
    REQUIRE(parseRules(longest->rules().front().toString(), "f").ok());
    REQUIRE_FALSE(parseRules(line + std::string(1024 - line.size(), 'x'), "f").ok());
}

// Guards against a bug in the sorted search by comparing it with a search through all rules.
TEST_CASE("match finds the same rule as a linear search")
{
    rc::prop("match", [] {
        std::string text;
        const auto prefixes =
                *rc::gen::nonEmpty(rc::gen::container<std::set<std::string>>(genPath()));
        for (const auto &prefix : prefixes) {
            text += "route " + *rc::gen::element<std::string>("*", "GET") + " " + prefix
                    + attributes;
        }
        const auto rules = parseRules(text, "f");
        RC_ASSERT(rules.ok());
        const std::string path = *genPath();
        const Rule *best = nullptr;
        for (const Rule &rule : rules->rules()) {
            const std::string &prefix = rule.prefix;
            const bool covers = path == prefix || path.starts_with(prefix + "/")
                                || (prefix.back() == '/' && path.starts_with(prefix));
            const bool isLonger = best == nullptr || prefix.size() > best->prefix.size()
                                  || (prefix == best->prefix && rule.method == "GET");
            best = covers && isLonger ? &rule : best;
        }
        RC_ASSERT(rules->match("GET", path) == best);
    });
}
