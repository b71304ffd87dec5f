#include "dragonflygap/request/key_claim.hpp"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace dragonflygap::request
{

namespace
{

constexpr std::array<std::string_view, 3> state_names{"claimed", "ran", "may_have_run"};

std::string hash_of(std::string_view first, std::string_view second)
{
    std::string text(first);
    text += '\n';
    text += second;
    const auto hash = XXH3_128bits(text.data(), text.size());
    char digits[33];
    std::snprintf(digits, sizeof digits, "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits;
}

// An unknown state is treated as may_have_run, the most conservative one.
claim_state parse_state(std::string_view name)
{
    if (name == state_names[0])
        return claim_state::claimed;
    if (name == state_names[1])
        return claim_state::ran;
    return claim_state::may_have_run;
}

nlohmann::json answer_to_json(const stored_answer& answer)
{
    // Bodies needn't be valid UTF-8, so they are stored as byte arrays.
    return {{"status", answer.m_status},
            {"content_type", answer.m_content_type},
            {"body", std::vector<std::uint8_t>(answer.m_body.begin(), answer.m_body.end())}};
}

stored_answer parse_answer(const nlohmann::json& json)
{
    const auto bytes = json.at("body").get<std::vector<std::uint8_t>>();
    return {.m_status = json.at("status"),
            .m_content_type = json.at("content_type"),
            .m_body = std::string(bytes.begin(), bytes.end())};
}

} // namespace

std::string claim_row_key(const caller_id& caller, const idempotency_key& key)
{
    return std::string(claim_prefix) + hash_of(caller.m_value, key.m_value);
}

std::string request_fingerprint(const class_id& class_name, std::string_view body)
{
    return hash_of(class_name.m_value, body);
}

std::string encode_claim(const key_claim& claim)
{
    nlohmann::json json{{"request", claim.m_request.m_value},
                        {"vm", claim.m_vm.m_value},
                        {"incarnation", claim.m_incarnation},
                        {"fingerprint", claim.m_fingerprint},
                        {"state", state_names.at(static_cast<std::size_t>(claim.m_state))},
                        {"expires", claim.m_expires.time_since_epoch().count()}};
    if (claim.m_answer)
        json["answer"] = answer_to_json(*claim.m_answer);
    return json.dump();
}

std::optional<key_claim> decode_claim(std::string_view text)
{
    try
    {
        const auto json = nlohmann::json::parse(text);
        key_claim claim{.m_request = request_id(json.at("request").get<std::string>()),
                        .m_vm = vm_id(json.at("vm").get<std::string>()),
                        .m_incarnation = json.at("incarnation"),
                        .m_fingerprint = json.at("fingerprint"),
                        .m_state = parse_state(json.at("state").get<std::string>()),
                        .m_expires = wall_time(std::chrono::seconds(json.at("expires")))};
        if (json.contains("answer"))
            claim.m_answer = parse_answer(json["answer"]);
        return claim;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace dragonflygap::request
