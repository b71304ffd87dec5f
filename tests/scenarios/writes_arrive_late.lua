-- Calls that an owner sent before its lease expired arrive after another VM took over.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
slow_calls("entry-1", 15)
local service = submit("entry-3", {name = "floor-board", kind = "service", count = 4})
swing("tablet", {rate = 20, seconds = 20})
heal()
run(60)
expect(running_tasks(service) == 4, "the service runs")
expect(pending() == 0, "nobody waits for ever: " .. pending())
