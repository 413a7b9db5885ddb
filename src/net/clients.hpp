// The callers: a listener, and a thin driver for each connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

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
    void use_most(std::size_t most) { most_ = most; }
    void stop();        // no new connections
    bool idle() const;  // all that was to be written has been

   private:
    class Client;

    asio::awaitable<void> accept();
    asio::awaitable<void> sweep();
    asio::awaitable<void> serve(std::shared_ptr<Client> client);
    bool make_room();
    void drop(std::shared_ptr<Client> client);

    tcp::acceptor acceptor_;
    asio::steady_timer sweep_;
    std::size_t most_;
    CallerEvents& events_;
    Counters& counters_;
    std::vector<std::shared_ptr<Client>> open_;
};

}  // namespace nettlestall::net
