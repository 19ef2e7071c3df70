/** Test setup of a {@link RequestForwarder} with fake servers, a fake client and a test clock. */
import type { TestContext } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import { silentLog, TestClock, testServer } from "./_kit.ts";
import type { ForwarderParts } from "./request_forwarder.ts";
import { type PartialAnswer, type Send, startProgress } from "./attempt.ts";
import type { Exchange } from "./channel.ts";
import type { Choice } from "./choose.ts";
import { EventSplitter } from "./event_splitter.ts";
import { type AnswerFacts, RequestKind } from "./model.ts";
import type { ForwardTask } from "./open_runs.ts";
import type { Quarantine } from "./quarantine.ts";
import type { AnswerPart, AnswerReader } from "./read_answer.ts";
import type { AnswerSink, RoutedRequest } from "./request.ts";
import { Resends } from "./resends.ts";
import type { RunMover } from "./run_mover.ts";
import type { RunBackups } from "./run_backups.ts";
import type { Sender } from "./send.ts";
import { SendGate } from "./send_gate.ts";
import type { WakeSignal } from "./wake_signal.ts";
import { WantedVersions } from "./wanted_weights.ts";

/** Time until the request's deadline; far more than the tests let pass. */
const DEADLINE_MS = 30_000;
/** Event loop turns after which a task waits only for a timer or for the test's next action. */
const SETTLE_TURNS = 5;

/** Inputs that a test controls, and outputs that it checks. */
export interface ForwarderSetup {
  parts: ForwarderParts;
  task: ForwardTask;
  clock: TestClock;
  /** Server to which each send goes. */
  choice: Choice;
  /** Whether a server is available for resends. */
  isServerReady: boolean;
  /** End of the grace time of a shutdown. */
  drainEndMs: number;
  sends: Send[];
  /** Events that the client has received. */
  written: string[];
  /** Number of runs beyond the first for which the workspace was charged. */
  charged: number;
  /** Delivers a part of the response to the nth send. */
  deliver(nth: number, part: AnswerPart): void;
  /** Disconnects the client. */
  disconnect(): void;
  /** Advances the clock; with 0, only completes pending work that needs no timer. */
  advance(ms: number): Promise<void>;
}

/**
 * @param t Test whose timers are mocked; they advance with {@link ForwarderSetup.advance} only.
 * @returns A resumable stream request that was not sent yet, and a free server.
 */
export function createForwarderSetup(t: TestContext): ForwarderSetup {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const clock = new TestClock();
  const server = testServer("i-1");
  const request = {
    route: { kind: RequestKind.stream, resumable: true, maxAttempts: 3 },
    facts: { requestId: "r-1" },
    service: "engines",
    arrivedAtMs: clock.nowMs(),
    answerByMs: clock.nowMs() + DEADLINE_MS,
  } as unknown as RoutedRequest;
  const client = fakeClient();
  const engine = fakeEngine(clock);
  const setup: ForwarderSetup = {
    parts: {
      clock,
      log: silentLog,
      origins: { began: () => {}, completed: () => {} },
      versionRecord: { untilRecorded: () => Promise.resolve() },
      processes: { isRegistered: () => Promise.resolve(true) },
      sender: engine.sender,
      reader: engine.reader,
      resends: Resends.create({
        clock,
        resendLimits: { ratio: 0.2, slack: 100, windowMs: 10_000 },
        entryCount: () => 1,
        hasUntriedServer: () => true,
        isVersionGone: () => false,
        fleet: { has: () => true },
      }),
      mover: inactiveMover(),
      runBackups: fakeBackups({}),
      quarantine: {
        verdict: () => ({ kind: "clear" }),
        answered: () => {},
        recordBrokenSend: () => {},
        parts: {
          verdict: () => ({ kind: "clear" }),
          sending: () => {},
          answered: () => {},
        },
      } as unknown as Quarantine,
      quotas: {
        runsAgain: () => void setup.charged++,
        giveBack: () => void setup.charged--,
      },
      wanted: WantedVersions.create({ clock, boundMs: 10_000 }),
      gate: SendGate.create({
        clock,
        fleet: { has: () => true },
        servers: {
          any: () => setup.choice,
          ready: () => setup.isServerReady ? setup.choice : undefined,
        },
        permits: { acquire: () => Promise.resolve(true), giveBack: () => {} },
      }),
      isWorthSending: () => true,
      onSilent: () => {},
      drainEndMs: () => setup.drainEndMs,
    },
    task: { request, sink: client.sink, progress: startProgress(undefined) },
    clock,
    choice: { server, expectedMs: 10, queueMs: 0, uncachedTokens: 0 },
    isServerReady: true,
    drainEndMs: Infinity,
    sends: engine.sends,
    written: client.written,
    charged: 0,
    deliver: engine.deliver,
    disconnect: client.disconnect,
    advance: async (ms) => {
      await settle();
      for (let i = 0; i < ms; i++) {
        clock.advance(1);
        t.mock.timers.tick(1);
        await settle();
      }
    },
  };
  return setup;
}

