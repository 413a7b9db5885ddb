// One gatekeeper: wiring, signals, counters.
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <optional>

#include "config/config.hpp"
#include "net/clients.hpp"
#include "net/feed.hpp"
#include "net/figures.hpp"
#include "net/gatekeeper.hpp"
#include "net/operators.hpp"
#include "net/servers.hpp"

namespace nettlestall {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr std::size_t kSpareSockets = 96;  // for the carrier switches, the feed and the process's own files
constexpr Duration kServeOn = 800ms;       // after SIGTERM: callers go on for up to 0.6 s
constexpr Duration kLastWrites = 100ms;    // for what is refused at the end of that time
constexpr Duration kStopTick = 20ms;
constexpr int kNotes = 100;  // lines of the module that are logged

// Unix time that never runs back: the system's clock is looked at once.
class UnixClock {
   public:
    Instant now() const {
        return anchor_ + std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start_);
    }

   private:
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    Instant anchor_ =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
};

// The names of the addresses are looked up nowhere, so they must be numeric.
config::Config load() {
    config::Config config = config::load();
    if (!net::to_endpoint(config.listen)) json::bad_key("listen", "a numeric address:port");
    if (!config.feed.empty() && !net::to_endpoint(config.feed))
        json::bad_key("feed", "a numeric address:port");
    if (!config.operators.empty() && !net::to_endpoint(config.operators))
        json::bad_key("operator", "a numeric address:port");
    return config;
}

class Program final : public protocol::OperatorEvents {
   public:
    Program(asio::io_context& io, const config::Config& config)
        : listen_(config.listen),
          time_to_end_(config.time_to_end()),
          servers_(io, config.net.connect_time_out, counters_),
          gatekeeper_(
              config.settings, config.seed, [this] { return clock_.now(); }, servers_, counters_,
              most_held(config)),
          clients_(io, *net::to_endpoint(listen_), most_clients(config), gatekeeper_, counters_),
          feed_(
              io, net::to_endpoint(config.feed), config.known,
              [this](const ListEvent& event) { take(event); }, longest_line(config), counters_),
          alarm_(io),
          stop_tick_(io),
          signals_(io, SIGTERM, SIGINT, SIGUSR1) {
        signals_.add(SIGHUP);
        if (!config.operators.empty())
            operators_.emplace(io, *net::to_endpoint(config.operators), *this, counters_);
        servers_.report_to(gatekeeper_);
        gatekeeper_.on_schedule([this](Instant at) { arm(at); });
        gatekeeper_.on_note([this](const std::string& text) {
            if (++notes_ <= kNotes) std::cerr << "note: " << text << '\n';
        });
        clients_.send_away_while([this] { return gatekeeper_.sends_away(); });
        bool first = true;
        for (ListEvent event : config.events) {
            if (!event.has_list) continue;
            if (std::exchange(first, false)) event.kind = ListKind::remembered;
            take(event);
        }
        net::spawn(io, watch_signals());
        feed_.start();
        clients_.start();
        if (operators_) operators_->start();
    }

    const Counters& counters() const { return counters_; }

    bool ready() override { return gatekeeper_.ready(); }
    std::string metrics() const override { return net::figures(gatekeeper_, counters_); }
    void drain() override {
        ++counters_.drains;
        gatekeeper_.drain();
    }
    void undrain() override { gatekeeper_.undrain(); }

   private:
    static std::size_t memory(const config::Config& config) {
        return static_cast<std::size_t>(config.memory_mb) * 1024 * 1024;
    }

    // Half of the memory for the connections' queues and buffers, were all as full as they may be.
    static std::size_t most_clients(const config::Config& config) {
        const auto sockets = static_cast<std::size_t>(config.sockets);
        return std::max<std::size_t>(1, std::min(sockets - std::min(kSpareSockets, sockets / 2),
                                                 memory(config) / 2 / net::kMostBuffered));
    }

