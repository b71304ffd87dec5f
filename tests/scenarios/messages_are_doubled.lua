-- Messages between entry VMs arrive twice and out of order while one VM has no free capacity.
start_cell{entry_vms = 2, data_centres = 2, workers = 2, slots = 2}
double_messages(true)
for i = 1, 100 do
    call("check", {run_ms = 100, through = "entry-1"})
    call("yarn-order", {key = "order-" .. i, run_ms = 50, through = "entry-1"})
    run(0.2)
end
run(20)
expect(pending() == 0, "every caller has an answer")
