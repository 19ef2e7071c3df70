/** Checks of answers without a length or chunks, each shown broken and kept promises. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { DeclaredEnd } from "../standin/mod.ts";
import type { ClientRecord, CutRecord, SoakHistory } from "./_soak_history.ts";
import { promisesBroken as brokenIn } from "./_soak_history_kit.ts";

const ANSWERED = {
  kind: "answered",
  status: 200,
  isOwnAnswer: true,
  declaredEnd: "length",
} as const;
const CLIENT: ClientRecord = {
  id: "r-1",
  entry: 0,
  isIdempotent: false,
  sentAtMs: 10_000,
  deadlineMs: 4000,
  endedAtMs: 10_100,
  end: ANSWERED,
};
const RUN = { requestId: "r-1", server: 0, atMs: 10_050 };
const CUT = { requestId: "r-1", server: 0, atMs: 10_060, isReset: false };

function promisesBroken(parts: Partial<SoakHistory>): string[] {
  return brokenIn({ clients: [CLIENT], ...parts });
}

// Guards against an oracle that takes any end of a cut answer for a declared one, or none.
test("part of an answer that its server cut is found if a length or chunks end it", () => {
  const got = (declaredEnd: DeclaredEnd, isOwnAnswer = false) => [{
    ...CLIENT,
    end: { ...ANSWERED, isOwnAnswer, declaredEnd },
  }];
  const found = (clients: ClientRecord[]) =>
    promisesBroken({ clients, runs: [RUN], cutAnswers: [CUT] });
  const framed = ["cut_answer_is_not_framed"];
  assert.deepEqual(found(got(DeclaredEnd.length)), framed);
  assert.deepEqual(found(got(DeclaredEnd.chunks)), framed);
  assert.deepEqual(found(got(DeclaredEnd.connection)), []);
  assert.deepEqual(found(got(DeclaredEnd.length, true)), []);
  const broken = { kind: "broken", reason: "answer_cut" } as const;
  assert.deepEqual(found([{ ...CLIENT, end: broken }]), []);
  const refused = { ...ANSWERED, status: 502, isOwnAnswer: false };
  assert.deepEqual(found([{ ...CLIENT, end: refused }]), []);
  assert.deepEqual(promisesBroken({ clients: got(DeclaredEnd.connection) }), [
    "own_whole_answer",
  ]);
});

// Guards against a part of an answer that a server reset and that looks complete to its client.
test("part of an answer is found that ends in order after its servers reset theirs", () => {
  const end = { ...ANSWERED, isOwnAnswer: false };
  const clients = [
    { ...CLIENT, end: { ...end, declaredEnd: DeclaredEnd.connection } },
  ];
  const reset = { ...CUT, isReset: true };
  const found = (cutAnswers: CutRecord[]) =>
    promisesBroken({ clients, runs: [RUN], cutAnswers });
  assert.deepEqual(found([reset]), ["reset_answer_is_not_complete"]);
  assert.deepEqual(found([reset, CUT]), []);
});

test("cut answer to a request that may not run again does not excuse a second run", () => {
  const history = { runs: [RUN, RUN], cutAnswers: [CUT] };
  assert.deepEqual(promisesBroken(history), ["at_most_once"]);
});

test("request that may run again breaks with its answers only after all its servers", () => {
  const end = { kind: "broken", reason: "answer_cut" } as const;
  const clients = [{ ...CLIENT, end, isIdempotent: true }];
  const runs = [RUN, { ...RUN, server: 1 }];
  const broken = ["planned_stop_cuts_nothing"];
  const found = (parts: Partial<SoakHistory>) =>
    promisesBroken({ clients, runs, ...parts });
  assert.deepEqual(found({ cutAnswers: [CUT] }), broken);
  assert.deepEqual(found({ cutAnswers: [CUT, { ...CUT, server: 1 }] }), []);
  const restarts = [0, 1].map((server) => ({ server, atMs: 10_070 }));
  assert.deepEqual(found({ cutAnswers: [CUT], restarts }), []);
  assert.deepEqual(found({ restarts }), broken);
  const unsafe = [{ ...CLIENT, end }];
  assert.deepEqual(
    promisesBroken({ clients: unsafe, runs: [RUN], cutAnswers: [CUT] }),
    [],
  );
});

test("whole answer of a server that lives on is missed unless its client gets it whole", () => {
  const wholeAnswers = [CUT];
  const found = (parts: Partial<SoakHistory>) =>
    promisesBroken({ runs: [RUN], wholeAnswers, ...parts });
  const refused = { ...ANSWERED, status: 502, isOwnAnswer: false };
  const clients = [{ ...CLIENT, end: refused }];
  const lost = ["whole_answer_is_delivered"];
  assert.deepEqual(found({ clients }), lost);
  assert.deepEqual(found({}), []);
  const unframed = {
    ...ANSWERED,
    declaredEnd: DeclaredEnd.connection,
  } as const;
  assert.deepEqual(found({ clients: [{ ...CLIENT, end: unframed }] }), []);
  const ended = [{ server: 0, atMs: 10_900 }];
  assert.deepEqual(found({ clients, restarts: ended }), []);
  const later = [{ server: 0, atMs: 11_100 }];
  assert.deepEqual(found({ clients, restarts: later }), lost);
  const kill = { entry: 0, fromMs: 9000, toMs: 9500, isPlanned: false };
  assert.deepEqual(found({ clients, disruptions: [kill] }), []);
  const stop = { ...kill, isPlanned: true };
  assert.deepEqual(found({ clients, disruptions: [stop] }), lost);
});

const BROKEN_STREAM: ClientRecord = {
  ...CLIENT,
  end: {
    kind: "broken",
    reason: "answer_cut",
    declaredEnd: DeclaredEnd.chunks,
  },
  isIdempotent: true,
  softwareVersion: "v1",
};

// An entry can't tell it from a stream that its last server cut, which must not look complete.
test("stream whose last server ended it with its connection may break off, one with a server left may not", () => {
  const { end } = BROKEN_STREAM;
  const stream = [BROKEN_STREAM];
  const history = {
    wholeAnswers: [CUT],
    versions: [{
      server: 0,
      serverId: "i-0",
      softwareVersion: "v1",
      fromMs: 0,
      toMs: Infinity,
    }],
  };
  const runs = [{ ...RUN, server: 1 }, RUN];
  const broken = ["planned_stop_cuts_nothing", "whole_answer_is_delivered"];
  const found = (parts: Partial<SoakHistory>) =>
    promisesBroken({ ...history, ...parts });
  assert.deepEqual(found({ clients: stream, runs }), []);
  assert.deepEqual(found({ clients: stream, runs: [RUN] }), broken);
  const both = { clients: stream, runs, wholeAnswers: [CUT, CUT] };
  assert.deepEqual(found(both), [...broken, broken[1]]);
  const call = [{ ...CLIENT, end, isIdempotent: true }];
  assert.deepEqual(found({ clients: call, runs }), broken);
  assert.deepEqual(found({ clients: stream, runs, wholeAnswers: [] }), [
    "planned_stop_cuts_nothing",
  ]);
});

// Guards against excusing a stream that an entry could have ended with its server's connection.
test("stream that servers ended with their connections may break off only if another one began it in chunks", () => {
  const versions = [
    {
      server: 0,
      serverId: "i-0",
      softwareVersion: "v1",
      fromMs: 0,
      toMs: Infinity,
    },
  ];
  const runs = [{ ...RUN, server: 2 }, { ...RUN, server: 1 }, RUN];
  const ended = [{ ...CUT, server: 1 }, CUT];
  const found = (client: ClientRecord, wholeAnswers = ended) =>
    promisesBroken({ clients: [client], runs, wholeAnswers, versions });
  const broken = [
    "planned_stop_cuts_nothing",
    ...Array.from({ length: 3 }, () => "whole_answer_is_delivered"),
  ];
  assert.deepEqual(found(BROKEN_STREAM), []);
  const all = [{ ...CUT, server: 2 }, ...ended];
  assert.deepEqual(found(BROKEN_STREAM, all), broken);
  const declaredEnd = DeclaredEnd.connection;
  const end = { kind: "broken", reason: "answer_cut", declaredEnd } as const;
  assert.deepEqual(found({ ...BROKEN_STREAM, end }), broken.slice(0, 3));
  assert.deepEqual(found({ ...BROKEN_STREAM, end }, [CUT]), broken.slice(0, 2));
});
