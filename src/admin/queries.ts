/** Administration queries, which are read-only. */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import {
  type BranchProblem,
  type BranchRecord,
  type BranchSet,
  type ConfigSync,
  decodeStored,
  parseBranch,
  type StoredBranch,
} from "../config/mod.ts";
import type { AdminFailure } from "./failures.ts";
import { type TeamStore, toCurrentVersion } from "./team_store.ts";

/** Metadata of a version. */
export interface VersionSummary {
  /** Store revision of the write that created the version. */
  version: number;
  /** Sequence number of the write to the team. */
  number: number;
  writer: string;
  writtenAtMs: number;
  writeId: string;
}

/** A team in a {@link TeamList}. */
export interface TeamSummary extends VersionSummary {
  team: string;
  /** False if a newer process wrote it in an unknown format; an earlier version stays in force. */
  inForceHere: boolean;
}

/** The teams known to this process. */
export interface TeamList {
  teams: TeamSummary[];
  /** Time since the store confirmed the list, in ms. */
  ageMs: number;
  /** False if teams may exist that this process does not know. */
  complete: boolean;
}

/** A team's branch with the metadata of its version. */
export interface TeamView extends VersionSummary {
  team: string;
  branch: unknown;
  /** Time since the store confirmed the branch, in ms; 0 if read from the store now. */
  ageMs: number;
  /** `store`: read from the store now; `memory`: held by this process. */
  source: "store" | "memory";
}

/** A version in a team's history. */
export interface HistoryItem extends VersionSummary {
  deleted: boolean;
}

/** Result of validating a branch. */
export interface Validation {
  valid: boolean;
  problems: BranchProblem[];
}

/** Whether an entry has a version in force. */
export interface ProcessInForce {
  processId: string;
  address: string;
  inForce: "yes" | "no" | "unknown";
}

/** Which entries have a version in force. */
export interface InForce {
  team: string;
  version: number;
  inForceEverywhere: boolean;
  processes: ProcessInForce[];
}

/** Arguments of {@link AdminQueries.inForce}. */
export interface InForceQuery {
  /** The version to look for; undefined means the version held by this process. */
  version: bigint | undefined;
  /** How long to wait until all entries have the version in force. */
  waitMs: number;
}

/** Settings of {@link AdminQueries}. */
export interface AdminQueriesOptions {
  teams: TeamStore;
  branches: BranchSet;
  sync: ConfigSync;
  clock: Clock;
  /** Name of this process in responses. */
  processId: string;
  /** Returns the peer address of this process. */
  address: () => string;
}

const MAX_CONCURRENT_EXCHANGES = 32;
const POLL_INTERVAL_MS = 50;
const FROM_STORE = { ageMs: 0, source: "store" } as const;

/** Reads team branches and finds out which entries have them in force. */
export class AdminQueries {
  readonly #options: AdminQueriesOptions;

  private constructor(options: AdminQueriesOptions) {
    this.#options = options;
  }

  /**
   * @param options The sources to read from.
   * @returns The queries.
   */
  static create(options: AdminQueriesOptions): AdminQueries {
    return new AdminQueries(options);
  }

  /** @returns The teams held by this process, without a call to the store. */
  list(): TeamList {
    const { branches, sync } = this.#options;
    const teams: TeamSummary[] = [];
    for (const record of branches.all()) {
      if (record.json.length > 0) teams.push(toTeamSummary(record));
    }
    teams.sort((one, other) => one.team < other.team ? -1 : 1);
    const ageMs = sync.confirmedAgeMs;
    return { teams, ageMs, complete: sync.knowsAllTeams };
  }

  /** @returns The branch from the store, or from memory if the store is unreachable or stale. */
  async show(team: string): Promise<Result<TeamView, AdminFailure>> {
    const { teams, branches } = this.#options;
    const snapshot = await teams.read(team);
    if (snapshot.isErr) return this.#showLocal(team);
    const { revision, headRevision, stored } = snapshot.value;
    const local = branches.revisionOf(team);
    // A stale read from the store returns an older state than this process holds.
    if (revision < local && headRevision < local) return this.#showLocal(team);
    if (revision === 0n) {
      const current = headRevision > 0n
        ? toCurrentVersion(snapshot.value)
        : undefined;
      return Result.err({ kind: "team_not_found", team, current });
    }
    if (!stored) return this.#showLocal(team);
    return Result.ok(toTeamView({ team, revision, stored, ...FROM_STORE }));
  }

  /** @returns The branch at a version in the team's history. */
  async showAt(
    team: string,
    version: bigint,
  ): Promise<Result<TeamView, AdminFailure>> {
    const history = await this.#options.teams.history(team);
    if (history.isErr) return Result.err(history.error);
    const found = history.value.find(({ revision }) => revision === version);
    if (!found || found.stored.branch === undefined) {
      const wanted = Number(version);
      return Result.err({ kind: "version_not_found", team, version: wanted });
    }
    const { revision, stored } = found;
    return Result.ok(toTeamView({ team, revision, stored, ...FROM_STORE }));
  }

  /** @returns The versions in the team's history, latest first. */
  async history(team: string): Promise<Result<HistoryItem[], AdminFailure>> {
    const history = await this.#options.teams.history(team);
    if (history.isOk && history.value.length === 0) return notFound(team, true);
    return history.map((versions) =>
      versions.map(({ revision, stored }) => ({
        ...toVersionSummary(revision, stored),
        deleted: stored.branch === undefined,
      }))
    );
  }

