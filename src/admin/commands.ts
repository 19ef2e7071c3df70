/** Administration commands. Each command changes one team's branch by a compare-and-swap. */
import { createHash, randomBytes, randomUUID } from "node:crypto";
import { Result } from "true-myth";
import {
  BRANCH_FORMAT,
  type BranchSet,
  type ConfigSync,
  parseBranch,
  TEAM_NAME,
} from "../config/mod.ts";
import type { AdminFailure } from "./failures.ts";
import { applyEdit, type Edit } from "./json_pointer.ts";
import {
  type AcceptedWrite,
  type TeamSnapshot,
  type TeamStore,
  toCurrentVersion,
} from "./team_store.ts";

/** The writer of a change and the conditions of the write. */
export interface WriteContext {
  /** Name of the writer, recorded with the version. */
  writer: string;
  /** The version to replace; undefined replaces the current version, whichever it is. */
  ifMatch?: bigint;
  /** Id chosen by the caller, by which a retry of the request is recognised. */
  writeId?: string;
}

/** A change of one value in a branch. */
export interface BranchEdit {
  /** JSON pointer to the value. */
  path: string;
  edit: Edit;
}

/** A new caller key. Only its hash is stored, so the key can't be shown again. */
export interface IssuedKey {
  accepted: AcceptedWrite;
  id: string;
  key: string;
}

/** Settings of {@link AdminCommands}. */
export interface AdminCommandsOptions {
  teams: TeamStore;
  branches: BranchSet;
  sync: ConfigSync;
}

type WriteOutcome = Promise<Result<AcceptedWrite, AdminFailure>>;
/** Computes the new branch from the current state; undefined deletes the team. */
type ComposeBranch = (
  snapshot: TeamSnapshot,
) => Result<unknown, AdminFailure> | Promise<Result<unknown, AdminFailure>>;

const MAX_WRITE_ATTEMPTS = 5;
const KEY_SECRET_BYTES = 32;
const KEY_ID_BYTES = 6;

/** Writes team branches. */
export class AdminCommands {
  readonly #options: AdminCommandsOptions;

  private constructor(options: AdminCommandsOptions) {
    this.#options = options;
  }

  /**
   * @param options The store of the teams, and the branches in force in this process.
   * @returns The commands.
   */
  static create(options: AdminCommandsOptions): AdminCommands {
    return new AdminCommands(options);
  }

  /** Creates a team; fails if it exists. */
  create(team: string, branch: unknown, context: WriteContext): WriteOutcome {
    if (!TEAM_NAME.safeParse(team).success) {
      const message = "Expected a team name of 1 to 63 of a-z, 0-9, - and _";
      return reject({ kind: "invalid_request", message, param: "team" });
    }
    return this.#writeWithRetries(team, context, (snapshot) => {
      if (snapshot.revision === 0n) return validate(branch);
      return Result.err({
        kind: "conflict",
        current: toCurrentVersion(snapshot),
      });
    });
  }

  /** Replaces a team's branch; requires `ifMatch`. */
  replace(team: string, branch: unknown, context: WriteContext): WriteOutcome {
    if (context.ifMatch === undefined) return reject(PRECONDITION_REQUIRED);
    return this.#writeWithRetries(
      team,
      context,
      (snapshot) =>
        requireKnownFormat(snapshot).andThen(() => validate(branch)),
    );
  }

  /** Sets or removes one value in a branch. */
  patch(team: string, change: BranchEdit, context: WriteContext): WriteOutcome {
    return this.#writeWithRetries(
      team,
      context,
      (snapshot) =>
        requireKnownFormat(snapshot)
          .andThen((branch) => editBranch(branch, change))
          .andThen(validate),
    );
  }

  /** Deletes a team; requires `ifMatch`. */
  delete(team: string, context: WriteContext): WriteOutcome {
    if (context.ifMatch === undefined) return reject(PRECONDITION_REQUIRED);
    return this.#writeWithRetries(
      team,
      context,
      (snapshot) => requireExisting(snapshot).map(() => undefined),
    );
  }

  /** Writes the content of an earlier version as a new version; this restores a deleted team. */
  rollForward(
    team: string,
    version: bigint,
    context: WriteContext,
  ): WriteOutcome {
    return this.#writeWithRetries(team, context, async (snapshot) => {
      if (snapshot.revision > 0n) {
        const current = requireKnownFormat(snapshot);
        if (current.isErr) return current;
      }
      const history = await this.#options.teams.history(team);
      if (history.isErr) return Result.err(history.error);
      const old = history.value.find(({ revision }) => revision === version);
      if (old?.stored.branch !== undefined) return validate(old.stored.branch);
      const wanted = Number(version);
      return Result.err({ kind: "version_not_found", team, version: wanted });
    });
  }

  /** Creates a caller key for a workspace and stores its hash. */
  async issueKey(
    team: string,
    workspace: string,
    context: WriteContext,
  ): Promise<Result<IssuedKey, AdminFailure>> {
    const id = `k-${randomBytes(KEY_ID_BYTES).toString("hex")}`;
    const secret = randomBytes(KEY_SECRET_BYTES).toString("base64url");
    const key = `${team}.${workspace}.${secret}`;
    const sha256 = createHash("sha256").update(key).digest("hex");
    // A retry generates a different key, so it must not be recognised as the first request.
    const contextWithoutId = { ...context, writeId: undefined };
    const accepted = await this.#writeWithRetries(
      team,
      contextWithoutId,
      (snapshot) =>
        requireKnownFormat(snapshot)
          .andThen((branch) => addKey({ branch, team, workspace, id, sha256 }))
          .andThen(validate),
    );
    return accepted.map((write) => ({ accepted: write, id, key }));
  }

  /**
   * Reads the team, computes the new branch and writes it. Retries after a conflict with a
   * concurrent write unless `ifMatch` is given.
   */
  async #writeWithRetries(
    team: string,
    context: WriteContext,
    compose: ComposeBranch,
  ): WriteOutcome {
    for (let attempt = 1;; attempt++) {
      const before = await this.#options.teams.read(team);
      if (before.isErr) return Result.err(before.error);
      const earlier = await this.#findEarlierWrite(before.value, context);
      if (earlier.isErr) return Result.err(earlier.error);
      if (earlier.value) return Result.ok(earlier.value);
      const outcome = await this.#attemptWrite(before.value, compose, context);
      const isConflict = outcome.isErr && outcome.error.kind === "conflict";
      const mayRetry = isConflict && context.ifMatch === undefined &&
        attempt < MAX_WRITE_ATTEMPTS;
      if (!mayRetry || isFinalOutcome(before.value, outcome)) return outcome;
    }
  }

  async #attemptWrite(
    before: TeamSnapshot,
    compose: ComposeBranch,
    { writer, writeId, ifMatch }: WriteContext,
  ): WriteOutcome {
    const { teams } = this.#options;
    if (ifMatch !== undefined && ifMatch !== before.revision) {
      return Result.err({
        kind: "conflict",
        current: toCurrentVersion(before),
      });
    }
    const branch = await compose(before);
    if (branch.isErr) return Result.err(branch.error);
    const accepted = await teams.write({
      before,
      branch: branch.value,
      writer,
      writeId: writeId ?? randomUUID(),
      mayBeRetry: writeId !== undefined,
    });
    if (accepted.isOk) this.#applyLocally(accepted.value);
    return accepted;
  }

  /** Finds a committed write of an earlier request with the same write id. */
  async #findEarlierWrite(
    { team, number, lastWrite }: TeamSnapshot,
    { writeId }: WriteContext,
  ): Promise<Result<AcceptedWrite | undefined, AdminFailure>> {
    if (writeId === undefined || number === 0 || !lastWrite) {
      return Result.ok(undefined);
    }
    const history = await this.#options.teams.history(team);
    return history.map((versions) => {
      const own = versions.find(({ stored }) => stored.writeId === writeId);
      if (!own) return undefined;
      const { revision, stored } = own;
      const { writer, writtenAtMs } = stored;
      const metadata = {
        writeId,
        writer,
        writtenAtMs,
        number: stored.number,
      };
      return { team, revision, metadata, json: new Uint8Array() };
    });
  }

  #applyLocally({ team, revision, json }: AcceptedWrite): void {
    const { branches, sync } = this.#options;
    branches.apply({ team, revision, json: Buffer.from(json) });
    void sync.exchangeNow();
  }
}

