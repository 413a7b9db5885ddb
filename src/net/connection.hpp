// One TCP connection, whoever is at its far end: a bounded queue of messages and one writer that gathers
// them.
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

#include "counters.hpp"
#include "protocol/codec.hpp"

namespace nettlestall::net {

namespace asio = boost::asio;
using asio::ip::tcp;

// Bytes: what a connection holds at the most, queued messages and one that is read.
constexpr std::size_t kMostQueued = 64 * 1024;
constexpr std::size_t kMostBuffered = kMostQueued + protocol::kMaxMessageBytes;

class Connection : public std::enable_shared_from_this<Connection> {
   public:
    Connection(tcp::socket socket, Counters& counters);

    void send(protocol::Frame frame);
    void close();  // at once; what is queued is dropped
    bool open() const { return socket_.is_open(); }
    std::string origin() const;  // the far end, without its port
    bool idle() const { return queue_.empty(); }

    // The reading ends at the next chance, and no byte that was read is lost.
    void pause_reading();
    // Gives the socket up without closing it; nothing may be queued.
    int release();

    // Reads into `session` until the far end closes, breaks off or sends what is malformed: false then. True
    // where the reading was paused. Each read is told to `heard`.
    template <class Session, class F>
    asio::awaitable<bool> read_into(Session& session, F heard) {
        paused_ = false;
        for (;;) {
            const std::span<char> space = session.read_buffer();
            const auto [error, bytes] = co_await socket_.async_read_some(
                asio::buffer(space.data(), space.size()), asio::as_tuple(asio::use_awaitable));
            // Closed meanwhile: whoever did so wants to hear nothing more, though bytes had come.
            if (paused_ && open() && error == asio::error::operation_aborted) co_return true;
            if (error || !open()) co_return false;
            heard();
            if (!session.consume(bytes)) co_return false;
            if (paused_ && open()) co_return true;
        }
    }

   private:
    static asio::awaitable<void> write(std::shared_ptr<Connection> self);
    void count_whole(std::size_t frames, std::size_t bytes);  // of the first in the queue

    tcp::socket socket_;
    Counters& counters_;
    std::deque<protocol::Frame> queue_;
    std::size_t queued_ = 0;
    bool writing_ = false, paused_ = false;
};

// Watches for a message that has begun on a connection and does not go on to its end.
class HalfMessage {
   public:
    using Clock = std::chrono::steady_clock;

    // With every read, before its bytes go to the session.
    template <class Session>
    void heard(const Session& session, Clock::time_point now) {
        if (!session.has_partial_message()) began_ = now;
        look(session);
        heard_ = now;
    }
    template <class Session>
    bool older_than(Clock::duration age, const Session& session, Clock::time_point now) {
        look(session);
        return session.has_partial_message() && now - began_ >= age;
    }
    Clock::time_point last_read() const { return heard_; }

   private:
    // Where a read brought a message's end, what is begun now came with it.
    template <class Session>
    void look(const Session& session) {
        if (whole_ != session.whole_messages()) began_ = heard_;
        whole_ = session.whole_messages();
    }

    Clock::time_point heard_ = Clock::now(), began_ = heard_;
    std::uint64_t whole_ = 0;
};

// Starts a coroutine. What it throws ends the program with a message: a driver that stopped unnoticed would
// leave its peer without answers.
template <class Executor>
void spawn(Executor&& on, asio::awaitable<void> coroutine) {
    asio::co_spawn(on, std::move(coroutine), [](const std::exception_ptr& problem) {
        if (problem) std::rethrow_exception(problem);
    });
}

// Nothing if `address` is not of the form address:port with a numeric address.
std::optional<tcp::endpoint> to_endpoint(const std::string& address);

// Connects within `time_out`. The error is timed_out where nothing came up in time.
asio::awaitable<boost::system::error_code> connect(tcp::socket& socket, tcp::endpoint to,
                                                   std::chrono::microseconds time_out);

void set_up_socket(tcp::socket& socket);

}  // namespace nettlestall::net
