#include "lab/live.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <stdexcept>
#include <vector>

#include "lab/simulation.hpp"
#include "net/connection.hpp"

namespace nettlestall::lab {
namespace {

using namespace protocol;
using net::tcp;
using net::asio::awaitable;
using net::asio::use_awaitable;
using std::chrono::milliseconds;

constexpr const char* kHost = "127.0.0.1";
// The end of a gatekeeper's configuration, from the quote that closes the address on.
constexpr const char* kModuleSettings = R"(","settings":{"self_index":0,"fleet_size":2,)"
                                        R"("family_info":{"release_s":0.3,"class_width":[1,3]},)"
                                        R"("grades":[{"name":"move","aim_s":1,"deadline_s":3},)"
                                        R"({"name":"live-board","points":3,"aim_s":1,"deadline_s":3}],)"
                                        R"("limits":{"send_cap":5,"open_cap":1000},)"
                                        R"("obligations":{"drain_grace_s":0.5,"grace_to_answer_s":0.02}}})";
constexpr std::size_t kMaxQueueBytes = 64 * 1024 * 1024;  // on all connections of callers and lines
constexpr Duration kMeanHoldingTime = std::chrono::seconds(1);
constexpr double kWideShare = 0.1;         // share of calls that take three circuits
constexpr milliseconds kTickInterval{50};  // calls are placed in batches, at this interval
// Limits for the gatekeepers to start, and for the last calls to end.
constexpr auto kStartTimeout = std::chrono::seconds(10), kDrainTimeout = std::chrono::seconds(15);

// Splits the bytes of a connection into messages and passes them to `handler`; for Connection::read_into().
struct ConnectionReader {
    MessageReader messages;
    std::function<void(const Message&)> handler;
    std::span<char> read_buffer() { return messages.read_buffer(); }
    bool consume(std::size_t bytes) {
        return messages.consume(bytes, [this](const Message& message) { return handler(message), true; });
    }
};

// A gatekeeper as a child process. `folder` has its files, `operators_port` is the port of its operators'
// address. The destructor ends it and waits for it; the kernel kills it if this process dies.
class ChildProcess {
   public:
    ChildProcess(const std::string& program, const std::string& folder, int operators_port) {
        pid_ = fork();
        if (pid_ != 0) return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("BALANCER_CONFIG", (folder + "/config.json").c_str(), 1);
        setenv("BALANCER_OPERATOR", (std::string(kHost) + ':' + std::to_string(operators_port)).c_str(), 1);
        setenv("TMPDIR", folder.c_str(), 1);
        unsetenv("BALANCER_LISTEN"), unsetenv("BALANCER_NAME");
        if (!std::freopen((folder + "/log").c_str(), "w", stderr)) _exit(127);
        execl(program.c_str(), program.c_str(), "serve", "--file", (folder + "/nettlestall.xml").c_str(),
              nullptr);
        _exit(127);
    }
    ~ChildProcess() {
        if (pid_ <= 0) return;
        kill(pid_, SIGTERM);
        waitpid(pid_, nullptr, 0);
    }
    ChildProcess(const ChildProcess&) = delete;

