/** Serves and updates the agent's team branches. Entries push them; the store is never read. */
import type { Logger } from "../base/mod.ts";
import type { BranchSet } from "../config/branch_set.ts";
import { selectBranches } from "../config/gossip.ts";
import type {
  FetchBranchesReply,
  FetchBranchesRequest,
  VersionDigest,
} from "../wire/gen/cicadahitch.ts";

/** Options of {@link BranchExchange}. */
export interface BranchExchangeOptions {
  set: BranchSet;
  processId: string;
  address: () => string;
  log: Logger;
}

/** Exchanges team branches with entries; never replaces a branch by an older revision. */
export class BranchExchange {
  readonly #options: BranchExchangeOptions;

  private constructor(options: BranchExchangeOptions) {
    this.#options = options;
  }

  /**
   * @param options The branch set, and the identity of this process.
   * @returns The exchange for this agent.
   */
  static create(options: BranchExchangeOptions): BranchExchange {
    return new BranchExchange(options);
  }

  /**
   * @param request The teams to return; empty for all teams.
   * @returns The branches of these teams, as stored.
   */
  fetch(request: FetchBranchesRequest): FetchBranchesReply {
    return selectBranches(this.#options.set, request);
  }

  /**
   * Applies branches that an entry pushed.
   *
   * @param reply Branches; older revisions than the current ones are ignored.
   * @returns The revisions now held for the same teams.
   */
  apply({ branches }: FetchBranchesReply): VersionDigest {
    const { set, log } = this.#options;
    for (const branch of branches) {
      const applied = set.apply(branch);
      if (applied.isOk || applied.error.kind === "older") continue;
      const { team, revision } = branch;
      log.error(
        { team, revision, failure: applied.error },
        "Can't apply a pushed branch",
      );
    }
    return this.#buildDigest(branches.map(({ team }) => team));
  }

  #buildDigest(teams: string[]): VersionDigest {
    const { set, processId, address } = this.#options;
    const versions = teams.map((team) => ({
      team,
      revision: set.revisionOf(team),
    }));
    return {
      processId,
      address: address(),
      versions,
      revision: 0n,
      confirmedAgeMs: 0,
      hash: 0n,
    };
  }
}
