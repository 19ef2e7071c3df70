/** Administration queries: they change nothing. */
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
import { currentOf, type TeamStore } from "./team_store.ts";

/** Who wrote a version, and when. */
export interface VersionSummary {
  /** Store revision of the write. */
  version: number;
  /** Counts the writes to the team. */
  number: number;
  writer: string;
  writtenAtMs: number;
  writeId: string;
}

/** A team in the list. */
export interface TeamSummary extends VersionSummary {
  team: string;
  /** False: a newer process wrote it, and an earlier version stays in force here. */
  inForceHere: boolean;
}

/** Teams that this process knows. */
export interface TeamList {
  teams: TeamSummary[];
  /** Time since the store confirmed the list. */
  ageMs: number;
  /** False: there may be teams that this process hasn't heard of yet. */
  complete: boolean;
}

/** A branch with its version. */
export interface TeamView extends VersionSummary {
  team: string;
  branch: unknown;
  /** Time since the store confirmed it; 0: it was just read there. */
  ageMs: number;
  /** `store`: just read; `memory`: what this process holds. */
  source: "store" | "memory";
}

/** A version in the history. */
export interface HistoryItem extends VersionSummary {
  deleted: boolean;
}

/** Whether a branch would be accepted. */
export interface Validation {
  valid: boolean;
  problems: BranchProblem[];
}

/** An entry, and whether it has a version in force. */
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

/** What {@link AdminQueries.inForce} is asked. */
export interface InForceQuestion {
  /** Undefined: the one held here. */
  version: bigint | undefined;
  /** How long to wait until all have it. */
  waitMs: number;
}

/** Settings of {@link AdminQueries}. */
export interface AdminQueriesOptions {
  teams: TeamStore;
  branches: BranchSet;
  sync: ConfigSync;
  clock: Clock;
  /** Name of this process in answers. */
  processId: string;
  /** Own peer address. */
  address: () => string;
}

const ASKED_AT_ONCE = 32;
const ROUND_PAUSE_MS = 50;
const FROM_STORE = { ageMs: 0, source: "store" } as const;

/** Reads team branches and their spread. */
export class AdminQueries {
  readonly #options: AdminQueriesOptions;

  private constructor(options: AdminQueriesOptions) {
    this.#options = options;
  }

  /**
   * @param options Where to read.
   * @returns The queries.
   */
  static create(options: AdminQueriesOptions): AdminQueries {
    return new AdminQueries(options);
  }

  /** @returns The teams held here; no call to the store. */
  list(): TeamList {
    const { branches, sync } = this.#options;
    const teams: TeamSummary[] = [];
    for (const held of branches.all()) {
      if (held.json.length > 0) teams.push(summaryOf(held));
    }
    teams.sort((one, other) => one.team < other.team ? -1 : 1);
    const ageMs = sync.confirmedAgeMs;
    return { teams, ageMs, complete: sync.knowsAllTeams };
  }

  /** @returns A branch from the store, or as held here while the store can't be reached. */
  async show(team: string): Promise<Result<TeamView, AdminFailure>> {
    const { teams, branches } = this.#options;
    const snapshot = await teams.read(team);
    if (snapshot.isErr) return this.#showHeld(team);
    const { revision, headRevision, stored } = snapshot.value;
    const held = branches.revisionOf(team);
    // A store that lags knows less than this process.
    if (revision < held && headRevision < held) return this.#showHeld(team);
    if (revision === 0n) {
      const current = headRevision > 0n ? currentOf(snapshot.value) : undefined;
      return Result.err({ kind: "team_not_found", team, current });
    }
    if (!stored) return this.#showHeld(team);
    return Result.ok(viewOf({ team, revision, stored, ...FROM_STORE }));
  }

  /** @returns A branch as it was at a kept version. */
  async showAt(
    team: string,
    version: bigint,
  ): Promise<Result<TeamView, AdminFailure>> {
    const history = await this.#options.teams.history(team);
    if (history.isErr) return Result.err(history.error);
    const kept = history.value.find(({ revision }) => revision === version);
    if (!kept || kept.stored.branch === undefined) {
      const wanted = Number(version);
      return Result.err({ kind: "version_not_found", team, version: wanted });
    }
    const { revision, stored } = kept;
    return Result.ok(viewOf({ team, revision, stored, ...FROM_STORE }));
  }

  /** @returns The kept versions, latest first. */
  async history(team: string): Promise<Result<HistoryItem[], AdminFailure>> {
    const history = await this.#options.teams.history(team);
    if (history.isOk && history.value.length === 0) return missing(team, true);
    return history.map((versions) =>
      versions.map(({ revision, stored }) => ({
        ...versionOf(revision, stored),
        deleted: stored.branch === undefined,
      }))
    );
  }

