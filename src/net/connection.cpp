#include "net/connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>
#include <variant>
#include <vector>

namespace nettlestall::net {
namespace {

constexpr std::size_t kGathered = 32;  // messages in one write

template <int Level, int Name>
using SocketNumber = asio::detail::socket_option::integer<Level, Name>;

}  // namespace

Connection::Connection(tcp::socket socket, Counters& counters)
    : socket_(std::move(socket)), counters_(counters) {
    set_up_socket(socket_);
}

void Connection::send(protocol::Frame frame) {
    if (!socket_.is_open()) return;
    queued_ += frame.size();
    // Guards against a far end that reads nothing: its messages would fill the memory.
    if (queued_ > kMostQueued) {
        ++counters_.overflowed;
        return close();
    }
    queue_.push_back(std::move(frame));
    if (std::exchange(writing_, true)) return;
    spawn(socket_.get_executor(), write(shared_from_this()));
}

void Connection::close() {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

// Only the read is out: a write that has begun would be cut off, so none may be.
void Connection::pause_reading() {
    paused_ = true;
    boost::system::error_code ignored;
    if (!writing_) socket_.cancel(ignored);
}

int Connection::release() {
    boost::system::error_code error;
    const int descriptor = socket_.release(error);
    return error ? -1 : descriptor;
}

std::string Connection::origin() const {
    boost::system::error_code error;
    const tcp::endpoint far = socket_.remote_endpoint(error);
    return error ? std::string() : far.address().to_string();
}

// Holds the connection itself: nothing else may by the time that it starts.
asio::awaitable<void> Connection::write(std::shared_ptr<Connection> self) {
    std::deque<protocol::Frame>& queue = self->queue_;
    while (!queue.empty() && self->open()) {
        std::vector<asio::const_buffer> buffers;
        const std::size_t frames = std::min(queue.size(), kGathered);
        for (std::size_t i = 0; i < frames; ++i) {
            buffers.push_back(asio::buffer(queue[i].header));
            if (queue[i].description) buffers.push_back(asio::buffer(*queue[i].description));
        }
        const auto [error, bytes] =
            co_await asio::async_write(self->socket_, buffers, asio::as_tuple(asio::use_awaitable));
        self->count_whole(frames, bytes);
        if (error) {
            self->close();
            break;
        }
        self->queued_ -= bytes;
        queue.erase(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(frames));
    }
    self->writing_ = false;
}

// A write that breaks off may have brought some of its messages whole: the far end works on them.
void Connection::count_whole(std::size_t frames, std::size_t bytes) {
    for (std::size_t i = 0; i < frames && queue_[i].size() <= bytes; ++i) {
        bytes -= queue_[i].size();
        counters_.set_ups_written += queue_[i].is_attempt;
    }
}

std::optional<tcp::endpoint> to_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char* const last = address.data() + address.size();
    const auto [end, wrong] = std::from_chars(address.data() + colon + 1, last, port);
    if (error || wrong != std::errc{} || end != last) return std::nullopt;
    return tcp::endpoint(ip, port);
}

asio::awaitable<boost::system::error_code> connect(tcp::socket& socket, tcp::endpoint to,
                                                   std::chrono::microseconds time_out) {
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(socket.get_executor(), time_out);
    const auto first = co_await (socket.async_connect(to, asio::as_tuple(asio::use_awaitable)) ||
                                 timer.async_wait(asio::as_tuple(asio::use_awaitable)));
    if (first.index() == 0) co_return std::get<0>(std::get<0>(first));
    boost::system::error_code ignored;
    socket.close(ignored);
    co_return asio::error::timed_out;
}

void set_up_socket(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    // A machine that is gone says nothing: the kernel finds out within some seconds.
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(SocketNumber<IPPROTO_TCP, TCP_KEEPIDLE>(5), ignored);
    socket.set_option(SocketNumber<IPPROTO_TCP, TCP_KEEPINTVL>(2), ignored);
    socket.set_option(SocketNumber<IPPROTO_TCP, TCP_KEEPCNT>(3), ignored);
}

}  // namespace nettlestall::net
