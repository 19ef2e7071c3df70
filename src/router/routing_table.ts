/** Index of routes, services and keys in one version of the configuration. */
import {
  type ClientLimits,
  RequestKind,
  type Route,
  type RoutingConfig,
  type Service,
  type Workspace,
} from "./model.ts";
import { CacheSalts } from "./cache_salts.ts";
import { Urgency } from "./urgency.ts";

/** Result of authenticating a request by its key. */
export type Authentication =
  | { kind: "workspace"; workspace: Workspace }
  | { kind: "anonymous" }
  | { kind: "unknown_key" };

/** An immutable index over a {@link RoutingConfig}. */
export class RoutingTable {
  readonly version: number;
  readonly limits: ClientLimits;
  /** Order of the requests of each service. */
  readonly urgency: Urgency;
  /** Salts of cached prompts. */
  readonly cacheSalts: CacheSalts;
  /** Routes by host; longest path prefix first. */
  readonly #routes = new Map<string, Route[]>();
  readonly #services = new Map<string, Service>();
  readonly #workspaces = new Map<string, Workspace>();
  /** Longest timeout of the streams of each service. */
  readonly #streamTimeoutsMs = new Map<string, number>();
  /** Services with streams that clients may take up. */
  readonly #resumable = new Set<string>();
  readonly #requiresKeys: boolean;

  private constructor(config: RoutingConfig) {
    this.version = config.version;
    this.limits = config.limits;
    this.urgency = Urgency.create(config);
    this.cacheSalts = CacheSalts.create(config.workspaces);
    this.#requiresKeys = config.workspaces.length > 0;
    for (const service of config.services) {
      this.#services.set(service.name, service);
    }
    for (const workspace of config.workspaces) {
      for (const key of workspace.keys) this.#workspaces.set(key, workspace);
    }
    for (const route of config.routes) {
      const routes = this.#routes.get(route.host) ?? [];
      routes.push(route);
      this.#routes.set(route.host, routes);
      this.#addStreams(route);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * @param config One version of the configuration.
   * @returns Its index.
   */
  static create(config: RoutingConfig): RoutingTable {
    return new RoutingTable(config);
  }

  /**
   * @param host Host name in lower case.
   * @param target Path, with or without a query.
   * @returns The host's route with the longest prefix that matches the path.
   */
  findRoute(host: string, target: string): Route | undefined {
    const queryAt = target.indexOf("?");
    const path = queryAt < 0 ? target : target.slice(0, queryAt);
    return this.#routes.get(host)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
  }

  /**
   * @param name Name of a service.
   * @returns The service, if it is configured.
   */
  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** All configured services. */
  services(): IterableIterator<Service> {
    return this.#services.values();
  }

  /**
   * @param route Route of the request.
   * @param key API key of the request, if it has one.
   * @returns The workspace of the key, or whether the request is accepted without one.
   */
  authenticate(route: Route, key: string | undefined): Authentication {
    if (!this.#requiresKeys) return { kind: "anonymous" };
    const workspace = key === undefined ? undefined : this.#workspaces.get(key);
    if (workspace) return { kind: "workspace", workspace };
    return { kind: route.anonymous ? "anonymous" : "unknown_key" };
  }

  /**
   * @param service Name of a service.
   * @returns Longest timeout of its streams; 0 if it has none.
   */
  streamTimeoutMs(service: string): number {
    return this.#streamTimeoutsMs.get(service) ?? 0;
  }

  /**
   * @param service Name of a service.
   * @returns Whether clients may take up its streams.
   */
  isResumable(service: string): boolean {
    return this.#resumable.has(service);
  }

  #addStreams({ kind, shares, timeoutMs, resumable }: Route): void {
    if (kind !== RequestKind.stream) return;
    for (const { service } of shares) {
      if (resumable) this.#resumable.add(service);
      const longestMs = Math.max(this.streamTimeoutMs(service), timeoutMs);
      this.#streamTimeoutsMs.set(service, longestMs);
    }
  }
}