  /** @returns All that is wrong with a branch. */
  validate(branch: unknown): Validation {
    const parsed = parseBranch(branch);
    if (parsed.isOk) return { valid: true, problems: [] };
    return { valid: false, problems: parsed.error.problems };
  }

  /**
   * Finds out which entries have a version in force, asking those of which it isn't known.
   *
   * @param team The team's name.
   * @param question Which version, and how long to wait for it.
   * @returns Each entry, and whether it has that version or a newer one.
   */
  async inForce(team: string, question: InForceQuestion): Promise<InForce> {
    const { clock, branches, sync } = this.#options;
    const wanted = question.version ?? branches.revisionOf(team);
    const untilMs = clock.nowMs() + question.waitMs;
    for (;;) {
      await this.#askLacking(team, wanted);
      const processes = this.#processes(team, wanted);
      const inForceEverywhere = processes.every(({ inForce }) =>
        inForce === "yes"
      );
      if (inForceEverywhere || clock.nowMs() >= untilMs) {
        return { team, version: Number(wanted), inForceEverywhere, processes };
      }
      await clock.sleep(ROUND_PAUSE_MS);
      if (!this.#hasHere(team, wanted)) await sync.exchangeNow();
    }
  }

  #showHeld(team: string): Result<TeamView, AdminFailure> {
    const { branches, sync } = this.#options;
    const held = branches.getRecord(team);
    if (!held || held.json.length === 0) {
      return missing(team, held !== undefined || sync.knowsAllTeams);
    }
    const stored = decodeStored(held.json);
    if (stored.isErr) return missing(team, true);
    return Result.ok(viewOf({
      team,
      revision: held.revision,
      stored: stored.value,
      ageMs: sync.confirmedAgeMs,
      source: "memory",
    }));
  }

  async #askLacking(team: string, version: bigint): Promise<void> {
    const { sync } = this.#options;
    const lacking = sync.peerAddresses.filter((address) =>
      this.#peerHas(address, team, version) !== "yes"
    );
    for (let from = 0; from < lacking.length; from += ASKED_AT_ONCE) {
      const batch = lacking.slice(from, from + ASKED_AT_ONCE);
      await Promise.all(batch.map((address) => sync.exchangeWith(address)));
    }
  }

  #processes(team: string, version: bigint): ProcessInForce[] {
    const { sync, processId, address } = this.#options;
    const here: ProcessInForce = {
      processId,
      address: address(),
      inForce: this.#hasHere(team, version) ? "yes" : "no",
    };
    const peers = sync.peerAddresses.map((peer) => ({
      processId: sync.peerTable.get(peer)?.processId ?? "",
      address: peer,
      inForce: this.#peerHas(peer, team, version),
    }));
    return [here, ...peers];
  }

  #hasHere(team: string, version: bigint): boolean {
    const { branches } = this.#options;
    if (branches.getRecord(team)?.readError) return false;
    return branches.latestKnownRevision(team) >= version;
  }

  #peerHas(
    address: string,
    team: string,
    version: bigint,
  ): ProcessInForce["inForce"] {
    const { peerTable } = this.#options.sync;
    const record = peerTable.get(address);
    if (!record) return "unknown";
    if (!peerTable.hasVersion(record, team, version)) return "no";
    // It holds the version, but some branch that it holds it can't read.
    return record.unreadCount > 0 ? "unknown" : "yes";
  }
}

function summaryOf(held: BranchRecord): TeamSummary {
  const { team, revision, json, readError } = held;
  const inForceHere = readError === undefined;
  const stored = decodeStored(json);
  if (stored.isOk) {
    return { team, ...versionOf(revision, stored.value), inForceHere };
  }
  const none = { writeId: "", writer: "", writtenAtMs: 0, number: 0 };
  return { team, ...versionOf(revision, none), inForceHere };
}

function versionOf(
  revision: bigint,
  { number, writer, writtenAtMs, writeId }: StoredBranch,
): VersionSummary {
  const version = Number(revision);
  return { version, number, writer, writtenAtMs, writeId };
}

/** What a view is made from. */
interface ViewSource extends Pick<TeamView, "team" | "ageMs" | "source"> {
  revision: bigint;
  stored: StoredBranch;
}

function viewOf({ revision, stored, ...source }: ViewSource): TeamView {
  return { ...source, ...versionOf(revision, stored), branch: stored.branch };
}

/** A team is only said not to exist by who knows all teams. */
function missing<T>(team: string, known: boolean): Result<T, AdminFailure> {
  if (known) return Result.err({ kind: "team_not_found", team });
  return Result.err({ kind: "store_unavailable" });
}
