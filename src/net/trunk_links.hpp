// Trunk signalling over TCP: one connection (link) for each circuit group, dialled with back-off by the hub
// with the lower point code and accepted by the other one. Moves bytes and time only; src/trunk makes all
// decisions.
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

// Reads each link into its group's session, writes what the session puts out, sends heartbeats and wakes the
// trunk manager when its timers expire. Closes a link when the far end closes it or sends something
// malformed, when nothing was received for 3 s, or when a new connection of the same group has identified
// itself.
class TrunkLinks {
   public:
    // Accepted connections that have not sent their hello yet; at the bound the oldest is closed.
    static constexpr std::size_t kMaxUnidentified = 16;

    // Receives the text of a warning for the log.
    using Warn = std::function<void(const std::string&)>;

    // Without `listen` no connection is accepted. `clock`: of the trunk manager.
    TrunkLinks(asio::io_context& io, trunk::TrunkManager& trunk_manager, std::optional<tcp::endpoint> listen,
               trunk::TrunkManager::Clock clock, Warn warn);
    ~TrunkLinks();

    // Adds a group whose far end this hub dials. To be called before start().
    void add_dialled(trunk::TrunkManager::Trunk& trunk, const tcp::endpoint& to);
    // Listens and dials. While the address is in use, listening is tried again, as a predecessor process may
    // still have it; any other error throws boost::system::system_error out of the event loop.
    void start();
    void stop();           // closes all links
    bool is_idle() const;  // everything queued has been written

   private:
    class Link;
    struct Dialled {  // a group and the address of its far end
        trunk::TrunkManager::Trunk* trunk;
        tcp::endpoint to;
    };

    bool listen();  // false: the address is in use
    asio::awaitable<void> accept();
    asio::awaitable<void> identify(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<void> keep_connected(Dialled dialled);
    asio::awaitable<void> read_messages(std::shared_ptr<Link> link, std::string received);
    asio::awaitable<void> send_heartbeats();
    void schedule(Instant at);
    void write_output(trunk::TrunkManager::Trunk& trunk);
    // Closes the link, after the session's last output is written, and logs why. Does nothing if the link is
    // not the group's present one.
    void close_link(const std::shared_ptr<Link>& link, const std::string& reason);

    asio::io_context& io_;
    trunk::TrunkManager& trunk_manager_;
    trunk::TrunkManager::Clock clock_;
    Warn warn_;
    std::optional<tcp::endpoint> listen_;
    tcp::acceptor acceptor_;
    asio::steady_timer alarm_, heartbeat_timer_;
    Instant scheduled_ = Instant::max();  // when alarm_ expires; max: not set
    std::vector<Dialled> dialled_;
    std::map<trunk::TrunkManager::Trunk*, std::shared_ptr<Link>> links_;
    std::list<std::weak_ptr<tcp::socket>> unidentified_;  // the oldest first
    // The same warning about a group is not logged twice in a row.
    std::map<trunk::TrunkManager::Trunk*, std::string> last_warning_;
    bool stopped_ = false;
};

}  // namespace nettlestall::net
