/**
 * Salts under which engines and prompt stores keep the parts of prompts. They follow from the newest
 * weights and one configuration alone, so that all entries agree on them, also after a restart.
 */
import { createHash } from "node:crypto";
import type { Workspace } from "./model.ts";

/** The fields of a workspace that salts depend on. */
type Sharer = Pick<Workspace, "name" | "isolated">;

/** Salts under one configuration. */
export class CacheSalts {
  readonly #isIsolated = new Map<string, boolean>();
  /** Differs for each set of isolated workspaces; empty if there is none. */
  readonly #sharedSuffix: string;

  private constructor(workspaces: Sharer[]) {
    for (const { name, isolated } of workspaces) {
      this.#isIsolated.set(name, isolated);
    }
    const names = workspaces.filter(({ isolated }) => isolated)
      .map(({ name }) => name);
    this.#sharedSuffix = names.length === 0 ? "" : `-${digestOf(names)}`;
  }

  /**
   * @param workspaces All workspaces of a configuration.
   * @returns Their salts.
   */
  static create(workspaces: Sharer[]): CacheSalts {
    return new CacheSalts(workspaces);
  }

  /**
   * An isolated workspace has a salt of its own. The others share one that changes with the set of the
   * isolated ones: under the earlier salt lie parts of a workspace that was not isolated before.
   *
   * @param weightsVersion Version of the model's weights.
   * @param workspace Workspace of a request, as of an earlier configuration; undefined if anonymous.
   * @returns Salt of the request's parts.
   */
  saltOf(weightsVersion: number, workspace: Sharer | undefined): string {
    const isIsolated = workspace !== undefined &&
      (this.#isIsolated.get(workspace.name) ?? workspace.isolated);
    return isIsolated
      ? `w${weightsVersion}.${workspace.name}`
      : `w${weightsVersion}${this.#sharedSuffix}`;
  }
}

function digestOf(names: string[]): string {
  const text = JSON.stringify(names.toSorted());
  return createHash("sha256").update(text).digest("base64url");
}
