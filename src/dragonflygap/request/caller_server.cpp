#include "dragonflygap/request/caller_server.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::request
{

namespace
{

answer_hook make_answer_hook(const http_exchange_ptr& exchange)
{
    return [exchange](const outcome<http_response>& answer)
    { exchange->reply(answer ? *answer : failure_response(answer.error())); };
}

failure body_mismatch()
{
    return {verdict::not_run, reason::key_in_use, "the key was already used with another body"};
}

} // namespace

caller_server::caller_server(event_loop& loop, metrics& registry, in_flight_requests& in_flight,
                             caller_server_options options)
    : m_metrics(registry),
      m_in_flight(in_flight),
      m_options(std::move(options)),
      m_server(loop, {.m_listen = m_options.m_listen,
                      .m_max_body_bytes = m_options.m_max_body_bytes,
                      .m_limits = m_options.m_limits,
                      .m_handler = [this](http_request request, const http_exchange_ptr& exchange)
                      { serve(std::move(request), exchange); }}),
      m_server_report(loop, registry, m_server, "callers")
{
}

void caller_server::set_classes(std::span<const config::request_class> classes)
{
    m_classes.clear();
    for (const auto& item : classes)
        m_classes[item.m_name] = item;
}

void caller_server::serve(http_request request, const http_exchange_ptr& exchange)
{
    if (request.m_method == "DELETE")
        return on_cancel(request, exchange);
    const auto parsed = parse(request);
    if (!parsed)
        return refuse(parsed.error(), exchange);
    auto entry = make_request(*parsed, std::move(request.m_body));
    if (!entry.m_row_key.empty() && answer_duplicate(entry, exchange))
        return;
    const auto id = entry.m_request.m_id;
    const auto waiter = m_in_flight.add(std::move(entry), make_answer_hook(exchange));
    listen_for_hangup(id, waiter, exchange);
    m_options.m_on_request(id);
}

outcome<caller_request> caller_server::parse(const http_request& request) const
{
    auto parsed = parse_caller_request(request);
    if (!parsed)
        return parsed;
    if (m_draining)
        return fail(verdict::not_run, reason::draining,
                    "this entry VM is leaving and accepts no new requests");
    if (!m_classes.contains(parsed->m_class))
        return fail(verdict::not_run, reason::unknown_class,
                    "no class '" + parsed->m_class.m_value + "' is configured");
    return parsed;
}

in_flight_request caller_server::make_request(const caller_request& parsed, std::string body)
{
    const auto& class_options = m_classes.at(parsed.m_class);
    const auto now = monotonic_clock::now();
    const auto number = std::to_string(++m_last_request);
    in_flight_request entry{
        .m_request = {.m_id = request_id(m_options.m_vm.m_value + "." +
                                         std::to_string(m_options.m_incarnation) + "." + number),
                      .m_caller = parsed.m_caller,
                      .m_class = parsed.m_class,
                      .m_key = parsed.m_key,
                      .m_idempotent = parsed.m_idempotent.value_or(class_options.m_idempotent),
                      .m_arrived_at = now,
                      .m_deadline = now + parsed.m_deadline.value_or(class_options.m_deadline)},
        .m_body = std::move(body)};
    if (parsed.m_key.empty())
        return entry;
    entry.m_row_key = claim_row_key(parsed.m_caller, parsed.m_key);
    entry.m_fingerprint = request_fingerprint(parsed.m_class, entry.m_body);
    return entry;
}

bool caller_server::answer_duplicate(const in_flight_request& entry,
                                     const http_exchange_ptr& exchange)
{
    const auto* earlier = m_in_flight.find_by_key(entry.m_row_key);
    const auto* cached = m_in_flight.cached_answer(entry.m_row_key);
    if (earlier == nullptr && cached == nullptr)
        return false;
    const auto& fingerprint = earlier != nullptr ? earlier->m_fingerprint : cached->m_fingerprint;
    if (fingerprint != entry.m_fingerprint)
    {
        refuse(body_mismatch(), exchange);
        return true;
    }
    m_metrics.count("dragonflygap_repeated_total", {"class", entry.m_request.m_class.m_value});
    if (earlier == nullptr)
    {
        exchange->reply(to_response(cached->m_answer));
        return true;
    }
    const auto id = earlier->m_request.m_id;
    listen_for_hangup(id, m_in_flight.add_waiter(id, make_answer_hook(exchange)), exchange);
    return true;
}

void caller_server::listen_for_hangup(const request_id& id, std::uint64_t waiter,
                                      const http_exchange_ptr& exchange)
{
    exchange->on_hangup(
        [this, id, waiter]
        {
            if (m_in_flight.remove_waiter(id, waiter))
                m_options.m_on_cancel(id);
        });
}

void caller_server::on_cancel(const http_request& request, const http_exchange_ptr& exchange)
{
    const auto parsed = parse_cancel_request(request);
    if (!parsed)
        return refuse(parsed.error(), exchange);
    const auto ids = m_in_flight.ids_of_caller(parsed->m_caller, parsed->m_request);
    if (ids.empty() && !parsed->m_request.empty())
        return refuse({verdict::not_run, reason::not_found,
                       "no such request of this caller is in flight here"},
                      exchange);
    for (const auto& id : ids)
        m_options.m_on_cancel(id);
    exchange->reply(json_response(200, nlohmann::json{{"cancelled", ids.size()}}.dump()));
}

void caller_server::refuse(const failure& error, const http_exchange_ptr& exchange)
{
    m_metrics.count("dragonflygap_refused_total", {"reason", to_string(error.m_reason)});
    exchange->reply(failure_response(error));
}

} // namespace dragonflygap::request
