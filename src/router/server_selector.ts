/** Selects the server for a request, for its first send and for resends. */
import type { Clock } from "../base/mod.ts";
import type { Progress } from "./attempt.ts";
import { CacheSalts } from "./cache_salts.ts";
import {
  type Choice,
  type ChoiceName,
  choose,
  type PromptPlacement,
} from "./choose.ts";
import type { Fleet } from "./fleet.ts";
import type { Caller } from "./permit_bucket.ts";
import { callerOf } from "./permit_caller.ts";
import type { PromptStore } from "./prompt_store.ts";
import { type RoutedRequest, SkipReason } from "./request.ts";
import type { RoutingTable } from "./routing_table.ts";
import type { Server } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Dependencies of a {@link ServerSelector}. */
export interface ServerSelectorOptions {
  clock: Clock;
  fleet: Fleet;
  wanted: WantedVersions;
  zone: string;
  random: () => number;
  choice: ChoiceName;
  /** The configuration in force; a request may have been routed by an earlier one. */
  table(): Pick<RoutingTable, "cacheSalts"> | undefined;
  /** Shared stores of cached prompts, outside the engines' own caches. */
  promptStores(): PromptStore[];
  /** Age of the load data received from other entries. */
  loadAgeMs(): number;
  /** Whether a service has less room than its requests demand. */
  isDivided(service: string): boolean;
}

/** Selects servers for requests. */
export class ServerSelector {
  readonly #options: ServerSelectorOptions;

  private constructor(options: ServerSelectorOptions) {
    this.#options = options;
  }

  /**
   * Creates a selector.
   *
   * @param options Dependencies.
   * @returns The selector.
   */
  static create(options: ServerSelectorOptions): ServerSelector {
    return new ServerSelector(options);
  }

  /**
   * Selects a server for a request that has no open run and whose client has received nothing.
   *
   * @param request The request.
   * @param progress State of the request over its sends.
   * @param options Who sends it.
   * @returns The best server, even if it may refuse the request; undefined if there is none.
   */
  any(
    request: RoutedRequest,
    progress: Progress,
    { caller }: { caller?: Caller },
  ): Choice | undefined {
    const { tried, ranAt } = progress;
    const found = this.#choose(request, progress, { excluded: tried, caller });
    if (found || progress.sends === 0) return found;
    // All servers were tried; one that refused earlier may accept the request now.
    return this.#choose(request, progress, { excluded: ranAt, caller });
  }

  /**
   * Selects a server for a request that can wait for an available one, because its client has part
   * of the answer or another server runs it.
   *
   * @param request The request.
   * @param progress State of the request over its sends.
   * @param options Servers with open runs of the request, and who sends it.
   * @returns An available server; one where the request ran before only if it has no open run.
   */
  ready(
    request: RoutedRequest,
    progress: Progress,
    { openAt, caller }: { openAt: ReadonlySet<Server>; caller?: Caller },
  ): Choice | undefined {
    const ran = new Set([...progress.ranAt, ...openAt]);
    // Prefer servers that were not tried, then those that refused, then those where it ran.
    const exclusions = openAt.size > 0
      ? [progress.tried, ran]
      : [progress.tried, ran, openAt];
    for (const excluded of exclusions) {
      const found = this.#choose(request, progress, { excluded, caller });
      if (found && this.#isReady(found.server)) return found;
    }
    return undefined;
  }

  /**
   * @param request The request.
   * @param progress State of the request over its sends.
   * @returns The servers that accept requests and may continue its stream.
   */
  candidates({ service }: RoutedRequest, { origin }: Progress): Server[] {
    const accepting = this.#options.fleet.accepting(service);
    if (!origin) return accepting;
    const { versions } = this.#options.fleet;
    const isMixed = versions.isMixed(service);
    return accepting.filter((server) =>
      versions.canContinue(origin, server.entry) &&
      !(isMixed && mayBeRestarted(server))
    );
  }

  /**
   * @param request The request.
   * @param progress State of the request over its sends.
   * @returns Whether the service has servers, and all have another software version than the one that
   *   began the request's stream.
   */
  isVersionGone({ service }: RoutedRequest, { origin }: Progress): boolean {
    if (!origin) return false;
    const { fleet } = this.#options;
    const open = fleet.open(service);
    return open.length > 0 &&
      !open.some(({ entry }) => fleet.versions.canContinue(origin, entry));
  }

  /**
   * Counts the reasons why servers of the request's service are not used.
   *
   * @param request The request.
   * @param progress State of the request over its sends.
   * @returns Number of servers by reason.
   */
  countSkipped(
    request: RoutedRequest,
    progress: Progress,
  ): Partial<Record<SkipReason, number>> {
    const caller = callerOf(request, progress);
    const counts: Partial<Record<SkipReason, number>> = {};
    for (const server of this.#options.fleet.accepting(request.service)) {
      const why = this.#skipReason(server, progress, caller);
      counts[why] = (counts[why] ?? 0) + 1;
    }
    return counts;
  }

  #skipReason(
    server: Server,
    { ranAt, tried, origin }: Progress,
    caller: Caller,
  ): SkipReason {
    const { clock, fleet } = this.#options;
    const nowMs = clock.nowMs();
    if (!fleet.versions.canContinue(origin, server.entry)) {
      return SkipReason.otherVersion;
    }
    if (ranAt.has(server)) return SkipReason.ran;
    if (server.health.isDown) return SkipReason.down;
    if (server.isHeldBack(nowMs)) return SkipReason.heldBack;
    if (server.isFull(nowMs)) return SkipReason.full;
    if (server.permitPauses.leftMs(nowMs, caller) > 0) {
      return SkipReason.overRate;
    }
    return tried.has(server) ? SkipReason.refused : SkipReason.free;
  }

  #isReady(server: Server): boolean {
    return !server.health.isDown &&
      !server.isHeldBack(this.#options.clock.nowMs());
  }

  #choose(
    request: RoutedRequest,
    progress: Progress,
    { excluded, caller }: { excluded: ReadonlySet<Server>; caller?: Caller },
  ): Choice | undefined {
    const { clock, zone, random, choice } = this.#options;
    return choose({
      servers: this.candidates(request, progress),
      zone,
      nowMs: clock.nowMs(),
      tried: excluded,
      caller,
      prompt: this.#promptOf(request),
      loadAgeMs: this.#options.loadAgeMs(),
      random,
      choice,
      isDivided: this.#options.isDivided(request.service),
    });
  }

  #promptOf(request: RoutedRequest): PromptPlacement | undefined {
    const { prompt } = request.facts;
    if (!prompt) return undefined;
    const { wanted, promptStores, table } = this.#options;
    const salts = table()?.cacheSalts ?? CacheSalts.create([]);
    return {
      model: prompt.model,
      promptTokens: prompt.promptTokens,
      outputTokens: prompt.outputTokens,
      wantedVersion: wanted.newest(prompt.model),
      replacedForMs: (version) => wanted.replacedForMs(prompt.model, version),
      weightsLimits: wanted.limits,
      stores: promptStores(),
      chainFor: (version) => ({
        salt: salts.saltOf(version, request.workspace),
        parts: prompt.parts,
      }),
    };
  }
}

/**
 * Whether another process, maybe of another software version, may answer under the server's id. Servers
 * that state no start time get another id when they start again.
 */
function mayBeRestarted({ entry, health }: Server): boolean {
  if (entry.isVersionAssumed) return true;
  return entry.bornAtMs !== undefined && health.mayHaveEnded;
}
