-- The table is down, and then an owner is paused past its lease.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
local service = submit("entry-1", {name = "floor-board", kind = "service", count = 4})
run(3)
faults{table_down = true}
run(2)
pause "entry-1"
swing("tablet", {rate = 20, seconds = 30, through = "entry-3"})
resume "entry-1"
swing("tablet", {rate = 20, seconds = 10})
faults{table_down = false}
run(60)
expect(pending() == 0, "no request is pending")
expect(running_tasks(service) == 4, "the service runs")
