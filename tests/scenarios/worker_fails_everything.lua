-- One worker fails every task and every request: most work is done by the others.
start_cell{entry_vms = 2, data_centres = 1, workers = 16}
faults{failing = {"worker-0"}}
local batch = submit("entry-1", {name = "dye-report", kind = "batch", count = 12, expected_ms = 1000,
                                 max_attempts = 8})
swing("tablet", {rate = 50, seconds = 20})
run(60)
expect(pending() == 0, "every caller has an answer")
expect(answered() >= 0.9 * sent(), "nine of ten are served: " .. answered() .. " of " .. sent())
expect(running_tasks(batch) == 0, "the batch has ended")
