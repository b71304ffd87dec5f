-- The data centres are cut off from each other, then norte-b from the platform too; after healing,
-- one direction is cut. Each data centre serves what it can.
start_cell{entry_vms = 4, data_centres = 2, workers = 8}
cut("norte-a", "norte-b")
swing("tablet", {rate = 50, seconds = 15})
cut_platform("entry-2")
cut_platform("entry-4")
swing("tablet", {rate = 50, seconds = 15, through = "entry-1"})
heal()
cut_one_way("norte-b", "norte-a")
swing("tablet", {rate = 50, seconds = 15})
heal()
run(10)
local code = apply_config("entry-1")
expect(code == 200, "a configuration is accepted after healing, not " .. code)
run(6)
expect(config_version("entry-4") == config_version("entry-1"), "it is in force everywhere")
expect(answered() >= 0.99 * sent(), "each continues to serve: " .. answered() .. " of " .. sent())
