#include "net/trunk_links.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kBeat{1000};     // a sign of life, and what was received
constexpr milliseconds kSilence{3000};  // without any, the connection is given up
constexpr milliseconds kHello{3000};    // for a new connection to say who it is
constexpr milliseconds kConnect{1000};
constexpr milliseconds kFirstPause{100}, kLongestPause{3000};  // between dials, doubling
constexpr milliseconds kAcceptPause{20}, kListenPause{50};
constexpr std::size_t kRead = 16 * 1024;

}  // namespace

// One connection of a group.
class TrunkLinks::Link : public std::enable_shared_from_this<Link> {
   public:
    Link(tcp::socket socket, trunk::TrunkManager::Trunk& of) : trunk(of), socket_(std::move(socket)) {
        set_up_socket(socket_);
    }

    trunk::TrunkManager::Trunk& trunk;
    Clock::time_point heard = Clock::now();

    tcp::socket& socket() { return socket_; }
    bool open() const { return socket_.is_open() && !ending_; }
    bool idle() const { return !writing_; }

    void send(std::string bytes) {
        if (bytes.empty() || !open()) return;
        waiting_ += bytes;
        if (!std::exchange(writing_, true)) spawn(socket_.get_executor(), write(shared_from_this()));
    }
    // Once what waits has been written.
    void end() {
        ending_ = true;
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
            self->under_way_ = std::exchange(self->waiting_, {});
            const auto [error, bytes] = co_await asio::async_write(
                self->socket_, asio::buffer(self->under_way_), asio::as_tuple(asio::use_awaitable));
            if (error) self->close();
        }
        self->writing_ = false;
        if (self->ending_) self->close();
    }

    tcp::socket socket_;
    std::string waiting_, under_way_;
    bool writing_ = false, ending_ = false;
};

TrunkLinks::TrunkLinks(asio::io_context& io, trunk::TrunkManager& front, std::optional<tcp::endpoint> listen,
                       trunk::TrunkManager::Clock time, Note note)
    : io_(io),
      front_(front),
      time_(std::move(time)),
      note_(std::move(note)),
      listen_(listen),
      acceptor_(io),
      alarm_(io),
      beat_(io) {
    front_.on_output([this](trunk::TrunkManager::Trunk& trunk) { flush(trunk); });
    front_.on_schedule([this](Instant at) { arm(at); });
}

TrunkLinks::~TrunkLinks() = default;

void TrunkLinks::dial(trunk::TrunkManager::Trunk& trunk, const tcp::endpoint& to) {
    dialled_.push_back({&trunk, to});
}

void TrunkLinks::start() {
    if (listen_) spawn(io_, accept());
    for (const Dialled& dialled : dialled_) spawn(io_, keep_up(dialled));
    spawn(io_, beat());
}

void TrunkLinks::stop() {
    stopped_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    alarm_.cancel();
    beat_.cancel();
    for (const auto& [trunk, link] : std::exchange(links_, {})) {
        link->close();
        trunk->disconnected();
    }
}

