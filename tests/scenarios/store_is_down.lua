-- The table is down for two minutes: requests to executors and running services continue.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
local service = submit("entry-1", {name = "floor-board", kind = "service", count = 3})
run(3)
faults{table_down = true}
swing("tablet", {rate = 20, seconds = 120})
local id, code = submit("entry-1", {name = "too-soon", kind = "service"})
expect(id == nil, "a job that can't be stored is refused")
faults{table_down = false}
run(30)
expect(running_tasks(service) == 3, "the service still runs, not " .. running_tasks(service))
expect(task_starts(service) == 3, "no task was started twice")
expect(answered() >= 0.99 * sent(), "requests are served: " .. answered() .. " of " .. sent())
