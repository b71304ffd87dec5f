#include "dragonflygap/request/in_flight.hpp"

#include <utility>

namespace dragonflygap::request
{

namespace
{

stored_answer to_stored_answer(const http_response& answer)
{
    return {answer.m_status, std::string(answer.header("Content-Type")), answer.m_body};
}

} // namespace

std::uint64_t in_flight_requests::add(in_flight_request request, answer_hook answer)
{
    const auto id = request.m_request.m_id;
    if (!request.m_row_key.empty())
        m_by_key[request.m_row_key] = id;
    m_requests[id] = std::move(request);
    return add_waiter(id, std::move(answer));
}

std::uint64_t in_flight_requests::add_waiter(const request_id& id, answer_hook answer)
{
    m_requests.at(id).m_waiters.push_back({++m_last_waiter, std::move(answer)});
    return m_last_waiter;
}

bool in_flight_requests::remove_waiter(const request_id& id, std::uint64_t number)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return false;
    auto& waiters = found->second.m_waiters;
    // The last waiter stays: answering it closes its connection.
    if (waiters.size() == 1)
        return waiters.front().m_number == number;
    std::erase_if(waiters, [number](const waiter& item) { return item.m_number == number; });
    return false;
}

in_flight_request* in_flight_requests::find(const request_id& id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

const in_flight_request* in_flight_requests::find_by_key(const std::string& row_key) const
{
    const auto found = m_by_key.find(row_key);
    return found == m_by_key.end() ? nullptr : &m_requests.at(found->second);
}

std::optional<in_flight_request> in_flight_requests::remove(const request_id& id)
{
    auto node = m_requests.extract(id);
    if (node.empty())
        return std::nullopt;
    m_by_key.erase(node.mapped().m_row_key);
    return std::move(node.mapped());
}

std::vector<request_id> in_flight_requests::ids_of_caller(const caller_id& caller,
                                                          const request_id& id) const
{
    std::vector<request_id> result;
    if (!id.empty())
    {
        const auto found = m_requests.find(id);
        if (found != m_requests.end() && found->second.m_request.m_caller == caller)
            result.push_back(id);
        return result;
    }
    for (const auto& [other, request] : m_requests)
        if (request.m_request.m_caller == caller)
            result.push_back(other);
    return result;
}

void in_flight_requests::cache_answer(const in_flight_request& ended,
                                      const outcome<http_response>& answer)
{
    constexpr int first_error_status = 400;
    if (answer && answer->m_status < first_error_status && ended.m_request.m_idempotent &&
        !ended.m_row_key.empty())
        m_answer_cache.put(ended.m_row_key, {ended.m_fingerprint, to_stored_answer(*answer)});
}

const answer_cache::entry* in_flight_requests::cached_answer(const std::string& row_key) const
{
    return m_answer_cache.find(row_key);
}

claim_ended make_claim_ended(const request_id& id, const outcome<http_response>& answer)
{
    if (!answer)
        return {id, answer.error().m_verdict, {}};
    return {id, verdict::ran, to_stored_answer(*answer)};
}

http_response to_response(const stored_answer& stored)
{
    http_response response{.m_status = stored.m_status, .m_body = stored.m_body};
    if (!stored.m_content_type.empty())
        response.m_headers.push_back({"Content-Type", stored.m_content_type});
    response.m_headers.push_back({std::string(replay_header), "true"});
    return response;
}

} // namespace dragonflygap::request
