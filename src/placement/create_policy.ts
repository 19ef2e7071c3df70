/** Creates a placement policy by its name. */
import { createBaseline } from "./baselines.ts";
import { OffersPolicy } from "./offers_policy.ts";
import type { Policy, PolicyOptions } from "./policy.ts";
import { PolicyName } from "./policy_name.ts";

/**
 * @param name Name of the policy.
 * @param options Policy settings.
 * @returns A policy without observations.
 */
export function createPolicy(name: PolicyName, options: PolicyOptions): Policy {
  switch (name) {
    case PolicyName.Offers:
      return OffersPolicy.create(options);
    case PolicyName.Random:
    case PolicyName.LeastLoaded:
    case PolicyName.Rendezvous:
    case PolicyName.Affinity:
      return createBaseline(name, options);
  }
}
