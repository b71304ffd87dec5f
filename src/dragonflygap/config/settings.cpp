#include "dragonflygap/config/settings.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/schemas.hpp"

namespace dragonflygap::config
{

namespace
{

class endpoint_reader
{
public:
    explicit endpoint_reader(std::vector<validation_error>& errors) : m_errors(errors) {}

    void read(const nlohmann::json& object, const char* name, const std::string& path, endpoint& to)
    {
        if (!object.contains(name))
            return;
        const auto text = object[name].get<std::string>();
        const auto parsed = parse_endpoint(text);
        if (parsed)
            to = *parsed;
        else
            m_errors.push_back(
                {path + "." + name, "'" + text + "' is not an IPv4 address and port"});
    }

private:
    std::vector<validation_error>& m_errors;
};

peer_settings parse_peer(const nlohmann::json& object, const std::string& path,
                         endpoint_reader& endpoints)
{
    peer_settings peer{.m_vm = vm_id(object["vm"].get<std::string>()),
                       .m_data_centre = data_centre_id(object["data_centre"].get<std::string>())};
    endpoints.read(object, "address", path, peer.m_address);
    return peer;
}

cell_settings parse_cell(const nlohmann::json& object, endpoint_reader& endpoints)
{
    cell_settings cell;
    endpoints.read(object, "store", "$.cell", cell.m_store);
    endpoints.read(object, "ready_listen", "$.cell", cell.m_ready_listen);
    if (!object.value("approvals", "").empty())
    {
        cell.m_approvals.emplace();
        endpoints.read(object, "approvals", "$.cell", *cell.m_approvals);
    }
    cell.m_processor_share = object.value("processor_share", cell.m_processor_share);
    cell.m_memory_mb = object.value("memory_mb", cell.m_memory_mb);
    cell.m_max_lease =
        std::chrono::milliseconds(object.value("longest_lease_ms", to_ms(cell.m_max_lease)));
    cell.m_worker_notice =
        std::chrono::milliseconds(object.value("worker_notice_ms", to_ms(cell.m_worker_notice)));
    cell.m_stop_timeout =
        std::chrono::milliseconds(object.value("stop_ms", to_ms(cell.m_stop_timeout)));
    return cell;
}

} // namespace

tl::expected<settings, std::vector<validation_error>> parse_settings(std::string_view text)
{
    nlohmann::json document;
    auto errors = parse_and_check(text, schemas::settings, document);
    if (!errors.empty())
        return tl::make_unexpected(errors);
    settings result;
    endpoint_reader endpoints(errors);
    result.m_vm = vm_id(document["vm"].get<std::string>());
    result.m_data_centre = data_centre_id(document["data_centre"].get<std::string>());
    endpoints.read(document, "caller_listen", "$", result.m_caller_listen);
    endpoints.read(document, "operator_listen", "$", result.m_operator_listen);
    endpoints.read(document, "peer_listen", "$", result.m_peer_listen);
    const auto peers = document.value("peers", nlohmann::json::array());
    for (std::size_t i = 0; i < peers.size(); ++i)
        result.m_peers.push_back(
            parse_peer(peers[i], "$.peers[" + std::to_string(i) + "]", endpoints));
    const auto platform = document.value("platform", nlohmann::json::object());
    if (platform.contains("address"))
    {
        result.m_platform.emplace();
        endpoints.read(platform, "address", "$.platform", *result.m_platform);
    }
    if (document.contains("cell"))
        result.m_cell = parse_cell(document["cell"], endpoints);
    result.m_log_level = log_level_from_string(document.value("log_level", "info"));
    result.m_history = document.value("history", false);
    result.m_max_body_bytes = document.value("max_body_bytes", result.m_max_body_bytes);
    result.m_max_connections = document.value("max_connections", result.m_max_connections);
    result.m_max_buffered_bytes = document.value("max_buffer_bytes", result.m_max_buffered_bytes);
    result.m_drain_timeout = std::chrono::seconds(document.value("drain_seconds", 30));
    if (!errors.empty())
        return tl::make_unexpected(errors);
    return result;
}

} // namespace dragonflygap::config
