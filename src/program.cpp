#include "program.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <optional>
#include <sstream>

#include "calls/gatekeeper.hpp"
#include "calls/list_conflicts.hpp"
#include "calls/routes.hpp"
#include "config/config.hpp"
#include "config/operator_file.hpp"
#include "log/log.hpp"
#include "log/rate_limit.hpp"
#include "memory_plan.hpp"
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

// After SIGTERM callers keep sending set-ups for up to 0.6 s.
constexpr Duration kMinServiceAfterStop = 800ms;
constexpr Duration kFinalWriteTime = 100ms;  // for writing the refusals at the end of the service
constexpr Duration kMaxFeedWait = 4500ms;    // a successor process takes over without the feed after that
constexpr Duration kStopCheckInterval = 20ms;
constexpr std::size_t kMaxOldestCalls = 20;  // in a reply to operators
constexpr int kHandledSignals[] = {SIGTERM, SIGINT, SIGUSR1, SIGHUP};
constexpr int kMaxLoggedNotes = 100;  // of the decision module; the process logs no further ones
// Lines about single calls and connections: how many a second, and how many at once after a quiet time.
constexpr double kMaxEventLinesPerSecond = 20;
constexpr double kMaxEventLineBurst = 500;

// Unix time that never runs backwards: reads the system's clock once and adds monotonic time.
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

// Reads the configuration. Host names are not resolved, so all addresses must be numeric. Throws
// json::BadInput.
config::Config load() {
    config::Config config = config::load();
    if (!net::to_endpoint(config.listen_address)) json::throw_bad_key("listen", "a numeric address:port");
    if (!config.feed_address.empty() && !net::to_endpoint(config.feed_address))
        json::throw_bad_key("feed", "a numeric address:port");
    if (!config.operators_address.empty() && !net::to_endpoint(config.operators_address))
        json::throw_bad_key("operator", "a numeric address:port");
    return config;
}

// Owns and joins all parts of the gatekeeper: the call table in the middle, around it the drivers of callers,
// carrier switches, feed, operators and circuit groups, and the hand-over to and from other processes.
class Program final : public protocol::OperatorRequestHandler, public net::Handover::Process {
   public:
    Program(asio::io_context& io, const config::Config& config, std::string file_path,
            std::optional<config::OperatorFile> file, log::Log& log)
        : log_(log),
          file_path_(std::move(file_path)),
          file_(std::move(file)),
          name_(config.name),
          listen_(config.listen_address),
          shutdown_time_limit_(config.shutdown_time_limit()),
          shutdown_time_limit_superseded_(config.shutdown_time_limit_superseded()),
          plan_(config),
          switches_(io, config.net.connect_time_out, plan_.switch_queue_bytes, plan_.max_switch_connections,
                    counters_),
          routes_(switches_),
          gatekeeper_(
              config.settings, config.seed, [this] { return clock_.now(); }, routes_, counters_,
              bounds(plan_)),
          callers_(io, plan_.max_callers, plan_.caller_queue_bytes, gatekeeper_, counters_),
          feed_(
              io, net::to_endpoint(config.feed_address), config.last_event_number,
              [this](const ListEvent& event) { apply(event); }, plan_.feed_line_bytes, counters_),
          handover_(io, config.handover_path, *this, counters_),
          alarm_(io),
          stop_timer_(io),
          signals_(io, SIGUSR1, SIGHUP),
          termination_signals_(io, SIGTERM, SIGINT) {
        if (!config.operators_address.empty())
            operators_.emplace(io, *net::to_endpoint(config.operators_address), *this, counters_);
        switches_.report_to(gatekeeper_);
        gatekeeper_.set_timer_handler([this](Instant at) { schedule(at); });
        gatekeeper_.set_note_handler([this](const std::string& text) {
            if (++note_count_ <= kMaxLoggedNotes) log_.info("note: " + text);
        });
        const auto log_call = [this](const std::string& text, const CallId& call) { log_event(text, call); };
        gatekeeper_.set_call_log_handler(log_call);
        switches_.set_log_handler(log_call);
        callers_.close_idle_while([this] { return gatekeeper_.can_close_callers(); });
        if (file_ && file_->trunk) {
            trunk_.emplace(
                io, *file_->trunk, gatekeeper_, [this] { return clock_.now(); }, log_);
            for (const trunk::TrunkManager::Trunk* trunk : trunk_->trunk_manager().trunks())
                routes_.add_route(trunk->settings().exchange, trunk_->trunk_manager());
        }
        // The first list comes from the configuration file and may be old. If there is none, an empty one
        // adds the far hubs of the circuit groups.
        bool is_first_list = true;
        for (ListEvent event : config.known_events) {
            if (!event.has_list) continue;
            if (std::exchange(is_first_list, false)) event.kind = ListKind::cached;
            apply(event);
        }
        if (trunk_ && is_first_list)
            apply({.number = 0, .has_list = true, .kind = ListKind::cached, .version = 0, .entries = {}});
        net::spawn(io, handle_signals());
        net::spawn(io, await_termination());
        feed_.start();
        if (handover_.connect_to_predecessor()) {
            log_.info(name_ + ": another process serves, getting ready to take over");
        } else {
            take_over();
            handover_.listen_for_successor();
        }
        if (operators_) operators_->start();
    }

