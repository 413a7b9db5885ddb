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

constexpr std::size_t kMaxFramesPerWrite = 32;

template <int Level, int Name>
using IntegerOption = asio::detail::socket_option::integer<Level, Name>;

}  // namespace

Connection::Connection(tcp::socket socket, Counters& counters)
    : socket_(std::move(socket)), counters_(counters) {
    configure_socket(socket_);
}

void Connection::send(protocol::Frame frame) {
    if (!socket_.is_open()) return;
    queued_bytes_ += frame.size();
    // The messages to a far end that does not read must not fill the memory.
    if (queued_bytes_ > kMaxQueuedBytes) {
        ++counters_.overflowed;
        return close(CloseReason::overflow);
    }
    queue_.push_back(std::move(frame));
    if (std::exchange(writing_, true)) return;
    spawn(socket_.get_executor(), write(shared_from_this()));
}

std::string_view to_string(CloseReason reason) {
    switch (reason) {
        case CloseReason::none:
            return "open";
        case CloseReason::far_end:
            return "closed or reset by the far end";
        case CloseReason::malformed:
            return "malformed message";
        case CloseReason::stalled:
            return "a message stopped half-way";
        case CloseReason::superseded:
            return "silent, and replaced by a newer connection";
        case CloseReason::overflow:
            return "the far end reads too slowly";
        case CloseReason::stopped:
            return "closed at this end";
    }
    return "unknown";
}

void Connection::close(CloseReason reason) {
    note_close_reason(reason);
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

// Cancelling a socket also cuts off a write that is under way, so it is done only without one.
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

std::string Connection::remote_address() const {
    boost::system::error_code error;
    const tcp::endpoint remote = socket_.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

// Writes the queue until it is empty or the connection fails. The coroutine keeps the connection alive: its
// owner may drop it before the coroutine starts.
asio::awaitable<void> Connection::write(std::shared_ptr<Connection> self) {
    std::deque<protocol::Frame>& queue = self->queue_;
    while (!queue.empty() && self->is_open()) {
        std::vector<asio::const_buffer> buffers;
        const std::size_t frames = std::min(queue.size(), kMaxFramesPerWrite);
        for (std::size_t i = 0; i < frames; ++i) {
            buffers.push_back(asio::buffer(queue[i].header));
            if (queue[i].description) buffers.push_back(asio::buffer(*queue[i].description));
        }
        const auto [error, bytes] =
            co_await asio::async_write(self->socket_, buffers, asio::as_tuple(asio::use_awaitable));
        self->count_written_set_ups(frames, bytes);
        if (error) {
            self->close(CloseReason::far_end);
            break;
        }
        self->queued_bytes_ -= bytes;
        queue.erase(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(frames));
    }
    self->writing_ = false;
}

// Also after a write that failed: the far end handles the messages that were written completely.
void Connection::count_written_set_ups(std::size_t frames, std::size_t bytes) {
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
    const auto [end, parse_error] = std::from_chars(address.data() + colon + 1, last, port);
    if (error || parse_error != std::errc{} || end != last) return std::nullopt;
    return tcp::endpoint(ip, port);
}

asio::awaitable<boost::system::error_code> connect(tcp::socket& socket, tcp::endpoint to,
                                                   std::chrono::microseconds time_out) {
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(socket.get_executor(), time_out);
    const auto completed = co_await (socket.async_connect(to, asio::as_tuple(asio::use_awaitable)) ||
                                     timer.async_wait(asio::as_tuple(asio::use_awaitable)));
    if (completed.index() == 0) co_return std::get<0>(std::get<0>(completed));
    boost::system::error_code ignored;
    socket.close(ignored);
    co_return asio::error::timed_out;
}

void configure_socket(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    // A machine that has failed does not close its connections: the kernel finds out within 11 s (5 s of
    // silence, then 3 probes 2 s apart).
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(5), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(2), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(3), ignored);
}

}  // namespace nettlestall::net
