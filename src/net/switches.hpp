// The carrier switches: one connection to each that the list names, kept up and dialled again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>

#include "calls/signals.hpp"
#include "net/connection.hpp"
#include "protocol/switches.hpp"

namespace nettlestall::net {

class SwitchConnections final : public Switches {
   public:
    SwitchConnections(asio::io_context& io, Duration connect_time_out, Counters& counters);
    ~SwitchConnections();

    void report_to(SwitchEvents& events) { events_ = &events; }
    void list(const ListEvent& event);
    void use_connect_time_out(Duration time_out);
    void stop();
    bool idle() const;  // all that was to be written has been

    void set_up(const ExchangeId& at, const OutgoingSetUp& forward) override;
    void cancel(const ExchangeId& at, const CallId& call) override;
    void release(const ExchangeId& at, const CallId& call) override;

   private:
    class Peer;
    void drop(const ExchangeId& id);

    asio::io_context& io_;
    Duration connect_time_out_;
    Counters& counters_;
    SwitchEvents* events_ = nullptr;
    std::map<ExchangeId, std::shared_ptr<Peer>> peers_;
};

}  // namespace nettlestall::net
