-- The table is down while an entry VM is replaced: the new one gets the configuration from its
-- peers.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
local service = submit("entry-1", {name = "floor-board", kind = "service", count = 4})
apply_config("entry-2")
run(5)
faults{table_down = true}
run(2)
kill "entry-1"
run(5)
start "entry-1"
run(10)
expect(config_version("entry-1") == config_version("entry-2"), "it has the newest configuration")
swing("tablet", {rate = 20, seconds = 20, through = "entry-2"})
faults{table_down = false}
run(60)
expect(running_tasks(service) == 4, "the service runs, not " .. running_tasks(service))
