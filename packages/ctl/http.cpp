#include "ctl/http.h"

#include "base/text.h"

#include <utility> // Boost.Asio 1.74 uses std::exchange without including it

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <memory>

namespace kumquat {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t maxAnswerBytes = 64ULL * 1024 * 1024; // log batches may hold checkpoints
constexpr std::size_t maxOpenCalls = 128;                     // below the usual limit of open files
constexpr unsigned httpVersion = 11;

// One call. Its pending handlers keep it alive.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(asio::io_context &context, const HttpCall &call, const HttpLimits &callLimits,
         HttpResult &callResult)
        : limits(callLimits)
        , result(callResult)
        , stream(context)
    {
        this->request.version(httpVersion);
        this->request.method_string(call.method);
        this->request.target(call.target);
        this->request.set(http::field::host, call.server.toString());
        this->request.set(http::field::connection, "close");
        if (!call.contentType.empty()) {
            this->request.set(http::field::content_type, call.contentType);
        }
        this->request.body() = call.body;
        this->request.prepare_payload();
        this->parser.body_limit(maxAnswerBytes);
    }

    void start(const Address &server)
    {
        const auto address = asio::ip::make_address(server.ip);
        this->stream.expires_after(this->limits.connect);
        this->stream.async_connect(
                asio::ip::tcp::endpoint(address, server.port),
                [self = this->shared_from_this()](beast::error_code error) { self->send(error); });
    }

private:
    void send(beast::error_code error)
    {
        if (error) {
            this->result.reason = "no connection: " + error.message();
            return;
        }
        this->result.delivery = Delivery::Unknown;
        this->stream.expires_after(this->limits.answer);
        http::async_write(this->stream, this->request,
                          [self = this->shared_from_this()](beast::error_code sent, std::size_t) {
                              self->receive(sent);
                          });
    }

    // Reads the answer even if sending failed, as a server may answer before it has read the whole
    // body.
    void receive(beast::error_code)
    {
        http::async_read(this->stream, this->buffer, this->parser,
                         [self = this->shared_from_this()](beast::error_code read, std::size_t) {
                             self->finish(read);
                         });
    }

    void finish(beast::error_code error)
    {
        if (error) {
            this->result.reason = "no complete answer: " + error.message();
            return;
        }
        const auto &answer = this->parser.get();
        this->result.delivery = Delivery::Answered;
        this->result.status = static_cast<int>(answer.result_int());
        this->result.errorKind = std::string(answer["Kumquat-Error"]);
        this->result.body = answer.body();
    }

    HttpLimits limits;
    HttpResult &result;
    beast::tcp_stream stream;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
    beast::flat_buffer buffer;
};

} // namespace

std::vector<HttpResult> exchangeAll(const std::vector<HttpCall> &calls, const HttpLimits &limits)
{
    std::vector<HttpResult> results(calls.size());
    for (std::size_t first = 0; first < calls.size(); first += maxOpenCalls) {
        asio::io_context context;
        const std::size_t end = std::min(first + maxOpenCalls, calls.size());
        for (std::size_t index = first; index < end; ++index) {
            std::make_shared<Call>(context, calls[index], limits, results[index])
                    ->start(calls[index].server);
        }
        context.run();
    }
    return results;
}

HttpResult exchange(const HttpCall &call, const HttpLimits &limits)
{
    return exchangeAll({call}, limits).front();
}

std::string encodeQueryValue(const std::string &text)
{
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (absl::ascii_isalnum(byte) || std::string_view("-_.~").find(c) != std::string::npos) {
            encoded += c;
        } else {
            absl::StrAppend(&encoded, absl::StrFormat("%%%02X", byte));
        }
    }
    return encoded;
}

} // namespace kumquat