   private:
    pid_t pid_ = -1;
};

// Counts of calls over both hubs.
struct CallCounts {
    std::map<CallId, int> final_answers;  // number of final answers by call
    std::uint64_t placed = 0, answered = 0, rejected = 0, ended = 0;
    int standing = 0;  // answered and not yet over
};

// One hub: its number, the ports of its addresses, its process, and the connections of its callers and lines.
struct Hub {
    int number = 0, callers_port = 0, operators_port = 0, trunk_port = 0, lines_port = 0;
    std::string folder;
    std::unique_ptr<ChildProcess> child;
    std::unique_ptr<tcp::acceptor> lines_acceptor;
    std::shared_ptr<net::Connection> caller, line;
    ConnectionReader caller_reader, line_reader;
};

// Runs both hubs, and the callers and lines on one io_context.
class LiveExperiment {
   public:
    explicit LiveExperiment(const LiveSettings& settings)
        : settings_(settings), random_(settings.seed), timer_(io_) {
        folder_ = (std::filesystem::temp_directory_path() / ("nettlestall-live." + std::to_string(getpid())))
                      .string();
        for (int h = 0; h < 2; ++h) {
            Hub& hub = hubs_[h];
            hub.number = h + 1;
            hub.folder = folder_ + "/hub-" + std::to_string(hub.number);
            std::filesystem::create_directories(hub.folder);
            for (int* port : {&hub.callers_port, &hub.operators_port, &hub.trunk_port})
                *port = find_free_port();
            hub.lines_acceptor =
                std::make_unique<tcp::acceptor>(io_, tcp::endpoint(net::asio::ip::make_address(kHost), 0));
            hub.lines_port = hub.lines_acceptor->local_endpoint().port();
        }
    }
    ~LiveExperiment() {
        for (Hub& hub : hubs_) hub.child.reset();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    int run() {
        for (int h = 0; h < 2; ++h) write_files(hubs_[h], hubs_[1 - h]);
        for (Hub& hub : hubs_) {
            net::spawn(io_, serve_lines(hub));
            hub.child = std::make_unique<ChildProcess>(settings_.program, hub.folder, hub.operators_port);
        }
        std::printf(
            "two gatekeepers, one group of %d circuits; callers at ports %d and %d, operators at %d and %d\n",
            settings_.circuits, hubs_[0].callers_port, hubs_[1].callers_port, hubs_[0].operators_port,
            hubs_[1].operators_port);
        net::spawn(io_, run_calls());
        io_.run();
        return result_;
    }

   private:
    // A port that no process listens on now. Another process may take it before the gatekeeper does.
    int find_free_port() {
        tcp::acceptor probe(io_, tcp::endpoint(net::asio::ip::make_address(kHost), 0));
        return probe.local_endpoint().port();
    }
    static std::string address_of(int port) { return std::string(kHost) + ':' + std::to_string(port); }

    // Writes the hub's operator's file and configuration. Hub 1 has the lower point code, so it dials.
    void write_files(const Hub& hub, const Hub& far) const {
        const std::string own = std::to_string(hub.number), other = std::to_string(far.number);
        std::ofstream(hub.folder + "/nettlestall.xml")
            << "<nettlestall>\n <trunk point=\"" << own << "0\" number=\"" << own << "\" listen=\""
            << address_of(hub.trunk_port) << "\" ledger=\"" << hub.folder << "\">\n  <lines exchange=\"lines-"
            << own << "\" number=\"" << own << "\" address=\"" << address_of(hub.lines_port)
            << "\"/>\n  <group id=\"1\" exchange=\"hub-" << other << "\" number=\"" << other
            << "\" far-point=\"" << other << "0\" circuits=\"" << settings_.circuits << '"'
            << (hub.number < far.number ? " dial=\"" + address_of(far.trunk_port) + '"' : "")
            << "><audit every-s=\"2\" patience-s=\"1\"/></group>\n </trunk>\n</nettlestall>\n";
        std::ofstream(hub.folder + "/config.json") << R"({"name":"hub-)" << own << R"(","listen":")"
                                                   << address_of(hub.callers_port) << kModuleSettings << '\n';
    }

    // ---- Lines
    // Each call is answered after 20 to 120 ms. Half of the lines then hang up after a time of
    // kMeanHoldingTime on average; callers hang up after three times that, if the line has not.

    // Reports 500 free lines of 500.
    static void report_free_lines(Hub& hub) {
        hub.line->send(
            FrameBuilder(MessageType::group_state, "").text(ParameterCode::report, "x0:500;x1:500").build());
    }

    // Accepts the gatekeeper's connections to its carrier switch, one after the other, and answers its calls.
    awaitable<void> serve_lines(Hub& hub) {
        for (;;) {
            auto [error, socket] =
                co_await hub.lines_acceptor->async_accept(net::asio::as_tuple(use_awaitable));
            if (error) co_return;
            hub.line = std::make_shared<net::Connection>(std::move(socket), queue_budget_, counters_);
            report_free_lines(hub);
            hub.line_reader = {};
            hub.line_reader.handler = [this, &hub](const Message& message) {
                if (message.type == MessageType::release) report_free_lines(hub);
                if (message.type == MessageType::set_up)
                    after(random_.draw_between(milliseconds(20), milliseconds(120)),
                          [this, &hub, call = message.call()] {
                              hub.line->send(FrameBuilder(MessageType::answer, call)
                                                 .build(std::make_shared<const std::string>("media")));
                              if (random_.draw_bool(0.5))
                                  after(random_.draw_exponential(kMeanHoldingTime), [this, &hub, call] {
                                      hub.line->send(FrameBuilder(MessageType::release, call)
                                                         .cause(cause::kNormalClearing)
                                                         .build());
                                  });
                          });
            };
            co_await hub.line->read_into(hub.line_reader, [] {});
        }
    }

