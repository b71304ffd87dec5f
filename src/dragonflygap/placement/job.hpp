#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include "dragonflygap/config/schema_check.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::placement
{

enum class job_kind
{
    service, ///< Runs until stopped; a lost task is restarted elsewhere.
    batch,   ///< Tasks end on their own.
    gang,    ///< Either all tasks start together or none does.
};

enum class spread_rule
{
    none,
    worker,
    rack,
    data_centre,
};

struct job_rules
{
    data_centre_id m_data_centre; ///< Empty: any.
    spread_rule m_spread = spread_rule::none;
    std::string m_near;       ///< Name of a job; empty: none.
    std::string m_apart_from; ///< Name of a job; empty: none.
};

/// A job as submitted by an operator; schemas/job.schema.json describes the JSON.
struct job_spec
{
    job_id m_id; ///< Assigned at submission.
    std::string m_name;
    team_id m_team;
    job_kind m_kind = job_kind::batch;
    int m_count = 1;
    bool m_urgent = false;
    resources m_size;
    duration m_expected{}; ///< Run time; 0: until stopped.
    int m_max_attempts = 3;
    job_rules m_rules;
};

enum class job_task_state
{
    waiting,
    moving,   ///< Waiting; a transaction in flight moves it to another part.
    starting, ///< Sent to a worker, no answer yet.
    running,
    finished,
    failed, ///< Out of attempts.
    cancelled,
};

/// One task of a job. Each start has its own attempt number.
struct job_task
{
    int m_index = 0;
    int m_attempt = 0;
    int m_failures = 0; ///< Attempts that the worker reported as failed.
    job_task_state m_state = job_task_state::waiting;
    worker_id m_worker;
    int m_consecutive_retries = 0; ///< Since a start last succeeded; not stored.
    instant m_not_before{};        ///< Earliest next start or stop; not stored.
    instant m_state_since{};       ///< Last change of the state; not stored.
};

/// A job and the states of its tasks.
struct job
{
    job_spec m_spec;
    std::vector<job_task> m_tasks;
};

/// Name of a task at its worker: JOB/INDEX.ATTEMPT.
task_id name_of(const job_id& job, const job_task& task);

/// Parses a job; reports all faults, each with its path.
tl::expected<job_spec, std::vector<config::validation_error>> parse_job(std::string_view text);

/// Converts JSON that parse_job has checked; throws nlohmann::json::exception on other input.
job_spec job_from_json(const nlohmann::json& json);

/// Creates a job with all its tasks waiting.
job make_job(job_spec spec);

std::string_view to_string(job_kind kind);
std::string_view to_string(job_task_state state);
std::string_view to_string(spread_rule rule);

/// True for finished, failed and cancelled tasks.
bool has_ended(job_task_state state);

void to_json(nlohmann::json& to, const job& from);

} // namespace dragonflygap::placement
