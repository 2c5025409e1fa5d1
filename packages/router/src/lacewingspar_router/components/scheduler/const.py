"""Constants of the scheduler component."""

# Shortest time between two demand messages of one service.
DEMAND_INTERVAL_SECONDS = 0.005
# Time after a declined offer until its demand is told again. A request that may
# not use the only free upstream would otherwise be offered it all the time.
DECLINED_DEMAND_DELAY_SECONDS = 0.05
# Interval at which deadlines, offers and leases are checked.
TICK_SECONDS = 0.05
# Shortest interval at which owners exchange changed counters.
COUNTERS_INTERVAL_SECONDS = 0.25
# Counters of one router take at most this much; the interval grows with the
# number of owners and backlogged workspaces. It is a third of the control
# budget of 12 KB/s.
COUNTERS_BYTES_PER_SECOND = 4000
# Interval between two exchanges of all counters, which repair lost messages.
FULL_COUNTERS_INTERVAL_SECONDS = 5.0
# Ticks between two slot reports.
TICKS_PER_REPORT = 20
# Shortest interval between two messages with all demand, which repair lost
# ones. Changes are sent at once, so a longer interval costs little.
FULL_DEMAND_INTERVAL_SECONDS = 1.0
# Full demand of one service takes at most this much, so the interval grows
# with the number of waiting workspaces and of owners.
FULL_DEMAND_BYTES_PER_SECOND = 400