    // ---- Callers

    void place_call(Hub& hub, const Hub& to) {
        char id[17];
        std::snprintf(id, sizeof id, "%04x%012llx", hub.number,
                      static_cast<unsigned long long>(++counts_.placed));
        const bool wide = random_.draw_bool(kWideShare);
        counts_.final_answers[id] = 0;
        hub.caller->send(FrameBuilder(MessageType::set_up, id)
                             .text(ParameterCode::service_class, wide ? "live-board" : "move")
                             .text(ParameterCode::time_left, "2500")
                             .text(ParameterCode::number, "7f3a")
                             .text(ParameterCode::attributes, "dest:" + std::to_string(to.number) +
                                                                  ";width:" + (wide ? "3" : "1") + ";via:-1")
                             .build(std::make_shared<const std::string>("media offered")));
    }

    // Handles a message that a caller of the hub receives.
    void handle_message(Hub& hub, const Message& message) {
        const CallId call = message.call();
        const auto entry = counts_.final_answers.find(call);
        if (entry == counts_.final_answers.end()) return;
        if (message.type == MessageType::answer) {
            ++entry->second, ++counts_.answered, ++counts_.standing;
            connected_calls_[call] = true;
            after(3 * random_.draw_exponential(kMeanHoldingTime), [this, &hub, call] {
                if (!connected_calls_.erase(call)) return;  // the line has hung up first
                --counts_.standing, ++counts_.ended;
                hub.caller->send(
                    FrameBuilder(MessageType::release, call).cause(cause::kNormalClearing).build());
            });
        } else if (message.type == MessageType::release && connected_calls_.erase(call)) {
            --counts_.standing, ++counts_.ended;
        } else if (message.type == MessageType::release) {
            ++entry->second, ++counts_.rejected;
        }
    }

    // Connects the callers to the hub; throws if the gatekeeper does not start within kStartTimeout.
    awaitable<void> connect_caller(Hub& hub) {
        tcp::socket socket(io_);
        const auto deadline = std::chrono::steady_clock::now() + kStartTimeout;
        while (co_await net::connect(socket, *net::to_endpoint(address_of(hub.callers_port)),
                                     milliseconds(500))) {
            if (std::chrono::steady_clock::now() > deadline)
                throw std::runtime_error("a gatekeeper does not start");
            socket = tcp::socket(io_);
            co_await wait(kTickInterval);
        }
        hub.caller = std::make_shared<net::Connection>(std::move(socket), queue_budget_, counters_);
        hub.caller_reader.handler = [this, &hub](const Message& message) { handle_message(hub, message); };
        net::spawn(io_, read_caller(hub));
    }
    awaitable<void> read_caller(Hub& hub) {
        co_await hub.caller->read_into(hub.caller_reader, [] {});
    }

    // ---- The run

    awaitable<void> wait(Duration time) {
        net::asio::steady_timer timer(io_, time);
        co_await timer.async_wait(use_awaitable);
    }
    // Runs the task after that time.
    void after(Duration time, std::function<void()> task) {
        auto timer = std::make_shared<net::asio::steady_timer>(io_, time);
        timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& stopped) {
            if (!stopped) task();
        });
    }

    // Reads a metric of the group from the operators' address of the hub; -1 if there is none.
    awaitable<long> fetch_metric(const Hub& hub, std::string name) {
        tcp::socket socket(io_);
        if (co_await net::connect(socket, *net::to_endpoint(address_of(hub.operators_port)),
                                  milliseconds(500)))
            co_return -1;
        const std::string request = "GET /metrics HTTP/1.1\r\nHost: gatekeeper\r\n\r\n";
        co_await net::asio::async_write(socket, net::asio::buffer(request),
                                        net::asio::as_tuple(use_awaitable));
        std::string reply;
        co_await net::asio::async_read(socket, net::asio::dynamic_buffer(reply),
                                       net::asio::as_tuple(use_awaitable));
        const auto found = reply.find("app.trunk.1." + name + ':');
        co_return found == std::string::npos ? -1 : std::atol(reply.c_str() + reply.find(':', found) + 1);
    }

