-- A worker goes silent permanently: its services restart elsewhere after their leases expire.
start_cell{entry_vms = 2, data_centres = 1, workers = 4}
local service = submit("entry-1", {name = "floor-board", kind = "service", count = 8})
run(3)
expect(running_tasks(service) == 8, "the service runs")
faults{cuts = {{vm = "*", other = "worker-1"}}}
run(120)
expect(running_tasks(service) == 8, "the service runs in full again, not " .. running_tasks(service))
