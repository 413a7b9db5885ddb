// The hand-over of an upgrade: the process that serves (the predecessor) passes its listening socket, its
// list of exchanges, its callers' connections and its standing calls to a new process (the successor) over a
// Unix socket. Both sides of it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "calls/signals.hpp"
#include "counters.hpp"
#include "net/connection.hpp"
#include "protocol/callers.hpp"
#include "protocol/handover.hpp"

namespace nettlestall::net {

// Owns a file descriptor and closes it; -1: none.
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

// A process is the successor of the one before it and later the predecessor of the next. Implements the call
// table's Successor, which sends the standing calls and what becomes of them to the successor process, and
// its Predecessor, which has releases sent by the predecessor process.
class Handover final : public Successor, public Predecessor {
   public:
    // What the hand-over needs from the process that it is part of.
    class Process {
       public:
        // Called while this process is the predecessor.
        virtual std::string exchange_list() const = 0;  // as a line of the feed
        virtual int listener_descriptor() = 0;
        virtual void begin_handover() = 0;  // accepts no further connections, passes on the open ones
        virtual void resume_service() = 0;  // the successor has gone: serves as before
        // Sends a release to a caller whose connection is still here. False: there is none of the caller.
        virtual bool deliver_release(const CallId& call, const CallerAddress& caller,
                                     ReleaseReason reason) = 0;
        // Called while this process is the successor.
        virtual void use_listener(Descriptor listener) = 0;
        virtual void apply_list(const std::string& line) = 0;
        virtual bool is_prepared() = 0;  // ready to serve
        virtual void take_over() = 0;    // serves from now on, also if nothing was handed over
        virtual void add_caller_connection(Descriptor connection, const protocol::CallerState& state) = 0;
        // The number of callers' connections that the predecessor still has.
        virtual void set_predecessor_connections(std::size_t connections) = 0;
        // `age`: since its set-up was sent; std::nullopt: not known.
        virtual void add_standing_call(const ExchangeId& at, const CallId& call, const CallerAddress& caller,
                                       std::optional<Duration> age) = 0;
        virtual void end_standing_call(const ExchangeId& at, const CallId& call, Outcome outcome) = 0;
        virtual void release_standing_call(const CallId& call) = 0;
        // From now on releases for callers of the predecessor go there; null: it has gone.
        virtual void use_predecessor(Predecessor* predecessor) = 0;
        virtual void on_release_relayed(const CallId& call, bool is_delivered) = 0;
        // Called while this process is either: the other one has taken a set-up.
        virtual void on_set_up_taken(const CallId& call, Duration time) = 0;

       protected:
        ~Process() = default;
    };

    // `path`: of the Unix socket. If it is empty or too long for one, nothing is handed over.
    Handover(asio::io_context& io, std::string path, Process& process, Counters& counters);
    ~Handover();

    // Connects to the process that listens at the path. If there is one, the hand-over runs in the background
    // from now on and calls Process::take_over() in any case, after a few seconds at the latest. False: there
    // is none.
    bool connect_to_predecessor();
    // From now on the next process finds this one at the path. On an error this process serves on, but the
    // next one starts without a hand-over.
    void listen_for_successor();
    void stop();

    bool is_superseded() const { return handing_over_; }  // a successor has taken over
    bool is_idle() const;                                 // everything queued has been written
    // The following go to the successor, if there is one; otherwise they do nothing.
    void pass_on_caller(Descriptor connection, protocol::CallerState state);
    void report_remaining(std::size_t connections);

    void hand_over_call(const ExchangeId& at, const CallId& call, const CallerAddress& caller,
                        Duration age) override;
    void hand_over_end(const ExchangeId& at, const CallId& call, Outcome outcome) override;
    void hand_over_release(const CallId& call) override;
    bool has_room() const override;
    // Goes to the process at the other end, whichever it is.
    void announce_set_up(const CallId& call, Duration time) override;
    // Goes to the predecessor.
    void relay_release(const CallId& call, const CallerAddress& caller, ReleaseReason reason) override;

   private:
    class Channel;
    using Message = protocol::HandoverMessage;
    using Kind = protocol::HandoverKind;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve_successor(std::shared_ptr<Channel> to);
    // A connection to the process that listens at the path; null: there is none.
    std::shared_ptr<Channel> connect();
    asio::awaitable<void> take_over_from(std::shared_ptr<Channel> from);
    // How long the predecessor may take for its next message.
    std::chrono::milliseconds time_for_predecessor() const;
    // Agrees with the predecessor on a version and uses its listening socket. May replace the connection.
    asio::awaitable<bool> greet(std::shared_ptr<Channel>& from);
    asio::awaitable<bool> prepare_to_take_over(std::shared_ptr<Channel>& from);
    void handle(Channel& from, const Message& message);
    void handle_from_successor(const Message& message);
    void handle_set_up_taken(const Message& message);
    void end_predecessor(Channel& from);
    void send_to_successor(Message message, Descriptor descriptor = Descriptor());

    asio::io_context& io_;
    std::string path_;
    Process& process_;
    Counters& counters_;
    asio::local::stream_protocol::acceptor acceptor_;
    std::shared_ptr<Channel> successor_, predecessor_;
    std::chrono::steady_clock::time_point connected_at_{};  // to the predecessor
    int predecessor_version_ = 0;
    int successor_version_ = 0;    // of its messages
    std::uint64_t own_inode_ = 0;  // of this process's socket at the path; 0: none
    // handing_over_: a successor has taken over; accepting_: accept() is running.
    bool handing_over_ = false, accepting_ = false, stopped_ = false;
};

}  // namespace nettlestall::net
