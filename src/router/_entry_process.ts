/** An entry that runs as a process of its own, for tests that kill it. */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import type { TestContext } from "node:test";
import { type EntryAddress, fetchReadinessStatus } from "../standin/mod.ts";
import { until } from "./_world.ts";

/**
 * @param t The test; the process is killed when it ends.
 * @param address Where the entry listens; it uses the three ports after the client port, too.
 * @param storeAddress `ip:port` of the store.
 * @returns The process of an entry that is ready.
 */
export async function startEntryProcess(
  t: TestContext,
  address: EntryAddress,
  storeAddress: string,
): Promise<ChildProcess> {
  const { ipAddress, clientPort } = address;
  const args = ["--import", "tsx", "src/router/main.ts"];
  const entry = spawn(process.execPath, args, {
    stdio: "ignore",
    env: entryVariables(address, storeAddress),
  });
  t.after(() => entry.kill("SIGKILL"));
  const status = () =>
    fetchReadinessStatus(clientPort + 1, ipAddress).catch(() => 0);
  await until(async () => await status() === 200);
  return entry;
}

/**
 * @param address Where the entry listens; it uses the three ports after the client port, too.
 * @param storeAddress `ip:port` of the store.
 * @returns Environment variables of the entry's process.
 */
export function entryVariables(
  { ipAddress, clientPort }: EntryAddress,
  storeAddress: string,
): Record<string, string> {
  const at = (offset: number) => `${ipAddress}:${clientPort + offset}`;
  return {
    CICADAHITCH_INSTANCE: `e-${ipAddress}`,
    CICADAHITCH_ZONE: "a",
    CICADAHITCH_IP_ADDRESS: ipAddress,
    CICADAHITCH_CLIENT_ADDRESS: at(0),
    CICADAHITCH_READINESS_ADDRESS: at(1),
    CICADAHITCH_CONTROL_ADDRESS: at(2),
    CICADAHITCH_PEER_PORT: String(clientPort + 3),
    CICADAHITCH_STORE_ADDRESS: storeAddress,
    CICADAHITCH_GRACE_S: "1",
    CICADAHITCH_SEED_ADDRESSES: "",
    CICADAHITCH_ENGINES_CHECK_FENCES: "",
  };
}
