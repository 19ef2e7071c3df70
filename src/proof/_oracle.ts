/** Checks invariants by comparing what the stand-ins executed with what callers received. */
import { SAMPLE_TEAM } from "../cli/sample_team.ts";
import { decodeStored, type TeamBranch, teamKey } from "../config/mod.ts";
import { prefixRange, type TableEvent } from "../store/revision_table.ts";
import { answerTo, type CallResult, type ChatBody } from "./_calls.ts";
import type { EntrySlot, ProofFleet } from "./_fleet.ts";

/** Body of a booking; `word` is unique, except for repeats with the same idempotency key. */
export interface Booking extends Record<string, unknown> {
  word: string;
  variant: number;
}

/** Configuration change, with the outcome that the admin API reported. */
export interface ReportedChange {
  value: number;
  outcome: "accepted" | "refused" | "unknown";
  revision: bigint;
}

interface CommittedChange {
  value: number;
  revision: bigint;
}

const EXECUTIONS = new Set(["not_run", "ran", "unknown"]);

/** Checks the invariants of one fleet. */
export class Oracle {
  /** Violations found so far. */
  readonly violations: string[] = [];
  readonly #fleet: ProofFleet;
  readonly #notRunIds: string[] = [];
  readonly #bookings = new Map<string, CallResult[]>();
  readonly #reportedChanges: ReportedChange[] = [];
  readonly #committedChanges: CommittedChange[] = [];
  readonly #lastVersions = new Map<string, bigint>();

  private constructor(fleet: ProofFleet) {
    this.#fleet = fleet;
    const { table } = fleet.kv.store;
    table.subscribe(prefixRange(teamKey(SAMPLE_TEAM)), 1n, (events) => {
      for (const event of events) this.#recordCommitted(event);
    });
  }

  /** @param fleet Fleet that has received no calls yet. */
  static create(fleet: ProofFleet): Oracle {
    return new Oracle(fleet);
  }

  /** Last configuration change that the store committed. */
  get lastCommitted(): CommittedChange | undefined {
    return this.#committedChanges.at(-1);
  }

  /** Checks the outcome of a model call. */
  checkChat(body: ChatBody, result: CallResult): void {
    this.#checkOutcome(result);
    const expected = answerTo(body);
    const isCorrect = result.kind === "answer"
      ? result.text === expected
      : expected.startsWith(result.text);
    if (!isCorrect) this.#report("wrong text", result);
  }

  /** Checks the outcome of a call to the repeatable route. */
  checkEcho(word: string, result: CallResult): void {
    this.#checkOutcome(result);
    if (result.kind === "answer" && !result.text.includes(`word=${word}"`)) {
      this.#report("echo of another call", result);
    }
  }

  /** Checks the outcome of a booking. */
  checkBooking(booking: Booking, result: CallResult): void {
    this.#checkOutcome(result);
    const { word } = booking;
    this.#bookings.set(word, [...(this.#bookings.get(word) ?? []), result]);
    if (result.kind !== "answer") return;
    const { body } = JSON.parse(result.text) as { body: string };
    if (body !== JSON.stringify(booking)) {
      this.#report("answer of another booking", result);
    }
  }

  /** Stores a change, which {@link checkFinalState} checks. */
  recordReportedChange(change: ReportedChange): void {
    this.#reportedChanges.push(change);
  }

  /** Checks that no entry returned to an older configuration version since its start. */
  checkVersionOrder(): void {
    for (const { id, generation, entry } of this.#fleet.entries) {
      const name = `${id} generation ${generation}`;
      const before = this.#lastVersions.get(name) ?? 0n;
      const now = entry.branches.revisionOf(SAMPLE_TEAM);
      if (now < before) this.violations.push(`${name}: ${before} then ${now}`);
      this.#lastVersions.set(name, now);
    }
  }

  /** @returns True if the entry uses the last committed configuration. */
  hasLastVersion({ entry }: EntrySlot): boolean {
    const current = entry.branches.get(SAMPLE_TEAM);
    const last = this.lastCommitted;
    return current?.revision === last?.revision &&
      current?.branch?.limits.tokensPerSecond === last?.value;
  }

  /** Checks invariants that hold only when no call or change is in progress. */
  checkFinalState(): void {
    this.#checkModelCalls();
    for (const [word, calls] of this.#bookings) this.#checkKey(word, calls);
    for (const change of this.#reportedChanges) this.#checkChange(change);
  }

  #checkOutcome(result: CallResult): void {
    const { kind, execution, entryDied, requestId } = result;
    if (kind === "cut" && !entryDied) this.#report("cut without error", result);
    if (kind !== "error") return;
    if (!EXECUTIONS.has(execution)) this.#report("no execution", result);
    if (requestId === "") this.#report("no request id", result);
    if (execution === "not_run") this.#notRunIds.push(requestId);
  }

  #checkModelCalls(): void {
    const ran = this.#fleet.engines.flatMap(({ executions }) =>
      executions.map(({ requestId }) => requestId)
    );
    for (const id of this.#notRunIds) {
      const found = ran.find((runId) => runId.startsWith(`${id}.`));
      if (found) this.violations.push(`${found} ran, but reported not_run`);
    }
  }

  #checkKey(word: string, calls: CallResult[]): void {
    const runs = this.#fleet.services.flatMap(({ executions }) =>
      executions.filter(({ body }) => JSON.parse(body).word === word)
    );
    const info = `${word}: ${runs.length} runs, ${JSON.stringify(calls)}`;
    if (runs.length > 1) this.violations.push(`Ran more than once: ${info}`);
    const answers = calls.filter(({ kind }) => kind === "answer");
    for (const { text } of answers) {
      const { execution } = JSON.parse(text);
      if (execution !== runs[0]?.number) this.violations.push(`Wrong: ${info}`);
    }
    const isRefused = calls.every(({ execution }) => execution === "not_run");
    if (isRefused && runs.length > 0) this.violations.push(`Refused: ${info}`);
  }

  #checkChange({ value, outcome, revision }: ReportedChange): void {
    const committed = this.#committedChanges.find((change) =>
      change.value === value
    );
    const isCorrect = outcome === "unknown" ||
      (outcome === "accepted"
        ? committed?.revision === revision
        : committed === undefined);
    if (!isCorrect) {
      this.violations.push(
        `Change ${value} was wrongly reported as ${outcome}`,
      );
    }
  }

  #recordCommitted(event: TableEvent): void {
    if (event.kind !== "put" || event.entry.key !== teamKey(SAMPLE_TEAM)) {
      return;
    }
    const stored = decodeStored(event.entry.value).unwrapOrElse(
      ({ message }) => {
        throw new Error(message);
      },
    );
    const { limits } = stored.branch as TeamBranch;
    const { revision } = event.entry.modPosition;
    this.#committedChanges.push({ value: limits.tokensPerSecond, revision });
  }

  #report(rule: string, result: CallResult): void {
    this.violations.push(`${rule}: ${JSON.stringify(result)}`);
  }
}
