/** Makes the policy that the settings name. */
import { createBaseline } from "./baselines.ts";
import { OffersPolicy } from "./offers_policy.ts";
import type { Policy, PolicyOptions } from "./policy.ts";
import { PolicyName } from "./policy_name.ts";

/**
 * @param name Which policy.
 * @param options Its settings.
 * @returns A policy that has seen nothing yet.
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
