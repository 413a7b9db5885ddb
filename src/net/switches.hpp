// Connections to the carrier switches: one to each switch of the list, dialled again whenever it is lost, and
// older ones as long as the switch keeps them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>

#include "calls/call_log.hpp"
#include "calls/signals.hpp"
#include "net/connection.hpp"
#include "protocol/switches.hpp"

namespace nettlestall::net {

// Sends set-ups and releases to the carrier switches and reports what they answer. A set-up that arrives
// while there is no connection waits for the next dial and fails if that fails. A set-up for which there is
// no room, since the switch does not read, fails at once with Outcome::unreachable. A set-up that is
// unanswered when its connection closes fails with Outcome::reset and is released on the next connection.
// After a connection has ended while calls stand, another one is opened, on which the switch repeats its
// releases.
class SwitchConnections final : public Switches {
   public:
    // `connect_time_out`: for a dial; the limits for silent connections are multiples of it.
    // `max_queue_bytes`: memory for the messages that wait for being written to all switches.
    // `max_connections`: open at a time, above which none is opened beside another one to hear releases.
    SwitchConnections(asio::io_context& io, Duration connect_time_out, std::size_t max_queue_bytes,
                      std::size_t max_connections, Counters& counters);
    ~SwitchConnections();

    // To be called before the first list.
    void report_to(SwitchEvents& events) { events_ = &events; }
    // `handler` gets the lines of the log that concern connections to carrier switches. Likewise.
    void set_log_handler(calls::CallLog::Handler handler) { log_.set_handler(std::move(handler)); }
    // Connects to the switches that are new in the list or have a new address, and disconnects from those
    // that are gone. Set-ups that wait for a switch that is now draining fail.
    void apply_list(const ListEvent& event);
    void set_connect_time_out(Duration time_out);
    // The predecessor process of an upgrade has ended, and its connections to the switches with it. Calls
    // that were set up on them stand here now.
    void on_predecessor_ended();
    // Looks for silence at this switch as if calls had been set up there from here.
    void expect_calls_at(const ExchangeId& id);
    void set_max_queue_bytes(std::size_t bytes) { queue_budget_->set_max_bytes(bytes); }
    void set_max_connections(std::size_t connections) { connection_counts_->max_for_refresh = connections; }
    void stop();           // closes all connections; all unanswered set-ups fail
    bool is_idle() const;  // everything queued has been written

    void set_up(const ExchangeId& at, const OutgoingSetUp& request) override;
    void cancel(const ExchangeId& at, const CallId& call) override;
    void release(const ExchangeId& at, const CallId& call) override;

   private:
    class Peer;
    void remove(const ExchangeId& id);

    asio::io_context& io_;
    Duration connect_time_out_;
    QueueBudget queue_budget_;
    Counters& counters_;
    SwitchEvents* events_ = nullptr;
    calls::CallLog log_;
    struct ConnectionCounts {  // over all peers
        std::uint64_t last_number = 0;
        std::size_t open = 0, max_for_refresh = 0;
    };
    std::shared_ptr<ConnectionCounts> connection_counts_;  // also of coroutines that outlive this object
    std::map<ExchangeId, std::shared_ptr<Peer>> peers_;
};

}  // namespace nettlestall::net
