/** A process with some plain backend servers of a crowd run. Prints their registrations as JSON. */
import process from "node:process";
import { NO_FAULTS, StandinBackendServer } from "../standin/mod.ts";

const CALL_MS = 20;

async function main(): Promise<void> {
  const prefix = process.argv[2]!;
  const count = Number(process.argv[3]);
  const registrations: Record<string, object> = {};
  for (let i = 0; i < count; i++) {
    const id = `${prefix}-${i}`;
    const faults = { ...NO_FAULTS, lateMs: CALL_MS };
    const server = await StandinBackendServer.create({ id, faults });
    registrations[id] = server.entry("plain");
  }
  console.log(JSON.stringify(registrations));
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
