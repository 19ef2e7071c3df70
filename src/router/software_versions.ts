/**
 * Which software versions the servers of each service have, or had while a stream could still be open.
 * Several may serve side by side; what two versions write doesn't fit together, so a stream may only be
 * continued by the version that began it. A service with one version needs no such care.
 */
import type { Clock } from "../base/mod.ts";
import { type BackendServer, incarnationKey } from "./model.ts";

/** Lower bound of {@link SoftwareVersionsOptions.streamLifetimeMs}. */
const MIN_LIFETIME_MS = 30_000;

/** The service and the software that wrote the first event of a stream. */
export interface StreamOrigin {
  service: string;
  /** Version of the software; undefined if the server doesn't state it. */
  softwareVersion: string | undefined;
  /** The server process, if this entry knows it. */
  incarnation?: string;
  /** Another process than the registered one may have written the event, with other software. */
  isUncertain?: boolean;
}

/** Who knew the origin of a stream that a client takes up. */
export const OriginSource = {
  /** This entry serves the stream, or was told of it. */
  own: "own",
  /** Another entry was asked. */
  entry: "entry",
  /** The service has had one software version as long as any of its streams may live. */
  oneVersion: "one_version",
  unknown: "unknown",
} as const;

/** One of {@link OriginSource}. */
export type OriginSource = typeof OriginSource[keyof typeof OriginSource];

/** A software version, and the time since a server of it was last registered. */
export interface SeenVersion {
  service: string;
  softwareVersion: string | undefined;
  ageMs: number;
}

/** Service, software version (null: not stated), and time since a server of it was last registered. */
export type VersionRow = [string, string | null, number];

/** Dependencies of {@link SoftwareVersions}. */
export interface SoftwareVersionsOptions {
  clock: Clock;
  /**
   * How long clients may take up a stream of a service again after its beginning; short ones are
   * extended.
   */
  streamLifetimeMs(service: string): number;
}

/** Sightings of one version of one service. */
interface Sightings {
  /** Number of registered servers. */
  servers: number;
  /** When a server of it was last registered here; none is counted as registered. */
  ownAtMs: number;
  /** The same, as another entry or the store's record tells. */
  toldAtMs: number;
}

/** Software versions by service. */
export class SoftwareVersions {
  readonly #options: SoftwareVersionsOptions;
  readonly #services = new Map<string, Map<string | undefined, Sightings>>();
  readonly #mixed = new Set<string>();
  #onMixed: (service: string) => void = () => {};
  #onJoined: () => void = () => {};

