"""Development tools: simulations, replays, benchmarks and test runs; not part of the release."""
