/** Chooses the service of a request. */
import type { ServiceShare } from "./model.ts";

/**
 * @param shares Shares of a route's traffic; at least one.
 * @param random Returns a number from 0 to 1.
 * @returns A service, with the probability of its weight.
 */
export function pickService(
  shares: readonly ServiceShare[],
  random: () => number,
): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  for (const { service, weight } of shares) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return shares.at(-1)!.service;
}
