/**
 * Measures CPU time and bytes of one `Ask` and memory of one idle connection, between two processes.
 * A forwarder counts the bytes. Prints slopes as JSON:
 * `node --expose-gc dist/capacity/measure_wire.js`.
 */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import {
  credentials,
  Server as GrpcServer,
  ServerCredentials,
} from "@grpc/grpc-js";
import {
  AgentClient,
  AgentService,
  type AskReply,
  AskRequest,
  Priority,
} from "../wire/gen/cicadahitch.ts";
import { Forwarder } from "./_forwarder.ts";
import { fitSlope, type Point, type Slope } from "./slopes.ts";

const COMMAND = "node --expose-gc dist/capacity/measure_wire.js";
const ASK_COUNTS = [2_000, 4_000, 8_000];
const CONNECTION_COUNTS = [0, 50, 100, 200];
const IN_FLIGHT = 8;
const RUNS = 5;

interface ProcessUsage {
  cpuUs: number;
  rssBytes: number;
}

interface AskUsage {
  count: number;
  clientUs: number;
  serverUs: number;
  bytes: number;
}

if (process.send) await serve();
else await measure();

async function serve(): Promise<void> {
  const server = new GrpcServer();
  server.addService(AgentService, {
    ask: (_call: unknown, respond: (error: null, reply: AskReply) => void) =>
      respond(null, sampleOfferReply()),
  });
  const port = await new Promise<number>((resolve, reject) =>
    server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createInsecure(),
      (error, boundPort) => error ? reject(error) : resolve(boundPort),
    )
  );
  process.on("message", () => {
    globalThis.gc?.();
    process.send!(processUsage());
  });
  process.send!(port);
  process.on("disconnect", () => process.exit(0));
}

async function measure(): Promise<void> {
  const child = fork(fileURLToPath(import.meta.url), [], {
    execArgv: process.execArgv,
  });
  const [port] = await once(child, "message") as [number];
  const forwarder = await Forwarder.create(port);
  try {
    await measureAsks(port, 2_000, child, forwarder);
    const slopes = [
      ...await askSlopes(child, port, forwarder),
      ...await connectionSlopes(child, port),
    ];
    console.log(JSON.stringify(slopes, null, 2));
  } finally {
    forwarder.close();
    child.disconnect();
  }
}

async function askSlopes(
  child: ChildProcess,
  port: number,
  forwarder: Forwarder,
): Promise<Slope[]> {
  const directRuns: AskUsage[][] = [];
  const forwardedRuns: AskUsage[][] = [];
  for (let run = 0; run < RUNS; run++) {
    directRuns.push(await measureAskCounts(port, child, forwarder));
    forwardedRuns.push(
      await measureAskCounts(forwarder.port, child, forwarder),
    );
  }
  const describe = (name: string, what: string, unit: string) => ({
    name,
    what,
    unit,
    per: "ask",
    command: COMMAND,
  });
  const points = (series: AskUsage[][], y: (run: AskUsage) => number) =>
    series.map((run) => run.map((ask): Point => ({ x: ask.count, y: y(ask) })));
  return [
    fitSlope(
      describe("ask_client_us", "Processor time of an ask, asking side", "us"),
      points(directRuns, (ask) => ask.clientUs),
    ),
    fitSlope(
      describe(
        "ask_server_us",
        "Processor time of an ask, answering side",
        "us",
      ),
      points(directRuns, (ask) => ask.serverUs),
    ),
    fitSlope(
      describe("ask_bytes", "TCP payload of an ask, both ways", "bytes"),
      points(forwardedRuns, (ask) => ask.bytes),
    ),
  ];
}

async function measureAskCounts(
  port: number,
  child: ChildProcess,
  forwarder: Forwarder,
): Promise<AskUsage[]> {
  const asks: AskUsage[] = [];
  for (const count of ASK_COUNTS) {
    asks.push(await measureAsks(port, count, child, forwarder));
  }
  return asks;
}

