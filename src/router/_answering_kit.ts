/** An answering whose servers, client and clock a test plays. */
import type { TestContext } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import { silentLog, TestClock, testServer } from "./_kit.ts";
import type { AnsweringParts } from "./answering.ts";
import { type PartialAnswer, type Send, startProgress } from "./attempt.ts";
import type { Exchange } from "./channel.ts";
import type { Choice } from "./choose.ts";
import { EventSplitter } from "./event_splitter.ts";
import { type AnswerFacts, RequestKind } from "./model.ts";
import type { NextServer } from "./next_server.ts";
import type { AnsweringTask } from "./open_runs.ts";
import type { Quarantine } from "./quarantine.ts";
import type { AnswerPart, AnswerReader } from "./read_answer.ts";
import type { AnswerSink, RoutedRequest } from "./request.ts";
import { Resends } from "./resends.ts";
import type { RunMover } from "./run_mover.ts";
import type { Sender } from "./send.ts";
import type { Wake } from "./wake.ts";
import { WantedVersions } from "./wanted_weights.ts";

/** Far more than the tests let pass. */
const TIME_MS = 30_000;
/** After so many turns of the event loop a task waits for a timer, or for what a test does next. */
const TURNS = 5;

/** What a test plays, and what it sees. */
export interface Played {
  parts: AnsweringParts;
  task: AnsweringTask;
  clock: TestClock;
  /** Where each send goes. */
  choice: Choice;
  /** Whether a request that has run finds a server. */
  isServerReady: boolean;
  sends: Send[];
  /** Events that the client has got. */
  written: string[];
  /** Runs beyond the first that the workspace was charged for. */
  charged: number;
  /** A part of a send's answer has come. */
  comes(nth: number, part: AnswerPart): void;
  /** The client goes. */
  leave(): void;
  /** Lets time pass. With none, what is not waited for is done. */
  pass(ms: number): Promise<void>;
}

/**
 * @param t The test; timers stand still in it, but for what it lets pass.
 * @returns A resumable stream that was not sent yet, and a server that is free.
 */
export function play(t: TestContext): Played {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const clock = new TestClock();
  const server = testServer("i-1");
  const request = {
    route: { kind: RequestKind.stream, resumable: true, maxAttempts: 3 },
    facts: { requestId: "r-1" },
    service: "engines",
    arrivedAtMs: clock.nowMs(),
    answerByMs: clock.nowMs() + TIME_MS,
  } as unknown as RoutedRequest;
  const client = playClient();
  const engine = playEngine(clock);
  const played: Played = {
    parts: {
      clock,
      log: silentLog,
      sender: engine.sender,
      reader: engine.reader,
      resends: Resends.create({
        clock,
        resendLimits: { ratio: 0.2, slack: 100, windowMs: 10_000 },
        entryCount: () => 1,
        hasOther: () => true,
        fleet: { has: () => true },
      }),
      mover: neverMoves(),
      quarantine: {
        verdict: () => ({ kind: "clear" }),
        answered: () => {},
        broken: () => {},
      } as unknown as Quarantine,
      quotas: {
        runsAgain: () => void played.charged++,
        giveBack: () => void played.charged--,
      },
      wanted: WantedVersions.create({ clock, boundMs: 10_000 }),
      servers: {
        any: () => played.choice,
        ready: () => played.isServerReady ? played.choice : undefined,
      } as unknown as NextServer,
      isWorthSending: () => true,
      onSilent: () => {},
    },
    task: { request, sink: client.sink, progress: startProgress(undefined) },
    clock,
    choice: { server, expectedMs: 10, queueMs: 0, uncachedTokens: 0 },
    isServerReady: true,
    sends: engine.sends,
    written: client.written,
    charged: 0,
    comes: engine.comes,
    leave: client.leave,
    pass: async (ms) => {
      await settle();
      for (let i = 0; i < ms; i++) {
        clock.advance(1);
        t.mock.timers.tick(1);
        await settle();
      }
    },
  };
  return played;
}

/**
 * @param nth Number of an event.
 * @returns It, as a part of an answer.
 */
export function event(nth: number): AnswerPart {
  const bytes = Buffer.from(`id: ${nth}\n\n`);
  return { kind: "events", bytes, lastEventId: `${nth}` };
}

/** @returns A stream that has begun. */
export function begunAnswer(): PartialAnswer {
  return {
    head: { status: 200, headers: {} },
    facts: { status: 200 } as AnswerFacts,
    body: { kind: "stream", splitter: EventSplitter.create() },
  };
}

/**
 * @param mover What differs from one that moves nothing.
 * @returns A mover.
 */
export function moverOf(mover: Partial<RunMover>): RunMover {
  return { ...neverMoves(), ...mover } as unknown as RunMover;
}

function neverMoves(): RunMover {
  return {
    isDue: () => false,
    move: () => Promise.resolve({ kind: "not_moved" }),
    free: () => {},
  } as unknown as RunMover;
}

async function settle(): Promise<void> {
  for (let i = 0; i < TURNS; i++) await turn();
}

function playClient() {
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
    breakOff: () => {},
    send: () => {},
  };
  const leave = () => {
    isGone = true;
    for (const listener of listeners) listener();
  };
  return { sink, written, leave };
}

function playEngine(clock: TestClock) {
  const sends: Send[] = [];
  const wakes: Wake[] = [];
  const parts: AnswerPart[][] = [];
  const partsOf = (nth: number) => parts[nth] ??= [];
  const sender: Pick<Sender, "send"> = {
    send: (request, { wake, ...task }) => {
      const { progress, choice } = task;
      progress.sends++;
      progress.arrivals++;
      const nowMs = clock.nowMs();
      const send: Send = {
        ...task,
        request,
        exchange: { sent: true, abort: () => {} } as unknown as Exchange,
        ticket: choice.server.begin(choice.uncachedTokens, false),
        sentAtMs: nowMs,
        quietSinceMs: nowMs,
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
      send.quietSinceMs = clock.nowMs();
      return part;
    },
  };
  const comes = (nth: number, part: AnswerPart) => {
    partsOf(nth).push(part);
    wakes[nth]?.notify();
  };
  return {
    sends,
    comes,
    sender: sender as Sender,
    reader: reader as AnswerReader,
  };
}
