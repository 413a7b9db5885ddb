#include "net/handover.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "protocol/codec.hpp"

namespace nettlestall::net {
namespace {

using std::chrono::milliseconds;
using local = asio::local::stream_protocol;

constexpr milliseconds kWord{1500};         // for what the other process can say at once
constexpr milliseconds kPreparation{5000};  // of the new one; the old one waits as long and a half more
constexpr milliseconds kLook{10};
constexpr milliseconds kAcceptPause{100};
constexpr std::size_t kMostDescriptors = 8;  // room for what comes with one read

std::uint64_t inode(const std::string& path) {
    struct stat found {};
    return ::stat(path.c_str(), &found) == 0 ? found.st_ino : 0;
}

}  // namespace

Descriptor::~Descriptor() {
    if (number_ >= 0) ::close(number_);
}

// One conversation: messages in both directions, each with a descriptor or without.
class Handover::Channel : public std::enable_shared_from_this<Channel> {
   public:
    explicit Channel(local::socket socket) : socket_(std::move(socket)), patience_(socket_.get_executor()) {
        socket_.non_blocking(true);
    }

    bool open() const { return socket_.is_open(); }
    bool idle() const { return queue_.empty(); }
    void close() {
        boost::system::error_code ignored;
        socket_.close(ignored);
        patience_.cancel();
    }

    void send(const Message& message, Descriptor with) {
        if (!open()) return;
        queue_.push_back({message.encode(), std::move(with)});
        if (std::exchange(writing_, true)) return;
        spawn(socket_.get_executor(), write(shared_from_this()));
    }

    // The next message; nothing once the conversation is over, also where it takes longer than `patience`.
    asio::awaitable<std::optional<Message>> hear(std::optional<milliseconds> patience = {}) {
        if (patience) {
            patience_.expires_after(*patience);
            patience_.async_wait([held = weak_from_this()](const boost::system::error_code& stopped) {
                if (const auto self = held.lock(); self && !stopped) self->close();
            });
        }
        std::optional<Message> message = inbox_.next();
        while (!message && open()) {
            const auto [error] =
                co_await socket_.async_wait(local::socket::wait_read, asio::as_tuple(asio::use_awaitable));
            if (error || !open() || !read()) close();
            message = inbox_.next();
        }
        patience_.cancel();
        if (message && message->carries_descriptor() && !descriptors_.empty()) {
            beside_ = std::move(descriptors_.front());
            descriptors_.pop_front();
        }
        co_return message;
    }
    Descriptor beside() { return std::move(beside_); }  // what came with the last message

   private:
    struct Waiting {
        std::string bytes;
        Descriptor with;
    };

