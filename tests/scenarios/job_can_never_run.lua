-- A job that no worker could ever run is refused at once and doesn't block other jobs.
start_cell()
local id, code = submit("entry-1", {name = "giant", kind = "batch",
                                    size = {millicores = 64000, memory_mb = 512}})
expect(id == nil and code >= 400, "a task larger than any worker is refused, not " .. code)
local small = submit("entry-1", {name = "small", kind = "service"})
run(3)
expect(running_tasks(small) == 1, "a job behind it runs")
