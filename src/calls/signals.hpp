// The interfaces between the call table and the code that speaks a signalling protocol. Nothing here depends
// on how a message is encoded: a second protocol offers the same calls and receives the same answers.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "calls/unconfirmed_releases.hpp"
#include "nettlestall/call_control.hpp"

namespace nettlestall {

// The description of a call's media. It is passed on unchanged, and shared so that no attempt copies it.
using Description = std::shared_ptr<const std::string>;

// ---- Callers ----------------------------------------------------------------------------------------

// A set-up from a caller. Its texts are views into the bytes that it came in, and are valid only until
// CallerEvents::on_set_up() returns.
struct SetUpRequest {
    CallId call{};
    std::string_view service_class{};  // by its name in the settings
    std::string_view number{};         // the number called; may be empty
    std::string_view description{};
    Duration time_left{};           // until the caller must have its final answer
    int destination = kNoExchange;  // exchange number
    int width = 0;                  // circuits that the call takes on each trunk group
    int via = kNoExchange;  // exchange number: in transit the previous exchange, else the advised tandem
    // Transit: it comes from another exchange. Reconnect: the call was answered, was cut and is set up again.
    // Redial: the caller has marked it as a repeated attempt.
    bool transit = false, is_reconnect = false, redial = false;
};

// Why a call is released toward its caller: no circuit (the caller may dial again), a fault, the normal end
// of an answered call, or an answered call that was cut.
enum class ReleaseReason { refused, failed, ended, cut };

constexpr int kNoPort = 0;

// Where a caller's connection comes from. All connections of one caller have the same origin. With the port,
// which is the far end's, it identifies one connection, also after that was passed on to another process.
struct CallerAddress {
    std::string origin;
    int port = kNoPort;  // kNoPort: not known
};

// One connection of a caller, or the trunk group of a hub that sends calls, as the call table sees it.
class CallerLink {
   public:
    struct Usage {
        int open_set_ups = 0;          // set-ups on this connection that still need a final answer
        std::size_t set_up_bytes = 0;  // that these hold in memory
        int standing_calls = 0;        // answered calls that were set up on this connection
        bool has_placed_call = false;  // a set-up that could be served, or a call's release, has come on it
        bool has_sent_health_check = false;
    };
    Usage usage;  // maintained by the call table, but for the health checks

    // Sends the caller the answer to its set-up, with the description that the carrier switch has given.
    // False: there is no room for it, and nothing was sent.
    virtual bool answer(const CallId& call, Description description) = 0;
    // Sends the caller the release of a call: the final answer to a set-up, or the end of an answered call.
    virtual void release(const CallId& call, ReleaseReason reason) = 0;
    // Identifies the caller: all connections of one caller have the same origin.
    virtual std::string_view origin() const = 0;
    // The far end's port; kNoPort if there is none.
    virtual int port() const { return kNoPort; }

   protected:
    ~CallerLink() = default;
};

// Receives what callers send. The call table implements it.
class CallerEvents {
   public:
    virtual void on_set_up(CallerLink& link, const SetUpRequest& request) = 0;
    // The caller cancels its set-up, or ends its answered call.
    virtual void on_release(CallerLink& link, const CallId& call) = 0;
    // The answer to a health check by the load balancer.
    virtual bool is_ready() = 0;
    // The caller has received the release of a call.
    virtual void on_release_confirmed(CallerLink&, const CallId&) {}
    // `link` is valid from on_caller_connected() until on_caller_disconnected() returns.
    virtual void on_caller_connected(CallerLink& link) = 0;
    virtual void on_caller_disconnected(CallerLink& link, calls::ConnectionEnd end) = 0;

   protected:
    ~CallerEvents() = default;
};

// ---- Carrier switches -------------------------------------------------------------------------------

// A set-up that is sent on to a carrier switch or to another hub.
struct OutgoingSetUp {
    CallId call{};
    std::string service_class{};
    std::string number{};
    Description description{};
    Duration time_limit{};  // within which the answer must come
    // Used only where the call goes on to another hub: a carrier switch routes by the number.
    int destination = kNoExchange;              // exchange number
    int width = 1;                              // circuits
    bool is_reconnect = false, redial = false;  // as in SetUpRequest
};

// Sends set-ups and releases to carrier switches, each by the id of its exchange.
class Switches {
   public:
    virtual void set_up(const ExchangeId& exchange, const OutgoingSetUp& set_up) = 0;
    // Withdraws a set-up that has not been answered.
    virtual void cancel(const ExchangeId& exchange, const CallId& call) = 0;
    // Ends a call that has been answered.
    virtual void release(const ExchangeId& exchange, const CallId& call) = 0;

