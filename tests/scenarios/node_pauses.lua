-- An entry VM under load is paused past its lease; its peer takes over.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
local service = submit("entry-1", {name = "floor-board", kind = "service", count = 3})
swing("tablet", {rate = 100, seconds = 1})
call("plan", {run_ms = 3000, times = 10})
pause "entry-1"
swing("tablet", {rate = 100, seconds = 20})
resume "entry-1"
swing("tablet", {rate = 100, seconds = 10})
run(65)
expect(pending() == 0, "no request is pending, not " .. pending())
expect(running_tasks(service) == 3, "the service runs")
