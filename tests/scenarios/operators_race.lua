-- Two operators change the configuration from the same version: one succeeds, the other gets a
-- conflict.
start_cell{entry_vms = 3}
local seen = config_version("entry-1")
local first = apply_config("entry-1", usual_classes, seen)
local second = apply_config("entry-2", usual_classes, seen)
expect(first == 200, "the first wins, not " .. first)
expect(second == 409, "the second gets a conflict, not " .. second)
run(6)
for i = 1, 3 do
    expect(config_version("entry-" .. i) == seen + 1, "one change was made")
end
