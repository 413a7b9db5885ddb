// A TCP connection that carries the binary protocol of callers or carrier switches, and what all network
// drivers share: connecting, socket options, starting coroutines.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "calls/signals.hpp"
#include "calls/unconfirmed_releases.hpp"
#include "counters.hpp"
#include "protocol/codec.hpp"
#include "shared_budget.hpp"

namespace nettlestall::net {

namespace asio = boost::asio;
using asio::ip::tcp;

// The memory for the messages that wait for being written on all connections of one kind. Shared, since a
// coroutine may keep its connection for longer than the owner of the budget lives.
using QueueBudget = std::shared_ptr<SharedBudget>;

// Why a connection was closed, as far as this end knows; the first reason counts.
enum class CloseReason { none, far_end, malformed, stalled, superseded, restarted, overflow, stopped };
std::string_view to_string(CloseReason reason);

// Owns the socket. Messages are queued and written in order, several in one write. The queue is bounded by
// the connection's part of the budget and not by a size of its own: messages from many sources may come in
// one turn of the event loop, before the first of them can be written. The owner reads with read_into().
class Connection : public std::enable_shared_from_this<Connection> {
   public:
    Connection(tcp::socket socket, QueueBudget budget, Counters& counters);
    ~Connection();

    // Queues a short message whose loss the far end would not notice otherwise. Closes the connection if
    // there is no room for it.
    void send(protocol::Frame frame);
    // Queues a message of any size. False: there is no room for it, and the connection stays as it is.
    bool send_if_room(protocol::Frame frame);
    // Whether many bytes have waited for at least `time` without the far end taking any.
    bool is_blocked_for(std::chrono::steady_clock::duration time) const;
    void close(CloseReason reason = CloseReason::stopped);  // at once; queued messages are dropped
    CloseReason close_reason() const { return close_reason_; }
    // How a connection that is no longer open has ended.
    calls::ConnectionEnd end() const {
        return far_end_closed_ ? calls::ConnectionEnd::orderly : calls::ConnectionEnd::broken;
    }
    bool is_open() const { return socket_.is_open(); }
    CallerAddress remote_address() const;            // empty if there is no far end
    bool is_idle() const { return queue_.empty(); }  // everything queued has been written

    // Ends read_into(): at once if no write is under way, otherwise after its next read or when this is
    // called again without one. No byte that was read is lost.
    void pause_reading();
    // Whether the far end has closed or reset the connection, also if bytes that came before are unread.
    bool has_far_end_closed();
    // Releases the socket without closing it and returns its descriptor, -1 on error. The queue must be
    // empty.
    int release();

    // Reads into `session` and calls `on_read` after each read, before the session handles the bytes. Returns
    // false once the connection is closed or broken or the far end sent a malformed message, true once
    // reading was paused.
    template <class Session, class F>
    asio::awaitable<bool> read_into(Session& session, F on_read) {
        paused_ = false;
        for (;;) {
            const std::span<char> space = session.read_buffer();
            const auto [error, bytes] = co_await socket_.async_read_some(
                asio::buffer(space.data(), space.size()), asio::as_tuple(asio::use_awaitable));
            // If this end has closed the connection meanwhile, bytes that had arrived are discarded.
            if (paused_ && is_open() && error == asio::error::operation_aborted) co_return true;
            if (error) note_close_reason(CloseReason::far_end);
            if (error == asio::error::eof) far_end_closed_ = true;
            if (error || !is_open()) co_return false;
            on_read();
            if constexpr (requires { session.on_far_end_closed(); })
                if (has_far_end_closed()) session.on_far_end_closed();
            if (!session.consume(bytes)) {
                note_close_reason(CloseReason::malformed);
                co_return false;
            }
            if (paused_ && is_open()) co_return true;
        }
    }

   private:
    static asio::awaitable<void> write(std::shared_ptr<Connection> self);
    void note_close_reason(CloseReason reason) {
        if (close_reason_ == CloseReason::none) close_reason_ = reason;
    }
    void enqueue(protocol::Frame frame);
    // What the next write is to send: the first messages of the queue, without the bytes written already.
    std::vector<asio::const_buffer> next_buffers() const;
    // Removes the messages that are complete with `bytes` further written bytes.
    void remove_written(std::size_t bytes);

    tcp::socket socket_;
    Counters& counters_;
    QueueBudget budget_;
    std::deque<protocol::Frame> queue_;
    std::size_t held_bytes_ = 0;                             // by the messages of the queue
    std::size_t written_bytes_ = 0;                          // of the first message
    std::chrono::steady_clock::time_point last_progress_{};  // when bytes were written or the queue was empty
    bool writing_ = false, paused_ = false;
    bool far_end_closed_ = false;  // in an orderly way
    CloseReason close_reason_ = CloseReason::none;
};

// Measures for how long a message has been arriving on a connection, to find one that stops before its end.
class PartialMessage {
   public:
    using Clock = std::chrono::steady_clock;

    // To be called with every read, before the session handles its bytes.
    template <class Session>
    void on_read(const Session& session, Clock::time_point now) {
        if (!session.has_partial_message()) started_ = now;
        update(session);
        last_read_ = now;
    }
    // Whether a message is incomplete that began to arrive at least `age` ago.
    template <class Session>
    bool is_older_than(Clock::duration age, const Session& session, Clock::time_point now) {
        update(session);
        return session.has_partial_message() && now - started_ >= age;
    }
    Clock::time_point last_read() const { return last_read_; }

   private:
    // If the last read completed a message, the beginning of the next one came with the same read.
    template <class Session>
    void update(const Session& session) {
        if (whole_messages_ != session.whole_messages()) started_ = last_read_;
        whole_messages_ = session.whole_messages();
    }

    Clock::time_point last_read_ = Clock::now(), started_ = last_read_;
    std::uint64_t whole_messages_ = 0;
};

// Starts a coroutine. An exception that it throws leaves the event loop and ends the program with a message:
// a driver that stopped unnoticed would leave its peer without answers.
template <class Executor>
void spawn(Executor&& executor, asio::awaitable<void> coroutine) {
    asio::co_spawn(executor, std::move(coroutine), [](const std::exception_ptr& exception) {
        if (exception) std::rethrow_exception(exception);
    });
}

// Parses address:port with a numeric address, IPv6 in brackets or without. std::nullopt if it is malformed.
std::optional<tcp::endpoint> to_endpoint(const std::string& address);

// Connects within `time_out`; after that the socket is closed and the error is timed_out.
asio::awaitable<boost::system::error_code> connect(tcp::socket& socket, tcp::endpoint to,
                                                   std::chrono::microseconds time_out);

// Turns Nagle's algorithm off and TCP keep-alive on. Options that cannot be set are left as they are.
void configure_socket(tcp::socket& socket);

}  // namespace nettlestall::net