async function measureAsks(
  port: number,
  count: number,
  child: ChildProcess,
  forwarder: Forwarder,
): Promise<AskUsage> {
  const client = connect(port);
  await sendAsk(client, 0);
  const before = {
    client: processUsage(),
    server: await childUsage(child),
    bytes: forwarder.bytes,
  };
  let next = 0;
  const worker = async () => {
    while (next < count) await sendAsk(client, next++);
  };
  await Promise.all(Array.from({ length: IN_FLIGHT }, worker));
  const after = {
    client: processUsage(),
    server: await childUsage(child),
    bytes: forwarder.bytes,
  };
  client.close();
  return {
    count,
    clientUs: after.client.cpuUs - before.client.cpuUs,
    serverUs: after.server.cpuUs - before.server.cpuUs,
    bytes: after.bytes - before.bytes,
  };
}

async function connectionSlopes(
  child: ChildProcess,
  port: number,
): Promise<Slope[]> {
  const clientRuns: Point[][] = [];
  const serverRuns: Point[][] = [];
  for (let run = 0; run < RUNS; run++) {
    const clientPoints: Point[] = [];
    const serverPoints: Point[] = [];
    const clients: AgentClient[] = [];
    for (const count of CONNECTION_COUNTS) {
      while (clients.length < count) {
        const client = connect(port);
        clients.push(client);
        await sendAsk(client, clients.length);
      }
      globalThis.gc?.();
      clientPoints.push({ x: count, y: heapBytes() });
      serverPoints.push({ x: count, y: (await childUsage(child)).rssBytes });
    }
    for (const client of clients) client.close();
    clientRuns.push(clientPoints);
    serverRuns.push(serverPoints);
  }
  const describe = (name: string, what: string) => ({
    name,
    what,
    unit: "bytes",
    per: "connection",
    command: COMMAND,
  });
  return [
    fitSlope(
      describe(
        "connection_client_bytes",
        "Heap and buffers of an idle connection, asking side",
      ),
      clientRuns,
    ),
    fitSlope(
      describe(
        "connection_server_bytes",
        "Resident memory of an idle connection, answering side",
      ),
      serverRuns,
    ),
  ];
}

function connect(port: number): AgentClient {
  return new AgentClient(`127.0.0.1:${port}`, credentials.createInsecure(), {
    "grpc.use_local_subchannel_pool": 1,
  });
}

function sendAsk(
  client: AgentClient,
  requestNumber: number,
): Promise<AskReply> {
  const request = sampleAskRequest(requestNumber);
  return new Promise((resolve, reject) =>
    client.ask(
      request,
      (error, reply) => error ? reject(error) : resolve(reply),
    )
  );
}

function sampleAskRequest(requestNumber: number): AskRequest {
  const points = Array.from({ length: 8 }, (_, index) => ({
    blocks: 2 ** index,
    key: BigInt(requestNumber + 1) * 0x9e3779b97f4a7c15n & 0xffffffffffffffffn,
  }));
  return AskRequest.fromPartial({
    runId: `0190a6c0-0000-7000-8000-${String(requestNumber).padStart(12, "0")}`,
    team: "lakeshore",
    workspace: "duluth-salon",
    model: "notes-large",
    chain: points,
    promptTokens: 4_096,
    maxTokens: 512,
    priority: Priority.NORMAL,
    deadlineMs: 30_000,
    holdMs: 500,
    configVersion: 123_456n,
  });
}

function sampleOfferReply(): AskReply {
  return {
    verdict: {
      $case: "offer",
      value: {
        holdId: "0190a6c0-0000-7000-8000-000000000000",
        matchedTokens: 4_000,
        recomputeTokens: 96,
        expectedTtftMs: 80,
        queueMs: 10,
        engineIncarnation: "5f3a9c1e",
        weightsVersion: "2026-11-01",
        running: 12,
        waiting: 1,
      },
    },
    agentIncarnation: "8e11d2c0",
    configVersion: 123_456n,
  };
}

async function childUsage(child: ChildProcess): Promise<ProcessUsage> {
  child.send("usage");
  const [answer] = await once(child, "message") as [ProcessUsage];
  return answer;
}

function processUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  return { cpuUs: user + system, rssBytes: process.memoryUsage.rss() };
}

function heapBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
