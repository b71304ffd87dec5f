-- Checks run fifty times as long as declared: once this is measured, tablets don't wait for them.
start_cell{entry_vms = 1, data_centres = 1, workers = 2}
call("check", {run_ms = 5000, times = 16})
run(12)
call("check", {run_ms = 5000, times = 60})
run(1)
local before = answered()
swing("tablet", {rate = 50, seconds = 5})
run(2)
expect(answered() - before >= 240, "tablets are served: " .. answered() - before .. " of 250")
run(30)
expect(pending() == 0, "every caller has an answer")