  /** @returns Whether the branch is valid, with all problems found. */
  validate(branch: unknown): Validation {
    const parsed = parseBranch(branch);
    if (parsed.isOk) return { valid: true, problems: [] };
    return { valid: false, problems: parsed.error.problems };
  }

  /**
   * Finds out which entries have a version in force. Exchanges digests with each entry that isn't
   * known to have it, until all have it or the wait time has passed.
   *
   * @param team The team's name.
   * @param inForceQuery The version and the maximum wait time.
   * @returns For each entry, whether it has this version or a newer one in force.
   */
  async inForce(team: string, inForceQuery: InForceQuery): Promise<InForce> {
    const { clock, branches, sync } = this.#options;
    const wanted = inForceQuery.version ?? branches.revisionOf(team);
    const timeoutAtMs = clock.nowMs() + inForceQuery.waitMs;
    for (;;) {
      await this.#exchangeWithLaggingPeers(team, wanted);
      const processes = this.#listProcesses(team, wanted);
      const inForceEverywhere = processes.every(({ inForce }) =>
        inForce === "yes"
      );
      if (inForceEverywhere || clock.nowMs() >= timeoutAtMs) {
        return { team, version: Number(wanted), inForceEverywhere, processes };
      }
      await clock.sleep(POLL_INTERVAL_MS);
      if (!this.#isInForceHere(team, wanted)) await sync.exchangeNow();
    }
  }

  #showLocal(team: string): Result<TeamView, AdminFailure> {
    const { branches, sync } = this.#options;
    const held = branches.getRecord(team);
    if (!held || held.json.length === 0) {
      return notFound(team, held !== undefined || sync.knowsAllTeams);
    }
    const stored = decodeStored(held.json);
    if (stored.isErr) return notFound(team, true);
    return Result.ok(toTeamView({
      team,
      revision: held.revision,
      stored: stored.value,
      ageMs: sync.confirmedAgeMs,
      source: "memory",
    }));
  }

  async #exchangeWithLaggingPeers(
    team: string,
    version: bigint,
  ): Promise<void> {
    const { sync } = this.#options;
    const laggingPeers = sync.peerAddresses.filter((address) =>
      this.#peerStatus(address, team, version) !== "yes"
    );
    for (
      let from = 0;
      from < laggingPeers.length;
      from += MAX_CONCURRENT_EXCHANGES
    ) {
      const batch = laggingPeers.slice(from, from + MAX_CONCURRENT_EXCHANGES);
      await Promise.all(batch.map((address) => sync.exchangeWith(address)));
    }
  }

  #listProcesses(team: string, version: bigint): ProcessInForce[] {
    const { sync, processId, address } = this.#options;
    const here: ProcessInForce = {
      processId,
      address: address(),
      inForce: this.#isInForceHere(team, version) ? "yes" : "no",
    };
    const peers = sync.peerAddresses.map((peer) => ({
      processId: sync.peerTable.get(peer)?.processId ?? "",
      address: peer,
      inForce: this.#peerStatus(peer, team, version),
    }));
    return [here, ...peers];
  }

  #isInForceHere(team: string, version: bigint): boolean {
    const { branches } = this.#options;
    if (branches.getRecord(team)?.readError) return false;
    return branches.latestKnownRevision(team) >= version;
  }

  #peerStatus(
    address: string,
    team: string,
    version: bigint,
  ): ProcessInForce["inForce"] {
    const { peerTable } = this.#options.sync;
    const record = peerTable.get(address);
    if (!record) return "unknown";
    if (!peerTable.hasVersion(record, team, version)) return "no";
    // The peer holds the version, but it can't read some branch, which may be this one.
    return record.unreadCount > 0 ? "unknown" : "yes";
  }
}

function toTeamSummary(record: BranchRecord): TeamSummary {
  const { team, revision, json, readError } = record;
  const inForceHere = readError === undefined;
  const stored = decodeStored(json);
  if (stored.isOk) {
    return { team, ...toVersionSummary(revision, stored.value), inForceHere };
  }
  const unknownMetadata = {
    writeId: "",
    writer: "",
    writtenAtMs: 0,
    number: 0,
  };
  return { team, ...toVersionSummary(revision, unknownMetadata), inForceHere };
}

function toVersionSummary(
  revision: bigint,
  { number, writer, writtenAtMs, writeId }: StoredBranch,
): VersionSummary {
  const version = Number(revision);
  return { version, number, writer, writtenAtMs, writeId };
}

/** Input of {@link toTeamView}. */
interface ViewSource extends Pick<TeamView, "team" | "ageMs" | "source"> {
  revision: bigint;
  stored: StoredBranch;
}

function toTeamView({ revision, stored, ...source }: ViewSource): TeamView {
  return {
    ...source,
    ...toVersionSummary(revision, stored),
    branch: stored.branch,
  };
}

/** Reports that a team does not exist, or that this is unknown because not all teams are known. */
function notFound<T>(
  team: string,
  isCertain: boolean,
): Result<T, AdminFailure> {
  if (isCertain) return Result.err({ kind: "team_not_found", team });
  return Result.err({ kind: "store_unavailable" });
}
