"""What the scripts that draw days share: how an entry is drawn, and how a day is written as the bench reads it."""


def drawn(chance, *sources):
    """A kind of these, each alike often, and one of its variants."""
    kinds = sorted({kind for source in sources for kind in source})
    kind = chance.choice(kinds)
    return kind, chance.choice([fields for source in sources for fields in source.get(kind, [])])


def entry(at, kind, fields):
    """A line of a day's plan or of its faults."""
    return f'  {{ at = {at:.2f}, kind = "{kind}"' + (f", {fields}" if fields else "") + " },"


def write(directory, seed, name, remark, closing, plan, faults):
    """Writes the file of a day; closing: the fields of its closing fault, None for none."""
    lines = ["# " + remark, "[[day]]", f'name = "{name}"', f"seed = {seed}"]
    if closing:
        lines.append(f"closing = {{ {closing} }}")
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    directory.mkdir(parents=True, exist_ok=True)
    (directory / f"{name}.toml").write_text("\n".join(lines) + "\n")
