#include "program.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <optional>
#include <sstream>

#include "calls/gatekeeper.hpp"
#include "calls/routes.hpp"
#include "config/config.hpp"
#include "config/operator_file.hpp"
#include "log/log.hpp"
#include "net/callers.hpp"
#include "net/feed.hpp"
#include "net/handover.hpp"
#include "net/metrics.hpp"
#include "net/operators.hpp"
#include "net/switches.hpp"
#include "trunk_service.hpp"

namespace nettlestall {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr std::size_t kSpareSockets = 96;  // for the carrier switches, the feed and the process's own files
constexpr Duration kServeOn = 800ms;       // after SIGTERM: callers go on for up to 0.6 s
constexpr Duration kLastWrites = 100ms;    // for what is refused at the end of that time
constexpr Duration kFeedSpeaks = 4500ms;   // a new process waits for it no longer
constexpr Duration kStopTick = 20ms;
constexpr std::size_t kCallTakes = 800;  // bytes of a call in the table and the module, as measured: 750
constexpr std::size_t kOldestShown = 20;
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
    if (!net::to_endpoint(config.listen_address)) json::throw_bad_key("listen", "a numeric address:port");
    if (!config.feed_address.empty() && !net::to_endpoint(config.feed_address))
        json::throw_bad_key("feed", "a numeric address:port");
    if (!config.operators_address.empty() && !net::to_endpoint(config.operators_address))
        json::throw_bad_key("operator", "a numeric address:port");
    return config;
}

class Program final : public protocol::OperatorRequestHandler, public net::Handover::Process {
   public:
    Program(asio::io_context& io, const config::Config& config, std::string file_path,
            std::optional<config::OperatorFile> file, log::Log& log)
        : log_(log),
          file_path_(std::move(file_path)),
          file_(std::move(file)),
          name_(config.name),
          listen_(config.listen_address),
          time_to_end_(config.shutdown_time_limit()),
          time_to_end_superseded_(config.shutdown_time_limit_superseded()),
          servers_(io, config.net.connect_time_out, counters_),
          routes_(servers_),
          gatekeeper_(
              config.settings, config.seed, [this] { return clock_.now(); }, routes_, counters_,
              bounds(config)),
          clients_(io, most_clients(config), gatekeeper_, counters_),
          feed_(
              io, net::to_endpoint(config.feed_address), config.last_event_number,
              [this](const ListEvent& event) { take(event); }, longest_line(config), counters_),
          handover_(io, config.handover_path, *this, counters_),
          most_clients_(most_clients(config)),
          alarm_(io),
          stop_tick_(io),
          signals_(io, SIGTERM, SIGINT, SIGUSR1) {
        signals_.add(SIGHUP);
        if (!config.operators_address.empty())
            operators_.emplace(io, *net::to_endpoint(config.operators_address), *this, counters_);
        servers_.report_to(gatekeeper_);
        gatekeeper_.set_timer_handler([this](Instant at) { arm(at); });
        gatekeeper_.set_note_handler([this](const std::string& text) {
            if (++notes_ <= kNotes) log_.info("note: " + text);
        });
        clients_.send_away_while([this] { return gatekeeper_.can_close_callers(); });
        if (file_ && file_->trunk) {
            trunk_.emplace(
                io, *file_->trunk, gatekeeper_, [this] { return clock_.now(); }, log_);
            for (const trunk::TrunkManager::Trunk* of : trunk_->front().trunks())
                routes_.add_route(of->settings().exchange, trunk_->front());
        }
        bool first = true;
        for (ListEvent event : config.known_events) {
            if (!event.has_list) continue;
            if (std::exchange(first, false)) event.kind = ListKind::cached;
            take(event);
        }
        if (trunk_ && first)
            take({.number = 0, .has_list = true, .kind = ListKind::cached, .version = 0, .entries = {}});
        net::spawn(io, watch_signals());
        feed_.start();
        if (handover_.find_predecessor()) {
            log_.info(name_ + ": another process serves, getting ready to take over");
        } else {
            take_over();
            handover_.claim();
        }
        if (operators_) operators_->start();
    }

    void tell_counters() const {
        std::ostringstream text;
        text << counters_;
        log_.info(text.str());
    }

    bool is_ready() override { return in_charge_ && gatekeeper_.is_ready(); }
    std::string metrics() const override {
        return net::figures(gatekeeper_, counters_) + (trunk_ ? trunk_->desk().metrics() : std::string());
    }
    std::optional<protocol::OperatorReply> handle_other(std::string_view method, std::string_view path,
                                                        std::string_view query) override {
        if (path == "/calls/oldest") {
            if (method != "GET") return protocol::OperatorReply{405, "GET"};
            return protocol::OperatorReply{200, net::oldest_calls(gatekeeper_, kOldestShown)};
        }
        if (!trunk_) return std::nullopt;
        return trunk_->desk().handle(method, path, query);
    }
    void drain() override {
        ++counters_.drains;
        gatekeeper_.drain();
    }
    void undrain() override { gatekeeper_.undrain(); }

