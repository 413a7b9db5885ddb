#include "cli/circuits.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <iostream>

#include "net/connection.hpp"

namespace nettlestall::cli {
namespace {

namespace asio = boost::asio;

// Limits of the whole request, connecting included.
constexpr auto kRequestTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;

// Connects, sends the request and reads until the far end closes. Sets `reply`, or `error` if that fails.
asio::awaitable<void> exchange_messages(net::tcp::endpoint endpoint, std::string request, std::string& reply,
                                        boost::system::error_code& error) {
    net::tcp::socket socket(co_await asio::this_coro::executor);
    error = co_await net::connect(socket, endpoint, kRequestTimeout);
    if (error) co_return;
    co_await asio::async_write(socket, asio::buffer(request), asio::as_tuple(asio::use_awaitable));
    const auto [read_error, bytes] = co_await asio::async_read(
        socket, asio::dynamic_buffer(reply, kMaxReplyBytes), asio::as_tuple(asio::use_awaitable));
    if (read_error != asio::error::eof) error = read_error;
}

}  // namespace

int send_operators_request(const std::string& address, const std::string& method, const std::string& target) {
    const auto endpoint = net::to_endpoint(address);
    if (!endpoint) {
        std::cerr << "nettlestall: '" << address << "': a numeric address:port is expected\n";
        return kUsageError;
    }
    asio::io_context io(1);
    std::string reply;
    boost::system::error_code error = asio::error::timed_out;
    net::spawn(io,
               exchange_messages(*endpoint, method + " " + target + " HTTP/1.1\r\nHost: gatekeeper\r\n\r\n",
                                 reply, error));
    io.run_for(kRequestTimeout);
    const auto header_end = reply.find("\r\n\r\n");
    if (error || header_end == std::string::npos || reply.size() < 12) {
        std::cerr << "nettlestall: no reply from " << address << ": "
                  << (error ? error.message() : std::string("the reply is malformed")) << '\n';
        return kUnreachable;
    }
    // The status line begins with "HTTP/1.1 200".
    const bool succeeded = reply.substr(9, 3) == "200";
    (succeeded ? std::cout : std::cerr) << reply.substr(header_end + 4);
    return succeeded ? kSuccess : kRefused;
}

}  // namespace nettlestall::cli
