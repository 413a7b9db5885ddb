#include "net/handover.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>

#include "protocol/codec.hpp"

namespace nettlestall::net {
namespace {

using std::chrono::milliseconds;
using local = asio::local::stream_protocol;

constexpr milliseconds kMaxReplyTime{1500};  // for messages that the other process sends without waiting
// For all replies of the predecessor until it hands over, where it is slow: a successor that gives it up
// starts without its calls. The supervisor waits 6 s for the successor to be ready.
constexpr milliseconds kMaxPredecessorTime{4500};
// For the successor to become ready. The predecessor waits half as long again.
constexpr milliseconds kMaxPreparationTime{5000};
constexpr milliseconds kReadinessCheckInterval{10};
constexpr milliseconds kAcceptRetryPause{100};
constexpr std::size_t kMaxQueuedMessages = 16'384;     // that can be left out
constexpr std::int64_t kMaxTakenMs = 3'600'000;        // the longest time that a caller can wait
constexpr std::int64_t kMaxAgeMs = 1'000'000'000'000;  // of a standing call
constexpr std::size_t kMaxDescriptorsPerRead = 8;      // size of the control buffer

// A flag as a part of a message.
std::string to_flag(bool value) {
    return value ? "1" : "0";
}
bool is_set(const std::string& flag) {
    return flag == "1";
}

int to_port(const std::string& text) {
    return static_cast<int>(std::clamp<std::int64_t>(protocol::to_integer(text).value_or(kNoPort), 0, 65535));
}

std::optional<Duration> to_age(const std::string& text) {
    const auto age_ms = protocol::to_integer(text);
    if (!age_ms || *age_ms < 0) return std::nullopt;
    return milliseconds(std::min(*age_ms, kMaxAgeMs));
}

// An unknown reason counts as a cut.
ReleaseReason to_reason(const std::string& text) {
    for (const ReleaseReason reason : {ReleaseReason::refused, ReleaseReason::failed, ReleaseReason::ended})
        if (text == std::to_string(static_cast<int>(reason))) return reason;
    return ReleaseReason::cut;
}

// 0 if there is no such file.
std::uint64_t inode_of(const std::string& path) {
    struct stat found {};
    return ::stat(path.c_str(), &found) == 0 ? found.st_ino : 0;
}

}  // namespace

Descriptor::~Descriptor() {
    if (number_ >= 0) ::close(number_);
}

// One connection to the other process: messages in both directions, some with a descriptor.
class Handover::Channel : public std::enable_shared_from_this<Channel> {
   public:
    explicit Channel(local::socket socket)
        : socket_(std::move(socket)), time_limit_timer_(socket_.get_executor()) {
        socket_.non_blocking(true);
    }

    bool is_open() const { return socket_.is_open(); }
    bool is_idle() const { return queue_.empty(); }
    std::size_t queued() const { return queue_.size(); }
    void close() {
        boost::system::error_code ignored;
        socket_.close(ignored);
        time_limit_timer_.cancel();
    }

    void send(const Message& message, Descriptor descriptor) {
        if (!is_open()) return;
        queue_.push_back({message.encode(), std::move(descriptor)});
        if (std::exchange(writing_, true)) return;
        spawn(socket_.get_executor(), write(shared_from_this()));
    }

    // The next message; std::nullopt once the connection is closed. Closes it if the message takes longer
    // than `time_limit`.
    asio::awaitable<std::optional<Message>> receive(std::optional<milliseconds> time_limit = {}) {
        if (time_limit) {
            time_limit_timer_.expires_after(*time_limit);
            time_limit_timer_.async_wait(
                [weak = weak_from_this()](const boost::system::error_code& cancelled) {
                    if (const auto self = weak.lock(); self && !cancelled) self->close();
                });
        }
        std::optional<Message> message = reader_.next();
        while (!message && is_open()) {
            const auto [error] =
                co_await socket_.async_wait(local::socket::wait_read, asio::as_tuple(asio::use_awaitable));
            if (error || !is_open() || !read()) close();
            message = reader_.next();
        }
        time_limit_timer_.cancel();
        if (message && message->carries_descriptor() && !descriptors_.empty()) {
            received_descriptor_ = std::move(descriptors_.front());
            descriptors_.pop_front();
        }
        co_return message;
    }
    // The descriptor that came with the last message.
    Descriptor take_received_descriptor() { return std::move(received_descriptor_); }

   private:
    struct Outgoing {  // the rest of a message that is being written
        std::string bytes;
        Descriptor descriptor;
    };

