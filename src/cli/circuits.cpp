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

constexpr auto kPatience = std::chrono::seconds(5);
constexpr std::size_t kLongestReply = 4 * 1024 * 1024;

// The whole reply, or what went wrong.
asio::awaitable<void> ask(net::tcp::endpoint to, std::string request, std::string& reply,
                          boost::system::error_code& error) {
    net::tcp::socket socket(co_await asio::this_coro::executor);
    error = co_await net::connect(socket, to, kPatience);
    if (error) co_return;
    co_await asio::async_write(socket, asio::buffer(request), asio::as_tuple(asio::use_awaitable));
    const auto [end, bytes] = co_await asio::async_read(socket, asio::dynamic_buffer(reply, kLongestReply),
                                                        asio::as_tuple(asio::use_awaitable));
    if (end != asio::error::eof) error = end;
}

}  // namespace

int send_operators_request(const std::string& at, const std::string& method, const std::string& target) {
    const auto to = net::to_endpoint(at);
    if (!to) {
        std::cerr << "nettlestall: '" << at << "': a numeric address:port is expected\n";
        return kUsageError;
    }
    asio::io_context io(1);
    std::string reply;
    boost::system::error_code error = asio::error::timed_out;
    net::spawn(io, ask(*to, method + " " + target + " HTTP/1.1\r\nHost: gatekeeper\r\n\r\n", reply, error));
    io.run_for(kPatience);
    const auto body = reply.find("\r\n\r\n");
    if (error || body == std::string::npos || reply.size() < 12) {
        std::cerr << "nettlestall: no answer from " << at << ": "
                  << (error ? error.message() : std::string("not one that can be read")) << '\n';
        return kUnreachable;
    }
    const bool done = reply.substr(9, 3) == "200";
    (done ? std::cout : std::cerr) << reply.substr(body + 4);
    return done ? kSuccess : kRefused;
}

}  // namespace nettlestall::cli