    void log_counters() const {
        std::ostringstream text;
        text << counters_;
        log_.info(text.str());
    }

    // ---- Operators' requests

    bool is_ready() override { return serving_ && gatekeeper_.is_ready(); }
    std::string metrics() const override {
        return net::metrics(gatekeeper_, counters_) +
               (trunk_ ? trunk_->operator_commands().metrics() : std::string());
    }
    std::optional<protocol::OperatorReply> handle_other(std::string_view method, std::string_view path,
                                                        std::string_view query) override {
        if (path == "/calls/oldest") {
            if (method != "GET") return protocol::OperatorReply{405, "GET"};
            return protocol::OperatorReply{200, net::oldest_calls(gatekeeper_, kMaxOldestCalls)};
        }
        if (!trunk_) return std::nullopt;
        return trunk_->operator_commands().handle(method, path, query);
    }
    void drain() override {
        ++counters_.drains;
        gatekeeper_.drain();
    }
    void undrain() override { gatekeeper_.undrain(); }

    // ---- Upgrade, as the predecessor

    std::string exchange_list() const override {
        ListEvent all{.number = feed_.last_event(),
                      .has_list = true,
                      .kind = ListKind::complete,
                      .version = list_version_,
                      .entries = {}};
        for (const auto& [id, listed] : exchanges_) all.entries.push_back(listed);
        return protocol::write_list_event(all);
    }
    int listener_descriptor() override { return callers_.listener_descriptor(); }
    void begin_handover() override {
        log_.info("another process takes over");
        callers_.pause_accepting();
        if (trunk_) trunk_->hand_over();
        gatekeeper_.hand_over_to(&handover_);
        callers_.pass_connections_to([this](int descriptor, protocol::CallerState state) {
            handover_.pass_on_caller(net::Descriptor(descriptor), std::move(state));
            handover_.report_remaining(callers_.connection_count());
        });
        handover_.report_remaining(callers_.connection_count());
    }
    void resume_service() override {
        log_.warning("the other process has gone");
        gatekeeper_.hand_over_to(nullptr);
        callers_.pass_connections_to(nullptr);
        callers_.resume_accepting();
    }

    bool deliver_release(const CallId& call, const CallerAddress& caller, ReleaseReason reason) override {
        return gatekeeper_.deliver_release(call, caller, reason);
    }

    void on_set_up_taken(const CallId& call, Duration time) override {
        gatekeeper_.on_set_up_taken(call, time);
    }

    // ---- Upgrade, as the successor

    void use_listener(net::Descriptor listener) override { callers_.listen_on(listener.release()); }
    void apply_list(const std::string& line) override {
        try {
            const ListEvent event = protocol::read_list_event(line);
            feed_.apply_events(event.number, {event});
        } catch (const json::BadInput& error) {
            log_.warning(std::string("the predecessor's list of exchanges is malformed: ") + error.what());
        }
    }
    bool is_prepared() override {
        return gatekeeper_.is_ready() && (feed_.is_synchronized() || clock_.now() - started_ >= kMaxFeedWait);
    }
    void take_over() override {
        if (callers_.listener_descriptor() < 0) callers_.listen(*net::to_endpoint(listen_));
        serving_ = true;
        if (trunk_) trunk_->start();
        callers_.start();
        log_.info(name_ + ": listening on " + listen_);
    }
    void add_caller_connection(net::Descriptor connection, const protocol::CallerState& state) override {
        callers_.take_over_connection(connection.release(), state);
    }
    void set_predecessor_connections(std::size_t connections) override {
        predecessor_connections_ = connections;
        callers_.set_max_connections(plan_.max_callers, connections);
    }
    void add_standing_call(const ExchangeId& at, const CallId& call, const CallerAddress& caller,
                           std::optional<Duration> age) override {
        switches_.expect_calls_at(at);
        gatekeeper_.accept_standing(at, call, caller, trunk_ ? trunk_->find_link(caller.origin) : nullptr,
                                    age);
    }
    void end_standing_call(const ExchangeId& at, const CallId& call, Outcome outcome) override {
        gatekeeper_.on_unattributed_end(at, call, outcome, Cause::none, {});
    }
    void release_standing_call(const CallId& call) override { gatekeeper_.accept_release(call); }
    void use_predecessor(Predecessor* predecessor) override {
        gatekeeper_.use_predecessor(predecessor);
        if (!predecessor) switches_.on_predecessor_ended();
    }
    void on_release_relayed(const CallId& call, bool is_delivered) override {
        gatekeeper_.on_release_relayed(call, is_delivered);
    }

