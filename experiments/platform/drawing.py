"""Functions shared by the scripts that generate days: drawing troubles and writing the files that the bench reads."""


def draw_trouble(rng, *sources):
    """Draws a kind from the sources, all equally likely, and one of its variants."""
    kinds = sorted({kind for source in sources for kind in source})
    kind = rng.choice(kinds)
    return kind, rng.choice([fields for source in sources for fields in source.get(kind, [])])


def format_entry(at, kind, fields):
    """Formats one line of a day's plan or faults."""
    return f'  {{ at = {at:.2f}, kind = "{kind}"' + (f", {fields}" if fields else "") + " },"


def write_day(directory, seed, name, remark, closing, plan, faults):
    """Writes the file of a day. `closing` holds the fields of its closing fault; None for no such fault."""
    lines = ["# " + remark, "[[day]]", f'name = "{name}"', f"seed = {seed}"]
    if closing:
        lines.append(f"closing = {{ {closing} }}")
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    directory.mkdir(parents=True, exist_ok=True)
    (directory / f"{name}.toml").write_text("\n".join(lines) + "\n")