bool TrunkLinks::idle() const {
    return std::all_of(links_.begin(), links_.end(), [](const auto& at) { return at.second->idle(); });
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

asio::awaitable<void> TrunkLinks::accept() {
    asio::steady_timer pause(io_);
    for (bool told = false; !stopped_ && !listen(); told = true) {
        if (!told) note_("the trunk address is in use, it is tried again");
        pause.expires_after(kListenPause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    while (!stopped_) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (stopped_) co_return;
        if (error) {
            pause.expires_after(kAcceptPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        unknown_.remove_if([](const auto& known) { return known.expired(); });
        if (unknown_.size() >= kMostUnknown) {
            boost::system::error_code ignored;
            if (const auto oldest = unknown_.front().lock()) oldest->close(ignored);
            unknown_.pop_front();
        }
        auto held = std::make_shared<tcp::socket>(std::move(socket));
        unknown_.push_back(held);
        spawn(io_, greet(std::move(held)));
    }
}

// Reads until the far end has said which group it is of. Only then, and only if all agrees, does it take the
// place of the connection that the group has: guards a link that works against whoever else connects.
asio::awaitable<void> TrunkLinks::greet(std::shared_ptr<tcp::socket> socket) {
    asio::steady_timer limit(io_, kHello);
    limit.async_wait([held = std::weak_ptr(socket)](const boost::system::error_code& stopped) {
        boost::system::error_code ignored;
        if (const auto late = held.lock(); late && !stopped) late->close(ignored);
    });
    std::string first;
    std::array<char, 512> space;
    trunk::Frame frame;
    for (;;) {
        const auto [error, bytes] =
            co_await socket->async_read_some(asio::buffer(space), asio::as_tuple(asio::use_awaitable));
        if (error || stopped_ || !socket->is_open()) co_return;
        first.append(space.data(), bytes);
        trunk::FrameReader reader;
        reader.append(first);
        const auto next = reader.next(frame);
        if (next == trunk::FrameReader::Status::complete) break;
        if (next == trunk::FrameReader::Status::malformed || first.size() > kRead) co_return;
    }
    limit.cancel();
    const auto* hello = std::get_if<trunk::Hello>(&frame);
    trunk::TrunkManager::Trunk* const group = hello ? front_.find(hello->group) : nullptr;
    std::string wrong = !hello   ? "no hello"
                        : !group ? "group " + std::to_string(hello->group) + " is not known here"
                                 : group->session().find_mismatch(*hello);
    if (!wrong.empty()) {
        note_("trunk connection refused: " + wrong);
        const std::string bye = trunk::encode(trunk::Bye{wrong.substr(0, trunk::kMaxTextBytes)});
        co_await asio::async_write(*socket, asio::buffer(bye), asio::as_tuple(asio::use_awaitable));
        co_return;
    }
    auto link = std::make_shared<Link>(std::move(*socket), *group);
    socket.reset();
    co_await converse(std::move(link), std::move(first));
}

asio::awaitable<void> TrunkLinks::keep_up(Dialled dialled) {
    asio::steady_timer pause(io_);
    milliseconds wait = kFirstPause;
    while (!stopped_) {
        tcp::socket socket(io_);
        const auto error = co_await connect(socket, dialled.to, kConnect);
        if (stopped_) co_return;
        if (!error) {
            const std::uint64_t before =
                dialled.trunk->session().counts().resumed + dialled.trunk->session().counts().restarted;
            co_await converse(std::make_shared<Link>(std::move(socket), *dialled.trunk), {});
            if (stopped_) co_return;
            // Guards against a far end that takes connections and closes each at once.
            if (dialled.trunk->session().counts().resumed + dialled.trunk->session().counts().restarted >
                before)
                wait = kFirstPause;
        }
        pause.expires_after(wait);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        wait = std::min(2 * wait, kLongestPause);
    }
}

asio::awaitable<void> TrunkLinks::converse(std::shared_ptr<Link> link, std::string first) {
    if (const auto before = links_.find(&link->trunk); before != links_.end())
        lose(before->second, "another connection takes its place");
    links_[&link->trunk] = link;
    link->trunk.connected();
    const auto take = [&](std::string_view bytes) {
        if (link->trunk.receive_bytes(bytes)) return true;
        lose(link, link->trunk.session().close_reason());
        return false;
    };
    if (!first.empty() && !take(first)) co_return;
    std::array<char, kRead> space;
    for (;;) {
        const auto [error, bytes] =
            co_await link->socket().async_read_some(asio::buffer(space), asio::as_tuple(asio::use_awaitable));
        const auto at = links_.find(&link->trunk);
        if (stopped_ || at == links_.end() || at->second != link) co_return;  // it has lost its place
        if (error) {
            lose(link, "the connection broke: " + error.message());
            co_return;
        }
        link->heard = Clock::now();
        if (!take({space.data(), bytes})) co_return;
    }
}

void TrunkLinks::lose(const std::shared_ptr<Link>& link, const std::string& why) {
    const auto at = links_.find(&link->trunk);
    if (at == links_.end() || at->second != link) return;
    links_.erase(at);
    link->send(link->trunk.take_output());  // why it is closed
    link->end();
    link->trunk.disconnected();
    std::string text = "group " + std::to_string(link->trunk.settings().id) + ": link down, " + why;
    if (std::exchange(last_note_[&link->trunk], text) != text) note_(text);
}

void TrunkLinks::flush(trunk::TrunkManager::Trunk& trunk) {
    if (const auto at = links_.find(&trunk); at != links_.end()) at->second->send(trunk.take_output());
}

// ---- Time --------------------------------------------------------------------------------------------

asio::awaitable<void> TrunkLinks::beat() {
    while (!stopped_) {
        beat_.expires_after(kBeat);
        co_await beat_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (stopped_) co_return;
        std::vector<std::shared_ptr<Link>> all;
        for (const auto& [trunk, link] : links_) all.push_back(link);
        for (const auto& link : all) {
            if (Clock::now() - link->heard >= kSilence)
                lose(link, "nothing heard for 3 s");
            else
                link->trunk.send_heartbeat();
        }
    }
}

void TrunkLinks::arm(Instant at) {
    if (stopped_ || at >= armed_) return;
    armed_ = at;
    alarm_.expires_after(std::max(Duration::zero(), at - time_()));
    alarm_.async_wait([this](const boost::system::error_code& stopped) {
        if (stopped || stopped_) return;
        armed_ = Instant::max();
        front_.run_timers();
    });
}

}  // namespace nettlestall::net
