// A small deployment on loopback addresses: the platform's store (the project's stand-in), routers
// started with the command of the deploy file, and a record of what was sent, answered and run.
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const HOST = "jepu9.example";
export const KEY = "ctnfzs989anu6wsjnban";
export const TENANT = "sese880";
export const hasTrouble = process.env.TROUBLE !== "0";

const GRACE_S = 8;
const READY_TIMEOUT_MS = 15_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** A repeatable source of random numbers from 0 to 1. */
export function createRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Writes lines to the record of a case. */
export class Record {
  #path;
  #startMs = performance.now();

  /** @param path Path of the case's `record.txt`, which is begun anew. */
  constructor(path) {
    this.#path = path;
    writeFileSync(this.#path, "");
  }

  line(text) {
    const atMs = Math.round(performance.now() - this.#startMs);
    appendFileSync(this.#path, `${String(atMs).padStart(6)} ms  ${text}\n`);
  }
}

/** @returns A loopback address on which a port of the system's choice can be opened. */
async function freeAddress() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  const ipAddress = `127.${64 + (part() % 60)}.${part()}.${part()}`;
  const ports = [];
  const servers = [];
  for (let i = 0; i < 4; i++) {
    const server = net.createServer();
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, ipAddress, resolve);
    });
    servers.push(server);
    ports.push(server.address().port);
  }
  for (const server of servers) server.close();
  return { ipAddress, ports };
}

/** @returns The words of `run` and the variables of `env` of the role in the deploy file. */
function readRole() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text)[1].split(" ");
  const env = text.slice(text.indexOf("[roles.entry.env]"));
  const variables = [...env.matchAll(/^([A-Z_]+) = "\{\{(.*)\}\}"$/gm)];
  return { run, variables: variables.map(([, name, field]) => [name, field]) };
}

/** Waits until a condition holds; returns whether it did in time. */
export async function until(condition, timeoutMs) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await condition()) return true;
    await sleep(50);
  }
  return false;
}

function isReady({ ipAddress, readyPort }) {
  return new Promise((resolve) => {
    const request = http.get(
      `http://${ipAddress}:${readyPort}/v1/readiness`,
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.setTimeout(1000, () => request.destroy());
    request.on("error", () => resolve(false));
  });
}

/** The processes of one run; all of them end with {@link Deployment.close}. */
export class Deployment {
  store;
  routers = [];
  #children = new Set();
  #folder = mkdtempSync(join(tmpdir(), "review-2-"));

  static async create() {
    const deployment = new Deployment();
    const { StandinPlatformStore } = await import(
      join(ROOT, "dist/standin/platform_store_server.js")
    );
    const { ipAddress, ports } = await freeAddress();
    deployment.store = await StandinPlatformStore.create({
      listenAddress: `${ipAddress}:${ports[0]}`,
    });
    return deployment;
  }

  /** Starts a process that {@link Deployment.close} ends. */
  spawn(command, args, options) {
    const child = spawn(command, args, options);
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    return child;
  }

  /** Starts routers on addresses of their own, with the same ports on each, as on the platform. */
  async startRouters(count, fields = {}) {
    const { ports } = await freeAddress();
    const [clientPort, readyPort, controlPort, peerPort] = ports;
    for (let i = 0; i < count; i++) {
      const { ipAddress } = await freeAddress();
      const name = `edge-${i + 1}`;
      this.routers.push({ name, ipAddress, clientPort, readyPort });
    }
    const seeds = this.routers.slice(0, 3)
      .map(({ ipAddress }) => `${ipAddress}:${controlPort}`).join(",");
    for (const router of this.routers) {
      router.fields = {
        "node_name": router.name,
        "zone": "zone-a",
        "ip": router.ipAddress,
        "listen.front": `${router.ipAddress}:${clientPort}`,
        "listen.ready_addr": `${router.ipAddress}:${readyPort}`,
        "listen.control": `${router.ipAddress}:${controlPort}`,
        "internal_ports.0": `${peerPort}`,
        seeds,
        "limits.memory_mb": "350",
        "limits.max_fds": "4100",
        "platform_store.address": this.store.address,
        "bounds.grace_s": `${GRACE_S}`,
        "bounds.lease_ms": "3000",
        "bounds.version_ms": "10000",
        "heartbeat_ms": "1200",
        "bounds.require_fencing": "true",
        "bounds.budget_ratio": "0.2",
        "bounds.budget_slack": "54",
        "bounds.budget_window_s": "10",
        ...fields,
      };
      this.startRouter(router);
    }
    for (const router of this.routers) {
      const isUp = await until(() => isReady(router), READY_TIMEOUT_MS);
      if (!isUp) throw new Error(`${router.name} is not ready`);
    }
  }

  /** Starts the process of a router, also again after its end. */
  startRouter(router) {
    const { fields } = router;
    const { run: [command, ...args], variables } = readRole();
    const env = { PATH: process.env.PATH, HOME: process.env.HOME };
    for (const [name, field] of variables) env[name] = fields[field] ?? "";
    const log = openSync(join(this.#folder, `${router.name}.log`), "a");
    router.child = this.spawn(
      command === "node" ? process.execPath : command,
      args,
      {
        cwd: ROOT,
        env,
        stdio: ["ignore", log, log],
      },
    );
  }

  async close() {
    for (const child of this.#children) child.kill("SIGKILL");
    await this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(recordPath, play) {
  const record = new Record(recordPath);
  record.line(`TROUBLE=${hasTrouble ? 1 : 0}`);
  let deployment;
  let code = 2;
  try {
    deployment = await Deployment.create();
    const broken = await play(deployment, record);
    record.line(broken > 0 ? `broken ${broken} times` : "the rule held");
    console.log(broken > 0 ? `broken ${broken} times` : "held");
    code = broken > 0 ? 1 : 0;
  } catch (error) {
    record.line(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  await deployment?.close();
  process.exit(code);
}
