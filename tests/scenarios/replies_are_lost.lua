-- Writes to the table take effect, but are applied twice, or their replies are lost or late.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
for round = 1, 5 do
    faults{lose_replies = 3}
    local code, version = apply_config("entry-" .. (round % 4 + 1))
    expect(code == 200, "the change is recognised as made, not " .. code)
    faults{double_commits = 3}
    submit("entry-1", {name = "batch-" .. round, kind = "batch", expected_ms = 500})
    faults{late_replies = 3, late_by_ms = 4000}
    swing("tablet", {rate = 20, seconds = 10})
end
run(10)
expect(config_version("entry-1") == 6, "five changes were made, not " .. config_version("entry-1") - 1)
expect(answered() >= 0.99 * sent(), "requests are served: " .. answered() .. " of " .. sent())
