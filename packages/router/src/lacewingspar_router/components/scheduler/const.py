"""Constants of the scheduler component."""

# Shortest time between two demand messages of one service.
DEMAND_INTERVAL_SECONDS = 0.005
# Interval at which deadlines, offers and leases are checked.
TICK_SECONDS = 0.05
# Interval at which owners exchange changed counters.
COUNTERS_INTERVAL_SECONDS = 0.25
# Ticks between two exchanges of all counters, which repair lost messages.
TICKS_PER_FULL_COUNTERS = 100
# Ticks between two full demand messages and slot reports.
TICKS_PER_REPORT = 20
# Ticks between two exchanges of changed counters.
TICKS_PER_COUNTERS = round(COUNTERS_INTERVAL_SECONDS / TICK_SECONDS)
