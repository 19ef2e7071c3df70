/**
 * One client process of a crowd run: opens a connection for each request, most of them to one entry, and
 * repeats a try that was refused or closed unread at another one. Prints its counts as JSON.
 */
import { connect } from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { seededRandom } from "../base/random.ts";
import {
  HOST,
  KEY,
  type RequestOverrides,
  toRequestHeaders,
} from "../standin/mod.ts";

/** Input of the process, as JSON in its first argument. */
export interface CrowdClientInput {
  seed: number;
  port: number;
  ipAddresses: string[];
  requestsPerSecond: number;
  /** Time with evenly spread connections that doesn't count, then counts; then a crowd at the first entry. */
  warmUpMs: number;
  evenMs: number;
  crowdMs: number;
  crowdShare: number;
  /** Time from the start of the crowd until requests count. */
  settleMs: number;
}

/** Numbers of requests in one phase. */
export interface CrowdCounts {
  sent: number;
  /** First tries that were read, and those of them that were served. */
  read: number;
  servedFirst: number;
  /** First tries whose connection was refused or closed unread. */
  unread: number;
  /** Requests that were served at any try. */
  served: number;
}

/** Output of the process. */
export interface CrowdClientOutput {
  even: CrowdCounts;
  settling: CrowdCounts;
  crowd: CrowdCounts;
}

const DEADLINE_MS = 2000;
const MAX_TRIES = 4;
const CONNECT_MS = 1000;

type Try = "served" | "refused" | "unread";

async function main(): Promise<void> {
  const input: CrowdClientInput = JSON.parse(process.argv[2]!);
  const { crowdMs, settleMs, requestsPerSecond, crowdShare } = input;
  const evenMs = input.warmUpMs + input.evenMs;
  const warmUp = newCounts();
  const random = seededRandom(input.seed);
  const even = newCounts();
  const settling = newCounts();
  const crowd = newCounts();
  const startMs = performance.now();
  const pending: Promise<void>[] = [];
  for (let i = 0;; i++) {
    const atMs = i * 1000 / requestsPerSecond;
    if (atMs >= evenMs + crowdMs) break;
    const waitMs = startMs + atMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    const isCrowd = atMs >= evenMs;
    const counts = atMs < input.warmUpMs
      ? warmUp
      : !isCrowd
      ? even
      : atMs < evenMs + settleMs
      ? settling
      : crowd;
    const { ipAddresses } = input;
    const first = isCrowd && random() < crowdShare
      ? 0
      : Math.floor(random() * ipAddresses.length);
    pending.push(ask(input, { first, id: `${input.seed}-${i}`, counts }));
  }
  await Promise.all(pending);
  const output: CrowdClientOutput = { even, settling, crowd };
  console.log(JSON.stringify(output));
}

async function ask(
  { ipAddresses, port }: CrowdClientInput,
  { first, id, counts }: { first: number; id: string; counts: CrowdCounts },
): Promise<void> {
  counts.sent++;
  const untilMs = performance.now() + DEADLINE_MS;
  for (let i = 0; i < MAX_TRIES; i++) {
    const leftMs = untilMs - performance.now();
    if (leftMs <= 0) return;
    const host = ipAddresses[(first + i) % ipAddresses.length]!;
    const result = await tryOnce({ host, port, id: `${id}-${i}`, leftMs });
    if (i === 0 && result === "unread") counts.unread++;
    if (i === 0 && result !== "unread") counts.read++;
    if (result !== "served") continue;
    if (i === 0) counts.servedFirst++;
    counts.served++;
    return;
  }
}

function tryOnce(
  { host, port, id, leftMs }: {
    host: string;
    port: number;
    id: string;
    leftMs: number;
  },
): Promise<Try> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    let text = "";
    let isConnected = false;
    const timer = setTimeout(() => {
      resolve(isConnected ? "refused" : "unread");
      socket.destroy();
    }, leftMs);
    const connectTimer = setTimeout(() => {
      if (!isConnected) socket.destroy();
    }, CONNECT_MS);
    socket.once("connect", () => {
      isConnected = true;
      socket.write(
        `POST /look/${id} HTTP/1.1\r\nhost: ${HOST}\r\n${
          headerLines({ id, timeMs: Math.floor(leftMs) })
        }connection: close\r\nauthorization: Bearer ${KEY}\r\ncontent-length: 0\r\n\r\n`,
      );
    });
    socket.on("data", (bytes) => text += bytes);
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      clearTimeout(connectTimer);
      const isServed = text.startsWith("HTTP/1.1 200");
      resolve(text === "" ? "unread" : isServed ? "served" : "refused");
    });
  });
}

function headerLines(overrides: RequestOverrides): string {
  return Object.entries(toRequestHeaders(overrides))
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
}

function newCounts(): CrowdCounts {
  return { sent: 0, read: 0, servedFirst: 0, unread: 0, served: 0 };
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
