// The upgrade: the process that serves passes all it has to a new one, over a Unix socket. Either side of it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "calls/signals.hpp"
#include "counters.hpp"
#include "net/connection.hpp"
#include "protocol/handover.hpp"

namespace nettlestall::net {

// A descriptor with one owner.
class Descriptor {
   public:
    explicit Descriptor(int number = -1) : number_(number) {}
    Descriptor(Descriptor&& other) noexcept : number_(other.release()) {}
    Descriptor& operator=(Descriptor&& other) noexcept {
        std::swap(number_, other.number_);
        return *this;
    }
    ~Descriptor();
    int get() const { return number_; }
    int release() { return std::exchange(number_, -1); }
    explicit operator bool() const { return number_ >= 0; }

   private:
    int number_;
};

class Handover final : public Successor {
   public:
    // The process itself, on either side.
    class Process {
       public:
        // As the one that serves.
        virtual std::string list() const = 0;  // as a line of the feed
        virtual int listener() = 0;
        virtual void give_way() = 0;   // accepts no more, passes on what it has
        virtual void take_back() = 0;  // the new process has gone: serves as before
        // As the new one.
        virtual void take_listener(Descriptor listener) = 0;
        virtual void take_list(const std::string& line) = 0;
        virtual bool prepared() = 0;
        virtual void take_over() = 0;  // serves from now on, with whatever it was given
        virtual void take_caller(Descriptor connection, bool has_asked, std::string_view begun) = 0;
        virtual void predecessor_holds(std::size_t connections) = 0;
        virtual void take_standing(const ExchangeId& at, const CallId& call, const std::string& origin) = 0;
        virtual void take_end(const ExchangeId& at, const CallId& call, Outcome outcome) = 0;
        virtual void take_release(const CallId& call) = 0;

       protected:
        ~Process() = default;
    };

    // `path` of the socket; too long or empty: there is none, and nothing is handed over.
    Handover(asio::io_context& io, std::string path, Process& process, Counters& counters);
    ~Handover();

    // A process that serves answers at the path: from now on the talk with it goes on by itself, up to
    // Process::take_over at the latest. False: there is nobody.
    bool find_predecessor();
    void claim();  // who comes next finds this process
    void stop();

    bool superseded() const { return gave_way_; }
    bool idle() const;  // all that was to be written has been
    void pass_caller(Descriptor connection, bool has_asked, std::string begun);
    void tell_remaining(std::size_t connections);

    void hand_over_call(const ExchangeId& at, const CallId& call, std::string_view origin) override;
    void hand_over_end(const ExchangeId& at, const CallId& call, Outcome outcome) override;
    void hand_over_release(const CallId& call) override;

   private:
    class Channel;
    using Message = protocol::HandoverMessage;
    using Kind = protocol::HandoverKind;

    asio::awaitable<void> accept();
    asio::awaitable<void> give(std::shared_ptr<Channel> to);
    asio::awaitable<void> take(std::shared_ptr<Channel> from);
    asio::awaitable<bool> prepare(std::shared_ptr<Channel> from);
    void take_in(Channel& from, const Message& message);
    void tell(Message message, Descriptor with = Descriptor());

    asio::io_context& io_;
    std::string path_;
    Process& process_;
    Counters& counters_;
    asio::local::stream_protocol::acceptor acceptor_;
    std::shared_ptr<Channel> successor_;
    std::uint64_t claimed_ = 0;  // the inode at the path, if it is this process's
    bool gave_way_ = false, accepting_ = false, stopped_ = false;
};

}  // namespace nettlestall::net
