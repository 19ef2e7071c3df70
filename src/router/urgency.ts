/** Orders the requests of a service by the priorities of workspaces and routes. */
import type { Route, RoutingConfig, Workspace } from "./model.ts";

/** Highest rank, which is the last priority that engines know. */
const MAX_RANK = 9;

/** Ranks of requests, by service, for one version of the configuration. */
export class Urgency {
  /** Priorities by service, in order; the rank of a request is the index of its priorities. */
  readonly #ranked = new Map<string, string[]>();

  private constructor({ routes, services, workspaces }: RoutingConfig) {
    for (const { name } of services) {
      const own = routes.filter(({ shares }) =>
        shares.some(({ service }) => service === name)
      );
      this.#ranked.set(name, rankPriorities(own, workspaces));
    }
  }

  /**
   * @param config One version of the configuration.
   * @returns The ranks of its requests.
   */
  static create(config: RoutingConfig): Urgency {
    return new Urgency(config);
  }

  /**
   * @param service Name of the service that serves the request.
   * @param route Its route.
   * @param workspace Its workspace, if it has one.
   * @returns The request's rank, 0 first.
   */
  rankOf(
    service: string,
    route: Route,
    workspace: Workspace | undefined,
  ): number {
    const ranked = this.#ranked.get(service) ?? [];
    const rank = ranked.indexOf(priorityKey(route, workspace));
    return rank < 0 ? MAX_RANK : Math.min(MAX_RANK, rank);
  }
}

function rankPriorities(
  routes: readonly Route[],
  workspaces: readonly Workspace[],
): string[] {
  const ranked = new Map<string, [number, number]>();
  for (const route of routes) {
    for (const workspace of [undefined, ...workspaces]) {
      const pair = prioritiesOf(route, workspace);
      ranked.set(pair.join(), pair);
    }
  }
  return [...ranked.values()]
    .sort(([a1, a2], [b1, b2]) => compare(a1, b1) || compare(a2, b2))
    .map((pair) => pair.join());
}

/** The workspace's priority decides; the route's orders requests of equal workspace priority. */
function prioritiesOf(
  { priority }: Route,
  workspace: Workspace | undefined,
): [number, number] {
  return [workspace?.priority ?? priority, priority];
}

function priorityKey(route: Route, workspace: Workspace | undefined): string {
  return prioritiesOf(route, workspace).join();
}

/** Routes without a priority have an infinite one. */
function compare(a: number, b: number): number {
  return a === b ? 0 : a - b;
}