    // ---- An upgrade, as the process that serves

    std::string list() const override {
        ListEvent all{.number = feed_.last(),
                      .has_list = true,
                      .kind = ListKind::complete,
                      .version = version_,
                      .entries = {}};
        for (const auto& [id, listed] : roster_) all.entries.push_back(listed);
        return protocol::write_list_event(all);
    }
    int listener() override { return clients_.listener(); }
    void give_way() override {
        log_.info("another process takes over");
        clients_.pause();
        if (trunk_) trunk_->retire();
        gatekeeper_.hand_over_to(&handover_);
        clients_.pass_on_by([this](int descriptor, bool has_asked, std::string begun) {
            handover_.pass_caller(net::Descriptor(descriptor), has_asked, std::move(begun));
            handover_.tell_remaining(clients_.open());
        });
        handover_.tell_remaining(clients_.open());
    }
    void take_back() override {
        log_.warning("the other process has gone");
        gatekeeper_.hand_over_to(nullptr);
        clients_.pass_on_by(nullptr);
        clients_.resume();
    }

    // ---- An upgrade, as the new process

    void take_listener(net::Descriptor listener) override { clients_.listen_on(listener.release()); }
    void take_list(const std::string& line) override {
        try {
            const ListEvent event = protocol::read_list_event(line);
            feed_.catch_up(event.number, {event});
        } catch (const json::BadInput& problem) {
            log_.warning(std::string("list of the process before: ") + problem.what());
        }
    }
    bool prepared() override {
        return gatekeeper_.is_ready() && (feed_.has_spoken() || clock_.now() - started_ >= kFeedSpeaks);
    }
    void take_over() override {
        if (clients_.listener() < 0) clients_.listen(*net::to_endpoint(listen_));
        in_charge_ = true;
        if (trunk_) trunk_->start();
        clients_.start();
        log_.info(name_ + ": listening on " + listen_);
    }
    void take_caller(net::Descriptor connection, bool has_asked, std::string_view begun) override {
        clients_.adopt(connection.release(), has_asked, begun);
    }
    void predecessor_holds(std::size_t connections) override {
        held_elsewhere_ = connections;
        clients_.use_most(most_clients_ - std::min(most_clients_ - 1, connections));
    }
    void take_standing(const ExchangeId& at, const CallId& call, const std::string& origin) override {
        gatekeeper_.accept_standing(at, call, origin, trunk_ ? trunk_->link_of(origin) : nullptr);
    }
    void take_end(const ExchangeId& at, const CallId& call, Outcome outcome) override {
        gatekeeper_.on_call_ended(at, call, outcome, Cause::none, {});
    }
    void take_release(const CallId& call) override { gatekeeper_.accept_release(call); }

   private:
    static std::size_t memory(const config::Config& config) {
        return static_cast<std::size_t>(config.memory_mb) * 1024 * 1024;
    }

    // Half of the memory for the connections' queues and buffers, were all as full as they may be.
    static std::size_t most_clients(const config::Config& config) {
        const auto sockets = static_cast<std::size_t>(config.max_sockets);
        return std::max<std::size_t>(1, std::min(sockets - std::min(kSpareSockets, sockets / 2),
                                                 memory(config) / 2 / net::kMostBuffered));
    }

    // A sixth for descriptions of waiting calls, a fifth for the table itself.
    static calls::Gatekeeper::Bounds bounds(const config::Config& config) {
        return {.max_description_bytes = memory(config) / 6, .max_calls = memory(config) / 5 / kCallTakes};
    }

    // Read as JSON, a line takes some ten times its length.
    static std::size_t longest_line(const config::Config& config) { return memory(config) / 128; }

    // The call table first: it withdraws what is out to an exchange before its connection goes.
    void take(const ListEvent& event) {
        if (trunk_) {
            ListEvent all = trunk_->front().with_far_hubs(event);
            gatekeeper_.apply_list(all);
            std::erase_if(all.entries, [](const ListedExchange& listed) { return listed.address.empty(); });
            servers_.list(all);
        } else {
            gatekeeper_.apply_list(event);
            servers_.list(event);
        }
        if (event.kind != ListKind::changes) roster_.clear();
        version_ = event.version;
        for (const ListedExchange& listed : event.entries) {
            roster_.erase(listed.entry.exchange);
            if (listed.entry.state != ExchangeState::gone) roster_.emplace(listed.entry.exchange, listed);
        }
    }

