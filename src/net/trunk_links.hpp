// The links of the trunk signalling over TCP: one connection a group, dialled by the hub with the lower point
// code, with backoff, and taken in by the other one. All that is decided is decided in src/trunk.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "net/connection.hpp"
#include "trunk/trunk_manager.hpp"

namespace nettlestall::net {

class TrunkLinks {
   public:
    // Connections that have not said hello yet; at the bound the oldest makes room.
    static constexpr std::size_t kMostUnknown = 16;

    using Note = std::function<void(const std::string&)>;

    TrunkLinks(asio::io_context& io, trunk::TrunkManager& front, std::optional<tcp::endpoint> listen,
               trunk::TrunkManager::Clock time, Note note);
    ~TrunkLinks();

    void dial(trunk::TrunkManager::Trunk& trunk, const tcp::endpoint& to);
    // Listens if it is to. While the address is in use it tries again, as the process before this one may
    // still have it; anything else throws boost::system::system_error.
    void start();
    void stop();
    bool idle() const;  // all that was to be written has been

   private:
    class Link;
    struct Dialled {
        trunk::TrunkManager::Trunk* trunk;
        tcp::endpoint to;
    };

    bool listen();
    asio::awaitable<void> accept();
    asio::awaitable<void> greet(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<void> keep_up(Dialled dialled);
    asio::awaitable<void> converse(std::shared_ptr<Link> link, std::string first);
    asio::awaitable<void> beat();
    void arm(Instant at);
    void flush(trunk::TrunkManager::Trunk& trunk);
    void lose(const std::shared_ptr<Link>& link, const std::string& why);

    asio::io_context& io_;
    trunk::TrunkManager& front_;
    trunk::TrunkManager::Clock time_;
    Note note_;
    std::optional<tcp::endpoint> listen_;
    tcp::acceptor acceptor_;
    asio::steady_timer alarm_, beat_;
    Instant armed_ = Instant::max();
    std::vector<Dialled> dialled_;
    std::map<trunk::TrunkManager::Trunk*, std::shared_ptr<Link>> links_;
    std::list<std::weak_ptr<tcp::socket>> unknown_;  // the oldest first
    std::map<trunk::TrunkManager::Trunk*, std::string> last_note_;
    bool stopped_ = false;
};

}  // namespace nettlestall::net