/**
 * @param nth Number of the event.
 * @returns The event as a part of a response.
 */
export function event(nth: number): AnswerPart {
  const bytes = Buffer.from(`id: ${nth}\n\n`);
  return { kind: "events", bytes, lastEventId: `${nth}` };
}

/** @returns The response of a stream that has started. */
export function begunAnswer(): PartialAnswer {
  return {
    head: { status: 200, headers: {}, isFramed: true, isFirst: true },
    facts: { status: 200 } as AnswerFacts,
    body: { kind: "stream", splitter: EventSplitter.create() },
  };
}

/**
 * @param mover Methods that replace those of a mover that moves nothing.
 * @returns A mover.
 */
export function fakeMover(mover: Partial<RunMover>): RunMover {
  return { ...inactiveMover(), ...mover } as unknown as RunMover;
}

/**
 * @param runBackups Methods that replace those of an object that makes no backups.
 * @returns Backups of runs.
 */
export function fakeBackups(runBackups: Partial<RunBackups>): RunBackups {
  return {
    choose: () => undefined,
    release: () => {},
    isEngineReplaced: () => false,
    restore: () => Promise.resolve(undefined),
    began: () => {},
    ended: () => {},
    ...runBackups,
  } as unknown as RunBackups;
}

function inactiveMover(): RunMover {
  return {
    isDue: () => false,
    move: () => Promise.resolve({ kind: "not_moved" }),
    free: () => {},
  } as unknown as RunMover;
}

async function settle(): Promise<void> {
  for (let i = 0; i < SETTLE_TURNS; i++) await turn();
}

function fakeClient() {
  const written: string[] = [];
  const listeners: (() => void)[] = [];
  let isGone = false;
  const sink: AnswerSink = {
    get gone() {
      return isGone;
    },
    onGone: (listener) => void listeners.push(listener),
    begin: () => {},
    write: (bytes) => {
      written.push(bytes.toString());
      return Promise.resolve();
    },
    end: () => {},
    abortAnswer: () => {},
    send: () => {},
  };
  const disconnect = () => {
    isGone = true;
    for (const listener of listeners) listener();
  };
  return { sink, written, disconnect };
}

function fakeEngine(clock: TestClock) {
  const sends: Send[] = [];
  const wakes: WakeSignal[] = [];
  const parts: AnswerPart[][] = [];
  const partsOf = (nth: number) => parts[nth] ??= [];
  const sender: Pick<Sender, "send"> = {
    send: (request, { wake, ...task }) => {
      const { progress, choice } = task;
      progress.sends++;
      progress.possibleDeliveries++;
      const nowMs = clock.nowMs();
      const send: Send = {
        ...task,
        request,
        exchange: { sent: true, abort: () => {} } as unknown as Exchange,
        ticket: choice.server.startRequest(choice.uncachedTokens, false),
        sentAtMs: nowMs,
        idleSinceMs: nowMs,
        priority: 0,
        isSuspected: false,
      };
      wakes.push(wake);
      sends.push(send);
      return send;
    },
  };
  const reader: Pick<AnswerReader, "read"> = {
    read: (send) => {
      const part = partsOf(sends.indexOf(send)).shift();
      if (!part || part.kind === "over") return part;
      send.answer ??= begunAnswer();
      send.headAtMs ??= clock.nowMs();
      send.idleSinceMs = clock.nowMs();
      return part;
    },
  };
  const deliver = (nth: number, part: AnswerPart) => {
    partsOf(nth).push(part);
    wakes[nth]?.notify();
  };
  return {
    sends,
    deliver,
    sender: sender as Sender,
    reader: reader as AnswerReader,
  };
}
