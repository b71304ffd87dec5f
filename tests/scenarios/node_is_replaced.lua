-- An entry VM is replaced by one with the same name and no state.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
local service = submit("entry-1", {name = "floor-board", kind = "service", count = 3})
run(2)
kill "entry-1"
run(1)
start "entry-1"
swing("tablet", {rate = 50, seconds = 30})
expect(running_tasks(service) == 3, "the service still runs")
expect(task_starts(service) == 3, "no task was started twice")
expect(config_version("entry-1") == config_version("entry-2"), "the new one has the configuration")
