-- Workers leave, and the list of VMs shows it late.
start_cell{entry_vms = 2, data_centres = 1, workers = 4}
faults{leaving = {"worker-0", "worker-1"}, vm_list_lag_ms = 3000}
for round = 1, 10 do
    submit("entry-1", {name = "round-" .. round, kind = "batch", expected_ms = 500})
    swing("tablet", {rate = 50, seconds = 2})
end
run(5)
expect(answered() == sent(), "all are served: " .. answered() .. " of " .. sent())
