"""Troubles of the control side and of other parts: the fields of each variant of an entry, except 'at' and 'kind'."""

# Troubles of the control side: kind -> variants.
CONTROL = {
    "core_cut": [
        'count = 1, for_s = 5, how = "leader race hard"',
        'count = 1, for_s = 5, how = "leader one_way meet"',
        'count = 1, for_s = 5, how = "one_way race"',
        'count = 1, for_s = 5, how = "seeds"',
        'count = 1, for_s = 5, how = "both"',
        'count = 1, for_s = 4, how = "leader race"',
        'count = 1, for_s = 5, how = "leader refuse"',
        'count = 1, for_s = 5, how = "reset"',
        'count = 1, for_s = 5, how = "leader seeds one_way"',
        'count = 1, for_s = 5, how = "leader both race"',
    ],
    "node_kill": [
        'on = "core", count = 1, for_s = 3, how = "meet"',
        'on = "core", count = 1, for_s = 3, how = "leader race"',
        'on = "core", count = 1, how = "leader race hard"',
        'on = "core", count = 1, how = "leader race drain"',
        'on = "core", count = 1, for_s = 3, how = "meet drain"',
        'on = "core", count = 1, for_s = 3, how = "power leader meet hard"',
        'on = "core", count = 1, for_s = 3, how = "seed race"',
        'on = "core", count = 1, for_s = 3, how = "power reader"',
    ],
    "replace_core": [
        "x = 2.0",
        'x = 2.0, how = "planned"',
        'x = 0.5, how = "leader"',
        'x = 1.0, how = "planned leader"',
        'x = 2.4, how = "seed"',
    ],
    "after_ack_wipe": ["for_s = 1.0", "for_s = 3.0", 'for_s = 1.0, how = "timed"'],
    "after_ack_kill": ['for_s = 2.0, how = ""', 'for_s = 2.0, how = "timed"', 'for_s = 2.0, how = "kill"'],
    "disk_full": ["count = 1, for_s = 4", 'count = 1, for_s = 4, how = "leader"'],
    "disk_stall": ["count = 1, for_s = 4", 'count = 1, for_s = 4, how = "leader"'],
    "disk_slow": ["count = 1, x = 30.0, for_s = 5", 'count = 1, x = 30.0, for_s = 5, how = "leader"'],
    "clock_step": [
        "share = 0.3, x = 2400.0, for_s = 5",
        'share = 0.3, x = 2400.0, for_s = 5, how = "leader back"',
        'share = 0.3, x = 5000.0, for_s = 5, how = "ahead"',
    ],
    "node_freeze": [
        'on = "core", count = 1, for_s = 4, how = "leader"',
        'on = "core", count = 1, for_s = 4, how = "leader race"',
        'on = "core", count = 1, for_s = 4, how = "meet"',
    ],
    "herd_kill": ['on = "core", for_s = 2', 'on = "core", for_s = 2, how = "power"', "share = 0.5, for_s = 2"],
    "hup": ["share = 1.0, gap_s = 0.2"],
    "seed_turnover": [""],
    "ack_lost": ["x = 0.7, for_s = 6"],
    "bad_config": [
        'count = 3, gap_s = 0.4, how = "same_version"',
        'count = 3, gap_s = 0.4, how = "old_version"',
        'count = 3, gap_s = 0.4, how = "cut_short"',
        'count = 3, gap_s = 0.4, how = "unknown_service"',
    ],
    "roll_term": [
        'on = "core", share = 1.0, x = 1.0, gap_s = 3.0',
        'on = "core", share = 0.5, x = 1.0, gap_s = 1.0',
        'share = 0.4, x = 1.0, gap_s = 1.0, how = "busy"',
    ],
}
PLANNED = {"roll_term", "hup", "seed_turnover"}
CLOSINGS = [
    'kind = "power_off_all", down_s = 1.5',
    'kind = "wipe_after_ack", down_s = 1.2, how = "aimed"',
    'kind = "kill_all", down_s = 1.0',
    'kind = "wipe_after_ack", down_s = 1.2',
    'kind = "power_off_all", down_s = 0.7, how = "timed"',
    'kind = "wipe_after_ack", down_s = 0.5, how = "timed"',
    'kind = "kill_all", down_s = 0.5, how = "timed"',
    'kind = "wipe_after_ack", down_s = 1.5, how = "oldest"',
    'kind = "wipe_after_ack", down_s = 1.0, how = "taken"',
]

# Further variants, drawn only by `mixes` and `longs`.
MORE_CONTROL = {
    "core_cut": [
        'count = 1, for_s = 5, how = "all"',
        'count = 1, for_s = 5, how = "near race"',
        'count = 1, for_s = 5, how = "oldest meet"',
        'count = 1, for_s = 5, how = "lure"',
        'count = 1, for_s = 12, how = "all leader race hard"',
        'count = 1, for_s = 4, how = "behind"',
        'for_s = 6, how = "split"',
        'for_s = 6, how = "split meet"',
        'count = 1, for_s = 5, how = "relieve"',
    ],
    "replace_core": ['x = 1.0, how = "oldest"', 'x = 1.5, how = "planned oldest"', 'x = 1.0, how = "leader drain"'],
    "after_ack_wipe": ['for_s = 1.0, how = "oldest"'],
    "after_ack_kill": ['for_s = 2.0, how = "taken"', "for_s = 2.0, count = 2", 'for_s = 2.0, how = "taken gone"'],
    "herd_kill": ['on = "core", for_s = 2, how = "taken"', 'on = "core", for_s = 2, how = "taken all"'],
    "disk_slow": ["count = 2, x = 60.0, for_s = 6"],
    "node_slow": ['on = "core", share = 0.34, x = 5.0, for_s = 6', "share = 0.2, x = 5.0, for_s = 6"],
    "reset_conns": ['on = "core", share = 0.5, x = 1.0', "share = 0.3, x = 0.5"],
    "bad_config": [
        f'count = 3, gap_s = 0.4, how = "{how}"'
        for how in ("same_place", "no_weight", "no_timeout", "stale_match", "shared_key")
    ],
}
# Troubles of proxies, instances, workers and clients.
OTHER = {
    "node_cut": [
        "share = 0.2, for_s = 5",
        'share = 0.2, for_s = 5, how = "all"',
        'share = 0.2, for_s = 5, how = "servers"',
        'on = "core", share = 0.34, for_s = 5, how = "one_way"',
        'share = 0.2, for_s = 4, how = "reset"',
    ],
    "node_kill": ["share = 0.3, for_s = 2", 'share = 0.3, for_s = 2, how = "power drain"'],
    "node_freeze": ["share = 0.3, for_s = 3", 'share = 0.3, for_s = 3, how = "drain"'],
    "roll_term": ["share = 1.0, x = 2.0, gap_s = 1.5", 'share = 0.5, x = 1.0, gap_s = 2.0, how = "busy"'],
    "worker_crash": ["share = 0.3, for_s = 6"],
    "worker_drain": ["share = 0.3, for_s = 8"],
    "answer_lost": ["share = 0.7, x = 0.06, for_s = 8"],
    "garble": [
        "share = 0.7, x = 0.05, for_s = 8",
        'share = 0.7, x = 0.05, for_s = 8, how = "extra"',
        'share = 0.7, x = 0.05, for_s = 8, how = "unframed"',
        'share = 0.7, x = 0.05, for_s = 8, how = "early"',
    ],
    "burst": ["x = 2.5, for_s = 5"],
    "config_change": [f'how = "{how}"' for how in ("route", "weights", "timeout", "idle")],
}
