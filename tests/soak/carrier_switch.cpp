#include "carrier_switch.hpp"

#include <algorithm>

namespace nettlestall::soak {
namespace {

using namespace protocol;

constexpr std::size_t kMaxLateReleases = 16;
constexpr std::size_t kPieceBytes = 7;

Frame release_frame(const CallId& call, std::uint8_t cause, const char* note = "") {
    FrameBuilder frame(MessageType::release, call);
    frame.cause(cause);
    if (*note) frame.text(ParameterCode::note, note);
    return frame.build();
}

}  // namespace

CarrierSwitch::CarrierSwitch(World& world, Rules& rules, const Faults& faults, std::string id, int number,
                             int gatekeepers, std::function<void(int)> before_set_up)
    : world_(world),
      rules_(rules),
      faults_(faults),
      id_(std::move(id)),
      number_(number),
      before_set_up_(std::move(before_set_up)),
      ports_(static_cast<std::size_t>(gatekeepers)) {
    for (int g = 0; g < gatekeepers; ++g)
        port(g).acceptor = std::make_unique<Acceptor>(
            world_, [this, g](std::shared_ptr<Link> link) { accept(g, std::move(link)); });
}

void CarrierSwitch::accept(int gatekeeper, std::shared_ptr<Link> link) {
    port(gatekeeper).links.push_back(link);
    if (!world_.random.draw_bool(faults_.late_accept)) return serve(gatekeeper, link);
    world_.after(world_.draw(50, 1000), [this, gatekeeper, link] { serve(gatekeeper, link); });
}

void CarrierSwitch::serve(int gatekeeper, const std::shared_ptr<Link>& link) {
    if (!is_up_ || !link->is_open()) return;
    link->on_message = [this, gatekeeper, at = std::weak_ptr<Link>(link)](const Message& message) {
        if (const auto locked = at.lock()) handle(gatekeeper, locked, message);
    };
    link->on_closed = [this, at = std::weak_ptr<Link>(link)] {
        if (const auto locked = at.lock()) close(locked, AttemptEnd::given_up);
    };
    report_state(gatekeeper);
    const auto send_late = [this, gatekeeper, link] {
        if (!link->can_send()) return;  // they stay for the next connection
        for (const LateRelease& late : std::exchange(port(gatekeeper).releases, {}))
            link->send(release_frame(late.call, late.cause)), rules_.note(late.call, "release repeated");
    };
    world_.random.draw_bool(0.5) ? send_late() : world_.after(world_.draw(1, 400), send_late);
    link->start();
}

void CarrierSwitch::handle(int gatekeeper, const std::shared_ptr<Link>& link, const Message& message) {
    const CallId call = message.call();
    if (message.type == MessageType::set_up) handle_set_up(gatekeeper, link, call);
    if (message.type == MessageType::release) handle_release(gatekeeper, link, call);
}

void CarrierSwitch::handle_set_up(int gatekeeper, const std::shared_ptr<Link>& link, const CallId& call) {
    before_set_up_(gatekeeper);
    const int attempt = rules_.taken(call, id_);
    set_ups_[attempt] = {attempt, gatekeeper, call, link};
    report_state(gatekeeper);
    lab::Random& random = world_.random;
    double draw = random.draw_unit();
    const auto is = [&draw](double probability) { return (draw -= probability) < 0; };
    if (is(faults_.silence)) return;
    world_.after(world_.draw(1, random.draw_bool(0.1) ? 700 : 60), [this, attempt, draw]() mutable {
        const auto falls = [&draw](double probability) { return (draw -= probability) < 0; };
        if (falls(faults_.refusal)) {
            constexpr const char* kNotes[] = {"", "no_circuit", "turned_back", "overload", "far_overload"};
            const char* const note = kNotes[world_.random.draw_below(5)];
            respond(attempt, [this, note](SetUp s) { refuse(s, 34, note, AttemptEnd::refused); });
        } else if (falls(faults_.error)) {
            respond(attempt, [this](SetUp s) { refuse(s, 47, "", AttemptEnd::refused); });
        } else if (falls(faults_.reset)) {
            respond(attempt, [this](SetUp s) { refuse(s, 41, "", AttemptEnd::broken); });
        } else if (falls(faults_.partial_answer)) {
            respond(attempt, [this](SetUp s) { begin_answer(s); });
        } else if (falls(faults_.lost_answer)) {
            respond(attempt, [this](SetUp s) {
                rules_.attempt_over(s.attempt, AttemptEnd::broken);
                stand(s);
                close(s.link, AttemptEnd::broken);
            });
        } else {
            respond(attempt, [this](SetUp s) { answer(s); });
        }
    });
}

void CarrierSwitch::respond(int attempt, std::function<void(SetUp)> response) {
    const auto found = set_ups_.find(attempt);
    if (found == set_ups_.end()) return;
    if (const Time now = World::now(); now < hangs_until_)
        return world_.after(hangs_until_ - now, [this, attempt, response] { respond(attempt, response); });
    const SetUp set_up = found->second;
    set_ups_.erase(found);
    response(set_up);
}

void CarrierSwitch::answer(SetUp set_up) {
    const std::string description =
        "media of " + set_up.call + " by " + id_ + " for " + std::to_string(set_up.attempt);
    const std::string bytes = Link::to_bytes(FrameBuilder(MessageType::answer, set_up.call)
                                                 .build(std::make_shared<const std::string>(description)));
    rules_.answer_written(set_up.call, set_up.attempt, description);
    if (world_.random.draw_bool(faults_.in_pieces))
        set_up.link->send_in_pieces(bytes, kPieceBytes, milliseconds(3));
    else
        set_up.link->send(bytes);
    rules_.attempt_over(set_up.attempt, AttemptEnd::answered);
    stand(set_up);
    if (world_.random.draw_bool(faults_.second_copy))
        world_.after(world_.draw(1, 40), [link = set_up.link, bytes] { link->send(bytes); });
}

void CarrierSwitch::stand(const SetUp& set_up) {
    standing_[set_up.call] = {set_up.attempt, set_up.gatekeeper, set_up.link};
    report_state(set_up.gatekeeper);
    world_.after(world_.draw(200, 3000),
                 [this, call = set_up.call, attempt = set_up.attempt] { end_standing(call, attempt); });
}

// An answer that stops half-way: the connection is reset soon, or stays as it is. For the switch the call
// stood, so it is released on the next connection.
void CarrierSwitch::begin_answer(SetUp set_up) {
    const std::string bytes = Link::to_bytes(FrameBuilder(MessageType::answer, set_up.call)
                                                 .build(std::make_shared<const std::string>("never whole")));
    set_up.link->send(bytes.substr(0, 1 + static_cast<std::size_t>(world_.random.draw_below(20))));
    set_up.link->stall();
    port(set_up.gatekeeper).releases.push_back({set_up.call, 41});
    set_up.answer_begun = true;
    set_ups_[set_up.attempt] = set_up;  // out until the connection closes
    if (world_.random.draw_bool(0.5))
        world_.after(world_.draw(5, 150), [this, link = set_up.link] { close(link, AttemptEnd::broken); });
}

void CarrierSwitch::refuse(SetUp set_up, std::uint8_t cause, const char* note, AttemptEnd end) {
    const std::string bytes = Link::to_bytes(release_frame(set_up.call, cause, note));
    set_up.link->send(bytes);
    rules_.attempt_over(set_up.attempt, end);
    report_state(set_up.gatekeeper);
    if (world_.random.draw_bool(faults_.second_copy))
        world_.after(world_.draw(1, 400), [link = set_up.link, bytes] { link->send(bytes); });
}

void CarrierSwitch::handle_release(int gatekeeper, const std::shared_ptr<Link>& link, const CallId& call) {
    std::vector<int> given_up;
    for (const auto& [attempt, set_up] : set_ups_)
        if (set_up.call == call && set_up.gatekeeper == gatekeeper) given_up.push_back(attempt);
    for (const int attempt : given_up) {
        rules_.attempt_over(attempt, AttemptEnd::given_up);
        set_ups_.erase(attempt);
    }
    if (standing_.erase(call)) rules_.note(call, "released by the gatekeeper");
    if (World::now() < hangs_until_) return;
    link->send(FrameBuilder(MessageType::release_complete, call).build());
    if (world_.random.draw_bool(faults_.reply_to_release))
        link->send(release_frame(call, world_.random.draw_bool(0.5) ? 41 : 16));
    report_state(gatekeeper);
}

void CarrierSwitch::end_standing(const CallId& call, int attempt) {
    const auto found = standing_.find(call);
    if (found == standing_.end() || found->second.attempt != attempt) return;
    if (const Time now = World::now(); now < hangs_until_)
        return world_.after(hangs_until_ - now, [this, call, attempt] { end_standing(call, attempt); });
    const Standing standing = found->second;
    standing_.erase(found);
    std::shared_ptr<Link> link = standing.link.lock();
    for (const auto& other : port(standing.gatekeeper).links)
        if ((!link || !link->can_send()) && other->can_send() && other->on_message) link = other;
    const bool reported = link && link->can_send();
    if (reported) link->send(release_frame(call, 16));
    rules_.note(call, !reported                      ? "ended unreported"
                      : link == standing.link.lock() ? "released"
                                                     : "released elsewhere");
    port(standing.gatekeeper).releases.push_back({call, 16});
    if (port(standing.gatekeeper).releases.size() > kMaxLateReleases)
        port(standing.gatekeeper).releases.pop_front();
    rules_.standing_over(call, attempt, reported);
    report_state(standing.gatekeeper);
}

void CarrierSwitch::close(const std::shared_ptr<Link>& link, AttemptEnd end) {
    link->drain();
    std::vector<int> ended;
    for (const auto& [attempt, set_up] : set_ups_)
        if (set_up.link == link) ended.push_back(attempt);
    for (const int attempt : ended) {
        rules_.attempt_over(attempt, end);
        set_ups_.erase(attempt);
    }
    link->reset();
    for (Port& port : ports_) std::erase(port.links, link);
}

void CarrierSwitch::crash() {
    is_up_ = false;
    for (Port& port : ports_) {
        port.acceptor->close();
        for (const auto& link : std::vector(port.links)) close(link, AttemptEnd::broken);
    }
    for (const auto& [call, standing] : standing_) {
        rules_.standing_over(call, standing.attempt, false);
        rules_.note(call, "cut by a crash");
        port(standing.gatekeeper).releases.push_back({call, 41});
    }
    standing_.clear();
}

void CarrierSwitch::restart() {
    is_up_ = true;
    started_ms_ =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (Port& port : ports_) port.acceptor->open();
}

void CarrierSwitch::lose_connections() {
    Port& chosen = port(world_.random.draw_below(static_cast<int>(ports_.size())));
    for (const auto& link : std::vector(chosen.links)) close(link, AttemptEnd::broken);
}

void CarrierSwitch::drain_links(int gatekeeper) {
    for (const auto& link : std::vector(port(gatekeeper).links)) link->drain();
}

void CarrierSwitch::forget(int gatekeeper) {
    std::erase_if(standing_, [gatekeeper](const auto& s) { return s.second.gatekeeper == gatekeeper; });
    port(gatekeeper).releases.clear();
}

void CarrierSwitch::report_state(int gatekeeper) {
    int busy = 0;
    for (const auto& [attempt, set_up] : set_ups_) busy += set_up.gatekeeper == gatekeeper;
    for (const auto& [call, standing] : standing_) busy += standing.gatekeeper == gatekeeper;
    const Frame frame =
        FrameBuilder(MessageType::group_state, "")
            .text(ParameterCode::report,
                  "x0:" + std::to_string(std::max(0, kCircuits - busy)) + ";x1:" + std::to_string(kCircuits))
            .build();
    if (World::now() < hangs_until_) return;
    for (const auto& link : port(gatekeeper).links)
        if (link->on_message && link->is_open()) link->send(frame);
}

}  // namespace nettlestall::soak
