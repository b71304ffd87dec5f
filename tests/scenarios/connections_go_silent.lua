-- Open connections to the executors go silent permanently; new connections work.
start_cell{entry_vms = 2, data_centres = 1, workers = 4}
swing("tablet", {rate = 100, seconds = 2})
call("plan", {run_ms = 2000, times = 4})
run(0.5)
faults{silence_connections = {"worker-0", "worker-1", "worker-2", "worker-3"}}
swing("tablet", {rate = 50, seconds = 30})
run(65)
expect(pending() == 0, "no request is pending")
local before = answered()
call("tablet", {times = 50})
run(3)
expect(answered() == before + 50, "new connections serve: " .. answered() - before)
expect(answered() >= 0.9 * sent(), "most are served: " .. answered() .. " of " .. sent())
