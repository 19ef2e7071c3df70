/** Records sessions as text: HTTP exchanges, calls to agents, and the final state of each process. */
import { once } from "node:events";
import {
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from "node:http";
import { AdminClient } from "../admin/mod.ts";
import {
  SAMPLE_ADMIN_KEY,
  SAMPLE_CALLER_KEY,
  SAMPLE_TEAM,
} from "../cli/sample_team.ts";
import { chatBody } from "./_calls.ts";
import { type AgentSlot, type EntrySlot, ProofFleet } from "./_fleet.ts";
import { Recorder, type Transcript } from "./_recorder.ts";

/** Directory of the golden files; the same for sources and build output. */
export const GOLDEN_DIRECTORY = new URL(
  "../../src/proof/golden/",
  import.meta.url,
);

const TOKENS = 6;
const RECORDED_HEADERS =
  /^(content-type|retry-after|x-cicadahitch-|x-should-retry)/;
const POLL_MS = 5;

interface HttpCall {
  path: string;
  headers?: Record<string, string>;
  body: Record<string, unknown>;
}

interface HttpAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  text: string;
  /** False if the connection ended before the last chunk. */
  isWhole: boolean;
}

/** Session against one fleet, with its record. */
class Session {
  readonly fleet: ProofFleet;
  readonly #transcripts: Transcript[];
  readonly #lines: string[] = [];
  #reportedCalls = 0;

  constructor(fleet: ProofFleet, transcripts: Transcript[]) {
    this.fleet = fleet;
    this.#transcripts = transcripts;
  }

  get entry(): EntrySlot {
    return this.fleet.entries[0]!;
  }

  get agentSlot(): AgentSlot {
    return this.fleet.agentSlots[0]!;
  }

  /** Sends a request and records the exchange and the calls to agents that it caused. */
  async send(title: string, call: HttpCall, slot = this.entry): Promise<void> {
    this.#lines.push(`== ${title} (${slot.id})`);
    const body = JSON.stringify(call.body);
    this.#lines.push(`> POST ${call.path}`);
    for (const [name, value] of Object.entries(call.headers ?? {})) {
      this.#lines.push(`> ${name}: ${value}`);
    }
    this.#lines.push(`> ${body}`);
    const url = `http://${slot.entry.httpAddress}${call.path}`;
    const headers = {
      authorization: `Bearer ${SAMPLE_CALLER_KEY}`,
      ...call.headers,
    };
    this.#recordAnswer(await post(url, headers, body));
    this.#recordCalls();
  }

  /** Records an event of the session. */
  note(line: string): void {
    this.#lines.push(`== ${line}`);
  }

  /** @returns Text of the session, with the final state of entries and agents. */
  async end(): Promise<string> {
    await until(() => this.fleet.busyAgentSlot === undefined);
    for (const { id, entry } of this.fleet.entries) {
      const { instances, leaving, config, requests } = entry.dumpState();
      const states = instances.map((each) => `${each.id} ${each.state}`).sort();
      this.#recordState(id, {
        instances: states,
        leaving,
        versions: config.versions,
        inFlight: requests.inFlight,
      });
    }
    for (const { id, agent } of this.fleet.agentSlots) {
      const { isLeaving, refusals, branches } = agent.dumpState();
      const { counts } = refusals;
      this.#recordState(id, { isLeaving, refusals: counts, branches });
    }
    return normalize(`${this.#lines.join("\n")}\n`);
  }

  #recordAnswer({ status, headers, text, isWhole }: HttpAnswer): void {
    this.#lines.push(`< ${status}`);
    for (const [name, value] of Object.entries(headers).sort()) {
      if (RECORDED_HEADERS.test(name)) this.#lines.push(`< ${name}: ${value}`);
    }
    for (const line of text.split("\n")) {
      if (line !== "") this.#lines.push(`< ${line}`);
    }
    if (!isWhole) this.#lines.push("< (connection cut)");
  }

  #recordCalls(): void {
    const fresh = this.#transcripts.slice(this.#reportedCalls);
    this.#reportedCalls = this.#transcripts.length;
    this.#lines.push(...fresh.flat());
  }

  #recordState(id: string, state: unknown): void {
    this.#lines.push(`== state of ${id}`, JSON.stringify(state, undefined, 1));
  }
}

/**
 * Posts with node:http, which detects a truncated body by its missing last chunk. `fetch` reports some
 * truncated bodies as complete, depending on when the socket closes.
 */
