#pragma once

#include <nlohmann/json_fwd.hpp>

#include "dragonflygap/platform/table.hpp"
#include "dragonflygap/platform/vm_list.hpp"
#include "dragonflygap/platform/worker_port.hpp"

/// JSON encoding of the platform's protocol, shared by the adapters and the emulator.
/// from_json throws nlohmann::json::exception on malformed input.
namespace dragonflygap::platform
{

void to_json(nlohmann::json& to, const row& from);
void from_json(const nlohmann::json& from, row& to);
void to_json(nlohmann::json& to, const row_write& from);
void from_json(const nlohmann::json& from, row_write& to);
void to_json(nlohmann::json& to, const commit_result& from);
void from_json(const nlohmann::json& from, commit_result& to);
void to_json(nlohmann::json& to, const worker& from);
void from_json(const nlohmann::json& from, worker& to);
void to_json(nlohmann::json& to, const start_task& from);
void from_json(const nlohmann::json& from, start_task& to);
void to_json(nlohmann::json& to, const task_report& from);
void from_json(const nlohmann::json& from, task_report& to);
void to_json(nlohmann::json& to, const renewal& from);
void from_json(const nlohmann::json& from, renewal& to);
void to_json(nlohmann::json& to, const renew_leases& from);
void from_json(const nlohmann::json& from, renew_leases& to);

} // namespace dragonflygap::platform

namespace dragonflygap
{

void to_json(nlohmann::json& to, const resources& from);
void from_json(const nlohmann::json& from, resources& to);

} // namespace dragonflygap
