#include "scenarios/support/script.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>

#include <nlohmann/json.hpp>

extern "C"
{
#include <lua5.4/lauxlib.h>
#include <lua5.4/lua.h>
#include <lua5.4/lualib.h>
}

#include "scenarios/support/world.hpp"

namespace scenarios
{

namespace
{

using nlohmann::json;

/// A function that scenarios can call: takes a JSON array of arguments and returns one of results.
using script_function = std::function<json(std::optional<world>& current, const json& arguments)>;

json to_json(lua_State* lua, int index)
{
    if (lua_isboolean(lua, index))
        return lua_toboolean(lua, index) != 0;
    if (lua_isinteger(lua, index) != 0)
        return lua_tointeger(lua, index);
    if (lua_type(lua, index) == LUA_TNUMBER)
        return lua_tonumber(lua, index);
    if (lua_type(lua, index) == LUA_TSTRING)
        return lua_tostring(lua, index);
    if (!lua_istable(lua, index))
        return nullptr;
    const bool list = lua_rawlen(lua, index) > 0;
    json result = list ? json::array() : json::object();
    for (lua_pushnil(lua); lua_next(lua, index) != 0; lua_pop(lua, 1))
    {
        auto value = to_json(lua, lua_gettop(lua));
        if (list)
            result.push_back(std::move(value));
        else
            result[lua_tostring(lua, -2)] = std::move(value);
    }
    return result;
}

void push(lua_State* lua, const json& value)
{
    if (value.is_boolean())
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    else if (value.is_number_integer())
        lua_pushinteger(lua, value.get<lua_Integer>());
    else if (value.is_number())
        lua_pushnumber(lua, value.get<double>());
    else if (value.is_string())
        lua_pushstring(lua, value.get<std::string>().c_str());
    else if (!value.is_structured())
        lua_pushnil(lua);
    else
    {
        lua_newtable(lua);
        lua_Integer index = 0;
        for (const auto& [key, item] : value.items())
        {
            push(lua, item);
            if (value.is_array())
                lua_rawseti(lua, -2, ++index);
            else
                lua_setfield(lua, -2, key.c_str());
        }
    }
}

/// Returns the world, or throws if the scenario has not started it.
world& started_world(std::optional<world>& current)
{
    if (!current)
        throw std::runtime_error("start{} or start_cell{} must be called first");
    return *current;
}

duration seconds(const json& value)
{
    return duration(static_cast<duration::rep>(value.get<double>() * 1e6));
}

/// Returns the table at the index of the arguments, or an empty one.
json options_argument(const json& arguments, std::size_t index)
{
    return arguments.size() > index && arguments[index].is_object() ? arguments[index]
                                                                    : json::object();
}

/// start{...} creates the world; start "entry-1" starts that entry VM in it.
json start(std::optional<world>& current, const json& arguments)
{
    if (arguments.at(0).is_string())
    {
        started_world(current).start(arguments[0]);
        return json::array();
    }
    const auto options = options_argument(arguments, 0);
    current.emplace(world_options{.m_entry_vms = options.value("entry_vms", 3),
                                  .m_data_centres = options.value("data_centres", 3),
                                  .m_workers = options.value("workers", 6),
                                  .m_slots = options.value("slots", 8),
                                  .m_seed = options.value("seed", 1U)});
    return json::array();
}

call_options parse_call_options(const json& arguments)
{
    const auto options = options_argument(arguments, 1);
    call_options result{.m_class = arguments.at(0),
                        .m_entry_vm = options.value("through", ""),
                        .m_key = options.value("key", ""),
                        .m_run_ms = options.value("run_ms", 10.0),
                        .m_deadline_ms = options.value("deadline_ms", 0)};
    if (options.contains("idempotent"))
        result.m_idempotent = options["idempotent"].get<bool>() ? "true" : "false";
    return result;
}

/// Sends a request as a caller, `times` times.
void send_calls(world& sim, const json& arguments)
{
    for (int times = options_argument(arguments, 1).value("times", 1); times > 0; --times)
        sim.call(parse_call_options(arguments));
}

/// Sends calls at a constant rate, running the world between them.
void call_at_rate(world& sim, const json& arguments)
{
    const auto options = options_argument(arguments, 1);
    const double rate = options.value("rate", 100.0);
    const auto count = static_cast<int>(rate * options.value("seconds", 1.0));
    for (int i = 0; i < count; ++i)
    {
        sim.call(parse_call_options(arguments));
        sim.run(seconds(1 / rate));
    }
}

/// Calls the operator API and returns the status and the parsed body.
json call_operator_api(world& sim, const json& arguments)
{
    http_request request{.m_method = arguments.at(1), .m_path = arguments.at(2)};
    if (const auto query_start = request.m_path.find('?'); query_start != std::string::npos)
    {
        request.m_query = request.m_path.substr(query_start + 1);
        request.m_path.resize(query_start);
    }
    if (arguments.size() > 3)
        request.m_body = arguments[3].dump();
    const auto response = sim.call_operator_api(arguments[0], std::move(request));
    return {response.m_status, json::parse(response.m_body, nullptr, false)};
}

/// Wraps an action that returns no results.
script_function command(std::function<void(world& sim, const json& arguments)> action)
{
    return [action = std::move(action)](std::optional<world>& current, const json& arguments)
    {
        action(started_world(current), arguments);
        return json::array();
    };
}

/// Wraps a query that returns one result.
script_function query(std::function<json(world& sim, const json& arguments)> getter)
{
    return [getter = std::move(getter)](std::optional<world>& current, const json& arguments)
    { return json::array({getter(started_world(current), arguments)}); };
}

const std::map<std::string, script_function> script_functions{
    {"start", start},
    {"run", command([](world& sim, const json& a) { sim.run(seconds(a.at(0))); })},
    {"kill", command([](world& sim, const json& a) { sim.kill(a.at(0)); })},
    {"pause", command([](world& sim, const json& a) { sim.pause(a.at(0)); })},
    {"resume", command([](world& sim, const json& a) { sim.resume(a.at(0)); })},
    {"drain", command([](world& sim, const json& a) { sim.drain(a.at(0)); })},
    {"cut_one_way", command([](world& sim, const json& a) { sim.cut(a.at(0), a.at(1)); })},
    {"heal", command([](world& sim, const json& /*a*/) { sim.heal(); })},
    {"hang_up", command([](world& sim, const json& /*a*/) { sim.hang_up(); })},
    {"slow_calls",
     command([](world& sim, const json& a) { sim.slow_calls(a.at(0), seconds(a.at(1))); })},
    {"double_messages",
     command([](world& sim, const json& a) { sim.set_duplicate_messages(a.at(0)); })},
    {"faults", command([](world& sim, const json& a) { sim.faults(a.at(0).dump()); })},
    {"call", command(send_calls)},
    {"swing", command(call_at_rate)},
    {"operate", [](std::optional<world>& current, const json& arguments)
     { return call_operator_api(started_world(current), arguments); }},
    {"is_up", query([](world& sim, const json& a) { return sim.is_up(a.at(0)); })},
    {"sent", query([](world& sim, const json& /*a*/) { return sim.calls().m_sent; })},
    {"answered", query([](world& sim, const json& /*a*/) { return sim.calls().m_answered; })},
    {"refused", query([](world& sim, const json& /*a*/) { return sim.calls().m_refused; })},
    {"unknown", query([](world& sim, const json& /*a*/) { return sim.calls().m_unknown; })},
    {"pending", query([](world& sim, const json& /*a*/) { return sim.calls().pending(); })},
    {"running_tasks", query([](world& sim, const json& a)
                            { return sim.running_tasks(a.at(0).get<std::string>()); })},
    {"task_starts",
     query([](world& sim, const json& a) { return sim.task_starts(a.at(0).get<std::string>()); })},
};

/// The world of the running scenario, kept in the extra space of the Lua state.
std::optional<world>& current_world(lua_State* lua)
{
    return **static_cast<std::optional<world>**>(lua_getextraspace(lua));
}

/// Calls the function named by the closure's upvalue; on failure pushes the message.
///
/// lua_error() skips destructors, so the caller raises it after all C++ objects here are gone.
bool try_call_function(lua_State* lua, int& results)
{
    try
    {
        auto arguments = json::array();
        for (int i = 1, count = lua_gettop(lua); i <= count; ++i)
            arguments.push_back(to_json(lua, i));
        const auto returned = script_functions.at(lua_tostring(lua, lua_upvalueindex(1)))(
            current_world(lua), arguments);
        for (const auto& item : returned)
            push(lua, item);
        results = static_cast<int>(returned.size());
        return true;
    }
    catch (const std::exception& error)
    {
        luaL_where(lua, 1);
        lua_pushstring(lua, error.what());
        lua_concat(lua, 2);
        return false;
    }
}

int call_function(lua_State* lua)
{
    int results = 0;
    return try_call_function(lua, results) ? results : lua_error(lua);
}

/// Formats the outcomes of the callers' requests, appended to a failure message.
std::string call_summary(const std::optional<world>& current)
{
    if (!current)
        return {};
    const auto& calls = current->calls();
    return " (" +
           json{{"sent", calls.m_sent},
                {"answered", calls.m_answered},
                {"unknown", calls.m_unknown},
                {"reasons", calls.m_reason_counts}}
               .dump() +
           ")";
}

/// Formats the violations that the history checker found, one per line, up to about size_limit.
std::string format_violations(std::optional<world>& current)
{
    std::string result;
    constexpr std::size_t size_limit = 1000;
    for (const auto& item : started_world(current).violations())
        if (result.size() < size_limit)
            result += std::string(item.m_rule) + ": " + item.m_detail + "\n";
    return result;
}

} // namespace

script_result run_script(const std::string& path)
{
    std::optional<world> current;
    const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), &lua_close);
    *static_cast<std::optional<world>**>(lua_getextraspace(lua.get())) = &current;
    luaL_openlibs(lua.get());
    for (const auto& [name, function] : script_functions)
    {
        lua_pushstring(lua.get(), name.c_str());
        lua_pushcclosure(lua.get(), call_function, 1);
        lua_setglobal(lua.get(), name.c_str());
    }
    const auto prelude = path.substr(0, path.rfind('/') + 1) + "support/prelude.lua";
    for (const auto& file : {prelude, path})
        if (luaL_dofile(lua.get(), file.c_str()) != LUA_OK)
            return {lua_tostring(lua.get(), -1) + call_summary(current), {}};
    return {format_violations(current), current->history()};
}

} // namespace scenarios
