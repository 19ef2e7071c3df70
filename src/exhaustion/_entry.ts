/** An entry that runs as a process with the flags of the deploy file, before one plain server. */
import { type ChildProcess, spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { connect } from "node:net";
import process from "node:process";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { entryVariables } from "../router/_entry_process.ts";
import {
  CONFIG,
  type EntryAddress,
  fetchReadinessStatus,
  sendClientRequest,
  StandinCallServer,
  StandinPlatformStore,
  toRequestHeaders,
} from "../standin/mod.ts";

/** Memory of the smallest entry instance of the first two deployments. */
export const INSTANCE_BYTES = 200 * 1024 * 1024;

const DEPLOY_FILE = "deploy/system.toml";
const ADDRESS: EntryAddress = { ipAddress: "127.9.83.10", clientPort: 23901 };
const POLL_MS = 50;
/** Longest wait for a state that an entry must reach. */
const WAIT_MS = 30_000;

/** What differs from the defaults of {@link startEntry}. */
export interface LimitedEntryOptions {
  /** Limits of the configuration, on top of those of {@link CONFIG}. */
  limits?: Partial<typeof CONFIG.limits>;
  /** Without it, the entry refuses all requests. */
  hasConfig?: boolean;
  /** Environment variables of the process. */
  variables?: Record<string, string>;
}

/** A process under observation. */
export class ObservedProcess {
  readonly #child: ChildProcess;
  readonly #output: string[] = [];
  #exit: string | undefined;

  private constructor(child: ChildProcess) {
    this.#child = child;
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on("data", (text) => {
        this.#output.push(String(text));
        this.#output.splice(0, this.#output.length - 20);
      });
    }
    child.once("exit", (code, signal) => this.#exit = signal ?? `${code}`);
  }

  /** @param child A process that was just started. */
  static create(child: ChildProcess): ObservedProcess {
    return new ObservedProcess(child);
  }

  /** Why the process ended; undefined while it runs. */
  get exit(): string | undefined {
    return this.#exit;
  }

  /** The last output. */
  get output(): string {
    return this.#output.join("").slice(-2000);
  }

  /** Largest resident memory so far. */
  get peakBytes(): number {
    const status = readFileSync(`/proc/${this.#child.pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * 1024;
  }

  /** Number of open descriptors. */
  get descriptors(): number {
    return readdirSync(`/proc/${this.#child.pid}/fd`).length;
  }

  /** Ends the process at once. */
  kill(): void {
    this.#child.kill("SIGKILL");
  }
}

/** An entry, its store and its only server. */
export interface LimitedEntry {
  address: EntryAddress;
  process: ObservedProcess;
  /** Bytes of each body that the server received whole. */
  bodies: number[];
}

/**
 * @param t The test; everything is closed when it ends.
 * @param options What differs from the defaults.
 * @returns An entry that has answered one request, if it has a configuration.
 */
export async function startEntry(
  t: TestContext,
  { limits, hasConfig = true, variables }: LimitedEntryOptions = {},
): Promise<LimitedEntry> {
  const store = await StandinPlatformStore.create();
  t.after(() => store.close());
  const server = await StandinCallServer.create();
  t.after(() => server.close());
  await store.put("servers/i-1", server.entry);
  if (hasConfig) {
    await store.putConfig({
      ...CONFIG,
      limits: { ...CONFIG.limits, ...limits },
    });
  }
  const child = spawnEntry(store.address, variables);
  t.after(() => child.kill());
  const entry = { address: ADDRESS, process: child, bodies: server.bodies };
  const { ipAddress, clientPort } = ADDRESS;
  const readiness = () =>
    fetchReadinessStatus(clientPort + 1, ipAddress).catch(() => 0);
  await eventually(async () => await readiness() === (hasConfig ? 200 : 503));
  if (hasConfig) await askOrdinary(entry);
  return entry;
}

/**
 * Sends small requests, one after the other, until one is served.
 *
 * @param entry The entry.
 */
export async function askOrdinary(
  { address, process: child }: LimitedEntry,
): Promise<void> {
  const headers = toRequestHeaders({ timeMs: 4000 });
  await eventually(async () => {
    if (child.exit) throw new Error(`Ended by ${child.exit}: ${child.output}`);
    const asked = await sendClientRequest(address, "/book/a", headers)
      .catch(() => undefined);
    return asked?.status === 200 && asked.isComplete;
  });
}

/**
 * @param isTrue Condition, checked again and again.
 * @throws If it isn't met for {@link WAIT_MS}.
 */
export async function eventually(
  isTrue: () => boolean | Promise<boolean>,
): Promise<void> {
  const endMs = Date.now() + WAIT_MS;
  while (!await isTrue()) {
    if (Date.now() > endMs) throw new Error("State was not reached");
    await sleep(POLL_MS);
  }
}

/**
 * @param address Where a process listens.
 * @returns Whether it accepts connections.
 */
export function accepts({ ipAddress, clientPort }: EntryAddress) {
  return new Promise<boolean>((resolve) => {
    const socket = connect(clientPort, ipAddress);
    const settle = (isOpen: boolean) => {
      socket.destroy();
      resolve(isOpen);
    };
    socket.once("connect", () => settle(true));
    socket.once("error", () => settle(false));
  });
}

function spawnEntry(
  storeAddress: string,
  variables: Record<string, string> = {},
): ObservedProcess {
  const child = spawn(process.execPath, deployedArguments(), {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...entryVariables(ADDRESS, storeAddress), ...variables },
  });
  return ObservedProcess.create(child);
}

/** Arguments of Node in the deploy file's line of the entry. */
function deployedArguments(): string[] {
  const text = readFileSync(DEPLOY_FILE, "utf8");
  const [, run] = /^run = "node (.*)"$/m.exec(text) ?? [];
  if (!run) throw new Error(`${DEPLOY_FILE} has no line that starts Node`);
  return run.split(" ");
}
