#include "net/trunk_links.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1000};  // each also acknowledges what was received
constexpr milliseconds kMaxSilence{3000};         // the link is closed after that; the log line names 3 s
constexpr milliseconds kMaxHelloTime{3000};       // for a new connection to identify itself
constexpr milliseconds kMinConnectTimeOut{1000}, kMaxConnectTimeOut{4000};  // doubling with each time-out
constexpr milliseconds kMinReconnectPause{100}, kMaxReconnectPause{3000};   // between dials, doubling
constexpr milliseconds kAcceptRetryPause{20}, kListenRetryPause{50};
constexpr std::size_t kReadBufferBytes = 16 * 1024;

}  // namespace

// One connection of a group. Bytes to send are collected while a write is under way.
class TrunkLinks::Link : public std::enable_shared_from_this<Link> {
   public:
    Link(tcp::socket socket, trunk::TrunkManager::Trunk& group) : trunk(group), socket_(std::move(socket)) {
        configure_socket(socket_);
    }

    trunk::TrunkManager::Trunk& trunk;
    Clock::time_point last_read = Clock::now();

    tcp::socket& socket() { return socket_; }
    bool is_open() const { return socket_.is_open() && !closing_; }
    bool is_idle() const { return !writing_; }

    void send(std::string bytes) {
        if (bytes.empty() || !is_open()) return;
        waiting_ += bytes;
        if (!std::exchange(writing_, true)) spawn(socket_.get_executor(), write(shared_from_this()));
    }
    // Closes once the queued bytes are written; nothing more can be sent.
    void close_after_writing() {
        closing_ = true;
        if (!writing_) close();
    }
    void close() {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

   private:
    static asio::awaitable<void> write(std::shared_ptr<Link> self) {
        while (!self->waiting_.empty() && self->socket_.is_open()) {
            self->being_written_ = std::exchange(self->waiting_, {});
            const auto [error, bytes] = co_await asio::async_write(
                self->socket_, asio::buffer(self->being_written_), asio::as_tuple(asio::use_awaitable));
            if (error) self->close();
        }
        self->writing_ = false;
        if (self->closing_) self->close();
    }

    tcp::socket socket_;
    std::string waiting_, being_written_;
    bool writing_ = false, closing_ = false;
};

TrunkLinks::TrunkLinks(asio::io_context& io, trunk::TrunkManager& trunk_manager,
                       std::optional<tcp::endpoint> listen, trunk::TrunkManager::Clock clock, Warn warn)
    : io_(io),
      trunk_manager_(trunk_manager),
      clock_(std::move(clock)),
      warn_(std::move(warn)),
      listen_(listen),
      acceptor_(io),
      alarm_(io),
      heartbeat_timer_(io) {
    trunk_manager_.on_output([this](trunk::TrunkManager::Trunk& trunk) { write_output(trunk); });
    trunk_manager_.on_schedule([this](Instant at) { schedule(at); });
}

TrunkLinks::~TrunkLinks() = default;

void TrunkLinks::add_dialled(trunk::TrunkManager::Trunk& trunk, const tcp::endpoint& to) {
    dialled_.push_back({&trunk, to});
}

void TrunkLinks::start() {
    if (listen_) spawn(io_, accept());
    for (const Dialled& dialled : dialled_) spawn(io_, keep_connected(dialled));
    spawn(io_, send_heartbeats());
}

void TrunkLinks::stop() {
    stopped_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    alarm_.cancel();
    heartbeat_timer_.cancel();
    for (const auto& [trunk, link] : std::exchange(links_, {})) {
        link->close();
        trunk->disconnected();
    }
}

bool TrunkLinks::is_idle() const {
    return std::all_of(links_.begin(), links_.end(), [](const auto& at) { return at.second->is_idle(); });
}

// ---- Connections -------------------------------------------------------------------------------------

bool TrunkLinks::listen() {
    acceptor_.open(listen_->protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    boost::system::error_code error;
    acceptor_.bind(*listen_, error);
    if (error == asio::error::address_in_use) return acceptor_.close(), false;
    if (error) throw boost::system::system_error(error, "trunk listen");
    acceptor_.listen(64, error);
    if (error == asio::error::address_in_use) return acceptor_.close(), false;
    if (error) throw boost::system::system_error(error, "trunk listen");
    return true;
}

// Listens and accepts connections of far hubs until stop().
asio::awaitable<void> TrunkLinks::accept() {
    asio::steady_timer pause(io_);
    for (bool warned = false; !stopped_ && !listen(); warned = true) {
        if (!warned) warn_("the trunk address is in use, trying again");
        pause.expires_after(kListenRetryPause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    while (!stopped_) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (stopped_) co_return;
        if (error) {
            pause.expires_after(kAcceptRetryPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        unidentified_.remove_if([](const auto& known) { return known.expired(); });
        if (unidentified_.size() >= kMaxUnidentified) {
            boost::system::error_code ignored;
            if (const auto oldest = unidentified_.front().lock()) oldest->close(ignored);
            unidentified_.pop_front();
        }
        auto shared = std::make_shared<tcp::socket>(std::move(socket));
        unidentified_.push_back(shared);
        spawn(io_, identify(std::move(shared)));
    }
}

// Serves an accepted connection: reads the far end's hello and then serves the link. Only after a hello that
// names a known group and agrees with its settings does the connection replace the group's present one, so
// that nobody else who connects can cut a working link. Closed without a hello in time, or after a Bye with
// the reason if it differs.
asio::awaitable<void> TrunkLinks::identify(std::shared_ptr<tcp::socket> socket) {
    asio::steady_timer limit(io_, kMaxHelloTime);
    limit.async_wait([weak = std::weak_ptr(socket)](const boost::system::error_code& cancelled) {
        boost::system::error_code ignored;
        if (const auto late = weak.lock(); late && !cancelled) late->close(ignored);
    });
    std::string received;
    std::array<char, 512> buffer;
    trunk::Frame frame;
    for (;;) {
        const auto [error, bytes] =
            co_await socket->async_read_some(asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        if (error || stopped_ || !socket->is_open()) co_return;
        received.append(buffer.data(), bytes);
        trunk::FrameReader reader;
        reader.append(received);
        const auto next = reader.next(frame);
        if (next == trunk::FrameReader::Status::complete) break;
        if (next == trunk::FrameReader::Status::malformed || received.size() > kReadBufferBytes) co_return;
    }
    limit.cancel();
    const auto* hello = std::get_if<trunk::Hello>(&frame);
    trunk::TrunkManager::Trunk* const group = hello ? trunk_manager_.find(hello->group) : nullptr;
    std::string refusal = !hello   ? "no hello"
                          : !group ? "group " + std::to_string(hello->group) + " is not known here"
                                   : group->session().find_mismatch(*hello);
    if (!refusal.empty()) {
        warn_("trunk connection refused: " + refusal);
        const std::string bye = trunk::encode(trunk::Bye{refusal.substr(0, trunk::kMaxTextBytes)});
        co_await asio::async_write(*socket, asio::buffer(bye), asio::as_tuple(asio::use_awaitable));
        co_return;
    }
    auto link = std::make_shared<Link>(std::move(*socket), *group);
    socket.reset();
    co_await read_messages(std::move(link), std::move(received));
}

// Dials one far hub until stop(), and serves each link until it is closed.
asio::awaitable<void> TrunkLinks::keep_connected(Dialled dialled) {
    asio::steady_timer pause(io_);
    milliseconds reconnect_pause = kMinReconnectPause, connect_time_out = kMinConnectTimeOut;
    while (!stopped_) {
        tcp::socket socket(io_);
        const auto error = co_await connect(socket, dialled.to, connect_time_out);
        if (stopped_) co_return;
        connect_time_out = error == asio::error::timed_out
                               ? std::min(2 * connect_time_out, kMaxConnectTimeOut)
                               : kMinConnectTimeOut;
        if (!error) {
            const std::uint64_t links_before =
                dialled.trunk->session().counts().resumed + dialled.trunk->session().counts().restarted;
            co_await read_messages(std::make_shared<Link>(std::move(socket), *dialled.trunk), {});
            if (stopped_) co_return;
            // The pause starts over only if the link came up: the far end may close each connection at once.
            if (dialled.trunk->session().counts().resumed + dialled.trunk->session().counts().restarted >
                links_before)
                reconnect_pause = kMinReconnectPause;
        }
        pause.expires_after(reconnect_pause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        reconnect_pause = std::min(2 * reconnect_pause, kMaxReconnectPause);
    }
}

// Serves the link to one far hub until the far end closes it, a message is malformed or close_link() closes
// it. `received`: bytes that were read already.
asio::awaitable<void> TrunkLinks::read_messages(std::shared_ptr<Link> link, std::string received) {
    if (const auto old = links_.find(&link->trunk); old != links_.end())
        close_link(old->second, "another connection takes its place");
    links_[&link->trunk] = link;
    link->trunk.connected();
    const auto handle = [&](std::string_view bytes) {
        if (link->trunk.receive_bytes(bytes)) return true;
        close_link(link, link->trunk.session().close_reason());
        return false;
    };
    if (!received.empty() && !handle(received)) co_return;
    std::array<char, kReadBufferBytes> buffer;
    for (;;) {
        const auto [error, bytes] = co_await link->socket().async_read_some(
            asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        const auto at = links_.find(&link->trunk);
        if (stopped_ || at == links_.end() || at->second != link) co_return;  // closed meanwhile
        if (error) {
            close_link(link, "the connection broke: " + error.message());
            co_return;
        }
        link->last_read = Clock::now();
        if (!handle({buffer.data(), bytes})) co_return;
    }
}

void TrunkLinks::close_link(const std::shared_ptr<Link>& link, const std::string& reason) {
    const auto at = links_.find(&link->trunk);
    if (at == links_.end() || at->second != link) return;
    links_.erase(at);
    link->send(link->trunk.take_output());  // the reason for closing, if the session gives one
    link->close_after_writing();
    link->trunk.disconnected();
    std::string text = "group " + std::to_string(link->trunk.settings().id) + ": link down, " + reason;
    if (std::exchange(last_warning_[&link->trunk], text) != text) warn_(text);
}

void TrunkLinks::write_output(trunk::TrunkManager::Trunk& trunk) {
    if (const auto at = links_.find(&trunk); at != links_.end()) at->second->send(trunk.take_output());
}

// ---- Time --------------------------------------------------------------------------------------------

// Sends a heartbeat on each link and closes links on which nothing comes any more, until stop().
asio::awaitable<void> TrunkLinks::send_heartbeats() {
    while (!stopped_) {
        heartbeat_timer_.expires_after(kHeartbeatInterval);
        co_await heartbeat_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (stopped_) co_return;
        std::vector<std::shared_ptr<Link>> all;
        for (const auto& [trunk, link] : links_) all.push_back(link);
        for (const auto& link : all) {
            if (Clock::now() - link->last_read >= kMaxSilence)
                close_link(link, "nothing received for 3 s");
            else
                link->trunk.send_heartbeat();
        }
    }
}

// Sets the alarm to `at` if that is earlier than its present time.
void TrunkLinks::schedule(Instant at) {
    if (stopped_ || at >= scheduled_) return;
    scheduled_ = at;
    alarm_.expires_after(std::max(Duration::zero(), at - clock_()));
    alarm_.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled || stopped_) return;
        scheduled_ = Instant::max();
        trunk_manager_.run_timers();
    });
}

}  // namespace nettlestall::net
