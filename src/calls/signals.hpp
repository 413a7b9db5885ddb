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

struct Offer {  // a set-up, as views into the bytes that it came in
    CallId call{};
    std::string_view service_class{};
    std::string_view number{};
    std::string_view description{};
    Duration patience{};
    int destination = kNoExchange;
    int width = 0;
    int via = kNoExchange;
    bool transit = false, again = false, redial = false;
};

enum class Ending { refused, failed, ended, cut };  // what a release tells the caller

// One connection of a caller, as the call table sees it.
class CallerLink {
   public:
    struct Use {
        int open = 0;      // set-ups that are owed a final answer there
        int standing = 0;  // calls that came on it
    };
    Use use;  // kept by the call table

    virtual void answer(const CallId& call, Description description) = 0;
    virtual void release(const CallId& call, Ending ending) = 0;
    virtual std::string_view origin() const = 0;  // the same for all connections of one caller

   protected:
    ~CallerLink() = default;
};

class CallerEvents {
   public:
    virtual void offered(CallerLink& link, const Offer& offer) = 0;
    virtual void released(CallerLink& link, const CallId& call) = 0;  // given up, or over
    virtual bool ready() = 0;                                         // what the front is told when it asks
    virtual void caller_up(CallerLink& link) = 0;
    virtual void caller_gone(CallerLink& link) = 0;

   protected:
    ~CallerEvents() = default;
};

// ---- Carrier switches ------------------------------------------------------------------------------

struct Forward {  // a set-up on its way to a carrier switch
    CallId call{};
    std::string service_class{};
    std::string number{};
    Description description{};
    Duration wait{};
    // For who signals on to a further hub; a carrier switch finds its way by the number.
    int destination = kNoExchange;
    int width = 1;
    bool again = false, redial = false;
};

class Switches {
   public:
    virtual void set_up(const ExchangeId& at, const Forward& forward) = 0;
    virtual void give_up(const ExchangeId& at, const CallId& call) = 0;  // before its answer
    virtual void release(const ExchangeId& at, const CallId& call) = 0;  // after its answer

   protected:
    ~Switches() = default;
};

class SwitchEvents {
   public:
    virtual void stands(const ExchangeId& at, const CallId& call, std::string_view description) = 0;
    virtual void ended(const ExchangeId& at, const CallId& call, Outcome outcome, Cause cause,
                       const LoadReport& load) = 0;
    virtual void group_state(const ExchangeId& at, const LoadReport& load) = 0;
    virtual void process_dead(const ExchangeId& at) = 0;  // its standing calls are cut

   protected:
    ~SwitchEvents() = default;
};

// ---- The call table, looked into ----------------------------------------------------------------

// What a front asks of the call table, to compare it with what it holds for calls itself.
class CallTable {
   public:
    // Null: no such call. Empty: it is at no exchange just now.
    virtual const ExchangeId* whereabouts(const CallId& call) const = 0;
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
    virtual void stands(const ExchangeId& at, const CallId& call, std::string_view origin) = 0;
    virtual void ended(const ExchangeId& at, const CallId& call, Outcome outcome) = 0;
    virtual void released(const CallId& call) = 0;  // by its caller

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
