// The callers: a listener, and a thin driver for each connection.
#pragma once

#include <boost/asio/io_context.hpp>

#include "net/connection.hpp"
#include "protocol/callers.hpp"

namespace nettlestall::net {

class Clients {
   public:
    // Listens at once; throws boost::system::system_error if it cannot.
    Clients(asio::io_context& io, const tcp::endpoint& listen, std::size_t most, CallerEvents& events,
            Counters& counters);

    void start();
    void use_most(std::size_t most) { most_ = most; }
    void stop();        // no new connections
    bool idle() const;  // all that was to be written has been

   private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<Connection> connection);

    tcp::acceptor acceptor_;
    std::size_t most_;
    CallerEvents& events_;
    Counters& counters_;
    std::vector<std::shared_ptr<Connection>> open_;
};

}  // namespace nettlestall::net
