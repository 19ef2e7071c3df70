/** Idle Node process: the baseline for the memory of an agent and an entry. */
process.stdout.write("{}\n");
setInterval(() => {}, 60_000);
