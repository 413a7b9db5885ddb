#include "net/operators.hpp"

#include <boost/asio/write.hpp>

namespace nettlestall::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAcceptPause{20};  // after an error such as too many descriptors
constexpr milliseconds kWholeCall{5000};  // from its connection to its reply, and to the far end's close
constexpr std::size_t kPassedOver = 1024;

}  // namespace

struct Operators::Call {
    Call(tcp::socket with, protocol::OperatorRequestHandler& events)
        : socket(std::move(with)), session(events), deadline(socket.get_executor(), kWholeCall) {}

    void close() {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    protocol::OperatorSession session;
    asio::steady_timer deadline;
};

Operators::Operators(asio::io_context& io, const tcp::endpoint& listen,
                     protocol::OperatorRequestHandler& events, Counters& counters)
    : acceptor_(io), events_(events), counters_(counters) {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(128);
}

Operators::~Operators() = default;

void Operators::start() {
    spawn(acceptor_.get_executor(), accept());
}

void Operators::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> Operators::accept() {
    asio::steady_timer pause(acceptor_.get_executor());
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            pause.expires_after(kAcceptPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        // Guards against callers that hold a connection and ask for nothing: the oldest, which has had the
        // longest to ask, makes room for one that may.
        open_.remove_if([](const auto& call) { return call.expired(); });
        if (open_.size() >= kMostCalls) {
            ++counters_.operator_calls_displaced;
            if (const auto oldest = open_.front().lock()) oldest->close();
            open_.pop_front();
        }
        ++counters_.operator_calls;
        auto call = std::make_shared<Call>(std::move(socket), events_);
        open_.push_back(call);
        spawn(acceptor_.get_executor(), serve(std::move(call), counters_));
    }
}

asio::awaitable<void> Operators::serve(std::shared_ptr<Call> call, Counters& counters) {
    call->deadline.async_wait([held = std::weak_ptr(call)](const boost::system::error_code& stopped) {
        if (const auto late = held.lock(); late && !stopped) late->close();
    });
    for (bool more = true; more;) {
        const auto space = call->session.read_buffer();
        const auto [error, bytes] = co_await call->socket.async_read_some(
            asio::buffer(space.data(), space.size()), asio::as_tuple(asio::use_awaitable));
        if (error || !call->socket.is_open()) co_return;
        more = call->session.consume(bytes);
    }
    const auto [error, written] = co_await asio::async_write(
        call->socket, asio::buffer(call->session.reply()), asio::as_tuple(asio::use_awaitable));
    if (error) co_return;
    ++counters.operator_calls_answered;
    // Guards against a reply lost to a reset: bytes that nobody has read would bring one.
    boost::system::error_code ignored;
    call->socket.shutdown(tcp::socket::shutdown_send, ignored);
    std::array<char, kPassedOver> passed_over;
    for (;;) {
        const auto [broken, bytes] = co_await call->socket.async_read_some(
            asio::buffer(passed_over), asio::as_tuple(asio::use_awaitable));
        if (broken || !call->socket.is_open()) co_return;
    }
}

}  // namespace nettlestall::net
