#include "callers.hpp"

#include <cstdio>

namespace nettlestall::soak {
namespace {

using namespace protocol;

constexpr milliseconds kRetryPause{30};
constexpr const char* kHealthCheckId = "00000000000000aa";

}  // namespace

Callers::Callers(World& world, Rules& rules, const Faults& faults, int gatekeeper, tcp::endpoint to,
                 int connections, int switches)
    : world_(world),
      rules_(rules),
      faults_(faults),
      gatekeeper_(gatekeeper),
      to_(to),
      slots_(static_cast<std::size_t>(connections)),
      switches_(switches) {
    for (std::size_t slot = 0; slot < slots_.size(); ++slot) place_later(slot);
}

CallId Callers::next_call() {
    char id[17];
    std::snprintf(id, sizeof id, "%04x%012llx", gatekeeper_ + 1, static_cast<unsigned long long>(++calls_));
    return id;
}

std::shared_ptr<Link> Callers::open_link() {
    tcp::socket socket(world_.io);
    boost::system::error_code error;
    socket.connect(to_, error);
    return error ? nullptr : std::make_shared<Link>(world_, std::move(socket));
}

// Asks whether the gatekeeper is ready until it is.
void Callers::come() {
    ready_ = false;
    ++run_;
    check_ready();
}

void Callers::check_ready() {
    if (ready_) return;
    const auto again = [this, run = run_] {
        world_.after(kRetryPause, [this, run] {
            if (run == run_) check_ready();
        });
    };
    health_link_ = open_link();
    if (!health_link_) return again();
    health_link_->on_message = [this, run = run_](const Message& message) {
        if (run == run_ && message.cause() == 1) ready_ = may_connect_ = true;
    };
    health_link_->start();
    health_link_->send(FrameBuilder(MessageType::health_check, kHealthCheckId).cause(0).build());
    again();
}

void Callers::place_later(std::size_t slot) {
    const auto mean =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / faults_.calls_per_second));
    world_.after(world_.random.draw_exponential(mean), [this, slot] {
        if (finished_) return;
        if (ready_) place(slot);
        place_later(slot);
    });
}

bool Callers::connect(std::size_t slot) {
    if (slots_[slot].link && slots_[slot].link->is_open()) return true;
    if (!may_connect_) return false;
    const std::shared_ptr<Link> link = open_link();
    if (!link) return false;
    slots_[slot].link = link;
    link->on_message = [this, slot](const Message& message) { handle(slot, message); };
    link->on_closed = [this, slot] { closed(slot); };
    link->start();
    return true;
}

void Callers::place(std::size_t slot) {
    lab::Random& random = world_.random;
    if (random.draw_bool(faults_.bad_client)) act_as_bad_client();
    if (!connect(slot)) return;
    const std::shared_ptr<Link> link = slots_[slot].link;
    link->drain();  // a close that has come is seen first
    if (!link->is_open()) return;
    const CallId call = next_call();
    const milliseconds time_left = world_.draw(300, 2000);
    const std::string bytes = Link::to_bytes(
        FrameBuilder(MessageType::set_up, call)
            .text(ParameterCode::service_class, "move")
            .text(ParameterCode::time_left, std::to_string(time_left.count()))
            .text(ParameterCode::number, "7f3a" + std::to_string(calls_))
            .text(ParameterCode::attributes,
                  "dest:" + std::to_string(1 + random.draw_below(switches_)) + ";width:1;via:-1")
            .build(std::make_shared<const std::string>("offer of " + call)));
    if (random.draw_bool(faults_.slow_caller))
        link->send_in_pieces(bytes, 25, world_.draw(1, 20));
    else
        link->send(bytes);
    if (random.draw_bool(faults_.repeated_set_up)) link->send(bytes);
    slots_[slot].open[call] = link->written_by();
    rules_.offered(call, gatekeeper_, time_left, link->written_by());
    if (random.draw_bool(faults_.give_up))
        world_.after(world_.draw(0, 300), [this, slot, call, link] {
            if (!slots_[slot].open.erase(call) || !link->is_open()) return;
            rules_.caller_gave_up(call);
            link->send(FrameBuilder(MessageType::release, call).cause(cause::kNormalClearing).build());
        });
    if (random.draw_bool(faults_.caller_closes))
        world_.after(world_.draw(0, 100), [this, slot, link] {
            if (slots_[slot].link != link || !link->is_open()) return;
            for (const auto& [open, last_byte] : std::exchange(slots_[slot].open, {}))
                rules_.caller_gave_up(open);
            link->shut_down();
            slots_[slot].link = nullptr;
        });
}

void Callers::handle(std::size_t slot, const Message& message) {
    const CallId call = message.call();
    const auto open = slots_[slot].open.find(call);
    if (message.type == MessageType::answer) {
        if (open == slots_[slot].open.end()) {
            // It has crossed the caller's release, or is a second one.
            if (standing_.count(call))
                rules_.final_answer(call, true, std::string(message.text(ParameterCode::description)));
            return;
        }
        slots_[slot].open.erase(open);
        rules_.final_answer(call, true, std::string(message.text(ParameterCode::description)));
        answered(slot, call);
    } else if (message.type == MessageType::release && open != slots_[slot].open.end()) {
        slots_[slot].open.erase(open);
        rules_.final_answer(call, false, {});
        if (world_.random.draw_bool(0.3))  // comes again at once
            world_.after(milliseconds(1), [this, slot, run = run_] {
                if (run == run_ && ready_ && !finished_) place(slot);
            });
    } else if (message.type == MessageType::release && standing_.erase(call)) {
        rules_.caller_released(call);
    }
}

void Callers::answered(std::size_t slot, const CallId& call) {
    standing_[call] = true;
    rules_.note(call, "answered on slot " + std::to_string(slot));
    if (!world_.random.draw_bool(0.4)) return;
    world_.after(world_.draw(50, 2000), [this, slot, call] {
        const std::shared_ptr<Link> link = slots_[slot].link;
        if (!link || !link->is_open() || !standing_.erase(call)) return;
        rules_.caller_ended(call);
        link->send(FrameBuilder(MessageType::release, call).cause(cause::kNormalClearing).build());
    });
}

// The gatekeeper has closed the connection.
void Callers::closed(std::size_t slot) {
    const auto open = std::exchange(slots_[slot].open, {});
    Time oldest = Time::max();
    for (const auto& [call, last_byte] : open) oldest = std::min(oldest, last_byte);
    for (const auto& [call, last_byte] : open) rules_.connection_closed(call, oldest);
}

void Callers::gatekeeper_gone(bool was_told_to_end) {
    ready_ = may_connect_ = false;
    ++run_;
    drain_links();
    for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
        if (was_told_to_end) closed(slot);
        slots_[slot].open.clear();
        if (slots_[slot].link) slots_[slot].link->close();
    }
    standing_.clear();
    rules_.killed(gatekeeper_);
}

void Callers::drain_links() {
    for (Slot& slot : slots_)
        if (const auto link = slot.link) link->drain();
}

// Noise, or a message that stops half-way, on a connection of its own.
void Callers::act_as_bad_client() {
    const std::shared_ptr<Link> link = may_connect_ ? open_link() : nullptr;
    if (!link) return;
    link->start();
    std::string bytes;
    for (int length = 1 + world_.random.draw_below(40); length > 0; --length)
        bytes += static_cast<char>(world_.random.draw_below(256));
    link->send(bytes);
    world_.after(world_.draw(10, 2000), [link] { link->close(); });
}

}  // namespace nettlestall::soak
