// The callers: a listener, and a thin driver for each connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "net/connection.hpp"
#include "protocol/callers.hpp"

namespace nettlestall::net {

class CallerConnections {
   public:
    CallerConnections(asio::io_context& io, std::size_t most, CallerEvents& events, Counters& counters);
    ~CallerConnections();

    void listen(const tcp::endpoint& at);  // throws boost::system::system_error if it cannot
    void listen_on(int descriptor);        // of a listening socket that another process has passed on
    int listener() { return acceptor_.native_handle(); }
    void start();
    // No connections are accepted; the listening socket stays.
    void pause();
    void resume();

    // Passes each connection on, in a gap without an open set-up, with what has come of a message that has
    // begun. Null: no more.
    using Pass = std::function<void(int descriptor, bool has_asked, std::string begun)>;
    void pass_on_by(Pass pass) { pass_ = std::move(pass); }
    void adopt(int descriptor, bool has_asked, std::string_view begun);
    std::size_t open() const { return open_.size(); }

    // Closes connections without an open set-up, as long as `wanted` says so.
    void send_away_while(std::function<bool()> wanted) { away_ = std::move(wanted); }
    void use_most(std::size_t most) { most_ = most; }
    void stop();        // no new connections
    bool idle() const;  // all that was to be written has been

   private:
    class Client;

    asio::awaitable<void> accept();
    asio::awaitable<void> sweep();
    asio::awaitable<void> send_away();
    void take_in(tcp::socket socket, bool has_asked, std::string_view begun);
    asio::awaitable<void> serve(std::shared_ptr<Client> client);
    bool make_room();
    void drop(std::shared_ptr<Client> client);

    tcp::acceptor acceptor_;
    asio::steady_timer sweep_, away_tick_;
    std::function<bool()> away_ = [] { return false; };
    std::size_t most_;
    CallerEvents& events_;
    Counters& counters_;
    std::vector<std::shared_ptr<Client>> open_;
    Pass pass_;
    bool accepting_ = false, stopped_ = false;
};

}  // namespace nettlestall::net
