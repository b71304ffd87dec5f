-- Owners are paused past their leases, one after the other, while jobs start.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
for round = 1, 4 do
    local paused = "entry-" .. round
    pause(paused)
    local submitter = round == 1 and "entry-2" or "entry-1"
    submit(submitter, {name = "round-" .. round, kind = "service", count = 2})
    run(12)
    resume(paused)
    run(8)
end
run(40)
for round = 1, 4 do
    expect(running_tasks("round-" .. round) == 2,
           "two tasks of round " .. round .. " run, not " .. running_tasks("round-" .. round))
end