   protected:
    ~Switches() = default;
};

// Receives what carrier switches send. The call table implements it.
class SwitchEvents {
   public:
    // A set-up was answered, with the description that the caller is to get.
    virtual void on_answer(const ExchangeId& exchange, const CallId& call, std::string_view description) = 0;
    // The call's last attempt has failed or the answered call has ended. `load` holds what the exchange
    // reported with it.
    virtual void on_call_ended(const ExchangeId& exchange, const CallId& call, Outcome outcome, Cause cause,
                               const LoadReport& load) = 0;
    // As on_call_ended(), from a protocol whose messages name the call and not the set-up: the end may be
    // that of an earlier set-up of the call at the exchange.
    virtual void on_unattributed_end(const ExchangeId& exchange, const CallId& call, Outcome outcome,
                                     Cause cause, const LoadReport& load) {
        on_call_ended(exchange, call, outcome, cause, load);
    }
    // The exchange has received the release of a call.
    virtual void on_release_confirmed(const ExchangeId&, const CallId&) {}
    // The state of the circuits toward the exchange has changed.
    virtual void on_group_state(const ExchangeId& exchange, const LoadReport& load) = 0;
    // The exchange's process has died: its answered calls are cut.
    virtual void on_process_failed(const ExchangeId& exchange) = 0;
    // Whether any answered call stands at the exchange, so that its release is still to come.
    virtual bool has_standing_calls(const ExchangeId&) const { return true; }

   protected:
    ~SwitchEvents() = default;
};

// ---- Queries to the call table ----------------------------------------------------------------------

// Lets the code that drives the trunk groups compare its own calls with those of the call table.
class CallTable {
   public:
    // The exchange to which the call's set-up went or where the call was answered. Null: there is no such
    // call. An empty id: the call has no attempt under way at present.
    virtual const ExchangeId* exchange_of(const CallId& call) const = 0;
    // The origin of the connection that the call came on; empty if there is no such call.
    virtual std::string_view origin_of(const CallId& call) const = 0;
    // Calls with an attempt under way at the exchange, and calls answered there.
    virtual std::vector<CallId> calls_at(const ExchangeId& exchange) const = 0;
    // Calls that came on the connection.
    virtual std::vector<CallId> calls_from(const CallerLink& link) const = 0;

   protected:
    ~CallTable() = default;
};

// ---- The successor process --------------------------------------------------------------------------

// The process that takes over in an upgrade. It owns all standing calls, whichever process set them up, so
// everything about them is passed on to it.
class Successor {
   public:
    // A call has been answered: from now on the successor owns it. `caller`: the connection that it came on.
    // `age`: since its set-up was sent.
    virtual void hand_over_call(const ExchangeId& exchange, const CallId& call, const CallerAddress& caller,
                                Duration age) = 0;
    // A call that the successor owns has ended at its exchange.
    virtual void hand_over_end(const ExchangeId& exchange, const CallId& call, Outcome outcome) = 0;
    // A call that the successor owns was released by its caller.
    virtual void hand_over_release(const CallId& call) = 0;
    // False: so much waits for it that what may be without use, as the release of an unknown call, is not to
    // be added.
    virtual bool has_room() const { return true; }
    // A set-up was taken here: the other process must not take one with its id for `time`; zero: it may from
    // now on.
    virtual void announce_set_up(const CallId&, Duration) {}

   protected:
    ~Successor() = default;
};

// The process that this one takes over from. A connection that always has an open set-up stays there, while
// its standing calls are owned here.
class Predecessor {
   public:
    // Has the predecessor send the release of a call, on the connection that the call came on or on another
    // one of the same caller. Whether it could is reported back.
    virtual void relay_release(const CallId& call, const CallerAddress& caller, ReleaseReason reason) = 0;
    // As Successor::announce_set_up().
    virtual void announce_set_up(const CallId&, Duration) {}

   protected:
    ~Predecessor() = default;
};

// ---- The list of exchanges --------------------------------------------------------------------------

// An entry of the list, with the address of the exchange's carrier switch.
struct ListedExchange {
    ExchangeEntry entry;
    std::string address;  // address:port; may be empty for an exchange that has gone
};

// One numbered event of the control feed.
struct ListEvent {
    std::int64_t number = 0;
    bool has_list = false;  // false: the event carries only its number, the fields below are unused
    ListKind kind = ListKind::changes;
    std::int64_t version = 0;
    std::vector<ListedExchange> entries;
};

}  // namespace nettlestall
