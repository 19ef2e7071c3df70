/**
 * The agent's decisions on asks, starts, attachments and cancellations, without the transport. A
 * refused start blocks its run id, so that a duplicate that arrives late can't start the run.
 */
import type { Clock, Logger } from "../base/mod.ts";
import type { BranchSet } from "../config/branch_set.ts";
import {
  type AskReply,
  type AskRequest,
  type CancelReply,
  type CancelRequest,
  type Offer,
  type PlainCall,
  type Refusal,
  RefusalCode,
  RunOutcome,
  type StartRun,
} from "../wire/gen/cicadahitch.ts";
import { Result } from "true-myth";
import type { Attachment } from "./attachment.ts";
import { Attachments } from "./attachments.ts";
import type { ModelServer } from "./model_server.ts";
import {
  keyDigestOf,
  type PlainServer,
  refuseReused,
  type ServiceSettings,
} from "./plain_server.ts";
import { gone, type OpenResult, refused } from "./open_result.ts";
import { RefusalLog, refuse } from "./refusals.ts";
import { Run } from "./run.ts";
import type { OutputLimits } from "./run_output.ts";
import { issueTimeOf, RunTable } from "./run_table.ts";

/** The component that serves calls, by the kind of backend server. */
export type ServerHandler =
  | { kind: "engine"; model: ModelServer }
  | { kind: "service"; plain: PlainServer };

/** Dependencies of {@link AgentCore}. */
export interface AgentCoreOptions {
  agentIncarnation: string;
  branches: BranchSet;
  runs: RunTable;
  clock: Clock;
  log: Logger;
}

const MODEL_LIMITS: OutputLimits = { maxBytes: 1024 * 1024, repeatBytes: 0 };
const PLAIN_LIMITS: OutputLimits = { maxBytes: 1024 * 1024, repeatBytes: 0 };
/** At-most-once calls: small answers stay available to repeated requests. */
const ONCE_LIMITS: OutputLimits = {
  maxBytes: 1024 * 1024,
  repeatBytes: 256 * 1024,
};
/** Settings of a service that the team's branch does not configure. */
const DEFAULT_SETTINGS: ServiceSettings = {
  timeoutMs: 10_000,
  retryWindowMs: 600_000,
  whenStoreDown: "refuse",
};
const LEAVING_RETRY_MS = 100;

/** Handles the requests of entries. */
export class AgentCore {
  readonly refusals: RefusalLog;
  readonly #options: AgentCoreOptions;
  readonly #server: ServerHandler;
  readonly #attachments: Attachments;
  #isStopping = false;
  #isDraining = false;

  private constructor(options: AgentCoreOptions, server: ServerHandler) {
    this.#options = options;
    this.#server = server;
    this.#attachments = Attachments.create(options);
    this.refusals = RefusalLog.create(options.clock);
  }

  /**
   * @param options Dependencies.
   * @param server The component that serves calls on the backend server.
   * @returns A core that accepts requests.
   */
  static create(options: AgentCoreOptions, server: ServerHandler): AgentCore {
    return new AgentCore(options, server);
  }

  get isLeaving(): boolean {
    return this.#isStopping || this.#isDraining;
  }

  /** Number of connections that currently read a run. */
  get attachedCount(): number {
    return this.#attachments.size;
  }

  /** Refuses all new requests from now on. */
  stopAccepting(): void {
    this.#isStopping = true;
  }

  /** @param isDraining Whether an order told the agent to accept no new requests. */
  setDraining(isDraining: boolean): void {
    this.#isDraining = isDraining;
  }

  /**
   * @param ask A request.
   * @returns An offer, or a refusal.
   */
  ask(ask: AskRequest): AskReply {
    const { agentIncarnation, branches } = this.#options;
    const offer = this.#offer(ask);
    if (offer.isErr) this.refusals.add(offer.error, ask.team);
    return {
      verdict: offer.isOk
        ? { $case: "offer", value: offer.value }
        : { $case: "refusal", value: offer.error },
      agentIncarnation,
      configVersion: branches.revisionOf(ask.team),
    };
  }