const PRECONDITION_REQUIRED: AdminFailure = { kind: "precondition_required" };

function reject(failure: AdminFailure): WriteOutcome {
  return Promise.resolve(Result.err(failure));
}

/** False if a concurrent write caused a conflict; a retry does not help in any other case. */
function isFinalOutcome(
  before: TeamSnapshot,
  outcome: Result<AcceptedWrite, AdminFailure>,
): boolean {
  if (outcome.isOk || outcome.error.kind !== "conflict") return true;
  return outcome.error.current.version === toCurrentVersion(before).version;
}

function requireExisting(
  snapshot: TeamSnapshot,
): Result<TeamSnapshot, AdminFailure> {
  if (snapshot.revision > 0n) return Result.ok(snapshot);
  const { team, headRevision } = snapshot;
  const current = headRevision > 0n ? toCurrentVersion(snapshot) : undefined;
  return Result.err({ kind: "team_not_found", team, current });
}

/** Returns the branch, or an error if a newer process wrote it in a format unknown here. */
function requireKnownFormat(
  snapshot: TeamSnapshot,
): Result<unknown, AdminFailure> {
  return requireExisting(snapshot).andThen(({ team, stored, revision }) => {
    const branch = stored?.branch;
    if (isKnownFormat(branch)) return Result.ok<unknown, AdminFailure>(branch);
    const version = Number(revision);
    return Result.err({ kind: "newer_format", team, version });
  });
}

function isKnownFormat(branch: unknown): boolean {
  return typeof branch === "object" && branch !== null &&
    "format" in branch && branch.format === BRANCH_FORMAT;
}

/** Returns the branch unchanged if it is valid. */
function validate(branch: unknown): Result<unknown, AdminFailure> {
  return parseBranch(branch)
    .map((): unknown => branch)
    .mapErr((failure): AdminFailure => failure);
}

function editBranch(
  branch: unknown,
  { path, edit }: BranchEdit,
): Result<unknown, AdminFailure> {
  return applyEdit(branch, path, edit).mapErr(({ message }) => ({
    kind: "invalid_request",
    message,
    param: "path",
  }));
}

/** A caller key to add to a workspace of a branch. */
interface NewKey {
  branch: unknown;
  team: string;
  workspace: string;
  id: string;
  sha256: string;
}

function addKey(newKey: NewKey): Result<unknown, AdminFailure> {
  const { branch, team, workspace, id, sha256 } = newKey;
  const parsed = parseBranch(branch);
  if (parsed.isErr) return Result.err(parsed.error);
  const hasWorkspace = Object.hasOwn(parsed.value.workspaces, workspace);
  if (!hasWorkspace) {
    return Result.err({ kind: "workspace_not_found", team, workspace });
  }
  const keys = parsed.value.workspaces[workspace]?.keys ?? [];
  const value = [...keys, { id, sha256 }];
  const path = `/workspaces/${workspace}/keys`;
  return editBranch(branch, { path, edit: { kind: "set", value } });
}
