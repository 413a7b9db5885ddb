#include "trunk_service.hpp"

#include <utility>

namespace nettlestall {

TrunkService::TrunkService(boost::asio::io_context& io, const config::TrunkSettings& settings,
                           calls::Gatekeeper& gatekeeper, trunk::TrunkManager::Clock time, log::Log& log)
    : io_(io),
      settings_(settings),
      gatekeeper_(gatekeeper),
      time_(std::move(time)),
      log_(log),
      front_(settings_.exchange_number, time_, gatekeeper_, gatekeeper_, gatekeeper_),
      desk_(front_, time_) {
    for (const ListedExchange& lines : settings_.lines) front_.add_subscriber_lines(lines);
    for (const config::TrunkSettings::Group& group : settings_.groups) front_.add(group.settings);
    front_.on_freed([this](const trunk::TrunkManager::Trunk& of, const trunk::FreedByAudit& freed) {
        log_.warning("audit of group " + std::to_string(of.settings().id) + " frees circuit " +
                         std::to_string(freed.circuit) + ", held at the " +
                         (freed.ref == trunk::kNoCall ? "far end only" : "near end only"),
                     freed.call);
    });
    front_.on_glare_lost([this](const trunk::TrunkManager::Trunk& of, const CallId& call) {
        if (log_.is_enabled(log::Level::debug))
            log_.debug("group " + std::to_string(of.settings().id) + ": lost a dual seizure", call);
    });
}

void TrunkService::start() {
    const auto note = [this](const std::string& text) { log_.warning(text); };
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(time_()).count();
    auto life = static_cast<std::uint32_t>(now & 0x7fffffff);
    if (!settings_.ledger_folder.empty()) {
        ledger_ = std::make_unique<store::TrunkLedger>(settings_.ledger_folder, settings_.point_code, note);
        life = ledger_->next_incarnation(life);
    }
    front_.begin(life, ledger_.get());
    if (ledger_) {
        for (const auto& blocked : ledger_->blocked())
            front_.restore_blocked(blocked.group, blocked.circuit, blocked.blocking);
        const std::size_t back = front_.restore(ledger_->calls(), [this](const auto& call, CallerLink* link) {
            const ExchangeId at =
                call.outgoing ? front_.find(call.group)->settings().exchange : call.exchange;
            gatekeeper_.accept_standing(at, call.call, call.origin, link);
        });
        if (back > 0)
            log_.info("ledger: " + std::to_string(back) + " calls stood; those that the far ends know go on");
    }
    std::optional<net::tcp::endpoint> listen;
    if (!settings_.listen_address.empty()) listen = net::to_endpoint(settings_.listen_address);
    links_.emplace(io_, front_, listen, time_, note);
    for (const config::TrunkSettings::Group& group : settings_.groups)
        if (!group.dial_address.empty())
            links_->dial(*front_.find(group.settings.id), *net::to_endpoint(group.dial_address));
    links_->start();
}

void TrunkService::stop() {
    if (links_) links_->stop();
}

void TrunkService::retire() {
    front_.hand_over();
    stop();
    ledger_.reset();
}

void TrunkService::take(const config::TrunkSettings& settings) {
    settings_ = settings;
    for (const config::TrunkSettings::Group& group : settings_.groups)
        front_.find(group.settings.id)->update_timers(group.settings.rules);
}

CallerLink* TrunkService::link_of(std::string_view origin) {
    for (trunk::TrunkManager::Trunk* of : front_.trunks())
        if (of->origin() == origin) return of;
    return nullptr;
}

}  // namespace nettlestall
