/** Which server a request goes to, first and after it was sent to others. */
import type { Clock } from "../base/mod.ts";
import type { Progress } from "./attempt.ts";
import {
  type Choice,
  type ChoiceName,
  choose,
  type PromptPlacement,
} from "./choose.ts";
import type { Fleet } from "./fleet.ts";
import type { Workspace } from "./model.ts";
import type { PromptStore } from "./prompt_store.ts";
import { PassedOver, type RoutedRequest } from "./request.ts";
import type { Server } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** What a {@link NextServer} works with. */
export interface NextServerOptions {
  clock: Clock;
  fleet: Fleet;
  wanted: WantedVersions;
  zone: string;
  random: () => number;
  choice: ChoiceName;
  /** Where prompts are kept beside the engines' own caches. */
  promptStores(): PromptStore[];
  /** How old what other entries told of their load may be. */
  loadAgeMs(): number;
}

/** Chooses servers for requests. */
export class NextServer {
  readonly #options: NextServerOptions;

  private constructor(options: NextServerOptions) {
    this.#options = options;
  }

  /**
   * @param options Servers, and what is known of prompts.
   * @returns A way to choose.
   */
  static create(options: NextServerOptions): NextServer {
    return new NextServer(options);
  }

  /**
   * For a request that nobody runs, and of whose answer its client has nothing.
   *
   * @param request The request.
   * @param progress What happened to it.
   * @returns The best server, also one that may refuse; nothing if there is none.
   */
  any(request: RoutedRequest, progress: Progress): Choice | undefined {
    const found = this.#chooseBut(request, progress.tried);
    if (found || progress.sends === 0) return found;
    // With every server tried, one that refused before may take it by now.
    return this.#chooseBut(request, progress.ranAt);
  }

  /**
   * For a request that can wait until a server seems to take it: its client has some of the answer, or
   * another server runs it.
   *
   * @param request The request.
   * @param progress What happened to it.
   * @param openAt Servers at which runs of it are open.
   * @returns A server that is up and takes requests; one where it ran before only if it runs nowhere.
   */
  ready(
    request: RoutedRequest,
    progress: Progress,
    openAt: ReadonlySet<Server>,
  ): Choice | undefined {
    const ran = new Set([...progress.ranAt, ...openAt]);
    // Servers that it was not sent to come first, then those that refused it, then where it ran.
    const exclusions = openAt.size > 0
      ? [progress.tried, ran]
      : [progress.tried, ran, openAt];
    for (const excluded of exclusions) {
      const found = this.#chooseBut(request, excluded);
      if (found && this.#isReady(found.server)) return found;
    }
    return undefined;
  }

  /**
   * @param request The request.
   * @param progress What happened to it.
   * @returns Servers of its service, by why they are not asked.
   */
  passedOver(
    request: RoutedRequest,
    progress: Progress,
  ): Partial<Record<PassedOver, number>> {
    const counts: Partial<Record<PassedOver, number>> = {};
    for (const server of this.#options.fleet.taking(request.service)) {
      const why = this.#whyNot(server, progress);
      counts[why] = (counts[why] ?? 0) + 1;
    }
    return counts;
  }

  #whyNot(server: Server, { ranAt, tried }: Progress): PassedOver {
    const nowMs = this.#options.clock.nowMs();
    if (ranAt.has(server)) return PassedOver.ran;
    if (server.health.isDown) return PassedOver.down;
    if (server.isHeldBack(nowMs)) return PassedOver.heldBack;
    if (server.isFull(nowMs)) return PassedOver.full;
    return tried.has(server) ? PassedOver.refused : PassedOver.free;
  }

  #isReady(server: Server): boolean {
    return !server.health.isDown &&
      !server.isHeldBack(this.#options.clock.nowMs());
  }

  #chooseBut(
    request: RoutedRequest,
    tried: ReadonlySet<Server>,
  ): Choice | undefined {
    const { fleet, clock, zone, random, choice } = this.#options;
    return choose({
      servers: fleet.taking(request.service),
      zone,
      nowMs: clock.nowMs(),
      tried,
      prompt: this.#promptOf(request),
      loadAgeMs: this.#options.loadAgeMs(),
      random,
      choice,
    });
  }

  #promptOf(request: RoutedRequest): PromptPlacement | undefined {
    const { prompt } = request.facts;
    if (!prompt) return undefined;
    const { wanted, promptStores } = this.#options;
    return {
      model: prompt.model,
      promptTokens: prompt.promptTokens,
      outputTokens: prompt.outputTokens,
      wantedVersion: wanted.newest(prompt.model),
      replacedForMs: (version) => wanted.replacedForMs(prompt.model, version),
      weightsLimits: wanted.limits,
      stores: promptStores(),
      chainFor: (version) => ({
        salt: saltOf(version, request.workspace),
        parts: prompt.parts,
      }),
    };
  }
}

/** Weights and walls part caches: nothing of another version, or of an isolated workspace. */
function saltOf(version: number, workspace: Workspace | undefined): string {
  return workspace?.isolated ? `w${version}.${workspace.name}` : `w${version}`;
}