    // A sixth for descriptions of waiting calls.
    static std::size_t most_held(const config::Config& config) { return memory(config) / 6; }

    // Read as JSON, a line takes some ten times its length.
    static std::size_t longest_line(const config::Config& config) { return memory(config) / 128; }

    // The call table first: it withdraws what is out to an exchange before its connection goes.
    void take(const ListEvent& event) {
        gatekeeper_.list(event);
        servers_.list(event);
    }

    void arm(Instant at) {
        alarm_.expires_after(std::max(Duration::zero(), at - clock_.now()));
        alarm_.async_wait([this](const boost::system::error_code& stopped) {
            if (!stopped) gatekeeper_.run_due();
        });
    }

    asio::awaitable<void> watch_signals() {
        for (;;) {
            const int signal = co_await signals_.async_wait(asio::use_awaitable);
            if (signal == SIGUSR1) {
                std::cerr << counters_ << std::endl;
            } else if (signal == SIGHUP) {
                reload();
            } else if (!std::exchange(stopping_, true)) {
                net::spawn(alarm_.get_executor(), stop());
            }
        }
    }

    // A faulty file changes nothing: all of it is read and checked before any of it is used.
    void reload() {
        try {
            const config::Config fresh = load();
            if (fresh.listen != listen_) json::bad_key("listen", "the same until a restart");
            if (!gatekeeper_.can_take(fresh.settings))
                json::bad(
                    "in 'settings': 'grades', 'layout' and 'this_node' must be the same until a restart");
            gatekeeper_.take(fresh.settings, most_held(fresh));
            time_to_end_ = fresh.time_to_end();
            servers_.use_connect_time_out(fresh.net.connect_time_out);
            clients_.use_most(most_clients(fresh));
            feed_.use_longest_line(longest_line(fresh));
            feed_.catch_up(fresh.known, fresh.events);
            feed_.move(net::to_endpoint(fresh.feed));
            ++counters_.reloads;
            std::cerr << "configuration taken over, feed " << fresh.feed << std::endl;
        } catch (const std::exception& problem) {
            ++counters_.reloads_refused;
            std::cerr << "configuration refused, the old one stays: " << problem.what() << std::endl;
        }
    }

    // Goes on serving until callers have had the time to turn elsewhere and all that is owed is answered.
    asio::awaitable<void> stop() {
        const Instant told = clock_.now(), end = told + time_to_end_;
        gatekeeper_.leave(end);
        for (;;) {
            stop_tick_.expires_after(kStopTick);
            co_await stop_tick_.async_wait(asio::use_awaitable);
            const Instant now = clock_.now();
            if (now >= end) gatekeeper_.refuse_all();
            const bool done = gatekeeper_.unanswered() == 0 && clients_.idle() && servers_.idle();
            if ((done && now >= told + kServeOn) || now >= end + kLastWrites) break;
        }
        clients_.stop();
        if (operators_) operators_->stop();
        feed_.stop();
        static_cast<asio::io_context&>(stop_tick_.get_executor().context()).stop();
    }

    std::string listen_;
    Duration time_to_end_;
    UnixClock clock_;
    Counters counters_;
    net::Servers servers_;
    net::Gatekeeper gatekeeper_;
    net::Clients clients_;
    net::Feed feed_;
    std::optional<net::Operators> operators_;
    asio::steady_timer alarm_, stop_tick_;
    asio::signal_set signals_;
    int notes_ = 0;
    bool stopping_ = false;
};

}  // namespace

int run() {
    const config::Config config = load();
    asio::io_context io(1);
    Program program(io, config);
    std::cerr << config.name << ": listening on " << config.listen << std::endl;
    io.run();
    std::cerr << program.counters() << std::endl;
    return 0;
}

}  // namespace nettlestall

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return nettlestall::run();
    } catch (const std::exception& problem) {
        std::cerr << "nettlestall: " << problem.what() << '\n';
        return 1;
    }
}
