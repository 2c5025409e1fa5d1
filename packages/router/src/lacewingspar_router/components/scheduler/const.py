"""Constants of the scheduler component."""

# Minimum interval between two demand messages of one service.
DEMAND_INTERVAL_SECONDS = 0.005
# Delay after a declined offer until its demand is sent again. Without it, a
# request that must not use the only free upstream would be offered it
# continuously.
DECLINED_DEMAND_DELAY_SECONDS = 0.05
# Interval of the checks of deadlines, offers and leases.
TICK_SECONDS = 0.05
# Minimum interval at which owners exchange changed counters.
COUNTERS_INTERVAL_SECONDS = 0.25
# Maximum bandwidth of the counters of one router, a third of the control budget
# of 12 KB/s. The interval grows with the number of owners and of backlogged
# workspaces.
COUNTERS_BYTES_PER_SECOND = 4000
# Minimum interval between two messages with all counters, which make up for
# lost messages.
FULL_COUNTERS_INTERVAL_SECONDS = 5.0
# Number of ticks between two slot reports.
TICKS_PER_REPORT = 20
# Minimum interval between two messages with the full demand, which make up for
# lost messages. Changes are sent at once, so it need not be short.
FULL_DEMAND_INTERVAL_SECONDS = 1.0
# Maximum bandwidth of the full demand of one service. The interval grows with
# the number of waiting workspaces and of owners.
FULL_DEMAND_BYTES_PER_SECOND = 400
