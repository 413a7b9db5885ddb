#include "config/settings.hpp"

#include <utility>

namespace nettlestall::config {

using namespace json;

Settings read_settings(const json::Value& facts) {
    Settings s;
    const json::Value& kind = get_container_or_empty(facts, "family_info", false);
    const json::Value& limits = get_container(facts, "limits", false);
    const json::Value& rules = get_container(facts, "obligations", false);
    const json::Value& prices = get_container_or_empty(facts, "prices", false);
    const json::Value& report = get_container_or_empty(facts, "report", false);

    s.own_exchange = get_or(kind, "this_node", kNoExchange);
    s.own_index = get_required<int>(facts, "self_index");
    s.call_control_count = get_required<int>(facts, "fleet_size");
    s.own_zone = get_or<std::string>(facts, "zone", "");
    s.uses_pools = get_or<std::string>(kind, "layout", "mesh") == "pools";
    s.over_share_worth = get_or(facts, "over_share_worth", 1.0);
    s.min_event_interval = get_duration_or(facts, "step_s");

    const json::Value& holds = get_container_or_empty(kind, "class_hold_s", true);
    const json::Value& widths = get_container_or_empty(kind, "class_width", true);
    const json::Value& skills = get_container_or_empty(kind, "skilled_pools", true);
    for (const json::Value& grade : get_container(facts, "grades", true).GetArray()) {
        if (!grade.IsObject()) throw_bad_input("'grades' must hold objects");
        const auto i = static_cast<rapidjson::SizeType>(s.classes.size());
        ClassSettings c;
        c.name = get_required<std::string>(grade, "name");
        c.worth = get_or(grade, "points", 1.0);
        c.late_worth = get_or(grade, "late_worth", 0.0);
        c.aim = get_required_duration(grade, "aim_s");
        c.deadline = get_required_duration(grade, "deadline_s");
        c.aim_stretch = get_or(grade, "aim_stretch", 0.0);
        if (i < widths.Size()) c.width = convert<int>(widths[i], "class_width");
        if (i < holds.Size()) c.holding_time = to_duration(convert<double>(holds[i], "class_hold_s"));
        const std::string repeat = get_or<std::string>(grade, "repeat", "retryable");
        c.repeat = repeat == "retryable" ? RepeatPolicy::safe
                   : repeat == "dedup"   ? RepeatPolicy::discarded_by_group
                                         : RepeatPolicy::never;
        const std::string scope = get_or<std::string>(grade, "group", "all");
        c.repeat_scope = scope == "zone"   ? RepeatScope::zone
                         : scope == "cell" ? RepeatScope::exchange
                                           : RepeatScope::all;
        c.repeat_window = get_duration_or(grade, "window_s");
        if (i < skills.Size() && skills[i].IsArray())
            for (const json::Value& pool : skills[i].GetArray())
                c.pools.push_back(convert<int>(pool, "skilled_pools"));
        s.classes.push_back(std::move(c));
    }
    if (s.classes.empty()) throw_bad_input("'grades' is empty");
    for (const json::Value& party : get_container_or_empty(facts, "parties", true).GetArray()) {
        if (!party.IsObject()) throw_bad_input("'parties' must hold objects");
        s.tenants.push_back({get_required<std::string>(party, "name"), get_or(party, "quota_per_s", 0.0),
                             get_or(party, "portion", 0.0)});
    }

    s.max_attempts = get_or(limits, "send_cap", 1);
    s.max_open_calls = get_or(limits, "open_cap", 0);
    s.may_cancel = get_or(limits, "cancel", false);
    s.may_probe = get_or(limits, "probes", false);
    s.may_message_peers = get_or(limits, "peers", false);
    s.may_advise_pause = get_or(limits, "retry_after", false);
    s.may_duplicate = get_or(limits, "may_duplicate", false);
    s.max_pause = get_duration_or(limits, "max_retry_after_s");

    s.list_on_request = get_or<std::string>(facts, "discovery", "pushed") == "on_request";
    s.list_request_time_limit = get_duration_or(rules, "must_ask_in_s");
    s.callers_mark_redials =
        get_or(get_container_or_empty(facts, "client_habits", false), "marks_retry", false);
    s.centre_advises_tandem = get_or(kind, "hints_route", false);
    s.reports_wait = get_or(kind, "retry_hint", false);
    s.set_up_repeat_interval = get_duration_or(kind, "resend_s");
    const std::string source = get_or<std::string>(report, "source", "off");
    s.reports_load = source == "inline";
    s.reports_load_on_probe = source != "off";

    s.answer_grace = get_duration_or(rules, "grace_to_answer_s");
    s.drain_grace = get_duration_or(rules, "drain_grace_s");
    s.release_wait = get_duration_or(kind, "release_s");
    s.cold_start_share = get_or(rules, "cold_from", 1.0);
    s.warm_up_time = get_duration_or(rules, "ramp_time_s");
    s.overload_multiple = get_or(rules, "fall_multiple", 0.0);
    s.overload_span = get_duration_or(rules, "fall_s");
    s.prices = {get_or(prices, "late_fail", 0.0), get_or(prices, "waste", 0.0),
                get_or(prices, "probe", 0.0),     get_or(prices, "peer", 0.0),
                get_or(prices, "discovery", 0.0), get_or(prices, "cross_zone", 0.0)};
    return s;
}

NetSettings read_net_settings(const json::Value& facts) {
    const Duration told = get_duration_or(get_container(facts, "limits", false), "dial_timeout_s", 0.5);
    if (told <= Duration::zero()) throw_bad_key("dial_timeout_s", "more than 0");
    return {told};
}

}  // namespace nettlestall::config
