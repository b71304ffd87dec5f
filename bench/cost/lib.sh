# Functions that measure the cost of cluster control; source it after tools/cell.sh.

snapshot() { # ENTRIES: CPU ticks, control seconds, peer bytes, call bytes, memory, writes, reads of each
    local i pid
    for i in $(seq "$1"); do
        pid=${pid_of[entry-$i]}
        curl -s "$(operator_address "$i")/metrics" | awk -v cpu="$(awk '{ print $14 + $15 }' "/proc/$pid/stat")" '
            /^dragonflygap_peer_bytes/ { peer += $2 }
            /^dragonflygap_control_call_bytes/ { call += $2 }
            /^dragonflygap_control_cpu_seconds/ { control = $2 }
            /^dragonflygap_resident_bytes/ { rss = $2 }
            /^dragonflygap_platform_call_seconds_count.*write/ { writes = $2 }
            /^dragonflygap_platform_call_seconds_count.*read/ { reads = $2 }
            END { print cpu, control, peer, call, rss, writes + 0, reads + 0 }'
    done
}

report() { # TITLE ENTRIES SECONDS: prints the means, from $work/before and $work/after
    paste "$work/before" "$work/after" | awk -v title="$1" -v s="$3" -v e="$2" '
        { cpu += ($8 - $1) / 100 / s; control += ($9 - $2) / s; peer += ($10 - $3) / s
          call += ($11 - $4) / s; rss += $12; if ($12 > most) most = $12
          writes += ($13 - $6) / s; reads += ($14 - $7) / s }
        END { printf "%s: process %.2f%% of a core, control task %.2f%%, peers %.1f KB/s, platform and workers %.1f KB/s, memory %.1f MB (most %.1f); all together %.1f table writes/s, %.1f reads/s\n",
              title, 100 * cpu / e, 100 * control / e, peer / e / 1000, call / e / 1000,
              rss / e / 1e6, most / 1e6, writes, reads }'
}
