-- A thousand callers disconnect at once; later callers are served.
start_cell{entry_vms = 2, data_centres = 1, workers = 2}
call("check", {run_ms = 5000, times = 1000})
run(0.5)
hang_up()
run(10)
local before = answered()
call("tablet", {times = 50})
run(3)
expect(answered() == before + 50, "later callers are served: " .. answered() - before)
expect(pending() == 0, "no request is pending")
