// One TCP connection of a stand-in with a gatekeeper, split into messages.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "protocol/codec.hpp"
#include "world.hpp"

namespace nettlestall::soak {

using asio::ip::tcp;

class Link : public std::enable_shared_from_this<Link> {
   public:
    Link(World& world, tcp::socket socket) : world_(world), socket_(std::move(socket)) {
        boost::system::error_code ignored;
        socket_.non_blocking(true, ignored);
        socket_.set_option(tcp::no_delay(true), ignored);
    }
    std::function<void(const protocol::Message&)> on_message;
    std::function<void()> on_closed;  // by the far end

    void start() { wait(); }
    bool is_open() const { return socket_.is_open(); }
    Time closed_at() const { return closed_at_; }

    // Queues the bytes behind those that are still being written in pieces.
    void send(std::string bytes) { send_after(Clock::duration::zero(), std::move(bytes)); }
    void send(const protocol::Frame& frame) { send(to_bytes(frame)); }
    void send_in_pieces(const std::string& bytes, std::size_t piece, Clock::duration gap) {
        for (std::size_t at = 0; at < bytes.size(); at += piece)
            send_after(at == 0 ? Clock::duration::zero() : gap, bytes.substr(at, piece));
    }
    static std::string to_bytes(const protocol::Frame& frame) {
        return frame.header + (frame.description ? *frame.description : std::string());
    }
    // When the last byte that was queued so far is written.
    Time written_by() const { return std::max(World::now(), free_at_); }

    // Nothing more is written: the last message has stopped half-way.
    void stall() { is_stalled_ = true; }
    bool can_send() const { return is_open() && !is_stalled_; }
    void close() { finish(); }
    // Sends nothing more, and reads on until the far end has closed too.
    void shut_down() {
        boost::system::error_code ignored;
        is_stalled_ = true;
        on_closed = nullptr;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
    // Closes with a reset instead of an orderly end.
    void reset() {
        boost::system::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        finish();
    }
    // Handles all that has arrived.
    void drain() {
        const auto self = shared_from_this();
        if (std::exchange(draining_, true)) return;  // called by its own handler
        read_all();
        draining_ = false;
    }

   private:
    void read_all() {
        while (socket_.is_open()) {
            const auto space = reader_.read_buffer();
            boost::system::error_code error;
            const std::size_t bytes = socket_.read_some(asio::buffer(space.data(), space.size()), error);
            if (error == asio::error::would_block) return;
            const bool well_formed =
                !error && reader_.consume(bytes, [this](const protocol::Message& message) {
                    if (on_message) on_message(message);
                    return true;
                });
            if (well_formed) continue;
            if (!socket_.is_open()) return;
            finish();
            if (on_closed) on_closed();
        }
    }
    void send_after(Clock::duration gap, std::string bytes) {
        if (is_stalled_) return;
        free_at_ = std::max(World::now(), free_at_) + gap;
        queue_.push_back({free_at_, std::move(bytes)});
        if (queue_.size() == 1) write_due();
    }
    // Writes what is due, in order, and waits for the next part.
    void write_due() {
        while (!queue_.empty() && queue_.front().first <= World::now()) {
            write(queue_.front().second);
            queue_.pop_front();
        }
        if (!queue_.empty())
            world_.after(queue_.front().first - World::now(),
                         [self = shared_from_this()] { self->write_due(); });
    }
    void write(const std::string& bytes) {
        if (!socket_.is_open()) return;
        boost::system::error_code error;
        asio::write(socket_, asio::buffer(bytes), error);
    }
    void wait() {
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this()](const boost::system::error_code& error) {
                               if (error || !self->is_open()) return;
                               self->drain();
                               if (self->is_open()) self->wait();
                           });
    }
    void finish() {
        if (!socket_.is_open()) return;
        closed_at_ = World::now();
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    World& world_;
    tcp::socket socket_;
    protocol::MessageReader reader_;
    Time free_at_{}, closed_at_{};
    std::deque<std::pair<Time, std::string>> queue_;
    bool is_stalled_ = false;
    bool draining_ = false;
};

// Accepts connections at a loopback port of its own, which stays the same while it is closed.
class Acceptor {
   public:
    Acceptor(World& world, std::function<void(std::shared_ptr<Link>)> on_accept)
        : world_(world), on_accept_(std::move(on_accept)), acceptor_(world.io) {
        open();
        endpoint_ = acceptor_.local_endpoint();
    }
    std::string address() const {
        return endpoint_.address().to_string() + ':' + std::to_string(endpoint_.port());
    }
    void open() {
        if (acceptor_.is_open()) return;
        acceptor_.open(tcp::v4());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint_);
        acceptor_.listen();
        accept();
    }
    void close() {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

   private:
    void accept() {
        acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) return;
            if (!error) on_accept_(std::make_shared<Link>(world_, std::move(socket)));
            if (acceptor_.is_open()) accept();
        });
    }

    World& world_;
    std::function<void(std::shared_ptr<Link>)> on_accept_;
    tcp::acceptor acceptor_;
    tcp::endpoint endpoint_{own_address(), 0};
};

}  // namespace nettlestall::soak
