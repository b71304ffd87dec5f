#pragma once

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/emulator/cell.hpp"

/// Builds the HTTP answers of the emulated cell.
namespace dragonflygap::emulator
{

inline emulated_answer json_answer(const nlohmann::json& body)
{
    return {json_response(200, body.dump())};
}

inline emulated_answer failure_answer(verdict outcome_verdict, reason outcome_reason,
                                      std::string detail)
{
    return {failure_response({outcome_verdict, outcome_reason, std::move(detail)})};
}

inline emulated_answer not_found_answer()
{
    return failure_answer(verdict::not_run, reason::not_found, "no such path");
}

template <class T>
emulated_answer to_answer(const outcome<T>& result)
{
    if (!result)
        return {failure_response(result.error())};
    return json_answer(*result);
}

} // namespace dragonflygap::emulator
