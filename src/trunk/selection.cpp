#include "trunk/selection.hpp"

#include <algorithm>
#include <tuple>

#include "trunk/glare.hpp"

namespace nettlestall::trunk {

CircuitList hunt(const Circuits& circuits, const PointCodes& point_codes, int width, Hunting hunting,
                 const CircuitList& avoid) {
    // Circuits to avoid come last, then the order is by hunting method; the circuit number breaks ties.
    using Rank = std::tuple<bool, bool, std::uint64_t, CircuitNumber>;
    std::vector<Rank> ranked;
    for (CircuitNumber n = 1; n <= circuits.size(); ++n) {
        const Circuit& c = circuits.at(n);
        if (!c.is_free()) continue;
        if (hunting == Hunting::ascending) {
            ranked.emplace_back(false, false, 0, n);
            continue;
        }
        const bool is_avoided = std::find(avoid.begin(), avoid.end(), n) != avoid.end();
        const bool is_own = controls(point_codes, n);
        ranked.emplace_back(is_avoided, !is_own, is_own ? c.idle_order : ~c.idle_order, n);
    }
    if (width < 1 || ranked.size() < static_cast<std::size_t>(width)) return {};
    std::partial_sort(ranked.begin(), ranked.begin() + width, ranked.end());
    CircuitList chosen;
    for (int i = 0; i < width; ++i)
        chosen.push_back(std::get<CircuitNumber>(ranked[static_cast<std::size_t>(i)]));
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

}  // namespace nettlestall::trunk
