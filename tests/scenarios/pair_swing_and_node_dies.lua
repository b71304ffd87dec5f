-- At the peak of a load spike an entry VM dies, then another is drained.
start_cell{entry_vms = 6, data_centres = 2, workers = 8, slots = 2}
swing("tablet", {rate = 500, seconds = 2})
kill "entry-1"
swing("tablet", {rate = 500, seconds = 3})
drain "entry-2"
swing("tablet", {rate = 500, seconds = 3})
run(30)
expect(pending() == 0, "every caller has an answer")
expect(answered() >= 0.8 * sent(), "most are served: " .. answered() .. " of " .. sent())
