// The callers: a listener, and a thin driver for each connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "net/connection.hpp"
#include "protocol/callers.hpp"

namespace nettlestall::net {

class Clients {
   public:
    // Listens at once; throws boost::system::system_error if it cannot.
    Clients(asio::io_context& io, const tcp::endpoint& listen, std::size_t most, CallerEvents& events,
            Counters& counters);
    ~Clients();

    void start();
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
};

}  // namespace nettlestall::net