   private:
    // Logs a line about a call or a connection, unless there are too many of them.
    void log_event(const std::string& text, const CallId& call) {
        if (!event_lines_.allow(clock_.now())) return;
        if (const std::uint64_t dropped = event_lines_.take_dropped(); dropped > 0)
            log_.warning(std::to_string(dropped) + " lines about calls and connections were dropped");
        log_.info(text, call);
    }

    static calls::Gatekeeper::Bounds bounds(const MemoryPlan& plan) {
        return {.max_set_up_bytes = plan.set_up_bytes, .max_calls = plan.max_calls};
    }

    // Applies an event of the list of exchanges. The call table comes first: it withdraws the attempts at an
    // exchange before the connection to it is closed.
    void apply(ListEvent event) {
        calls::retire_superseded(event, exchanges_);
        if (trunk_) {
            ListEvent all = trunk_->trunk_manager().with_far_hubs(event);
            gatekeeper_.apply_list(all);
            std::erase_if(all.entries, [](const ListedExchange& listed) { return listed.address.empty(); });
            switches_.apply_list(all);
        } else {
            gatekeeper_.apply_list(event);
            switches_.apply_list(event);
        }
        if (event.kind != ListKind::changes) exchanges_.clear();
        list_version_ = event.version;
        for (const ListedExchange& listed : event.entries) {
            exchanges_.erase(listed.entry.exchange);
            if (listed.entry.state != ExchangeState::gone) exchanges_.emplace(listed.entry.exchange, listed);
        }
    }