  /**
   * Starts a run or attaches to it.
   *
   * @param start The first message of a connection.
   * @returns The reader's attachment, or the reason why there is none.
   */
  open(start: StartRun): OpenResult {
    const { ask } = start;
    if (!ask || ask.runId === "") {
      return refused(refuse(RefusalCode.INVALID, "The run id is missing"));
    }
    const found = this.#options.runs.find(ask.runId, issueTimeOf(ask));
    switch (found.kind) {
      case "kept":
        return this.#attach(found.run, start, found.run.runId !== ask.runId);
      case "forgotten_output":
        return found.status.kind === "ran"
          ? gone(RunOutcome.ANSWER_GONE, "It ran, and its output is gone")
          : refused(refuse(RefusalCode.CANCELLED, "It was not run"));
      case "too_old":
        return this.#openExpiredId(start, ask);
      case "new":
        return this.#openNew(start, ask);
    }
  }

  /** @param attachment The attachment of a reader that disconnected. */
  detach(attachment: Attachment): void {
    this.#attachments.detach(attachment);
  }

  /**
   * @param request Id of the run, and the reason.
   * @returns Whether the run was ever sent to the backend server.
   */
  cancel(request: CancelRequest): CancelReply {
    const { runs, agentIncarnation } = this.#options;
    const notRun = runs.cancel(request) === "not_run";
    return { notRun, agentIncarnation };
  }

