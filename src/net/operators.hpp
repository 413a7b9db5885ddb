// The operators' address: a listener of its own, and a thin driver for each call.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

#include "counters.hpp"
#include "net/connection.hpp"
#include "protocol/operators.hpp"

namespace nettlestall::net {

class Operators {
   public:
    // Descriptors that the operators' calls may hold together, the listener's own not counted.
    static constexpr std::size_t kMostCalls = 16;

    // Listens at once; throws boost::system::system_error if it cannot.
    Operators(asio::io_context& io, const tcp::endpoint& listen, protocol::OperatorRequestHandler& events,
              Counters& counters);
    ~Operators();

    void start();
    void stop();

   private:
    struct Call;

    asio::awaitable<void> accept();
    static asio::awaitable<void> serve(std::shared_ptr<Call> call, Counters& counters);

    tcp::acceptor acceptor_;
    protocol::OperatorRequestHandler& events_;
    Counters& counters_;
    std::list<std::weak_ptr<Call>> open_;  // the oldest first; each is held by its coroutine
};

}  // namespace nettlestall::net
