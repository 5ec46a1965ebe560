"""Scripts that start several processes; not part of the shipped program."""