  private constructor(options: SoftwareVersionsOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock and lifetimes of streams.
   * @returns An object that knows no server.
   */
  static create(options: SoftwareVersionsOptions): SoftwareVersions {
    return new SoftwareVersions(options);
  }

  /** @param listener Called when a service with one version has several. */
  onMixed(listener: (service: string) => void): void {
    this.#onMixed = listener;
  }

  /** @param listener Called when the first server of a version has registered. */
  onJoined(listener: () => void): void {
    this.#onJoined = listener;
  }

  /** @param entry A server that has registered or started again. */
  joined({ service, softwareVersion }: BackendServer): void {
    const sightings = this.#sightings(service, softwareVersion);
    sightings.servers++;
    this.#detectMixed(service);
    if (sightings.servers === 1) this.#onJoined();
  }

  /** @param entry A server that was removed, or whose process has ended. */
  left({ service, softwareVersion }: BackendServer): void {
    const sightings = this.#sightings(service, softwareVersion);
    sightings.servers--;
    sightings.ownAtMs = this.#options.clock.nowMs();
  }

  /** @param seen A version that another entry or the store's record names. */
  hear({ service, softwareVersion, ageMs }: SeenVersion): void {
    const sightings = this.#sightings(service, softwareVersion);
    const atMs = this.#options.clock.nowMs() - ageMs;
    sightings.toldAtMs = Math.max(sightings.toldAtMs, atMs);
    this.#detectMixed(service);
  }

  /**
   * @param service Name of a service.
   * @returns Whether a stream of it may have begun at another version than that of some server.
   */
  isMixed(service: string): boolean {
    if (!this.#mixed.has(service)) return false;
    if (this.current(service).length > 1) return true;
    this.#mixed.delete(service);
    return false;
  }

  /** Names of the services that had a server. */
  services(): IterableIterator<string> {
    return this.#services.keys();
  }

  /** Names of the services with several versions. */
  mixedServices(): string[] {
    return [...this.#mixed].filter((service) => this.isMixed(service));
  }

  /**
   * @param service Name of a service.
   * @returns Its versions, including those that streams may still be from.
   */
  current(service: string): (string | undefined)[] {
    const versions = this.#services.get(service);
    if (!versions) return [];
    const fromMs = this.#fromMs(service);
    const current: (string | undefined)[] = [];
    for (const [version, { servers, ownAtMs, toldAtMs }] of versions) {
      const isCurrent = servers > 0 || ownAtMs >= fromMs || toldAtMs >= fromMs;
      if (isCurrent) current.push(version);
      else versions.delete(version);
    }
    return current;
  }

  /**
   * Versions that this entry saw itself, for the other entries. What it was told is left out: entries
   * that repeat each other would keep a version alive for ever.
   *
   * @returns The versions of the services with several; undefined if there is none.
   */
  rows(): VersionRow[] | undefined {
    const nowMs = this.#options.clock.nowMs();
    const rows = this.mixedServices().flatMap((service) => {
      const fromMs = this.#fromMs(service);
      const seen: VersionRow[] = [];
      for (const [version, sightings] of this.#services.get(service)!) {
        const atMs = sightings.servers > 0 ? nowMs : sightings.ownAtMs;
        const ageMs = Math.round(nowMs - atMs);
        if (atMs >= fromMs) seen.push([service, version ?? null, ageMs]);
      }
      return seen;
    });
    return rows.length > 0 ? rows : undefined;
  }

  /** @param rows Rows of another entry. */
  applyRows(rows: VersionRow[]): void {
    for (const [service, version, ageMs] of rows) {
      this.hear({ service, softwareVersion: version ?? undefined, ageMs });
    }
  }

  /**
   * @param origin Origin of a stream; undefined if nothing of it has reached its client.
   * @param entry Registration of a server.
   * @returns Whether the server may continue the stream.
   */
  canContinue(origin: StreamOrigin | undefined, entry: BackendServer): boolean {
    if (!origin) return true;
    const { service, softwareVersion, incarnation } = origin;
    if (service !== entry.service) return false;
    if (softwareVersion !== entry.softwareVersion) return false;
    if (origin.isUncertain && this.isMixed(service)) return false;
    // Two servers that state no version may have different ones.
    return softwareVersion !== undefined || !this.isMixed(service) ||
      incarnation === incarnationKey(entry);
  }

  #sightings(service: string, version: string | undefined): Sightings {
    let versions = this.#services.get(service);
    if (!versions) this.#services.set(service, versions = new Map());
    let sightings = versions.get(version);
    if (!sightings) {
      sightings = { servers: 0, ownAtMs: -Infinity, toldAtMs: -Infinity };
      versions.set(version, sightings);
    }
    return sightings;
  }

  #detectMixed(service: string): void {
    if (this.#mixed.has(service) || this.current(service).length < 2) return;
    this.#mixed.add(service);
    this.#onMixed(service);
  }

  /** Streams of versions that were last seen earlier have ended. */
  #fromMs(service: string): number {
    const { clock, streamLifetimeMs } = this.#options;
    return clock.nowMs() - Math.max(MIN_LIFETIME_MS, streamLifetimeMs(service));
  }
}

/**
 * @param entry Registration of the server that writes the first event of a stream.
 * @returns The stream's origin.
 */
export function originAt(entry: BackendServer): StreamOrigin {
  const { service, softwareVersion } = entry;
  return { service, softwareVersion, incarnation: incarnationKey(entry) };
}