    // Wakes the call table at `at`, which is earlier than the moment scheduled before.
    void schedule(Instant at) {
        alarm_.expires_after(std::max(Duration::zero(), at - clock_.now()));
        alarm_.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled) gatekeeper_.run_timers();
        });
    }

    // SIGUSR1 logs the counters, SIGHUP reloads the configuration.
    asio::awaitable<void> handle_signals() {
        for (;;) {
            const int signal = co_await signals_.async_wait(asio::use_awaitable);
            if (signal == SIGUSR1)
                log_counters();
            else
                reload();
        }
    }

    // SIGTERM and SIGINT end the process. A signal set hands out its lowest signal first, so in one set with
    // SIGHUP they would wait for all reloads.
    asio::awaitable<void> await_termination() {
        co_await termination_signals_.async_wait(asio::use_awaitable);
        co_await stop();
    }

    // Reads and checks both files completely before it applies any of them, so that a faulty file changes
    // nothing.
    void reload() {
        try {
            const config::Config updated = load();
            std::optional<config::OperatorFile> file;
            if (!file_path_.empty()) file = config::read_operator_file(file_path_);
            if (const std::string restart_reason =
                    file ? config::find_restart_reason(*file_, *file) : std::string();
                !restart_reason.empty())
                json::throw_bad_input(file_path_ + ": " + restart_reason);
            if (updated.listen_address != listen_) json::throw_bad_key("listen", "the same until a restart");
            if (!gatekeeper_.can_apply(updated.settings))
                json::throw_bad_input(
                    "in 'settings': 'grades', 'layout' and 'this_node' must be the same until a restart");
            plan_ = MemoryPlan(updated);
            gatekeeper_.apply_settings(updated.settings, bounds(plan_));
            shutdown_time_limit_ = updated.shutdown_time_limit();
            shutdown_time_limit_superseded_ = updated.shutdown_time_limit_superseded();
            switches_.set_connect_time_out(updated.net.connect_time_out);
            switches_.set_max_queue_bytes(plan_.switch_queue_bytes);
            switches_.set_max_connections(plan_.max_switch_connections);
            callers_.set_max_queue_bytes(plan_.caller_queue_bytes);
            set_predecessor_connections(predecessor_connections_);
            feed_.set_max_line_bytes(plan_.feed_line_bytes);
            feed_.apply_events(updated.last_event_number, updated.known_events);
            feed_.set_address(net::to_endpoint(updated.feed_address));
            if (file) {
                file_ = std::move(file);
                log_.configure(file_->log.json, log::parse_level(file_->log.level));
                if (trunk_) trunk_->apply(*file_->trunk);
            }
            ++counters_.reloads;
            log_.info("configuration taken over, feed " + updated.feed_address);
        } catch (const std::exception& error) {
            ++counters_.reloads_refused;
            log_.error(std::string("configuration refused, the old one stays: ") + error.what());
        }
    }

    // Ends the process. Serves on until callers have had time to turn to another gatekeeper and all pending
    // answers are written, but not past the shutdown time limit; what is unanswered then is refused.
    asio::awaitable<void> stop() {
        const Instant requested = clock_.now();
        const Instant end =
            requested + (handover_.is_superseded() ? shutdown_time_limit_superseded_ : shutdown_time_limit_);
        gatekeeper_.begin_shutdown(end);
        for (;;) {
            stop_timer_.expires_after(kStopCheckInterval);
            co_await stop_timer_.async_wait(asio::use_awaitable);
            const Instant now = clock_.now();
            if (now >= end) gatekeeper_.refuse_all();
            const bool done = gatekeeper_.unanswered_calls() == 0 && callers_.is_idle() &&
                              switches_.is_idle() && handover_.is_idle() &&
                              !(handover_.is_superseded() && callers_.connection_count() > 0);
            if ((done && now >= requested + kMinServiceAfterStop) || now >= end + kFinalWriteTime) break;
        }
        callers_.stop();
        if (operators_) operators_->stop();
        if (trunk_) trunk_->stop();
        feed_.stop();
        handover_.stop();
        static_cast<asio::io_context&>(stop_timer_.get_executor().context()).stop();
    }

    log::Log& log_;
    std::string file_path_;
    std::optional<config::OperatorFile> file_;
    std::string name_, listen_;
    Duration shutdown_time_limit_, shutdown_time_limit_superseded_;
    UnixClock clock_;
    Instant started_ = clock_.now();
    Counters counters_;
    MemoryPlan plan_;
    net::SwitchConnections switches_;
    calls::Routes routes_;
    calls::Gatekeeper gatekeeper_;
    std::optional<TrunkService> trunk_;
    net::CallerConnections callers_;
    net::FeedClient feed_;
    net::Handover handover_;
    std::optional<net::OperatorServer> operators_;
    calls::ListedExchanges exchanges_;  // the current list, for a successor
    std::int64_t list_version_ = 0;
    // Callers' connections that the predecessor still has; both processes together may have
    // plan_.max_callers.
    std::size_t predecessor_connections_ = 0;
    bool serving_ = false;                   // false: a predecessor still serves
    asio::steady_timer alarm_, stop_timer_;  // alarm_: of the call table
    asio::signal_set signals_, termination_signals_;
    int note_count_ = 0;  // of the decision module
    log::RateLimit event_lines_{kMaxEventLinesPerSecond, kMaxEventLineBurst};
};

// Holds back the signals that the program handles. Outside the time in which it handles them they would end
// the process, also a SIGHUP that comes just after the start or while the process ends in an orderly way.
void block_signals(bool block) {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : kHandledSignals) sigaddset(&handled, signal);
    pthread_sigmask(block ? SIG_BLOCK : SIG_UNBLOCK, &handled, nullptr);
}

}  // namespace

int serve(const ServeOptions& options) {
    block_signals(true);
    const config::Config config = load();
    std::optional<config::OperatorFile> file;
    if (!options.operator_file.empty()) file = config::read_operator_file(options.operator_file);
    log::Log log;
    if (file) log.configure(file->log.json, log::parse_level(file->log.level));
    asio::io_context io(1);
    Program program(io, config, options.operator_file, std::move(file), log);
    block_signals(false);
    io.run();
    block_signals(true);
    program.log_counters();
    return 0;
}

}  // namespace nettlestall
