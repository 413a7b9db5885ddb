// What the call table and those who speak a protocol tell each other. Nothing here knows how it is written
// on a connection: a second protocol offers the same calls and hears the same answers.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall {

using Description = std::shared_ptr<const std::string>;  // of the media; passed on unchanged

// ---- Callers -------------------------------------------------------------------------------------

struct SetUpRequest {  // a set-up, as views into the bytes that it came in
    CallId call{};
    std::string_view service_class{};
    std::string_view number{};
    std::string_view description{};
    Duration time_left{};
    int destination = kNoExchange;
    int width = 0;
    int via = kNoExchange;
    bool transit = false, was_cut = false, redial = false;
};

enum class ReleaseReason { refused, failed, ended, cut };  // what a release tells the caller

// One connection of a caller, as the call table sees it.
class CallerLink {
   public:
    struct Usage {
        int open_set_ups = 0;    // set-ups that are owed a final answer there
        int standing_calls = 0;  // calls that came on it
    };
    Usage usage;  // kept by the call table

    virtual void answer(const CallId& call, Description description) = 0;
    virtual void release(const CallId& call, ReleaseReason ending) = 0;
    virtual std::string_view origin() const = 0;  // the same for all connections of one caller

   protected:
    ~CallerLink() = default;
};

class CallerEvents {
   public:
    virtual void on_set_up(CallerLink& link, const SetUpRequest& offer) = 0;
    virtual void on_release(CallerLink& link, const CallId& call) = 0;  // given up, or over
    virtual bool is_ready() = 0;                                        // what the front is told when it asks
    virtual void on_caller_connected(CallerLink& link) = 0;
    virtual void on_caller_disconnected(CallerLink& link) = 0;

   protected:
    ~CallerEvents() = default;
};

// ---- Carrier switches ------------------------------------------------------------------------------

struct OutgoingSetUp {  // a set-up on its way to a carrier switch
    CallId call{};
    std::string service_class{};
    std::string number{};
    Description description{};
    Duration time_limit{};
    // For who signals on to a further hub; a carrier switch finds its way by the number.
    int destination = kNoExchange;
    int width = 1;
    bool was_cut = false, redial = false;
};

class Switches {
   public:
    virtual void set_up(const ExchangeId& at, const OutgoingSetUp& forward) = 0;
    virtual void cancel(const ExchangeId& at, const CallId& call) = 0;   // before its answer
    virtual void release(const ExchangeId& at, const CallId& call) = 0;  // after its answer

   protected:
    ~Switches() = default;
};

class SwitchEvents {
   public:
    virtual void on_answer(const ExchangeId& at, const CallId& call, std::string_view description) = 0;
    virtual void on_call_ended(const ExchangeId& at, const CallId& call, Outcome outcome, Cause cause,
                               const LoadReport& load) = 0;
    virtual void on_group_state(const ExchangeId& at, const LoadReport& load) = 0;
    virtual void on_process_failed(const ExchangeId& at) = 0;  // its standing calls are cut

   protected:
    ~SwitchEvents() = default;
};

// ---- The call table, looked into ----------------------------------------------------------------

// What a front asks of the call table, to compare it with what it holds for calls itself.
class CallTable {
   public:
    // Null: no such call. Empty: it is at no exchange just now.
    virtual const ExchangeId* exchange_of(const CallId& call) const = 0;
    virtual std::string_view origin_of(const CallId& call) const = 0;
    virtual std::vector<CallId> calls_at(const ExchangeId& at) const = 0;
    virtual std::vector<CallId> calls_from(const CallerLink& link) const = 0;

   protected:
    ~CallTable() = default;
};

// ---- The process that takes over --------------------------------------------------------------------

// Calls that stand are its own, whichever process they were set up by.
class Successor {
   public:
    virtual void hand_over_call(const ExchangeId& at, const CallId& call, std::string_view origin) = 0;
    virtual void hand_over_end(const ExchangeId& at, const CallId& call, Outcome outcome) = 0;
    virtual void hand_over_release(const CallId& call) = 0;  // by its caller

   protected:
    ~Successor() = default;
};

// ---- The list of exchanges -------------------------------------------------------------------------

struct ListedExchange {
    ExchangeEntry entry;
    std::string address;
};

struct ListEvent {
    std::int64_t number = 0;
    bool has_list = false;  // else only the number
    ListKind kind = ListKind::changes;
    std::int64_t version = 0;
    std::vector<ListedExchange> entries;
};

}  // namespace nettlestall
