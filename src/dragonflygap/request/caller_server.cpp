#include "dragonflygap/request/caller_server.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::request
{

namespace
{

answer_hook answer_to(const http_exchange_ptr& exchange)
{
    return [exchange](const outcome<http_response>& made)
    { exchange->reply(made ? *made : failure_response(made.error())); };
}

failure other_body()
{
    return {verdict::not_run, reason::key_in_use, "the key came with another body before"};
}

} // namespace

caller_server::caller_server(event_loop& loop, metrics& counted, in_flight_requests& in_flight,
                             caller_server_options options)
    : m_metrics(counted),
      m_in_flight(in_flight),
      m_options(std::move(options)),
      m_server(loop, {.m_listen = m_options.m_listen,
                      .m_max_body_bytes = m_options.m_max_body_bytes,
                      .m_handler = [this](http_request request, const http_exchange_ptr& exchange)
                      { serve(std::move(request), exchange); }})
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
    const auto asked = read(request);
    if (!asked)
        return refuse(asked.error(), exchange);
    auto made = make_request(*asked, std::move(request.m_body));
    if (!made.m_row_key.empty() && answered_by_earlier(made, exchange))
        return;
    const auto id = made.m_request.m_id;
    const auto waiter = m_in_flight.add(std::move(made), answer_to(exchange));
    listen_for_hangup(id, waiter, exchange);
    m_options.m_on_request(id);
}

outcome<caller_request> caller_server::read(const http_request& request) const
{
    auto asked = parse_caller_request(request);
    if (!asked)
        return asked;
    if (m_draining)
        return fail(verdict::not_run, reason::draining, "this entry VM is leaving");
    if (!m_classes.contains(asked->m_class))
        return fail(verdict::not_run, reason::unknown_class,
                    "no class '" + asked->m_class.m_value + "' is configured");
    return asked;
}

in_flight_request caller_server::make_request(const caller_request& read, std::string body)
{
    const auto& known = m_classes.at(read.m_class);
    const auto now = monotonic_clock::now();
    const auto number = std::to_string(++m_last_request);
    in_flight_request made{
        .m_request = {.m_id = request_id(m_options.m_vm.m_value + "." +
                                         std::to_string(m_options.m_incarnation) + "." + number),
                      .m_caller = read.m_caller,
                      .m_class = read.m_class,
                      .m_key = read.m_key,
                      .m_idempotent = read.m_idempotent.value_or(known.m_idempotent),
                      .m_arrived_at = now,
                      .m_deadline = now + read.m_deadline.value_or(known.m_deadline)},
        .m_body = std::move(body)};
    if (read.m_key.empty())
        return made;
    made.m_row_key = claim_row_key(read.m_caller, read.m_key);
    made.m_fingerprint = request_fingerprint(read.m_class, made.m_body);
    return made;
}

bool caller_server::answered_by_earlier(const in_flight_request& made,
                                        const http_exchange_ptr& exchange)
{
    const auto* earlier = m_in_flight.with_key(made.m_row_key);
    const auto* kept = m_in_flight.kept(made.m_row_key);
    if (earlier == nullptr && kept == nullptr)
        return false;
    const auto& fingerprint = earlier != nullptr ? earlier->m_fingerprint : kept->m_fingerprint;
    if (fingerprint != made.m_fingerprint)
    {
        refuse(other_body(), exchange);
        return true;
    }
    m_metrics.count("dragonflygap_repeated_total", {"class", made.m_request.m_class.m_value});
    if (earlier == nullptr)
    {
        exchange->reply(replayed(kept->m_answer));
        return true;
    }
    const auto id = earlier->m_request.m_id;
    listen_for_hangup(id, m_in_flight.attach(id, answer_to(exchange)), exchange);
    return true;
}

void caller_server::listen_for_hangup(const request_id& id, std::uint64_t waiter,
                                      const http_exchange_ptr& exchange)
{
    exchange->on_hangup(
        [this, id, waiter]
        {
            if (m_in_flight.detach(id, waiter))
                m_options.m_on_cancel(id);
        });
}

void caller_server::on_cancel(const http_request& request, const http_exchange_ptr& exchange)
{
    const auto read = read_cancel_request(request);
    if (!read)
        return refuse(read.error(), exchange);
    const auto ids = m_in_flight.of_caller(read->m_caller, read->m_request);
    if (ids.empty() && !read->m_request.empty())
        return refuse(
            {verdict::not_run, reason::not_found, "this caller has no such request in flight here"},
            exchange);
    for (const auto& id : ids)
        m_options.m_on_cancel(id);
    exchange->reply(json_response(200, nlohmann::json{{"cancelled", ids.size()}}.dump()));
}

void caller_server::refuse(const failure& why, const http_exchange_ptr& exchange)
{
    m_metrics.count("dragonflygap_refused_total", {"reason", to_string(why.m_reason)});
    exchange->reply(failure_response(why));
}

} // namespace dragonflygap::request