async function post(
  url: string,
  headers: Record<string, string>,
  body: string,
): Promise<HttpAnswer> {
  const call = request(url, { method: "POST", headers, agent: false });
  call.end(body);
  const [answer] = await once(call, "response") as [IncomingMessage];
  const chunks: Buffer[] = [];
  answer.on("data", (chunk: Buffer) => chunks.push(chunk));
  // `complete` shows whether the response was truncated.
  answer.on("error", () => {});
  await new Promise((resolve) => answer.once("close", resolve));
  return {
    status: answer.statusCode ?? 0,
    headers: answer.headers,
    text: Buffer.concat(chunks).toString(),
    isWhole: answer.complete,
  };
}

const CHAT_PATH = "/v1/chat/completions";
const CHAT: HttpCall = { path: CHAT_PATH, body: chatBody("hello", TOKENS) };
const STREAM: HttpCall = {
  path: CHAT_PATH,
  body: { ...chatBody("hello", TOKENS), stream: true },
};
const BOOKING: HttpCall = {
  path: "/services/bookings/bookings",
  headers: { "idempotency-key": "booking-7" },
  body: { pet: "Rex" },
};

/** Recorded sessions by the names of their golden files. */
export const SESSIONS: Record<string, () => Promise<string>> = {
  streamed_chat: () =>
    record({}, (session) => session.send("streamed chat", STREAM)),
  whole_chat: () => record({}, (session) => session.send("whole chat", CHAT)),
  repeated_booking: () =>
    record({ engines: 0, services: 1, entries: 2 }, async (session) => {
      const [first, second] = session.fleet.entries;
      await session.send("first call", BOOKING, first);
      await session.send("the same call", BOOKING, second);
      const other = { ...BOOKING, body: { pet: "Ada" } };
      await session.send("another call under its key", other, second);
    }),
  all_leave: () => record({}, refuseWhenLeaving),
  cut_stream: () =>
    record({}, async (session) => {
      for (const engine of session.fleet.engines) {
        await engine.setFaults({ cutAfterPieces: 3 });
      }
      await session.send("stream of an engine that breaks off", STREAM);
    }),
  stale_config: () => record({}, changeConfiguration),
};

async function refuseWhenLeaving(session: Session): Promise<void> {
  const { fleet, entry, agentSlot } = session;
  await fleet.engines[0]!.setFaults({ stallAfterPieces: 1 });
  const caller = new AbortController();
  const url = `http://${entry.entry.httpAddress}${CHAT_PATH}`;
  const authorization = `Bearer ${SAMPLE_CALLER_KEY}`;
  const openStream = fetch(url, {
    method: "POST",
    headers: { authorization },
    body: JSON.stringify(STREAM.body),
    signal: caller.signal,
  });
  await openStream;
  const stopped = agentSlot.agent.stop();
  session.note("the only server leaves, while it has a stream");
  await session.send("chat", CHAT);
  caller.abort();
  await stopped;
}

async function changeConfiguration(session: Session): Promise<void> {
  const { entry } = session;
  await session.send("first chat", CHAT);
  const client = AdminClient.create({
    url: `http://${entry.entry.adminAddress}`,
    key: SAMPLE_ADMIN_KEY,
    writer: "golden",
  });
  const path = "/limits/maxInFlight";
  const written = await client.patch(SAMPLE_TEAM, { path, value: 7 });
  await client.close();
  const version = BigInt(written.map((change) => change.version).unwrapOr(0));
  await until(() => entry.entry.branches.revisionOf(SAMPLE_TEAM) === version);
  session.note("a change is in force at the entry");
  await session.send("chat after it", CHAT);
}

async function record(
  options: { engines?: number; services?: number; entries?: number },
  scenario: (session: Session) => Promise<void>,
): Promise<string> {
  const transcripts: Transcript[] = [];
  const recorders: Recorder[] = [];
  const fleet = await ProofFleet.create({
    engines: 1,
    services: 0,
    entries: 1,
    ...options,
    proxyAgent: async (id, address) => {
      const recorder = await Recorder.create(id, address, {
        into: transcripts,
      });
      recorders.push(recorder);
      return recorder.address;
    },
  });
  try {
    const session = new Session(fleet, transcripts);
    await scenario(session);
    return await session.end();
  } finally {
    await fleet.close();
    for (const recorder of recorders) recorder.close();
  }
}

async function until(isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
}

const ID = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g;
const ADDRESS = /127\.0\.0\.1:\d+/g;

function normalize(text: string): string {
  const names = new Map<string, string>();
  const placeholder = (kind: string) => (found: string) => {
    if (!names.has(found)) names.set(found, `<${kind} ${names.size + 1}>`);
    return names.get(found)!;
  };
  return text.replace(ID, placeholder("id")).replace(
    ADDRESS,
    placeholder("address"),
  )
    .replace(/"created":\d+/g, '"created":<time>')
    .replace(/(retry-after(?:-ms)?): \d+/g, "$1: <time>");
}
