// The operators' HTTP address: a listening socket and a coroutine for each connection, which carries one
// request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

#include "counters.hpp"
#include "net/connection.hpp"
#include "protocol/operators.hpp"

namespace nettlestall::net {

// Accepts operators' connections, reads one request from each into a protocol::OperatorSession and writes its
// reply. Closes a connection 5 s after it came up, or when it is the oldest and another one needs its place.
class OperatorServer {
   public:
    // Connections open at the same time, each of which holds a descriptor. The listening socket's descriptor
    // is not counted.
    static constexpr std::size_t kMaxRequests = 16;

    // Listens at once; throws boost::system::system_error if it cannot.
    OperatorServer(asio::io_context& io, const tcp::endpoint& listen,
                   protocol::OperatorRequestHandler& handler, Counters& counters);
    ~OperatorServer();

    void start();  // accepts from now on
    void stop();   // accepts no further connections

   private:
    struct Request;

    asio::awaitable<void> accept();
    static asio::awaitable<void> serve(std::shared_ptr<Request> request, Counters& counters);

    tcp::acceptor acceptor_;
    protocol::OperatorRequestHandler& handler_;
    Counters& counters_;
    std::list<std::weak_ptr<Request>> requests_;  // the oldest first; each is held by its coroutine
};

}  // namespace nettlestall::net
