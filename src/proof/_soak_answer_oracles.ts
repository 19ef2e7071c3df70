/** Checks the answers of a soak that have neither a length nor chunks. */
import { DeclaredEnd } from "../standin/mod.ts";
import {
  type ClientRecord,
  type ServerRecord,
  type SoakHistory,
  STABLE_MS,
  type Violation,
} from "./_soak_history.ts";

/** A server that lives this long after the end of an answer did not end with it. */
const LIVES_ON_MS = 1000;
/** Servers to which a request that may run again is sent, by the configuration. */
export const MAX_ATTEMPTS = 2;
/** An entry counts a request's time from when it has read it. */
const DEADLINE_MARGIN_MS = 50;

/** Numbers of answers without a length or chunks. */
export interface UnframedCounts {
  /** Whole answers of servers that live on. */
  whole: number;
  /** Those of them that their clients got whole. */
  delivered: number;
  /** Answers that servers cut. */
  cut: number;
  /** Requests with such an answer whose client got a part with a length or chunks, as complete. */
  cutFramed: number;
  /** Requests with such an answer whose client got a part that ended with its connection. */
  cutUnframed: number;
}

/**
 * @param history A soak's history.
 * @returns All broken promises about answers without a length or chunks.
 */
export function findAnswerViolations(history: SoakHistory): Violation[] {
  return [
    ...findFramedCuts(history),
    ...findHiddenResets(history),
    ...findLostAnswers(history),
  ];
}

/**
 * @param history A soak's history.
 * @returns How answers without a length or chunks reached their clients.
 */
export function countUnframed(history: SoakHistory): UnframedCounts {
  const delivered = deliveriesOf(history);
  const parts = clientsWithParts(history);
  const framed = parts.filter(isFramed);
  return {
    whole: delivered.length,
    delivered: delivered.filter(({ client }) => hasWholeAnswer(client)).length,
    cut: history.cutAnswers.length,
    cutFramed: framed.length,
    cutUnframed: parts.length - framed.length,
  };
}

/**
 * @param client A request.
 * @param history A soak's history.
 * @returns Whether it is a stream that one of its servers began in chunks and others ended with their
 * connections alone, so that the entry can't know whether it is whole, and has no further server.
 */
export function hasUnclearEnd(
  { id, softwareVersion, end }: ClientRecord,
  { runs, wholeAnswers }: SoakHistory,
): boolean {
  // A stream without a declared end would have ended with the first whole answer.
  if (end.kind !== "broken" || end.declaredEnd !== DeclaredEnd.chunks) {
    return false;
  }
  const count = (records: readonly ServerRecord[]) =>
    records.filter(({ requestId }) => requestId === id).length;
  const wholeCount = count(wholeAnswers);
  // The run that began the stream has no whole answer of this form.
  const isResumed = count(runs) > wholeCount && count(runs) >= MAX_ATTEMPTS;
  return softwareVersion !== undefined && wholeCount > 0 && isResumed;
}

function findFramedCuts(history: SoakHistory): Violation[] {
  return clientsWithParts(history).filter(isFramed).map(
    ({ id, entry, endedAtMs, end }) => {
      const cut = history.cutAnswers.findLast((one) => one.requestId === id)!;
      const declaredEnd = end.kind === "answered" ? end.declaredEnd : "";
      return {
        promise: "cut_answer_is_not_framed",
        atMs: endedAtMs,
        detail: `${id} got a part as complete, by its ${declaredEnd}, from ` +
          `entry ${entry}, ${Math.round(endedAtMs - cut.atMs)} ms after ` +
          `server ${cut.server} cut its answer`,
      };
    },
  );
}

/** An end in order is only passed on from a server that ended its answer in order. */
function findHiddenResets(history: SoakHistory): Violation[] {
  const { cutAnswers } = history;
  return clientsWithParts(history)
    .filter((client) =>
      !isFramed(client) &&
      cutAnswers.every(({ requestId, isReset }) =>
        requestId !== client.id || isReset
      )
    )
    .map(({ id, entry, endedAtMs }) => ({
      promise: "reset_answer_is_not_complete",
      atMs: endedAtMs,
      detail: `${id} got a part from entry ${entry}, whose connection ended ` +
        `in order, and its servers reset theirs`,
    }));
}

function findLostAnswers(history: SoakHistory): Violation[] {
  return deliveriesOf(history)
    .filter(({ client }) => !hasWholeAnswer(client))
    .map(({ client: { id, entry, endedAtMs, end }, answer }) => ({
      promise: "whole_answer_is_delivered",
      atMs: endedAtMs,
      detail: `${id} was answered whole by server ${answer.server}, which ` +
        `lives on, and ended at entry ${entry}: ${JSON.stringify(end)}`,
    }));
}

/** Clients that hold a part of a server's answer as a complete answer. */
function clientsWithParts(
  { clients, cutAnswers }: SoakHistory,
): ClientRecord[] {
  const cutIds = new Set(cutAnswers.map(({ requestId }) => requestId));
  return clients.filter(({ id, end }) =>
    cutIds.has(id) && end.kind === "answered" && end.status === 200 &&
    !end.isOwnAnswer
  );
}

function isFramed({ end }: ClientRecord): boolean {
  return end.kind === "answered" && end.declaredEnd !== DeclaredEnd.connection;
}

/** A whole answer of a server that lives on, and the client that must get it. */
interface Delivery {
  answer: ServerRecord;
  client: ClientRecord;
}

function deliveriesOf(history: SoakHistory): Delivery[] {
  const clientsById = new Map(history.clients.map((one) => [one.id, one]));
  return history.wholeAnswers.flatMap((answer) => {
    const client = clientsById.get(answer.requestId);
    return client && mustDeliver(history, answer, client)
      ? [{ answer, client }]
      : [];
  });
}

function mustDeliver(
  history: SoakHistory,
  { server, atMs }: ServerRecord,
  client: ClientRecord,
): boolean {
  const { restarts, disruptions } = history;
  const { entry, sentAtMs, endedAtMs, deadlineMs, end } = client;
  if (end.kind === "left" || hasUnclearEnd(client, history)) return false;
  if (endedAtMs - sentAtMs >= deadlineMs - DEADLINE_MARGIN_MS) return false;
  const isServerEnded = restarts.some((one) =>
    one.server === server && one.atMs >= sentAtMs &&
    one.atMs <= atMs + LIVES_ON_MS
  );
  const isEntryDisrupted = disruptions.some((one) =>
    !one.isPlanned && one.entry === entry && one.fromMs <= endedAtMs &&
    one.toMs >= sentAtMs - STABLE_MS
  );
  return !isServerEnded && !isEntryDisrupted;
}

function hasWholeAnswer({ end }: ClientRecord): boolean {
  return end.kind === "answered" && end.status === 200 && end.isOwnAnswer;
}
