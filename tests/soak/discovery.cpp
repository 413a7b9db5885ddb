#include "discovery.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace nettlestall::soak {

Discovery::Discovery(World& world, Rules& rules, int gatekeeper)
    : world_(world), rules_(rules), gatekeeper_(gatekeeper), listener_(world.io) {
    open();
    send_heartbeats();
}

void Discovery::open() {
    if (listener_.is_open()) return;
    listener_.open(tcp::v4());
    listener_.set_option(tcp::acceptor::reuse_address(true));
    listener_.bind(endpoint_);
    endpoint_ = listener_.local_endpoint();
    listener_.listen();
    accept();
}

void Discovery::accept() {
    listener_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            subscribers_.push_back(std::make_shared<Subscriber>(std::move(socket)));
            read(subscribers_.back());
        }
        if (listener_.is_open()) accept();
    });
}

void Discovery::read(const std::shared_ptr<Subscriber>& subscriber) {
    subscriber->socket.async_read_some(
        asio::buffer(subscriber->buffer),
        [this, subscriber](const boost::system::error_code& error, std::size_t bytes) {
            if (error) return void(std::erase(subscribers_, subscriber));
            subscriber->input.append(subscriber->buffer.data(), bytes);
            if (!subscriber->subscribed && subscriber->input.find('\n') != std::string::npos) {
                subscriber->subscribed = true;
                subscriber->next = static_cast<std::size_t>(std::atoi(subscriber->input.c_str() + 4));
                send_news();
            }
            read(subscriber);
        });
}

void Discovery::begin(const std::vector<Entry>& list) {
    for (const auto& subscriber : std::exchange(subscribers_, {})) subscriber->socket.close();
    events_ = {to_json(1, true, list)};
    closing_ = {{}};
}

std::string Discovery::known() const {
    std::string text;
    for (const std::string& event : events_) text += (text.empty() ? "" : ",") + event;
    return R"({"n":)" + std::to_string(events_.size()) + R"(,"events":[)" + text + "]}";
}

std::string Discovery::to_json(int number, bool full, const std::vector<Entry>& entries) {
    std::string servers;
    for (const Entry& entry : entries)
        servers += (servers.empty() ? R"({"id":")" : R"(,{"id":")") + entry.id + R"(","addr":")" +
                   entry.address + R"(","cell":)" + std::to_string(entry.number) + R"(,"state":")" +
                   entry.state + R"(","started_ms":)" + std::to_string(entry.started_ms) + "}";
    return R"({"n":)" + std::to_string(number) + R"(,"members":{"version":)" + std::to_string(number) +
           R"(,"full":)" + (full ? "true" : "false") + R"(,"servers":[)" + servers + "]}}";
}

void Discovery::publish(const std::vector<Entry>& changes) {
    events_.push_back(to_json(static_cast<int>(events_.size()) + 1, false, changes));
    closing_.emplace_back();
    for (const Entry& entry : changes) {
        states_[entry.id] = entry.state;
        if (entry.state != "active") closing_.back().push_back(entry.id);
    }
    if (is_reachable()) note_told(events_.size() - 1, World::now() + kMaxToldTime);
    send_news();
}

// A switch that is active again by now may get set-ups, whatever an earlier event says.
void Discovery::note_told(std::size_t event, Time at) {
    for (const std::string& id : closing_[event])
        if (states_[id] != "active") rules_.told(gatekeeper_, id, at);
}

// Sends what each subscriber lacks. What is written on an open connection counts as told at once.
void Discovery::send_news() {
    if (!is_reachable()) return;
    for (const auto& subscriber : subscribers_) {
        for (; subscriber->subscribed && subscriber->next < events_.size(); ++subscriber->next) {
            boost::system::error_code error;
            asio::write(subscriber->socket, asio::buffer(events_[subscriber->next] + "\n"), error);
            if (error) break;
            note_told(subscriber->next, World::now());
        }
    }
}

void Discovery::send_heartbeats() {
    if (is_reachable())
        for (const auto& subscriber : subscribers_) {
            boost::system::error_code ignored;
            if (subscriber->subscribed)
                asio::write(subscriber->socket, asio::buffer(std::to_string(events_.size()) + "\n"), ignored);
        }
    world_.after(std::chrono::seconds(1), [this] { send_heartbeats(); });
}

// All changes up to now can be had from now on.
void Discovery::note_reachable() {
    if (!is_reachable()) return;
    for (std::size_t event = 0; event < events_.size(); ++event)
        note_told(event, World::now() + kMaxToldTime);
    send_news();
}

void Discovery::go_down(Clock::duration time) {
    if (is_down_) return;
    is_down_ = true;
    listener_.close();
    for (const auto& subscriber : std::exchange(subscribers_, {})) subscriber->socket.close();
    world_.after(time, [this] {
        is_down_ = false;
        open();
        note_reachable();
    });
}

void Discovery::fall_silent(Clock::duration time) {
    if (is_silent_) return;
    is_silent_ = true;
    world_.after(time, [this] {
        is_silent_ = false;
        note_reachable();
    });
}

void Discovery::move() {
    if (is_down_) return;
    listener_.close();
    for (const auto& subscriber : std::exchange(subscribers_, {})) subscriber->socket.close();
    endpoint_.port(0);
    open();
}

}  // namespace nettlestall::soak
