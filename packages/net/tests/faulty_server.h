// Test server whose answers are written by a script, so that they may break the protocol.
//
//   FaultyServer server([](FaultyServer::Socket &socket, int request) {
//       return writeAll(socket, "HTTP/1.1 200 OK\r\n") && false; // ends within the head
//   });
#pragma once

#include "base/address.h"
#include "net/fibers.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace kumquat {

// Serves each connection in its own thread. The script is called after the head of each request,
// writes the answer and returns whether the connection stays open.
class FaultyServer
{
public:
    using Socket = asio::ip::tcp::socket;

    // `request`: number of the request on the connection, starting at 1.
    using Script = std::function<bool(Socket &socket, int request)>;

    explicit FaultyServer(Script serverScript)
        : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , script(std::move(serverScript))
        , acceptThread([this] { this->accept(); })
    {}

    ~FaultyServer()
    {
        shutdown(this->acceptor.native_handle(), SHUT_RDWR);
        this->acceptThread.join();
        for (std::thread &thread : this->connectionThreads) {
            thread.join();
        }
    }

    Address address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    void accept()
    {
        while (true) {
            ErrorCode error;
            Socket socket(this->io);
            this->acceptor.accept(socket, error);
            if (error) {
                return;
            }
            this->connectionThreads.emplace_back(
                    [this, connection = std::move(socket)]() mutable { this->serve(connection); });
        }
    }

    void serve(Socket &socket)
    {
        std::string input;
        ErrorCode error;
        for (int request = 1;; ++request) {
            const std::size_t bytes =
                    asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
            if (error || !this->script(socket, request)) {
                return;
            }
            input.erase(0, bytes);
        }
    }

    asio::io_context io;
    asio::ip::tcp::acceptor acceptor;
    Script script;
    std::vector<std::thread> connectionThreads;
    std::thread acceptThread;
};

// Returns false if the connection is closed.
inline bool writeAll(FaultyServer::Socket &socket, std::string_view bytes)
{
    ErrorCode error;
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()), error);
    return !error;
}

} // namespace kumquat
