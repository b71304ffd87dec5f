-- A non-idempotent order is sent again with the same idempotency key through other entry VMs, at
-- once and later.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
for order = 1, 50 do
    call("yarn-order", {key = "order-" .. order, through = "entry-1"})
    call("yarn-order", {key = "order-" .. order, through = "entry-2"})
    run(0.05)
    call("yarn-order", {key = "order-" .. order, through = "entry-3"})
end
run(10)
expect(pending() == 0, "every caller has an answer")
expect(answered() >= 50, "each order ran: " .. answered())