    // Reads what has arrived, bytes and descriptors. False: the connection is closed, broken or malformed.
    bool read() {
        const auto space = reader_.read_buffer();
        iovec buffer{space.data(), space.size()};
        alignas(cmsghdr) char control[CMSG_SPACE(kMaxDescriptorsPerRead * sizeof(int))];
        msghdr header{};
        header.msg_iov = &buffer, header.msg_iovlen = 1;
        header.msg_control = control, header.msg_controllen = sizeof control;
        const ssize_t received = ::recvmsg(socket_.native_handle(), &header, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
        if (received < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        for (cmsghdr* part = CMSG_FIRSTHDR(&header); part; part = CMSG_NXTHDR(&header, part)) {
            if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_RIGHTS) continue;
            for (std::size_t i = 0; i < (part->cmsg_len - CMSG_LEN(0)) / sizeof(int); ++i) {
                int number = -1;
                std::memcpy(&number, CMSG_DATA(part) + i * sizeof(int), sizeof(int));
                descriptors_.emplace_back(number);
            }
        }
        return received > 0 && reader_.consume(static_cast<std::size_t>(received));
    }

    // Writes the queue until it is empty or the connection is closed.
    static asio::awaitable<void> write(std::shared_ptr<Channel> self) {
        while (!self->queue_.empty() && self->is_open()) {
            Outgoing& first = self->queue_.front();
            iovec buffer{first.bytes.data(), first.bytes.size()};
            alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
            msghdr header{};
            header.msg_iov = &buffer, header.msg_iovlen = 1;
            if (first.descriptor) {  // travels with the first byte of the message
                header.msg_control = control, header.msg_controllen = sizeof control;
                cmsghdr* const part = CMSG_FIRSTHDR(&header);
                part->cmsg_level = SOL_SOCKET, part->cmsg_type = SCM_RIGHTS,
                part->cmsg_len = CMSG_LEN(sizeof(int));
                const int number = first.descriptor.get();
                std::memcpy(CMSG_DATA(part), &number, sizeof number);
            }
            const ssize_t sent =
                ::sendmsg(self->socket_.native_handle(), &header, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
                self->close();
            } else if (sent < 0) {
                co_await self->socket_.async_wait(local::socket::wait_write,
                                                  asio::as_tuple(asio::use_awaitable));
            } else {
                first.descriptor = Descriptor();
                first.bytes.erase(0, static_cast<std::size_t>(sent));
                if (first.bytes.empty()) self->queue_.pop_front();
            }
        }
        self->writing_ = false;
    }

    local::socket socket_;
    asio::steady_timer time_limit_timer_;
    protocol::HandoverReader reader_;
    std::deque<Descriptor> descriptors_;
    Descriptor received_descriptor_;
    std::deque<Outgoing> queue_;
    bool writing_ = false;
};

Handover::Handover(asio::io_context& io, std::string path, Process& process, Counters& counters)
    : io_(io), path_(std::move(path)), process_(process), counters_(counters), acceptor_(io) {
    if (path_.size() + 4 >= sizeof(sockaddr_un{}.sun_path)) path_.clear();
}

Handover::~Handover() = default;

bool Handover::connect_to_predecessor() {
    if (path_.empty()) return false;
    auto channel = connect();
    if (!channel) return false;
    connected_at_ = std::chrono::steady_clock::now();
    spawn(io_, take_over_from(std::move(channel)));
    return true;
}

std::shared_ptr<Handover::Channel> Handover::connect() {
    local::socket socket(io_);
    boost::system::error_code error;
    socket.open(local(), error);
    socket.non_blocking(true, error);
    // A Unix socket connects at once if a process listens; the file of a process that was killed refuses.
    socket.connect(local::endpoint(path_), error);
    return error ? nullptr : std::make_shared<Channel>(std::move(socket));
}

// Binds under a temporary name and renames it, so that a new process finds a serving process at any time.
void Handover::listen_for_successor() {
    if (path_.empty()) return;
    const std::string temporary = path_ + ".new";
    boost::system::error_code error;
    acceptor_.close(error);
    ::unlink(temporary.c_str());
    acceptor_.open(local(), error);
    acceptor_.bind(local::endpoint(temporary), error);
    if (!error) acceptor_.listen(4, error);
    if (error || std::rename(temporary.c_str(), path_.c_str()) != 0) {
        acceptor_.close(error);  // serves without it; the next process then starts without a hand-over
        return;
    }
    own_inode_ = inode_of(path_);
    if (!std::exchange(accepting_, true)) spawn(io_, accept());
}

bool Handover::is_idle() const {
    return !successor_ || successor_->is_idle();
}

void Handover::stop() {
    stopped_ = true;
    if (own_inode_ && own_inode_ == inode_of(path_)) ::unlink(path_.c_str());
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    if (successor_) successor_->close();
}

// ---- The predecessor ---------------------------------------------------------------------------------

// Accepts a successor. While there is one, further connections are closed at once.
asio::awaitable<void> Handover::accept() {
    asio::steady_timer pause(io_);
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            pause.expires_after(kAcceptRetryPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        } else if (!successor_) {
            successor_ = std::make_shared<Channel>(std::move(socket));
            spawn(io_, serve_successor(successor_));
        }
    }
    accepting_ = false;
}

// Serves a successor until it closes the connection, sends something malformed or exceeds a time limit. If
// that happens after the successor has taken over, the successor has failed, and this process serves again.
asio::awaitable<void> Handover::serve_successor(std::shared_ptr<Channel> to) {
    std::optional<Message> message = co_await to->receive(kMaxReplyTime);
    if (const auto version = message ? message->hello_version() : std::nullopt) {
        successor_version_ = *version;
        to->send(Message::hello(*version), Descriptor(::dup(process_.listener_descriptor())));
        to->send({Kind::exchange_list, {process_.exchange_list()}}, Descriptor());
        message = co_await to->receive(kMaxPreparationTime + kMaxPreparationTime / 2);
        if (message && message->kind == Kind::take_over && !stopped_) {
            ++counters_.handovers_given;
            handing_over_ = true;
            // Sends the standing calls, which the successor has to know before it serves.
            process_.begin_handover();
            to->send({Kind::handed_over, {}}, Descriptor());
            while ((message = co_await to->receive())) handle_from_successor(*message);
        }
    }
    to->close();
    successor_ = nullptr;
    if (stopped_ || !std::exchange(handing_over_, false)) co_return;
    ++counters_.handovers_taken_back;
    process_.resume_service();
    listen_for_successor();
}

void Handover::send_to_successor(Message message, Descriptor descriptor) {
    if (successor_) successor_->send(message, std::move(descriptor));
}

// A release that the successor owes to a caller whose connection is here, or a set-up that it has taken.
void Handover::handle_from_successor(const Message& message) {
    if (message.kind == Kind::set_up_taken) return handle_set_up_taken(message);
    if (message.kind != Kind::release_to_relay) return;
    const CallId& call = message.parts[0];
    const CallerAddress caller{.origin = message.parts[1], .port = to_port(message.parts[2])};
    const bool is_delivered = process_.deliver_release(call, caller, to_reason(message.parts[3]));
    send_to_successor({Kind::release_relayed, {call, to_flag(is_delivered)}});
}

void Handover::handle_set_up_taken(const Message& message) {
    const std::int64_t time_ms = protocol::to_integer(message.parts[1]).value_or(0);
    process_.on_set_up_taken(message.parts[0],
                             milliseconds(std::clamp(time_ms, std::int64_t{0}, kMaxTakenMs)));
}

bool Handover::has_room() const {
    return !successor_ || successor_->queued() < kMaxQueuedMessages;
}

// Dropped if very many wait, as the other process is held or takes them slowly: they must not fill the
// memory.
void Handover::announce_set_up(const CallId& call, Duration time) {
    const bool to_successor = handing_over_ && successor_;
    const auto& to = to_successor ? successor_ : predecessor_;
    const int version = to_successor ? successor_version_ : predecessor_version_;
    if (!to || version < protocol::kTakenHandoverVersion || to->queued() >= kMaxQueuedMessages) return;
    const auto time_ms = std::chrono::ceil<milliseconds>(time).count();
    to->send({Kind::set_up_taken, {call, std::to_string(time_ms)}}, Descriptor());
}

void Handover::pass_on_caller(Descriptor connection, protocol::CallerState state) {
    Message message{Kind::caller_connection,
                    {to_flag(state.has_sent_request), std::move(state.partial_message)}};
    if (successor_version_ >= protocol::kRelayHandoverVersion)
        message.parts.push_back(to_flag(state.has_placed_call));
    send_to_successor(std::move(message), std::move(connection));
}

void Handover::report_remaining(std::size_t connections) {
    send_to_successor({Kind::remaining_callers, {std::to_string(connections)}});
}

void Handover::hand_over_call(const ExchangeId& at, const CallId& call, const CallerAddress& caller,
                              Duration age) {
    Message message{Kind::standing_call, {at, call, caller.origin}};
    if (successor_version_ >= protocol::kRelayHandoverVersion)
        message.parts.push_back(std::to_string(caller.port));
    if (successor_version_ >= protocol::kTakenHandoverVersion)
        message.parts.push_back(std::to_string(std::chrono::duration_cast<milliseconds>(age).count()));
    send_to_successor(std::move(message));
}

void Handover::hand_over_end(const ExchangeId& at, const CallId& call, Outcome outcome) {
    send_to_successor({Kind::call_ended, {at, call, to_flag(outcome == Outcome::ended)}});
}

void Handover::hand_over_release(const CallId& call) {
    send_to_successor({Kind::call_released, {call}});
}

// ---- The successor -------------------------------------------------------------------------------------

// Serves the connection to the predecessor: takes over, whatever the predecessor does or fails to do, and
// then handles its messages until the predecessor closes the connection or sends something malformed.
asio::awaitable<void> Handover::take_over_from(std::shared_ptr<Channel> from) {
    const bool handed_over = co_await prepare_to_take_over(from);
    if (!handed_over) end_predecessor(*from);
    if (stopped_) co_return;
    counters_.handovers_taken += handed_over;
    process_.take_over();
    listen_for_successor();
    while (const std::optional<Message> message = co_await from->receive()) handle(*from, *message);
    end_predecessor(*from);
    process_.set_predecessor_connections(0);
}

void Handover::end_predecessor(Channel& from) {
    from.close();
    predecessor_ = nullptr;
    process_.use_predecessor(nullptr);
}

void Handover::relay_release(const CallId& call, const CallerAddress& caller, ReleaseReason reason) {
    if (!predecessor_) return;
    predecessor_->send(
        {Kind::release_to_relay,
         {call, caller.origin, std::to_string(caller.port), std::to_string(static_cast<int>(reason))}},
        Descriptor());
}

milliseconds Handover::time_for_predecessor() const {
    const auto left = connected_at_ + kMaxPredecessorTime - std::chrono::steady_clock::now();
    return std::max(kMaxReplyTime, std::chrono::duration_cast<milliseconds>(left));
}

// Offers one version after the other, each on a new connection: a process that does not know the version
// closes the connection. One that does not reply at all is not asked again, since the time does not suffice.
asio::awaitable<bool> Handover::greet(std::shared_ptr<Channel>& from) {
    for (int version = protocol::kNewestHandoverVersion; version >= protocol::kOldestHandoverVersion;
         --version) {
        from->send(Message::hello(version), Descriptor());
        const std::optional<Message> message = co_await from->receive(time_for_predecessor());
        if (message) {
            Descriptor listener = from->take_received_descriptor();
            if (message->hello_version() != version || !listener) co_return false;
            process_.use_listener(std::move(listener));
            predecessor_version_ = version;
            if (version >= protocol::kRelayHandoverVersion) {
                predecessor_ = from;
                process_.use_predecessor(this);
            }
            co_return true;
        }
        from->close();
        if (std::chrono::steady_clock::now() - connected_at_ >= kMaxReplyTime) break;
        const auto next = connect();
        if (!next) break;
        from = next;
    }
    co_return false;
}

// The part before the successor serves. False: the predecessor has not handed over; the successor starts with
// what it has got.
asio::awaitable<bool> Handover::prepare_to_take_over(std::shared_ptr<Channel>& from) {
    if (!co_await greet(from)) co_return false;
    std::optional<Message> message = co_await from->receive(time_for_predecessor());
    if (!message || message->kind != Kind::exchange_list) co_return false;
    process_.apply_list(message->parts[0]);
    asio::steady_timer poll_timer(io_);
    const auto deadline = std::chrono::steady_clock::now() + kMaxPreparationTime;
    while (!process_.is_prepared() && std::chrono::steady_clock::now() < deadline) {
        poll_timer.expires_after(kReadinessCheckInterval);
        co_await poll_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    from->send({Kind::take_over, {}}, Descriptor());
    while ((message = co_await from->receive(time_for_predecessor())) && message->kind != Kind::handed_over)
        handle(*from, *message);
    co_return message.has_value();
}

void Handover::handle(Channel& from, const Message& message) {
    const auto& parts = message.parts;
    switch (message.kind) {
        case Kind::caller_connection:
            // An older version does not tell whether a call was placed; most connections with a request have.
            if (Descriptor connection = from.take_received_descriptor())
                process_.add_caller_connection(
                    std::move(connection), {.has_sent_request = is_set(parts[0]),
                                            .has_placed_call = is_set(parts.size() > 2 ? parts[2] : parts[0]),
                                            .partial_message = parts[1]});
            break;
        case Kind::remaining_callers:
            process_.set_predecessor_connections(static_cast<std::size_t>(
                std::max<std::int64_t>(0, protocol::to_integer(parts[0]).value_or(0))));
            break;
        case Kind::standing_call:
            process_.add_standing_call(
                parts[0], parts[1],
                {.origin = parts[2], .port = parts.size() > 3 ? to_port(parts[3]) : kNoPort},
                parts.size() > 4 ? to_age(parts[4]) : std::nullopt);
            break;
        case Kind::call_ended:
            process_.end_standing_call(parts[0], parts[1],
                                       is_set(parts[2]) ? Outcome::ended : Outcome::reset);
            break;
        case Kind::call_released:
            process_.release_standing_call(parts[0]);
            break;
        case Kind::set_up_taken:
            handle_set_up_taken(message);
            break;
        case Kind::release_relayed:
            process_.on_release_relayed(parts[0], is_set(parts[1]));
            break;
        default:  // out of order: ignored
            break;
    }
}

}  // namespace nettlestall::net
