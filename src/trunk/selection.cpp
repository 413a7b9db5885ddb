#include "trunk/selection.hpp"

#include <algorithm>
#include <tuple>

#include "trunk/glare.hpp"

namespace nettlestall::trunk {

CircuitList hunt(const Circuits& circuits, const PointCodes& point_codes, int width, Hunting hunting,
                 const CircuitList& lately) {
    // What is left to the last comes last; then by the method; the number settles what is equal.
    using Rank = std::tuple<bool, bool, std::uint64_t, CircuitNumber>;
    std::vector<Rank> ranked;
    for (CircuitNumber n = 1; n <= circuits.size(); ++n) {
        const Circuit& c = circuits.at(n);
        if (!c.is_free()) continue;
        if (hunting == Hunting::ascending) {
            ranked.emplace_back(false, false, 0, n);
            continue;
        }
        const bool lost = std::find(lately.begin(), lately.end(), n) != lately.end();
        const bool own = controls(point_codes, n);
        ranked.emplace_back(lost, !own, own ? c.idle_since : ~c.idle_since, n);
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
