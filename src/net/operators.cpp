#include "net/operators.hpp"

#include <boost/asio/write.hpp>

namespace nettlestall::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAcceptRetryPause{20};  // after an error such as too many descriptors
// From the start of a connection until the far end closes it after the reply.
constexpr milliseconds kMaxRequestTime{5000};
constexpr std::size_t kDiscardBufferBytes = 1024;  // for bytes that come after the request

}  // namespace

// One connection and its request; its coroutine keeps it alive.
struct OperatorServer::Request {
    Request(tcp::socket accepted, protocol::OperatorRequestHandler& handler)
        : socket(std::move(accepted)), session(handler), deadline(socket.get_executor(), kMaxRequestTime) {}

    void close() {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    protocol::OperatorSession session;
    asio::steady_timer deadline;
};

OperatorServer::OperatorServer(asio::io_context& io, const tcp::endpoint& listen,
                               protocol::OperatorRequestHandler& handler, Counters& counters)
    : acceptor_(io), handler_(handler), counters_(counters) {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(128);
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::start() {
    spawn(acceptor_.get_executor(), accept());
}

void OperatorServer::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> OperatorServer::accept() {
    asio::steady_timer pause(acceptor_.get_executor());
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            pause.expires_after(kAcceptRetryPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        // Connections that never send a request must not keep operators out: the oldest, which has had the
        // most time to send one, is closed for the new one.
        requests_.remove_if([](const auto& request) { return request.expired(); });
        if (requests_.size() >= kMaxRequests) {
            ++counters_.operator_calls_displaced;
            if (const auto oldest = requests_.front().lock()) oldest->close();
            requests_.pop_front();
        }
        ++counters_.operator_calls;
        auto request = std::make_shared<Request>(std::move(socket), handler_);
        requests_.push_back(request);
        spawn(acceptor_.get_executor(), serve(std::move(request), counters_));
    }
}

// Serves one operator's request: reads it, writes the reply and reads on until the operator closes the
// connection. Ended early by the time limit, by accept() for a newer connection and by any error.
asio::awaitable<void> OperatorServer::serve(std::shared_ptr<Request> request, Counters& counters) {
    request->deadline.async_wait([weak = std::weak_ptr(request)](const boost::system::error_code& cancelled) {
        if (const auto late = weak.lock(); late && !cancelled) late->close();
    });
    for (bool more = true; more;) {
        const auto space = request->session.read_buffer();
        const auto [error, bytes] = co_await request->socket.async_read_some(
            asio::buffer(space.data(), space.size()), asio::as_tuple(asio::use_awaitable));
        if (error || !request->socket.is_open()) co_return;
        more = request->session.consume(bytes);
    }
    const auto [error, written] = co_await asio::async_write(
        request->socket, asio::buffer(request->session.reply()), asio::as_tuple(asio::use_awaitable));
    if (error) co_return;
    ++counters.operator_calls_answered;
    // Closing a socket with unread bytes sends a TCP reset, which could destroy the reply before it is read.
    boost::system::error_code ignored;
    request->socket.shutdown(tcp::socket::shutdown_send, ignored);
    std::array<char, kDiscardBufferBytes> discarded;
    for (;;) {
        const auto [read_error, discarded_bytes] = co_await request->socket.async_read_some(
            asio::buffer(discarded), asio::as_tuple(asio::use_awaitable));
        if (read_error || !request->socket.is_open()) co_return;
    }
}

}  // namespace nettlestall::net
