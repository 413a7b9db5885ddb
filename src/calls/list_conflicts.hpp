// A new exchange may have the address of one that has gone, and the list may tell of the new one first. Until
// it tells of the other's end, connections to that address would reach the new process in the other's name.
#pragma once

#include <map>

#include "calls/signals.hpp"

namespace nettlestall::calls {

using ListedExchanges = std::map<ExchangeId, ListedExchange>;

// Whether `later` holds the address at which `earlier` was, so that the process of `earlier` has gone. Two
// that started at the same time and are told of together share it. `is_new`: `later` was told of after
// `earlier`.
inline bool has_taken_address(const ListedExchange& later, const ListedExchange& earlier, bool is_new) {
    if (later.entry.exchange == earlier.entry.exchange || later.entry.state == ExchangeState::gone)
        return false;
    if (later.address.empty() || later.address != earlier.address) return false;
    return later.entry.started > earlier.entry.started ||
           (is_new && later.entry.started == earlier.entry.started);
}

// Marks each exchange as gone whose address another one has taken: entries of the event, and exchanges that
// were listed before, which are added to it. `known`: the list before the event.
inline void retire_superseded(ListEvent& event, const ListedExchanges& known) {
    ListedExchanges current = known;
    if (event.kind != ListKind::changes) current.clear();
    std::vector<ListedExchange> retired;
    for (ListedExchange& listed : event.entries) {
        const bool is_unknown = known.count(listed.entry.exchange) == 0;
        for (auto& [id, other] : current) {
            if (has_taken_address(listed, other, is_unknown && known.count(id) > 0)) {
                other.entry.state = ExchangeState::gone;
                other.address.clear();
                retired.push_back(other);
            } else if (has_taken_address(other, listed, false)) {
                listed.entry.state = ExchangeState::gone;
            }
        }
        current.insert_or_assign(listed.entry.exchange, listed);
    }
    for (const ListedExchange& gone : retired) {
        std::erase_if(event.entries,
                      [&gone](const auto& entry) { return entry.entry.exchange == gone.entry.exchange; });
        event.entries.push_back(gone);
    }
}

}  // namespace nettlestall::calls
