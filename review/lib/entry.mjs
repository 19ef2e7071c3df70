// Starts the router as the deploy file does: its `run` command, with the environment of `roles.entry`.
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { createServer } from "node:net";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** Bounds as on the sheet of a small site. */
const BOUNDS = {
  grace_s: 8,
  lease_ms: 3000,
  version_ms: 10_000,
  require_fencing: true,
  budget_ratio: 0.2,
  budget_slack: 54,
  budget_window_s: 10,
};

/** @returns A free port of the address. */
async function freePort(ipAddress) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, ipAddress, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Ports that are free on all of the addresses; the platform uses the same ports on all machines. */
async function freePorts(count, ipAddresses) {
  const ports = [];
  while (ports.length < count) {
    const port = await freePort(ipAddresses[0]);
    const isFree = await Promise.all(
      ipAddresses.slice(1).map((ipAddress) => isPortFree(ipAddress, port)),
    );
    if (isFree.every((free) => free) && !ports.includes(port)) ports.push(port);
  }
  return ports;
}

async function isPortFree(ipAddress, port) {
  const server = createServer();
  const isFree = await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, ipAddress, () => resolve(true));
  });
  if (isFree) await new Promise((resolve) => server.close(resolve));
  return isFree;
}

/**
 * Starts one entry on each address. The caller ends them with signals.
 *
 * @returns The entries, each with its process, its addresses and its log lines.
 */
export async function startEntries(
  { ipAddresses, storeAddress, zone, bounds },
) {
  const [front, ready, control, peer] = await freePorts(4, ipAddresses);
  const limits = Object.entries({ ...BOUNDS, ...bounds });
  return ipAddresses.map((ipAddress, i) =>
    start({
      "node_name": `edge-${i + 1}`,
      "zone": zone,
      "ip": ipAddress,
      "listen.front": `${ipAddress}:${front}`,
      "listen.ready_addr": `${ipAddress}:${ready}`,
      "listen.control": `${ipAddress}:${control}`,
      "internal_ports.0": peer,
      "seeds": ipAddresses.slice(0, 3).map((ip) => `${ip}:${control}`).join(),
      "platform_store.address": storeAddress,
      "heartbeat_ms": 1200,
      ...Object.fromEntries(
        limits.map(([key, value]) => [`bounds.${key}`, value]),
      ),
    })
  );
}

/** Starts a process with the platform's settings in the placeholders of the deploy file. */
function start(settings) {
  const deploy = readFileSync(`${ROOT}/deploy/system.toml`, "utf8");
  const env = { PATH: process.env.PATH, HOME: process.env.HOME };
  for (const [, key, value] of deploy.matchAll(/^(CICADA\w+) = "(.*)"$/gm)) {
    env[key] = value.replace(
      /\{\{([^}]+)\}\}/g,
      (_, field) => String(settings[field] ?? ""),
    );
  }
  const run = deploy.match(/^run = "(.*)"$/m)[1].split(" ");
  const child = spawn(run[0], run.slice(1), {
    cwd: ROOT,
    env,
    stdio: ["ignore", "pipe", "inherit"],
  });
  const entry = {
    name: settings.node_name,
    child,
    pid: child.pid,
    hasEnded: false,
    frontAddress: settings["listen.front"],
    readyAddress: settings["listen.ready_addr"],
    log: [],
    ended: new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        entry.hasEnded = true;
        resolve({ code, signal });
      })
    ),
  };
  let rest = "";
  child.stdout.on("data", (chunk) => {
    const lines = (rest + chunk).split("\n");
    rest = lines.pop();
    entry.log.push(...lines);
  });
  return entry;
}

/** Resolves once the entry answers its readiness check with 200. */
export async function untilReady(entry, timeoutMs = 10_000) {
  const endMs = Date.now() + timeoutMs;
  while (Date.now() < endMs) {
    if (await readiness(entry)) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error("The entry didn't become ready");
}

const BALANCER_INTERVAL_MS = 1000;
const MISSES = 2;

/** The platform's balancer: asks each entry once a second whether it is ready. */
export class Balancer {
  #entries;
  #misses = new Map();
  #timer;

  constructor(entries) {
    this.#entries = entries;
    for (const entry of entries) this.#misses.set(entry, 0);
    this.#timer = setInterval(() => {
      for (const entry of entries) void this.#check(entry);
    }, BALANCER_INTERVAL_MS);
  }

  /** Entry that gets the next new channel of a client. */
  entryFor(clientIndex) {
    const inUse = this.#entries.filter((entry) =>
      this.#misses.get(entry) < MISSES
    );
    const among = inUse.length > 0 ? inUse : this.#entries;
    return among[clientIndex % among.length];
  }

  close() {
    clearInterval(this.#timer);
  }

  async #check(entry) {
    const isReady = await readiness(entry);
    this.#misses.set(entry, isReady ? 0 : this.#misses.get(entry) + 1);
  }
}

async function readiness({ readyAddress }) {
  try {
    const signal = AbortSignal.timeout(BALANCER_INTERVAL_MS / 2);
    const url = `http://${readyAddress}/v1/readiness`;
    return (await fetch(url, { signal })).status === 200;
  } catch {
    return false;
  }
}
