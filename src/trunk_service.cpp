#include "trunk_service.hpp"

#include <utility>

namespace nettlestall {

TrunkService::TrunkService(boost::asio::io_context& io, const config::TrunkSettings& settings,
                           calls::Gatekeeper& gatekeeper, trunk::TrunkManager::Clock clock, log::Log& log)
    : io_(io),
      settings_(settings),
      gatekeeper_(gatekeeper),
      clock_(std::move(clock)),
      log_(log),
      trunk_manager_(settings_.exchange_number, clock_, gatekeeper_, gatekeeper_, gatekeeper_),
      operator_commands_(trunk_manager_, clock_) {
    for (const ListedExchange& lines : settings_.lines) trunk_manager_.add_subscriber_lines(lines);
    for (const config::TrunkSettings::Group& group : settings_.groups) trunk_manager_.add(group.settings);
    trunk_manager_.on_freed(
        [this](const trunk::TrunkManager::Trunk& trunk, const trunk::FreedByAudit& freed) {
            log_.warning("audit of group " + std::to_string(trunk.settings().id) + " frees circuit " +
                             std::to_string(freed.circuit) + ", held at the " +
                             (freed.ref == trunk::kNoCall ? "far end only" : "near end only"),
                         freed.call);
        });
    trunk_manager_.on_glare_lost([this](const trunk::TrunkManager::Trunk& trunk, const CallId& call) {
        if (log_.is_enabled(log::Level::debug))
            log_.debug("group " + std::to_string(trunk.settings().id) + ": lost a dual seizure", call);
    });
}

void TrunkService::start() {
    const auto warn = [this](const std::string& text) { log_.warning(text); };
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(clock_()).count();
    auto incarnation = static_cast<std::uint32_t>(now & 0x7fffffff);
    if (!settings_.ledger_folder.empty()) {
        ledger_ = std::make_unique<store::TrunkLedger>(settings_.ledger_folder, settings_.point_code, warn);
        incarnation = ledger_->next_incarnation(incarnation);
    }
    trunk_manager_.begin(incarnation, ledger_.get());
    if (ledger_) {
        for (const auto& blocked : ledger_->blocked())
            trunk_manager_.restore_blocked(blocked.group, blocked.circuit, blocked.blocking);
        const std::size_t restored =
            trunk_manager_.restore(ledger_->calls(), [this](const auto& call, CallerLink* link) {
                const ExchangeId at =
                    call.outgoing ? trunk_manager_.find(call.group)->settings().exchange : call.exchange;
                gatekeeper_.accept_standing(at, call.call, {.origin = call.origin}, link);
            });
        if (restored > 0)
            log_.info("ledger: " + std::to_string(restored) +
                      " standing calls restored; those that the far ends confirm go on");
    }
    std::optional<net::tcp::endpoint> listen;
    if (!settings_.listen_address.empty()) listen = net::to_endpoint(settings_.listen_address);
    links_.emplace(io_, trunk_manager_, listen, clock_, warn);
    for (const config::TrunkSettings::Group& group : settings_.groups)
        if (!group.dial_address.empty())
            links_->add_dialled(*trunk_manager_.find(group.settings.id),
                                *net::to_endpoint(group.dial_address));
    links_->start();
}

void TrunkService::stop() {
    if (links_) links_->stop();
}

void TrunkService::hand_over() {
    trunk_manager_.hand_over();
    stop();
    ledger_.reset();
}

void TrunkService::apply(const config::TrunkSettings& settings) {
    settings_ = settings;
    for (const config::TrunkSettings::Group& group : settings_.groups)
        trunk_manager_.find(group.settings.id)->update_timers(group.settings.rules);
}

CallerLink* TrunkService::find_link(std::string_view origin) {
    for (trunk::TrunkManager::Trunk* trunk : trunk_manager_.trunks())
        if (trunk->origin() == origin) return trunk;
    return nullptr;
}

}  // namespace nettlestall
