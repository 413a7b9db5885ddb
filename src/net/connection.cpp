#include "net/connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

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
// A far end that leaves less than this unread does not count as blocked.
constexpr std::size_t kMinBlockedBytes = 64 * 1024;

template <int Level, int Name>
using IntegerOption = asio::detail::socket_option::integer<Level, Name>;

}  // namespace

Connection::Connection(tcp::socket socket, QueueBudget budget, Counters& counters)
    : socket_(std::move(socket)), counters_(counters), budget_(std::move(budget)) {
    configure_socket(socket_);
}

Connection::~Connection() {
    budget_->remove(held_bytes_);
}

void Connection::send(protocol::Frame frame) {
    if (!is_open()) return;
    if (budget_->has_room_for(held_bytes_, frame.held_bytes())) return enqueue(std::move(frame));
    ++counters_.overflowed;
    close(CloseReason::overflow);
}

bool Connection::send_if_room(protocol::Frame frame) {
    if (!is_open()) return true;  // as with send(), what is sent after the end is dropped
    if (!budget_->has_room_for(held_bytes_, frame.held_bytes())) return false;
    enqueue(std::move(frame));
    return true;
}

bool Connection::is_blocked_for(std::chrono::steady_clock::duration time) const {
    return held_bytes_ >= kMinBlockedBytes && std::chrono::steady_clock::now() - last_progress_ >= time;
}

void Connection::enqueue(protocol::Frame frame) {
    if (queue_.empty()) last_progress_ = std::chrono::steady_clock::now();
    held_bytes_ += frame.held_bytes();
    budget_->add(frame.held_bytes());
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
        case CloseReason::restarted:
            return "the process at the far end has been replaced";
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
    // Resets it, since a far end that does not read would not learn of an orderly end either.
    if (reason == CloseReason::overflow) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    if (reason != CloseReason::overflow) socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

// Cancelling a socket also cuts off a write that is under way, so it is done only without one.
void Connection::pause_reading() {
    paused_ = true;
    boost::system::error_code ignored;
    if (!writing_) socket_.cancel(ignored);
}

bool Connection::has_far_end_closed() {
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

int Connection::release() {
    boost::system::error_code error;
    const int descriptor = socket_.release(error);
    return error ? -1 : descriptor;
}

CallerAddress Connection::remote_address() const {
    boost::system::error_code error;
    const tcp::endpoint remote = socket_.remote_endpoint(error);
    if (error) return {};
    return {.origin = remote.address().to_string(), .port = remote.port()};
}

// Writes the queue until it is empty or the connection fails. The coroutine keeps the connection alive: its
// owner may drop it before the coroutine starts.
asio::awaitable<void> Connection::write(std::shared_ptr<Connection> self) {
    while (!self->queue_.empty() && self->is_open()) {
        const auto [error, bytes] = co_await self->socket_.async_write_some(
            self->next_buffers(), asio::as_tuple(asio::use_awaitable));
        self->remove_written(bytes);
        if (error) self->close(CloseReason::far_end);
    }
    self->writing_ = false;
}

std::vector<asio::const_buffer> Connection::next_buffers() const {
    std::vector<asio::const_buffer> buffers;
    std::size_t written = written_bytes_;
    const auto add = [&buffers, &written](const std::string& bytes) {
        const std::size_t skipped = std::min(written, bytes.size());
        written -= skipped;
        if (skipped < bytes.size()) buffers.push_back(asio::buffer(bytes) + skipped);
    };
    const std::size_t frames = std::min(queue_.size(), kMaxFramesPerWrite);
    for (std::size_t i = 0; i < frames; ++i) {
        add(queue_[i].header);
        if (queue_[i].description) add(*queue_[i].description);
    }
    return buffers;
}

void Connection::remove_written(std::size_t bytes) {
    if (bytes > 0) last_progress_ = std::chrono::steady_clock::now();
    written_bytes_ += bytes;
    while (!queue_.empty() && written_bytes_ >= queue_.front().size()) {
        const protocol::Frame& first = queue_.front();
        written_bytes_ -= first.size();
        counters_.set_ups_written += first.is_attempt;
        held_bytes_ -= first.held_bytes();
        budget_->remove(first.held_bytes());
        queue_.pop_front();
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
