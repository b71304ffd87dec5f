-- Executors answer late, cut answers short or send far too large ones: each caller gets its own
-- complete answer or an error.
start_cell{entry_vms = 2, data_centres = 1, workers = 4}
faults{cut_answers = 10}
swing("tablet", {rate = 50, seconds = 2})
faults{large_answers = 10}
swing("tablet", {rate = 50, seconds = 2})
faults{executor_delay_ms = 300}
swing("tablet", {rate = 50, seconds = 2})
run(10)
expect(pending() == 0, "every caller has an answer")
expect(answered() >= 0.9 * sent(), "the others are served: " .. answered() .. " of " .. sent())
