#include "net/clients.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace nettlestall::net {
namespace {

constexpr std::chrono::milliseconds kAcceptPause{20};  // after an error such as too many descriptors

struct Writer final : protocol::CallerSession::Out {
    explicit Writer(Connection& to) : connection(to) {}
    void send(protocol::Frame frame) override { connection.send(std::move(frame)); }
    Connection& connection;
};

}  // namespace

Clients::Clients(asio::io_context& io, const tcp::endpoint& listen, std::size_t most, CallerEvents& events,
                 Counters& counters)
    : acceptor_(io), most_(most), events_(events), counters_(counters) {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(1024);
}

void Clients::start() {
    spawn(acceptor_.get_executor(), accept());
}

void Clients::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

bool Clients::idle() const {
    return std::all_of(open_.begin(), open_.end(), [](const auto& connection) { return connection->idle(); });
}

asio::awaitable<void> Clients::accept() {
    asio::steady_timer pause(acceptor_.get_executor());
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            pause.expires_after(kAcceptPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (open_.size() >= most_) {  // guards the descriptors that the carrier switches need
            ++counters_.client_connections_turned_away;
            continue;
        }
        ++counters_.client_connections;
        open_.push_back(std::make_shared<Connection>(std::move(socket), counters_));
        spawn(acceptor_.get_executor(), serve(open_.back()));
    }
}

asio::awaitable<void> Clients::serve(std::shared_ptr<Connection> connection) {
    Writer writer(*connection);
    protocol::CallerSession session(events_, writer, counters_, connection->origin());
    events_.caller_up(session);
    co_await connection->read_into(session, [] {});
    events_.caller_gone(session);
    connection->close();
    std::erase(open_, connection);
}

}  // namespace nettlestall::net
