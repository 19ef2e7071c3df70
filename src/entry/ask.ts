/**
 * Asks candidate agents for offers in parallel, with a short timeout. Late answers are not part of the
 * result, but are still reported to {@link AskerOptions.onOutcome}.
 */
import type { Clock } from "../base/mod.ts";
import { callUnary, type ChannelLease, type ChannelPool } from "../wire/mod.ts";
import {
  type AskReply,
  type AskRequest,
  type Offer,
  type Refusal,
  RefusalCode,
} from "../wire/gen/cicadahitch.ts";
import type { ServerMember } from "./members.ts";

/** An agent's answer to a request for an offer. */
export type AskOutcome =
  | {
    kind: "offer";
    member: ServerMember;
    offer: Offer;
    agentIncarnation: string;
  }
  | { kind: "refused"; member: ServerMember; refusal: Refusal }
  | { kind: "failed"; member: ServerMember; message: string };

/** Synchronizes the teams' configuration branches between this entry and an agent. */
export interface BranchSync {
  /** Sends a team's branch to an agent; true if the agent accepted it. */
  push(address: string, team: string): Promise<boolean>;
  /** Fetches a team's newer branch from an agent and applies it here. */
  fetch(address: string, team: string): Promise<void>;
}

/** Dependencies and settings of an {@link Asker}. */
export interface AskerOptions {
  channels: ChannelPool;
  config: BranchSync;
  /** Called with every answer, including late ones. */
  onOutcome: (outcome: AskOutcome) => void;
  clock: Clock;
  /** Timeout of one call to an agent, in ms. */
  timeoutMs: number;
}

/**
 * After the first offer, the other agents get this multiple of the time that offer took, but at least
 * {@link MIN_GRACE_MS}.
 */
const GRACE_FACTOR = 2;
const MIN_GRACE_MS = 5;

/** Requests offers from agents. */
export class Asker {
  readonly #options: AskerOptions;

  private constructor(options: AskerOptions) {
    this.#options = options;
  }

  /**
   * @param options Channels, branch synchronization and timeout.
   * @returns An asker without calls in flight.
   */
  static create(options: AskerOptions): Asker {
    return new Asker(options);
  }

  /** Synchronizes branches with agents. */
  get config(): BranchSync {
    return this.#options.config;
  }

  /**
   * Asks several agents in parallel. Returns when all have answered, or a grace period after the
   * first offer.
   *
   * @param members The agents to ask.
   * @param request The request that needs an offer.
   * @returns The answers so far. If no agent makes an offer, agents that time out are included as
   * `failed`.
   */
  askAll(members: ServerMember[], request: AskRequest): Promise<AskOutcome[]> {
    const startedMs = this.#options.clock.nowMs();
    const outcomes: AskOutcome[] = [];
    return new Promise((resolve) => {
      let grace: NodeJS.Timeout | undefined;
      const finish = () => {
        clearTimeout(grace);
        resolve(outcomes.slice());
      };
      for (const member of members) {
        void this.askOne(member, request).then((outcome) => {
          outcomes.push(outcome);
          if (outcomes.length === members.length) return finish();
          if (outcome.kind !== "offer" || grace) return;
          const tookMs = this.#options.clock.nowMs() - startedMs;
          grace = setTimeout(
            finish,
            Math.max(MIN_GRACE_MS, tookMs * GRACE_FACTOR),
          );
        });
      }
      if (members.length === 0) finish();
    });
  }

  /**
   * Asks one agent. If the agent reports that its configuration is stale, sends it the team's branch
   * and asks once more.
   *
   * @param member The agent to ask.
   * @param request The request that needs an offer.
   * @returns The agent's answer.
   */
  async askOne(
    member: ServerMember,
    request: AskRequest,
  ): Promise<AskOutcome> {
    let lease = this.#options.channels.acquire(member.address);
    try {
      let outcome = await this.#ask(lease, member, request);
      if (isStaleConfig(outcome) && await this.#push(member, request.team)) {
        outcome = await this.#ask(lease, member, request);
      }
      if (outcome.kind === "failed" && outcome.message === TIMEOUT_MESSAGE) {
        lease = this.#options.channels.replace(lease);
      }
      this.#options.onOutcome(outcome);
      return outcome;
    } finally {
      lease.release();
    }
  }

  #push(member: ServerMember, team: string): Promise<boolean> {
    return this.#options.config.push(member.address, team);
  }

  async #ask(
    lease: ChannelLease,
    member: ServerMember,
    request: AskRequest,
  ): Promise<AskOutcome> {
    const ask = lease.agent.ask.bind(lease.agent);
    const { timeoutMs } = this.#options;
    const answer = await callUnary<AskRequest, AskReply>(ask, request, {
      timeoutMs,
    });
    if (answer.isErr) {
      const isSilent = answer.error.kind === "timeout";
      const message = isSilent ? TIMEOUT_MESSAGE : answer.error.message;
      return { kind: "failed", member, message };
    }
    const reply = answer.value;
    if (reply.configVersion > request.configVersion) {
      void this.#options.config.fetch(member.address, request.team);
    }
    return outcomeOf(member, reply);
  }
}

const TIMEOUT_MESSAGE = "No answer in time";

function isStaleConfig(outcome: AskOutcome): boolean {
  return outcome.kind === "refused" &&
    outcome.refusal.code === RefusalCode.STALE_CONFIG;
}

function outcomeOf(member: ServerMember, reply: AskReply): AskOutcome {
  switch (reply.verdict?.$case) {
    case "offer":
      return {
        kind: "offer",
        member,
        offer: reply.verdict.value,
        agentIncarnation: reply.agentIncarnation,
      };
    case "refusal":
      return { kind: "refused", member, refusal: reply.verdict.value };
    case undefined:
      return { kind: "failed", member, message: "The answer is empty" };
  }
}
