-- Functions for scenarios, built on those that the scenario runner (script.cpp) provides.

usual_classes = {
    classes = {
        {name = "tablet", urgency = 0, expected_ms = 10, deadline_ms = 2000},
        {name = "check", urgency = 3, expected_ms = 100, deadline_ms = 10000},
        {name = "plan", urgency = 6, expected_ms = 2000, deadline_ms = 60000, slot_share = 0.75},
        {name = "yarn-order", urgency = 2, expected_ms = 50, deadline_ms = 5000, idempotent = false},
    },
    teams = {{name = "looms", millicores = 64000, memory_mb = 131072}},
}

function expect(condition, text)
    if not condition then error("expected: " .. text, 2) end
end

function status(vm, name)
    local _, body = operate(vm, "GET", "/v1/status")
    return body[name]
end

function config_version(vm) return status(vm, "config_version") end

-- Returns the response's status and the configuration version in it.
function apply_config(vm, document, expected)
    expected = expected or config_version(vm)
    local code, body = operate(vm, "PUT", "/v1/config?expected=" .. expected,
                               document or usual_classes)
    return code, body and body.version
end

-- Returns the job's id, or nil if it was refused, and the response's status.
function submit(vm, job)
    job.team = job.team or "looms"
    job.size = job.size or {millicores = 1000, memory_mb = 512}
    local code, body = operate(vm, "POST", "/v1/jobs", job)
    return body and body.id, code
end

function cut(one, other)
    cut_one_way(one, other)
    cut_one_way(other, one)
end

function cut_platform(vm) faults{cuts = {{vm = vm, other = "*"}}} end

-- Starts a cell and runs it until leases are held and usual_classes is in force.
function start_cell(options)
    start(options or {})
    run(4)
    local code = apply_config("entry-1")
    expect(code == 200, "the first configuration is accepted, not " .. code)
    run(6)
end
