-- An entry VM dies under load: its data centre continues to serve and its services keep running.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
local service = submit("entry-1", {name = "floor-board", kind = "service", count = 3})
run(2)
expect(running_tasks(service) == 3, "the service runs before the death")
swing("tablet", {rate = 100, seconds = 1})
kill "entry-1"
swing("tablet", {rate = 100, seconds = 20})
expect(running_tasks(service) == 3, "all of the service runs, not " .. running_tasks(service))
expect(task_starts(service) == 3, "no task was started twice")
expect(status("entry-3", "groups_owned") == 32, "its peer owns all workers")
local before = answered()
swing("tablet", {rate = 100, seconds = 2})
run(2)
expect(answered() == before + 200, "all requests are answered again")