    void arm(Instant at) {
        alarm_.expires_after(std::max(Duration::zero(), at - clock_.now()));
        alarm_.async_wait([this](const boost::system::error_code& stopped) {
            if (!stopped) gatekeeper_.run_timers();
        });
    }

    asio::awaitable<void> watch_signals() {
        for (;;) {
            const int signal = co_await signals_.async_wait(asio::use_awaitable);
            if (signal == SIGUSR1) {
                tell_counters();
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
            std::optional<config::OperatorFile> file;
            if (!file_path_.empty()) file = config::read_operator_file(file_path_);
            if (const std::string kept = file ? config::find_restart_reason(*file_, *file) : std::string();
                !kept.empty())
                json::throw_bad_input(file_path_ + ": " + kept);
            if (fresh.listen_address != listen_) json::throw_bad_key("listen", "the same until a restart");
            if (!gatekeeper_.can_apply(fresh.settings))
                json::throw_bad_input(
                    "in 'settings': 'grades', 'layout' and 'this_node' must be the same until a restart");
            gatekeeper_.apply_settings(fresh.settings, bounds(fresh));
            time_to_end_ = fresh.shutdown_time_limit();
            time_to_end_superseded_ = fresh.shutdown_time_limit_superseded();
            servers_.use_connect_time_out(fresh.net.connect_time_out);
            most_clients_ = most_clients(fresh);
            predecessor_holds(held_elsewhere_);
            feed_.use_longest_line(longest_line(fresh));
            feed_.catch_up(fresh.last_event_number, fresh.known_events);
            feed_.move(net::to_endpoint(fresh.feed_address));
            if (file) {
                file_ = std::move(file);
                log_.configure(file_->log.json, log::parse_level(file_->log.level));
                if (trunk_) trunk_->take(*file_->trunk);
            }
            ++counters_.reloads;
            log_.info("configuration taken over, feed " + fresh.feed_address);
        } catch (const std::exception& problem) {
            ++counters_.reloads_refused;
            log_.error(std::string("configuration refused, the old one stays: ") + problem.what());
        }
    }

    // Goes on serving until callers have had the time to turn elsewhere and all that is owed is answered.
    asio::awaitable<void> stop() {
        const Instant told = clock_.now();
        const Instant end = told + (handover_.superseded() ? time_to_end_superseded_ : time_to_end_);
        gatekeeper_.begin_shutdown(end);
        for (;;) {
            stop_tick_.expires_after(kStopTick);
            co_await stop_tick_.async_wait(asio::use_awaitable);
            const Instant now = clock_.now();
            if (now >= end) gatekeeper_.refuse_all();
            const bool done = gatekeeper_.unanswered_calls() == 0 && clients_.idle() && servers_.idle() &&
                              handover_.idle() && !(handover_.superseded() && clients_.open() > 0);
            if ((done && now >= told + kServeOn) || now >= end + kLastWrites) break;
        }
        clients_.stop();
        if (operators_) operators_->stop();
        if (trunk_) trunk_->stop();
        feed_.stop();
        handover_.stop();
        static_cast<asio::io_context&>(stop_tick_.get_executor().context()).stop();
    }

    log::Log& log_;
    std::string file_path_;
    std::optional<config::OperatorFile> file_;
    std::string name_, listen_;
    Duration time_to_end_, time_to_end_superseded_;
    UnixClock clock_;
    Instant started_ = clock_.now();
    Counters counters_;
    net::SwitchConnections servers_;
    calls::Routes routes_;
    calls::Gatekeeper gatekeeper_;
    std::optional<TrunkService> trunk_;
    net::CallerConnections clients_;
    net::Feed feed_;
    net::Handover handover_;
    std::optional<net::Operators> operators_;
    std::map<ExchangeId, ListedExchange> roster_;  // the list, for the process after this one
    std::int64_t version_ = 0;
    std::size_t most_clients_, held_elsewhere_ = 0;  // connections: at the most here; with the one before
    bool in_charge_ = false;
    asio::steady_timer alarm_, stop_tick_;
    asio::signal_set signals_;
    int notes_ = 0;
    bool stopping_ = false;
};

}  // namespace

int serve(const ServeOptions& options) {
    const config::Config config = load();
    std::optional<config::OperatorFile> file;
    if (!options.operator_file.empty()) file = config::read_operator_file(options.operator_file);
    log::Log log;
    if (file) log.configure(file->log.json, log::parse_level(file->log.level));
    asio::io_context io(1);
    Program program(io, config, options.operator_file, std::move(file), log);
    io.run();
    program.tell_counters();
    return 0;
}

}  // namespace nettlestall
