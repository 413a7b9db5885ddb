#include "config/settings.hpp"

#include <utility>

namespace nettlestall::config {

using namespace json;

Settings read_settings(const json::Value& object) {
    Settings settings;
    const json::Value& family = get_container_or_empty(object, "family_info", false);
    const json::Value& limits = get_container(object, "limits", false);
    const json::Value& obligations = get_container(object, "obligations", false);
    const json::Value& prices = get_container_or_empty(object, "prices", false);
    const json::Value& report = get_container_or_empty(object, "report", false);

    settings.own_exchange = get_or(family, "this_node", kNoExchange);
    settings.own_index = get_required<int>(object, "self_index");
    settings.call_control_count = get_required<int>(object, "fleet_size");
    settings.own_zone = get_or<std::string>(object, "zone", "");
    settings.uses_pools = get_or<std::string>(family, "layout", "mesh") == "pools";
    settings.over_share_worth = get_or(object, "over_share_worth", 1.0);
    settings.min_event_interval = get_duration_or(object, "step_s");

    // In the settings, service classes are called grades and tenants parties. The arrays class_hold_s,
    // class_width and skilled_pools have one entry for each class, in the order of the grades.
    const json::Value& holding_times = get_container_or_empty(family, "class_hold_s", true);
    const json::Value& widths = get_container_or_empty(family, "class_width", true);
    const json::Value& skilled_pools = get_container_or_empty(family, "skilled_pools", true);
    for (const json::Value& grade : get_container(object, "grades", true).GetArray()) {
        if (!grade.IsObject()) throw_bad_input("'grades' must hold objects");
        const auto class_index = static_cast<rapidjson::SizeType>(settings.classes.size());
        ClassSettings service_class;
        service_class.name = get_required<std::string>(grade, "name");
        service_class.worth = get_or(grade, "points", 1.0);
        service_class.late_worth = get_or(grade, "late_worth", 0.0);
        service_class.aim = get_required_duration(grade, "aim_s");
        service_class.deadline = get_required_duration(grade, "deadline_s");
        service_class.aim_stretch = get_or(grade, "aim_stretch", 0.0);
        if (class_index < widths.Size())
            service_class.width = convert<int>(widths[class_index], "class_width");
        if (class_index < holding_times.Size())
            service_class.holding_time =
                to_duration(convert<double>(holding_times[class_index], "class_hold_s"));
        // Unknown values mean the cautious policy, never, and the widest scope, all.
        const std::string repeat = get_or<std::string>(grade, "repeat", "retryable");
        service_class.repeat = repeat == "retryable" ? RepeatPolicy::safe
                               : repeat == "dedup"   ? RepeatPolicy::discarded_by_group
                                                     : RepeatPolicy::never;
        const std::string scope = get_or<std::string>(grade, "group", "all");
        service_class.repeat_scope = scope == "zone"   ? RepeatScope::zone
                                     : scope == "cell" ? RepeatScope::exchange
                                                       : RepeatScope::all;
        service_class.repeat_window = get_duration_or(grade, "window_s");
        if (class_index < skilled_pools.Size() && skilled_pools[class_index].IsArray())
            for (const json::Value& pool : skilled_pools[class_index].GetArray())
                service_class.pools.push_back(convert<int>(pool, "skilled_pools"));
        settings.classes.push_back(std::move(service_class));
    }
    if (settings.classes.empty()) throw_bad_input("'grades' is empty");
    for (const json::Value& tenant : get_container_or_empty(object, "parties", true).GetArray()) {
        if (!tenant.IsObject()) throw_bad_input("'parties' must hold objects");
        settings.tenants.push_back({get_required<std::string>(tenant, "name"),
                                    get_or(tenant, "quota_per_s", 0.0), get_or(tenant, "portion", 0.0)});
    }

    settings.max_attempts = get_or(limits, "send_cap", 1);
    settings.max_open_calls = get_or(limits, "open_cap", 0);
    settings.may_cancel = get_or(limits, "cancel", false);
    settings.may_probe = get_or(limits, "probes", false);
    settings.may_message_peers = get_or(limits, "peers", false);
    settings.may_advise_pause = get_or(limits, "retry_after", false);
    settings.may_duplicate = get_or(limits, "may_duplicate", false);
    settings.max_pause = get_duration_or(limits, "max_retry_after_s");

    settings.list_on_request = get_or<std::string>(object, "discovery", "pushed") == "on_request";
    settings.list_request_time_limit = get_duration_or(obligations, "must_ask_in_s");
    settings.callers_mark_redials =
        get_or(get_container_or_empty(object, "client_habits", false), "marks_retry", false);
    settings.centre_advises_tandem = get_or(family, "hints_route", false);
    settings.reports_wait = get_or(family, "retry_hint", false);
    settings.set_up_repeat_interval = get_duration_or(family, "resend_s");
    const std::string source = get_or<std::string>(report, "source", "off");
    settings.reports_load = source == "inline";
    settings.reports_load_on_probe = source != "off";

    settings.answer_grace = get_duration_or(obligations, "grace_to_answer_s");
    settings.drain_grace = get_duration_or(obligations, "drain_grace_s");
    settings.release_wait = get_duration_or(family, "release_s");
    settings.cold_start_share = get_or(obligations, "cold_from", 1.0);
    settings.warm_up_time = get_duration_or(obligations, "ramp_time_s");
    settings.overload_multiple = get_or(obligations, "fall_multiple", 0.0);
    settings.overload_span = get_duration_or(obligations, "fall_s");
    settings.prices = {get_or(prices, "late_fail", 0.0), get_or(prices, "waste", 0.0),
                       get_or(prices, "probe", 0.0),     get_or(prices, "peer", 0.0),
                       get_or(prices, "discovery", 0.0), get_or(prices, "cross_zone", 0.0)};
    return settings;
}

NetSettings read_net_settings(const json::Value& object) {
    const Duration dial_timeout =
        get_duration_or(get_container(object, "limits", false), "dial_timeout_s", 0.5);
    if (dial_timeout <= Duration::zero()) throw_bad_key("dial_timeout_s", "more than 0");
    return {dial_timeout};
}

}  // namespace nettlestall::config
