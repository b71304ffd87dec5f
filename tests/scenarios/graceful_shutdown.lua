-- An entry VM is shut down gracefully while plans run; no request is cut off.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
call("plan", {run_ms = 4000, times = 20, through = "entry-1"})
call("plan", {run_ms = 4000, times = 20, through = "entry-3"})
run(1)
drain "entry-1"
swing("tablet", {rate = 50, seconds = 4, through = "entry-2"})
run(40)
expect(not is_up("entry-1"), "the drained entry VM has stopped")
expect(unknown() == 0, "no request was cut off: " .. unknown())
expect(answered() == sent(), "all were served: " .. answered() .. " of " .. sent())
