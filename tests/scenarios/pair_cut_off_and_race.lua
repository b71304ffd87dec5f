-- Operators change the configuration on both sides of a network partition.
start_cell{entry_vms = 4, data_centres = 2, workers = 4}
cut("norte-a", "norte-b")
for round = 1, 5 do
    apply_config("entry-1")
    apply_config("entry-2")
    run(3)
end
heal()
run(8)
for i = 2, 4 do
    expect(config_version("entry-" .. i) == config_version("entry-1"), "all have one version")
end
