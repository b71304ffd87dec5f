-- Replies to table writes are lost after a job is accepted, and the VM that accepted it dies.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
local kept = submit("entry-1", {name = "kept", kind = "service", count = 2})
faults{lose_replies = 4}
call("tablet", {times = 20, through = "entry-1"})
run(0.2)
kill "entry-1"
run(60)
expect(kept ~= nil, "the job was accepted")
expect(running_tasks(kept) == 2, "both tasks of the accepted job run, not " .. running_tasks(kept))