    bool read() {
        const auto space = inbox_.read_buffer();
        iovec bytes{space.data(), space.size()};
        alignas(cmsghdr) char beside[CMSG_SPACE(kMostDescriptors * sizeof(int))];
        msghdr head{};
        head.msg_iov = &bytes, head.msg_iovlen = 1;
        head.msg_control = beside, head.msg_controllen = sizeof beside;
        const ssize_t got = ::recvmsg(socket_.native_handle(), &head, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
        if (got < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        for (cmsghdr* c = CMSG_FIRSTHDR(&head); c; c = CMSG_NXTHDR(&head, c)) {
            if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
            for (std::size_t i = 0; i < (c->cmsg_len - CMSG_LEN(0)) / sizeof(int); ++i) {
                int number = -1;
                std::memcpy(&number, CMSG_DATA(c) + i * sizeof(int), sizeof(int));
                descriptors_.emplace_back(number);
            }
        }
        return got > 0 && inbox_.consume(static_cast<std::size_t>(got));
    }

    static asio::awaitable<void> write(std::shared_ptr<Channel> self) {
        while (!self->queue_.empty() && self->open()) {
            Waiting& first = self->queue_.front();
            iovec bytes{first.bytes.data(), first.bytes.size()};
            alignas(cmsghdr) char beside[CMSG_SPACE(sizeof(int))] = {};
            msghdr head{};
            head.msg_iov = &bytes, head.msg_iovlen = 1;
            if (first.with) {  // goes with the first of the bytes
                head.msg_control = beside, head.msg_controllen = sizeof beside;
                cmsghdr* const c = CMSG_FIRSTHDR(&head);
                c->cmsg_level = SOL_SOCKET, c->cmsg_type = SCM_RIGHTS, c->cmsg_len = CMSG_LEN(sizeof(int));
                const int number = first.with.get();
                std::memcpy(CMSG_DATA(c), &number, sizeof number);
            }
            const ssize_t sent = ::sendmsg(self->socket_.native_handle(), &head, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
                self->close();
            } else if (sent < 0) {
                co_await self->socket_.async_wait(local::socket::wait_write,
                                                  asio::as_tuple(asio::use_awaitable));
            } else {
                first.with = Descriptor();
                first.bytes.erase(0, static_cast<std::size_t>(sent));
                if (first.bytes.empty()) self->queue_.pop_front();
            }
        }
        self->writing_ = false;
    }

    local::socket socket_;
    asio::steady_timer patience_;
    protocol::HandoverReader inbox_;
    std::deque<Descriptor> descriptors_;
    Descriptor beside_;
    std::deque<Waiting> queue_;
    bool writing_ = false;
};

Handover::Handover(asio::io_context& io, std::string path, Process& process, Counters& counters)
    : io_(io), path_(std::move(path)), process_(process), counters_(counters), acceptor_(io) {
    if (path_.size() + 4 >= sizeof(sockaddr_un{}.sun_path)) path_.clear();
}

Handover::~Handover() = default;

bool Handover::find_predecessor() {
    if (path_.empty()) return false;
    local::socket socket(io_);
    boost::system::error_code error;
    socket.open(local(), error);
    socket.non_blocking(true, error);
    // Connects at once, or nobody listens: what a process left that was killed refuses.
    socket.connect(local::endpoint(path_), error);
    if (error) return false;
    spawn(io_, take(std::make_shared<Channel>(std::move(socket))));
    return true;
}

// Under another name first, so that at any time whoever looks finds one that serves.
void Handover::claim() {
    if (path_.empty()) return;
    const std::string fresh = path_ + ".new";
    boost::system::error_code error;
    acceptor_.close(error);
    ::unlink(fresh.c_str());
    acceptor_.open(local(), error);
    acceptor_.bind(local::endpoint(fresh), error);
    if (!error) acceptor_.listen(4, error);
    if (error || std::rename(fresh.c_str(), path_.c_str()) != 0) {
        acceptor_.close(error);  // it serves all the same; the next one starts from nothing
        return;
    }
    claimed_ = inode(path_);
    if (!std::exchange(accepting_, true)) spawn(io_, accept());
}

bool Handover::idle() const {
    return !successor_ || successor_->idle();
}

void Handover::stop() {
    stopped_ = true;
    if (claimed_ && claimed_ == inode(path_)) ::unlink(path_.c_str());
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    if (successor_) successor_->close();
}

// ---- The one that serves -----------------------------------------------------------------------------

asio::awaitable<void> Handover::accept() {
    asio::steady_timer pause(io_);
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            pause.expires_after(kAcceptPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        } else if (!successor_) {  // one at a time
            successor_ = std::make_shared<Channel>(std::move(socket));
            spawn(io_, give(successor_));
        }
    }
    accepting_ = false;
}

asio::awaitable<void> Handover::give(std::shared_ptr<Channel> to) {
    std::optional<Message> message = co_await to->hear(kWord);
    if (message && message->is_valid_hello()) {
        to->send(Message::hello(), Descriptor(::dup(process_.listener())));
        to->send({Kind::exchange_list, {process_.list()}}, Descriptor());
        message = co_await to->hear(kPreparation + kPreparation / 2);
        if (message && message->kind == Kind::take_over && !stopped_) {
            ++counters_.handovers_given;
            gave_way_ = true;
            process_.give_way();  // the calls that stand go first: the new one is to know them when it serves
            to->send({Kind::handed_over, {}}, Descriptor());
            while (message) message = co_await to->hear();
        }
    }
    to->close();
    successor_ = nullptr;
    if (stopped_ || !std::exchange(gave_way_, false)) co_return;
    ++counters_.handovers_taken_back;
    process_.take_back();
    claim();
}

void Handover::tell(Message message, Descriptor with) {
    if (successor_) successor_->send(message, std::move(with));
}

void Handover::pass_caller(Descriptor connection, bool has_asked, std::string begun) {
    tell({Kind::caller_connection, {has_asked ? "1" : "0", std::move(begun)}}, std::move(connection));
}

void Handover::tell_remaining(std::size_t connections) {
    tell({Kind::remaining_callers, {std::to_string(connections)}});
}

void Handover::hand_over_call(const ExchangeId& at, const CallId& call, std::string_view origin) {
    tell({Kind::standing_call, {at, call, std::string(origin)}});
}

void Handover::hand_over_end(const ExchangeId& at, const CallId& call, Outcome outcome) {
    tell({Kind::call_ended, {at, call, outcome == Outcome::ended ? "1" : "0"}});
}

void Handover::hand_over_release(const CallId& call) {
    tell({Kind::call_released, {call}});
}

// ---- The new one ---------------------------------------------------------------------------------------

// Whatever the old one does or leaves undone, this ends in taking over.
asio::awaitable<void> Handover::take(std::shared_ptr<Channel> from) {
    const bool given = co_await prepare(from);
    if (!given) from->close();
    if (stopped_) co_return;
    counters_.handovers_taken += given;
    process_.take_over();
    claim();
    while (const std::optional<Message> message = co_await from->hear()) take_in(*from, *message);
    from->close();
    process_.predecessor_holds(0);
}

asio::awaitable<bool> Handover::prepare(std::shared_ptr<Channel> from) {
    from->send(Message::hello(), Descriptor());
    std::optional<Message> message = co_await from->hear(kWord);
    Descriptor listener = from->beside();
    if (!message || !message->is_valid_hello() || !listener) co_return false;
    process_.take_listener(std::move(listener));
    message = co_await from->hear(kWord);
    if (!message || message->kind != Kind::exchange_list) co_return false;
    process_.take_list(message->parts[0]);
    asio::steady_timer look(io_);
    const auto latest = std::chrono::steady_clock::now() + kPreparation;
    while (!process_.prepared() && std::chrono::steady_clock::now() < latest) {
        look.expires_after(kLook);
        co_await look.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    from->send({Kind::take_over, {}}, Descriptor());
    while ((message = co_await from->hear(kWord)) && message->kind != Kind::handed_over)
        take_in(*from, *message);
    co_return message.has_value();
}

void Handover::take_in(Channel& from, const Message& message) {
    const auto& parts = message.parts;
    switch (message.kind) {
        case Kind::caller_connection:
            if (Descriptor connection = from.beside())
                process_.take_caller(std::move(connection), parts[0] == "1", parts[1]);
            break;
        case Kind::remaining_callers:
            process_.predecessor_holds(static_cast<std::size_t>(
                std::max<std::int64_t>(0, protocol::to_integer(parts[0]).value_or(0))));
            break;
        case Kind::standing_call:
            process_.take_standing(parts[0], parts[1], parts[2]);
            break;
        case Kind::call_ended:
            process_.take_end(parts[0], parts[1], parts[2] == "1" ? Outcome::ended : Outcome::reset);
            break;
        case Kind::call_released:
            process_.take_release(parts[0]);
            break;
        default:  // out of turn: means nothing here
            break;
    }
}

}  // namespace nettlestall::net
