// Callers' connections: a listening socket and a coroutine for each connection, which reads into a
// protocol::CallerSession and writes what the session sends. Makes no decision about calls.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "net/connection.hpp"
#include "protocol/callers.hpp"

namespace nettlestall::net {

// Accepts and owns the connections of callers, up to a bound. Closes a connection when
//  - the far end closes it or sends a malformed message,
//  - it has sent no request for 2.8 s after it came up, or a message is incomplete for 2.8 s,
//  - many answers have waited for 20 s without the far end reading any of them,
//  - another connection needs its place (see displace_one()),
//  - it has no call and callers are to be sent elsewhere (close_idle_while()),
//  - the process ends.
class CallerConnections {
   public:
    // `max_connections`: open at the same time. `max_queue_bytes`: memory for the messages that wait for
    // being written on all of them.
    CallerConnections(asio::io_context& io, std::size_t max_connections, std::size_t max_queue_bytes,
                      CallerEvents& events, Counters& counters);
    ~CallerConnections();

    void listen(const tcp::endpoint& at);  // throws boost::system::system_error if it cannot
    void listen_on(int descriptor);        // takes over a listening socket of another process
    int listener_descriptor() { return acceptor_.native_handle(); }
    void start();  // accepts from now on
    // Accepts no connections; the listening socket stays open.
    void pause_accepting();
    void resume_accepting();

    // Hands each connection to `pass_on` as soon as it has no open set-up. The descriptor then belongs to
    // `pass_on`. Null: hands on no further ones.
    using PassOn = std::function<void(int descriptor, protocol::CallerState state)>;
    void pass_connections_to(PassOn pass_on) { pass_on_ = std::move(pass_on); }
    // Serves a connection that another process has passed on; owns the descriptor.
    void take_over_connection(int descriptor, const protocol::CallerState& state);
    std::size_t connection_count() const { return connections_.size(); }

    // While `predicate` is true, closes connections that have neither an open set-up nor a standing call.
    void close_idle_while(std::function<bool()> predicate) { may_close_idle_ = std::move(predicate); }
    // `held_elsewhere`: of these, how many another process holds that passes its connections on to this one.
    // Closes none of the open connections.
    void set_max_connections(std::size_t max_connections, std::size_t held_elsewhere = 0);
    void set_max_queue_bytes(std::size_t bytes) { queue_budget_->set_max_bytes(bytes); }
    void stop();           // accepts no connections any more; the open ones stay
    bool is_idle() const;  // everything queued has been written

   private:
    class Caller;

    asio::awaitable<void> accept();
    asio::awaitable<void> close_overdue();
    asio::awaitable<void> close_idle();
    void add(tcp::socket socket, const protocol::CallerState& state);
    asio::awaitable<void> serve(std::shared_ptr<Caller> caller);
    // False: each connection is needed.
    bool displace_one();
    // While another process passes its connections on, waits for it to make room. False: there is none.
    asio::awaitable<bool> wait_for_room();
    // Closes at once, not when the coroutine ends: nothing more is sent on it, and its place is free.
    void close(std::shared_ptr<Caller> caller);

    tcp::acceptor acceptor_;
    asio::steady_timer overdue_timer_, idle_timer_;
    std::function<bool()> may_close_idle_ = [] { return false; };
    std::size_t max_connections_;
    bool is_taking_over_ = false;  // another process still holds connections
    QueueBudget queue_budget_;
    CallerEvents& events_;
    Counters& counters_;
    std::vector<std::shared_ptr<Caller>> connections_;
    PassOn pass_on_;
    bool accepting_ = false, stopped_ = false;
};

}  // namespace nettlestall::net