    // Waits until the group is in service, places calls for the configured time, and prints a line a second.
    awaitable<void> run_calls() {
        for (Hub& hub : hubs_) co_await connect_caller(hub);
        const auto deadline = std::chrono::steady_clock::now() + kStartTimeout;
        for (Hub& hub : hubs_)
            while (co_await fetch_metric(hub, "up") != 1) {
                if (std::chrono::steady_clock::now() > deadline)
                    throw std::runtime_error("the circuit group does not come into service");
                co_await wait(kTickInterval);
            }
        std::printf("the group is in service\n");
        const double calls_per_tick =
            settings_.calls_per_second * static_cast<double>(kTickInterval.count()) / 1000.0;
        const int ticks =
            static_cast<int>(settings_.seconds * 1000.0 / static_cast<double>(kTickInterval.count()));
        const int ticks_per_second = static_cast<int>(1000 / kTickInterval.count());
        double calls_due = 0;
        for (int tick = 1; tick <= ticks; ++tick) {
            for (calls_due += calls_per_tick; calls_due >= 1; calls_due -= 1)
                for (int h = 0; h < 2; ++h) place_call(hubs_[h], hubs_[1 - h]);  // at both ends at once
            co_await wait(kTickInterval);
            if (tick % ticks_per_second == 0) {
                const long busy = co_await fetch_metric(hubs_[0], "busy");
                std::printf(
                    "%3d s: %6llu calls placed, %6llu answered, %4llu rejected, %3d standing, %2ld of %d "
                    "circuits busy\n",
                    tick / ticks_per_second, static_cast<unsigned long long>(counts_.placed),
                    static_cast<unsigned long long>(counts_.answered),
                    static_cast<unsigned long long>(counts_.rejected), counts_.standing, busy,
                    settings_.circuits);
                std::fflush(stdout);
            }
        }
        co_await print_summary();
        io_.stop();
    }

    // Waits until all calls are over, at most kDrainTimeout, prints the totals and sets the exit code.
    awaitable<void> print_summary() {
        const auto deadline = std::chrono::steady_clock::now() + kDrainTimeout;
        long busy = 1;
        while (std::chrono::steady_clock::now() < deadline && (busy != 0 || counts_.standing > 0)) {
            co_await wait(milliseconds(200));
            busy = std::max(co_await fetch_metric(hubs_[0], "busy"), co_await fetch_metric(hubs_[1], "busy"));
        }
        std::uint64_t missing = 0, twice = 0;
        for (const auto& [call, answers] : counts_.final_answers)
            missing += answers == 0, twice += answers > 1;
        const long glares_lost =
            co_await fetch_metric(hubs_[0], "glares_lost") + co_await fetch_metric(hubs_[1], "glares_lost");
        std::printf(
            "%llu calls: %llu answered, %llu rejected; %llu without a final answer, %llu with several; "
            "%ld dual seizures settled; %ld circuits busy at the end\n",
            static_cast<unsigned long long>(counts_.placed),
            static_cast<unsigned long long>(counts_.answered),
            static_cast<unsigned long long>(counts_.rejected), static_cast<unsigned long long>(missing),
            static_cast<unsigned long long>(twice), glares_lost, busy);
        result_ = missing == 0 && twice == 0 && busy == 0 ? 0 : 1;
    }

    LiveSettings settings_;
    Random random_;
    net::asio::io_context io_{1};
    net::asio::steady_timer timer_;
    Counters counters_;
    net::QueueBudget queue_budget_ = std::make_shared<SharedBudget>(kMaxQueueBytes);
    std::string folder_;
    Hub hubs_[2];
    CallCounts counts_;
    std::map<CallId, bool> connected_calls_;
    int result_ = 1;
};

}  // namespace

int run_live(const LiveSettings& settings) {
    return LiveExperiment(settings).run();
}

}  // namespace nettlestall::lab
