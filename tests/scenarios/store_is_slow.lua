-- Each call to the table takes a second.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
faults{table_delay_ms = 1000}
local service = submit("entry-1", {name = "floor-board", kind = "service", count = 3})
swing("tablet", {rate = 20, seconds = 60})
local code = apply_config("entry-2")
expect(code == 200, "a configuration is accepted, not " .. code)
run(10)
expect(running_tasks(service) == 3, "the service runs")
expect(answered() >= 0.99 * sent(), "requests are served: " .. answered() .. " of " .. sent())