  #offer(ask: AskRequest): Result<Offer, Refusal> {
    const refusal = this.#refuseNewWork(ask);
    if (refusal) return Result.err(refusal);
    switch (this.#server.kind) {
      case "engine":
        return this.#server.model.offer(ask, this.#teamLimit(ask.team));
      case "service":
        return this.#server.plain.offer();
    }
  }

  /** Without a hold it is unknown whether this old id ran, so it must not be refused as not run. */
  #openExpiredId(start: StartRun, ask: AskRequest): OpenResult {
    if (!start.attachOnly && this.#hasHold(start, ask)) {
      return this.#openNew(start, ask);
    }
    const message = "The run id is too old to tell whether it ran";
    return gone(RunOutcome.UNKNOWN, message);
  }

  #openNew(start: StartRun, ask: AskRequest): OpenResult {
    const opened = this.#attachByKey(start, ask) ??
      (start.attachOnly
        ? refused(refuse(RefusalCode.HOLD_GONE, "The run is not known here"))
        : this.#startNew(start, ask));
    if (opened.kind === "refused") {
      this.#options.runs.blockId(ask);
      this.refusals.add(opened.refusal, ask.team);
    }
    return opened;
  }

  /** Attaches a repeated request to the run of the first request with the same idempotency key. */
  #attachByKey(start: StartRun, ask: AskRequest): OpenResult | undefined {
    if (this.#server.kind !== "service") return undefined;
    if (start.call?.$case !== "plainCall") return undefined;
    const call = start.call.value;
    if (!call.atMostOnce) return undefined;
    const { answers } = this.#server.plain;
    const found = answers.find(keyDigestHex(ask, call), call.fingerprint);
    switch (found.kind) {
      case "new":
        return undefined;
      case "reused":
        return refused(refuseReused());
      case "known":
        this.#options.runs.addAlias(ask.runId, found.run);
        return this.#attach(found.run, start, true);
    }
  }

  #startNew(start: StartRun, ask: AskRequest): OpenResult {
    const refusal = this.#refuseNewWork(ask) ?? this.#refuseForeignHold(start);
    if (refusal) return refused(refusal);
    const { call } = start;
    const server = this.#server;
    if (server.kind === "engine" && call?.$case === "modelCall") {
      return this.#runModel(server.model, start, ask);
    }
    if (server.kind === "service" && call?.$case === "plainCall") {
      return this.#runPlain(server.plain, start, ask);
    }
    const message = "This server takes no such calls";
    return refused(refuse(RefusalCode.INVALID, message));
  }

  #refuseNewWork(ask: AskRequest): Refusal | undefined {
    if (this.isLeaving) {
      return refuse(RefusalCode.LEAVING, "This server is leaving", {
        retryAfterMs: LEAVING_RETRY_MS,
      });
    }
    const held = this.#options.branches.revisionOf(ask.team);
    if (ask.configVersion <= held) return undefined;
    const message = `The branch is held at revision ${held}`;
    return refuse(RefusalCode.STALE_CONFIG, message);
  }

  #hasHold({ holdId }: StartRun, { runId }: AskRequest): boolean {
    return this.#server.kind === "engine" &&
      this.#server.model.admission.holds.has(holdId, runId);
  }

  /**
   * Refuses a hold of another process, which may already have run the request. A run with an
   * expired hold of this process only loses its reservation; it is admitted like one without a hold.
   */
  #refuseForeignHold({ holdId }: StartRun): Refusal | undefined {
    if (holdId === "" || this.#server.kind !== "engine") return undefined;
    if (this.#server.model.admission.holds.isLocal(holdId)) return undefined;
    return refuse(RefusalCode.HOLD_GONE, "The hold is another process's");
  }

  #runModel(model: ModelServer, start: StartRun, ask: AskRequest): OpenResult {
    if (start.call?.$case !== "modelCall") throw new CallMismatchError();
    const call = start.call.value;
    const run = this.#buildRun(start, ask, MODEL_LIMITS);
    const { holds } = model.admission;
    const entered = model.admit(run, {
      isHeld: holds.consume(start.holdId, ask.runId) !== undefined,
      teamMaxInFlight: this.#teamLimit(ask.team),
    });
    if (entered.isErr) return refused(entered.error);
    this.#options.runs.add(run);
    void this.#finish(run, model.serve(run, call, entered.value));
    return this.#attach(run, start, false);
  }

  #runPlain(plain: PlainServer, start: StartRun, ask: AskRequest): OpenResult {
    if (start.call?.$case !== "plainCall") throw new CallMismatchError();
    const call = start.call.value;
    const refusal = plain.admit();
    if (refusal) return refused(refusal);
    const isOnce = call.atMostOnce;
    const run = this.#buildRun(start, ask, isOnce ? ONCE_LIMITS : PLAIN_LIMITS);
    const settings = this.#settingsOf(ask.team, call.service);
    this.#options.runs.add(run);
    if (isOnce) {
      plain.answers.add(keyDigestHex(ask, call), run, {
        fingerprint: call.fingerprint,
        keepMs: settings.retryWindowMs,
      });
    }
    const served = plain.serve({ run, call, settings });
    void this.#finish(run, served).then(() => {
      if (isOnce) plain.answers.markEnded(keyDigestHex(ask, call));
    });
    return this.#attach(run, start, false);
  }

  #buildRun(start: StartRun, ask: AskRequest, limits: OutputLimits): Run {
    return Run.create({
      ask,
      attempt: start.attempt,
      nowMs: this.#options.clock.nowMs(),
      limits,
      isAtMostOnce: limits === ONCE_LIMITS,
    });
  }

  async #finish(run: Run, served: Promise<void>): Promise<void> {
    const { log, runs } = this.#options;
    try {
      await served;
    } catch (error) {
      log.error({ err: error, runId: run.runId }, "Run failed unexpectedly");
      run.end(RunOutcome.UNKNOWN, "The agent failed");
    }
    const { ending } = run.output;
    if (ending?.kind === "refused") {
      this.refusals.add(ending.refusal, run.ask.team);
    }
    runs.markEnded(run);
  }

  #attach(run: Run, start: StartRun, isRepeated: boolean): OpenResult {
    const attachment = this.#attachments.attach(run, start, { isRepeated });
    if (attachment) return { kind: "attached", attachment };
    return gone(RunOutcome.ANSWER_GONE, "The output is gone");
  }

  #teamLimit(team: string): number {
    const held = this.#options.branches.get(team);
    return held?.branch?.limits.maxInFlight ?? Infinity;
  }

  #settingsOf(team: string, service: string): ServiceSettings {
    const held = this.#options.branches.get(team);
    return held?.branch?.services[service] ?? DEFAULT_SETTINGS;
  }
}

/** Internal error: a call reached a backend server of the wrong kind despite the checks. */
class CallMismatchError extends Error {
  constructor() {
    super("The kind of the call does not match the kind of the backend server");
  }
}

function keyDigestHex(ask: AskRequest, call: PlainCall): string {
  return Buffer.from(keyDigestOf(ask, call)).toString("hex");
}
